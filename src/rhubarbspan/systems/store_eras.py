"""Tracks the era of the store, which rises with each restore from a copy.

After a restore the store holds what it held some seconds before, until the operator,
the backend servers and the instances have written again what was lost. What it shows
until then may be older than what this instance knows, or than what was acknowledged to
its writer.
"""

from ..effects import Effects, LogChange, LogLevel
from ..inputs import Inbox, StoreEraRead, StoreRecovered
from ..world import World

# Time for which the restored store has to be available until everything lost is
# written again, per the platform's description.
REWRITE_S = 2.2


def track_store_era(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Record a new era, and since when the store has been available in it."""
    era = world.store_era
    era.is_new = False
    effects: Effects = []
    for read in inbox.of(StoreEraRead):
        if read.era > era.number:
            effects += _begin_era(world, now_s, read.era)
    for recovered in inbox.of(StoreRecovered):
        if _is_interrupted(world, recovered):
            # Who could not write before the store failed again writes after it.
            era.available_s = now_s
    return effects


def _is_interrupted(world: World, outage: StoreRecovered) -> bool:
    """Return whether an outage fell into the time in which what was lost is rewritten.

    It may have begun before the restore: calls for one prefix can fail in the outage
    before it and in one soon after it, without a success in between.
    """
    if outage.failed_s is None:
        return False
    last_failed_s = outage.failed_s
    if outage.last_failed_s is not None:
        last_failed_s = outage.last_failed_s
    is_after_restore = last_failed_s >= world.store_era.available_s
    return is_after_restore and outage.failed_s < rewritten_s(world)


def rewritten_s(world: World) -> float:
    """Return when the store holds again what a restore lost, long ago if none did."""
    return world.store_era.available_s + REWRITE_S


def is_restored_lately(world: World, now_s: float) -> bool:
    """Return whether the store may still lack what a restore lost."""
    return now_s < rewritten_s(world)


def shows_newest(world: World, read_s: float, is_just_written: bool) -> bool:
    """Return whether the configuration in the store was the newest one.

    Until the operator has had the time to write again, a restored store may lack one
    that was acknowledged, and with it the withdrawal of a key. What the operator writes
    meanwhile is the newest.

    Args:
        world: The tables.
        read_s: A time at which the store held the configuration.
        is_just_written: Whether the operator wrote it in this era.
    """
    return is_just_written or not is_restored_lately(world, read_s)


def _begin_era(world: World, now_s: float, number: int) -> Effects:
    """Begin an era.

    A process that has just started cannot tell when its first era began, and takes it
    for a new one. Era 0 was begun by no restore.
    """
    era = world.store_era
    previous = era.number
    era.number = number
    if number == 0:
        return []
    era.available_s = now_s
    if previous < 0:
        return [LogChange(LogLevel.INFO, f"the store is in era {number}")]
    era.is_new = True
    world.count("store_restores")
    text = f"the store was restored from a copy: era {number} after era {previous}"
    return [LogChange(LogLevel.WARNING, text)]
