"""Chooses the instances that a caller should use, from where the caller is."""

from ..world import World
from .steering import usable_seats


def find_addresses(world: World, region: str, data_centre: str) -> list[str]:
    """List the addresses of instances for a caller, none if no instance is known.

    Callers use the instances of their own data centre, else those of their region,
    else all others; moving few callers at a time keeps regions from being overloaded.
    """
    seats = usable_seats(world)
    near = seats.get(region, [])
    places = {row.seat: row.data_centre for row in world.peers.rows()}
    places[world.identity.seat] = world.identity.data_centre
    own = [target for target in near if places.get(target.seat) == data_centre]
    if own:
        return [target.address for target in own]
    if near:
        return [target.address for target in near]
    return [target.address for targets in seats.values() for target in targets]
