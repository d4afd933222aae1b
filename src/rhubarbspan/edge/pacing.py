"""When the store is called: how long a watch waits and the pauses between two calls."""

import random

from ..platform.records import INSTANCE_PREFIX, OPERATOR_PREFIX, SERVER_PREFIX
from ..platform.settings import Bounds
from ..policies import InstanceAge, RouteAge
from ..systems.store_eras import is_restored_lately, rewritten_s
from ..world import World
from .mirror import Mirror

# Well under the shortest bound (2.5 s for a new configuration to be in force): a watch
# whose connection has become silent is detected only when its wait is over.
WATCH_WAIT_S = 1.6
# Time that a confirmation of the configuration takes to the instances that do not watch
# the store themselves.
CONFIRMATION_WAY_S = 1.0
MIN_WATCH_WAIT_S = 0.2
# Servers report often, so that a watch on them returns at once. The pause limits the
# number of calls; the pause and the wait limit the age of a report. It is a fraction of
# the time for which a leaving server may still get requests.
SERVERS_PAUSE_FRACTION = 0.36
# Where a reading is passed on to other instances, the way there and their queues take
# part of the same time: on a day with 84 instances one of them sent a request to a
# leaving server 2 ms after the bound.
FORWARDED_PAUSE_FRACTION = 0.5
# Instances exchange heartbeats; the list is needed only to discover new ones.
INSTANCES_WAIT_S = 5.0
INSTANCES_PAUSE_S = 1.0
# Delay of a watch and of the message that passes its result on.
LISTING_MARGIN_S = 0.6
# Watches that end when what a restore lost is written again end this much later.
REWRITE_MARGIN_S = 0.01


def servers_pause_s(bounds: Bounds) -> float:
    """Return the pause between two watches of the servers."""
    return SERVERS_PAUSE_FRACTION * bounds.leaving_s


def max_promises_s(bounds: Bounds) -> dict[str, float]:
    """Return the longest promises of a next reading to rely on, by prefix.

    They are those that this instance would make as the reader, so that another's
    settings do not make it miss its own bounds.
    """
    pause_s = FORWARDED_PAUSE_FRACTION * servers_pause_s(bounds)
    return {SERVER_PREFIX: WATCH_WAIT_S + pause_s}


def max_listing_gap_s(bounds: Bounds) -> float:
    """Return the longest time between two readings of the servers, with a margin."""
    return WATCH_WAIT_S + servers_pause_s(bounds) + LISTING_MARGIN_S


def is_rewritten_since(world: World, mirror: Mirror, now_s: float) -> bool:
    """Return whether the store has lacked something since the copy was read.

    A complete reading of the operator's values confirms the configuration at once.
    """
    if mirror.prefix != OPERATOR_PREFIX or not mirror.era:
        return False
    return mirror.read_s < rewritten_s(world) <= now_s


def watch_wait_s(
    world: World, mirror: Mirror, now_s: float, are_eras_named: bool
) -> float:
    """Return how long to watch, at most until what a restore lost is rewritten.

    If a store that can be restored fails, the newest confirmation of any instance
    has to last until it confirms again. So the instances do not all confirm at the
    same time.
    """
    wait_s = mirror.wait_s
    is_operator = mirror.prefix == OPERATOR_PREFIX
    if is_operator:
        wait_s = min(wait_s, _confirming_wait_s(world))
    if is_operator and mirror.is_in_step and are_eras_named:
        wait_s *= random.random()
    if is_restored_lately(world, now_s):
        wait_s = min(wait_s, rewritten_s(world) - now_s + REWRITE_MARGIN_S)
    return wait_s


def _confirming_wait_s(world: World) -> float:
    """Return how long a watch may wait so that the configuration stays confirmed.

    What a watch confirms is as old as its request, and the next one confirms more only
    at its end.
    """
    match world.policies.config_age:
        case RouteAge():
            return WATCH_WAIT_S
        case InstanceAge(max_age_s=max_age_s):
            return max(MIN_WATCH_WAIT_S, (max_age_s - CONFIRMATION_WAY_S) / 2)


def pause_s(world: World, mirror: Mirror) -> float:
    """Return the pause until the next call of the store for a copy."""
    if mirror.prefix == INSTANCE_PREFIX:
        return INSTANCES_PAUSE_S
    if mirror.prefix != SERVER_PREFIX:
        return 0.0
    fraction = FORWARDED_PAUSE_FRACTION if world.is_two_level else 1.0
    return fraction * world.policies.servers_pause_s
