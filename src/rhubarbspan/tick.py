"""The tick: runs every system once, in a fixed order."""

from collections.abc import Callable

from .effects import Effects
from .inputs import Inbox, Input
from .systems.admission import admit_requests
from .systems.claiming import claim_requests
from .systems.departure import depart
from .systems.dispatch import dispatch_requests
from .systems.expiry import expire_requests
from .systems.health import watch_servers
from .systems.intake import take_in_requests
from .systems.lending import lend_slots
from .systems.limit_sharing import share_limits
from .systems.membership import track_peers
from .systems.outcomes import settle_attempts
from .systems.quarantine import update_suspects
from .systems.revisions import put_revisions_in_force
from .systems.steering import steer
from .world import World

System = Callable[[World, float, Inbox], Effects]

SYSTEMS: tuple[System, ...] = (
    put_revisions_in_force,
    track_peers,
    watch_servers,
    update_suspects,
    settle_attempts,
    expire_requests,
    take_in_requests,
    share_limits,
    admit_requests,
    claim_requests,
    lend_slots,
    dispatch_requests,
    steer,
    depart,
)


def run_tick(world: World, now_s: float, inputs: list[Input]) -> Effects:
    """Run all systems over the inputs and the deadlines that are due.

    Args:
        world: The tables, changed in place.
        now_s: The present time.
        inputs: What arrived since the last tick, in order.

    Returns:
        What the edge has to do, in order.
    """
    inbox = Inbox([*inputs, *world.deadlines.pop_due(now_s)])
    effects: Effects = []
    for system in SYSTEMS:
        effects.extend(system(world, now_s, inbox))
    return effects
