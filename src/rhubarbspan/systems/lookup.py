"""Chooses the instances that a caller should use, by the caller's location."""

from ..world import World
from .share_ownership import startup_s
from .steering import usable_seats
from .store_eras import is_restored_lately

NEVER_S = -1e9


def find_addresses(
    world: World, now_s: float, region: str, caller_data_centre: str
) -> list[str]:
    """List the addresses of instances for a caller; empty if no instance is usable.

    Callers use the instances of their own data centre, else those of their region,
    else all others; moving few callers at a time keeps regions from being overloaded.
    An instance that has just started may not spend its share of the limits yet, so in
    the caller's region it is listed only if there is no other.

    Args:
        world: The tables.
        now_s: The present time.
        region: Region of the caller.
        caller_data_centre: Data centre of the caller.
    """
    seats = usable_seats(world)
    in_region = seats.get(region, [])
    data_centres = {row.seat: row.data_centre for row in world.peers.rows()}
    data_centres[world.identity.seat] = world.identity.data_centre
    spending = [
        target for target in in_region if _can_spend_tokens(world, now_s, target.seat)
    ]
    in_region = spending or in_region
    own = [
        target
        for target in in_region
        if data_centres.get(target.seat) == caller_data_centre
    ]
    if own:
        return [target.address for target in own]
    if in_region:
        return [target.address for target in in_region]
    return [target.address for targets in seats.values() for target in targets]


def is_ready(world: World, now_s: float) -> bool:
    """Return whether this instance has a configuration and may spend its tokens.

    An instance that is leaving is not ready. One that has just read a store that may
    have been restored is ready once its configuration is confirmed: it would refuse all
    keys.
    """
    if world.configuration.revision == 0 or world.departure is not None:
        return False
    is_confirmed = world.configuration_state.confirmed_s > NEVER_S
    if is_restored_lately(world, now_s) and not is_confirmed:
        return False
    return _can_spend_tokens(world, now_s, world.identity.seat)


def _can_spend_tokens(world: World, now_s: float, seat: str) -> bool:
    """Return whether an instance has been up for long enough to spend its tokens."""
    if not world.configuration.client_accounts:
        return True
    if seat == world.identity.seat:
        return now_s - world.started_s >= startup_s(world)
    peer = world.peers.get(seat)
    return peer is not None and now_s - peer.started_s >= startup_s(world)
