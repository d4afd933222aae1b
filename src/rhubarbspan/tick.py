"""Runs every system once per tick, in a fixed order."""

from collections.abc import Callable

from .effects import Effects
from .inputs import Inbox, Input
from .systems.admission import admit_requests
from .systems.announcements import record_announcements
from .systems.claiming import claim_requests
from .systems.config_age import refuse_unconfirmed
from .systems.departure import exit_when_idle, leave_fleet
from .systems.dispatch import dispatch_requests
from .systems.expiry import expire_requests
from .systems.health import watch_servers
from .systems.intake import receive_requests
from .systems.lending import lend_slots
from .systems.limit_sharing import share_limits
from .systems.membership import track_peers
from .systems.outcomes import handle_ended_attempts
from .systems.peer_links import renew_peer_links
from .systems.quarantine import update_suspects
from .systems.regions import apply_regions
from .systems.relaying import relay_heartbeats
from .systems.revisions import apply_revisions
from .systems.server_handover import hand_over_servers
from .systems.steering import steer
from .systems.store_eras import track_store_era
from .systems.store_readers import share_store_reads
from .systems.summaries import exchange_summaries
from .world import World

System = Callable[[World, float, Inbox], Effects]

SYSTEMS: tuple[System, ...] = (
    track_store_era,
    apply_revisions,
    apply_regions,
    track_peers,
    relay_heartbeats,
    exchange_summaries,
    renew_peer_links,
    share_store_reads,
    record_announcements,
    watch_servers,
    hand_over_servers,
    update_suspects,
    handle_ended_attempts,
    expire_requests,
    refuse_unconfirmed,
    receive_requests,
    share_limits,
    admit_requests,
    claim_requests,
    lend_slots,
    leave_fleet,
    dispatch_requests,
    steer,
    exit_when_idle,
)


def run_tick(world: World, now_s: float, inputs: list[Input]) -> Effects:
    """Run all systems over the inputs and the deadlines that have passed.

    Args:
        world: The tables, changed in place.
        now_s: The present time.
        inputs: Inputs since the last tick, in order of arrival.

    Returns:
        The effects that the edge has to carry out, in order.
    """
    inbox = Inbox([*inputs, *world.deadlines.pop_due(now_s)])
    effects: Effects = []
    for system in SYSTEMS:
        effects.extend(system(world, now_s, inbox))
    world.ticked_s = now_s
    return effects
