"""Decides which instances read the store, and passes on what they read.

In a fleet of two levels one relay of each data centre reads for its other instances,
and the next one reads beside it what the store calls stale: that costs a tenth and is
seldom behind, so that the loss of the reader leaves no gap. An instance that hears of
no reading for longer than the readers promised reads for itself, those that come first
in the order of names first. Those that begin together hear each other at once: the
first of them reads on, and only the others rely on it. Nobody relies on a reader whose
settings let it pause for longer than the own ones.
"""

from ..effects import (
    ApplyStoreUpdate,
    Effects,
    SendPeerMessage,
    SetStoreAccess,
    StoreAccess,
)
from ..inputs import Inbox, PeerMessageReceived, PoliciesChanged, StoreRead, Timer
from ..peer_messages import StoreUpdate
from ..world import World
from .fleet_layout import N_RELAYS, is_two_level, local_peers, local_rank

# Time allowed beyond the promised time of the next reading, and for each instance that
# comes before in the order in which they begin to read.
READER_MARGIN_S = 0.6
TAKEOVER_STEP_S = 0.25
# Longest time for which a reader's promise of its next reading is relied on.
MAX_PROMISE_S = 60.0


def share_store_reads(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Pass readings on to the instances that do not read, and apply those of others."""
    effects: Effects = []
    for read in inbox.of(StoreRead):
        if world.store_access is StoreAccess.FOLLOWER or not is_two_level(world):
            continue
        if not read.update.is_stale:
            due_s = now_s + min(read.update.next_within_s, MAX_PROMISE_S)
            world.own_reads_due_s[read.update.prefix] = due_s
        # A stale reading without changes tells nothing.
        if read.update.items or not read.update.is_stale:
            effects += _pass_on(world, read.update)
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case StoreUpdate() as update:
                if update.era < world.store_era.number:
                    # It was delayed, or comes from a version that sends no era. It does
                    # not count as a reading, so that this instance reads for itself if
                    # no other comes.
                    world.count("store_updates_of_old_eras")
                    continue
                if _is_relied_on(world, now_s, update):
                    due_s = now_s + min(update.next_within_s, MAX_PROMISE_S)
                    world.store_updates_due_s[update.prefix] = due_s
                effects.append(ApplyStoreUpdate(update))
    if inbox.of(PoliciesChanged):
        _shorten_promises(world, now_s)
    if inbox.due(Timer.HEARTBEAT):
        access = _choose_access(world, now_s)
        if access is not world.store_access:
            world.store_access = access
            effects.append(SetStoreAccess(access))
    return effects


def _is_relied_on(world: World, now_s: float, update: StoreUpdate) -> bool:
    """Return whether an instance need not read until a reading's promise is over."""
    if update.is_stale or _comes_after(world, now_s, update):
        return False
    max_promise_s = world.policies.max_promises_s.get(update.prefix, float("inf"))
    if update.next_within_s > max_promise_s:
        world.count("store_updates_too_far_apart")
        # Other prefixes may have promises; without one, this one would be overlooked.
        world.store_updates_due_s.setdefault(update.prefix, now_s)
        return False
    return True


def _shorten_promises(world: World, now_s: float) -> None:
    """Rely on promises that were made before only as long as the policies allow."""
    for prefix, max_promise_s in world.policies.max_promises_s.items():
        due_s = world.store_updates_due_s.get(prefix)
        if due_s is not None:
            world.store_updates_due_s[prefix] = min(due_s, now_s + max_promise_s)


def _comes_after(world: World, now_s: float, update: StoreUpdate) -> bool:
    """Return whether a reading is of an instance that is to rely on this one.

    That is so while this one reads as it has promised. If both relied on each other,
    nobody would read until both promises were broken.
    """
    is_reading = (
        world.store_access is StoreAccess.READER
        and now_s <= world.own_reads_due_s.get(update.prefix, now_s - 1.0)
    )
    return is_reading and update.seat > world.identity.seat


def _pass_on(world: World, update: StoreUpdate) -> Effects:
    update.seat = world.identity.seat
    return [
        SendPeerMessage(row.seat, update)
        for row in local_peers(world)
        if row.is_alive and not row.is_leaving
    ]


def _choose_access(world: World, now_s: float) -> StoreAccess:
    if not is_two_level(world) or not world.has_peer_list:
        return StoreAccess.READER
    rank = local_rank(world)
    if rank == 0 and world.departure is None:
        return StoreAccess.READER
    overdue_s = READER_MARGIN_S + TAKEOVER_STEP_S * (rank - 1)
    due_s = world.store_updates_due_s.values()
    if not due_s or now_s > min(due_s) + overdue_s:
        return StoreAccess.READER
    return StoreAccess.BACKUP if rank < N_RELAYS else StoreAccess.FOLLOWER
