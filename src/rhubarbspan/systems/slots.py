"""Assigns backend servers' slots to instances, and counts usable and free slots."""

import math

from ..configuration import Pool
from ..inputs import Timer
from ..tables.servers import ServerRow
from ..world import World
from .load_reports import record_full

# Consecutive failed probes after which a server gets no new requests, unless a request
# succeeded there within RECENT_SUCCESS_S.
N_PROBES_TO_FAIL = 3
RECENT_SUCCESS_S = 2.0
# How long a server gets no more requests after it shed one.
SHED_PAUSE_S = 0.1


def assign_servers(world: World) -> None:
    """Update which servers' slots this instance assigns to requests.

    The servers of a region are assigned round robin to the instances that are alive
    there, and those of a region without such an instance to all instances. Two
    instances may disagree for as long as a heartbeat takes; the servers then queue or
    shed the excess requests.
    """
    seats_by_region = _seats_by_region(world)
    basis = (world.servers.version, list(world.configuration.pools), seats_by_region)
    if basis == world.owned_basis:
        return
    world.owned_basis = basis
    all_seats = sorted(seat for seats in seats_by_region.values() for seat in seats)
    by_pool_and_region: dict[tuple[str, str], list[ServerRow]] = {}
    for row in world.servers.rows():
        by_pool_and_region.setdefault((row.pool, row.region), []).append(row)
    world.owned = {pool: [] for pool in world.configuration.pools}
    for (pool, region), rows in by_pool_and_region.items():
        seats = seats_by_region.get(region) or all_seats
        rows.sort(key=lambda row: row.server_id)
        for number, row in enumerate(rows):
            if seats and seats[number % len(seats)] == world.identity.seat:
                world.owned.setdefault(pool, []).append(row)


def _seats_by_region(world: World) -> dict[str, list[str]]:
    seats: dict[str, list[str]] = {}
    remaining = [peer for peer in world.peers.alive() if not peer.is_leaving]
    # An instance that leaves gives up its servers if another instance remains.
    if world.departure is None or not remaining:
        seats[world.identity.region] = [world.identity.seat]
    for peer in remaining:
        seats.setdefault(peer.region, []).append(peer.seat)
    return {region: sorted(names) for region, names in seats.items()}


def owned_servers(world: World, pool: str) -> list[ServerRow]:
    """List the servers of a pool whose slots this instance assigns to requests."""
    return world.owned.get(pool, [])


def is_available(row: ServerRow, now_s: float) -> bool:
    """Return whether a server may get new requests, however many slots it has."""
    if row.is_leaving or row.ejected_until_s > now_s:
        return False
    if row.n_failed_probes < N_PROBES_TO_FAIL:
        return True
    return now_s - row.last_success_s < RECENT_SUCCESS_S


def n_usable_slots(row: ServerRow, pool: Pool, now_s: float) -> int:
    """Count the slots of a server that instances may use now.

    The number ramps up after a server's start. Slots that clients other than instances
    use are left to them, but one slot stays usable unless the server sheds, so that a
    wrong load report cannot put a server out of use.
    """
    if not is_available(row, now_s):
        return 0
    n_slots = pool.n_slots_per_server
    age_s = now_s - row.cold_since_s
    if age_s < pool.ramp_s:
        n_slots = max(1, math.ceil(n_slots * age_s / pool.ramp_s))
    n_foreign = max(0, round(row.n_foreign))
    return max(1, n_slots - n_foreign)


def record_shed(world: World, now_s: float, row: ServerRow) -> None:
    """Record that a server shed a request: its other slots count as in use."""
    pool = world.configuration.pools.get(row.pool)
    if pool is not None:
        n_others = pool.n_slots_per_server - len(row.running) - row.n_lent
        row.n_foreign = max(row.n_foreign, float(n_others))
        n_slots = row.n_slots or pool.n_slots_per_server
        record_full(world, now_s, row, n_slots)
    row.shed_until_s = max(row.shed_until_s, now_s + SHED_PAUSE_S)
    world.deadlines.arm(row.shed_until_s, Timer.SERVER, row.pool)


def n_free_slots(row: ServerRow, pool: Pool, now_s: float) -> int:
    """Count the slots of a server that are free for a request now."""
    if row.shed_until_s > now_s:
        return 0
    usable = n_usable_slots(row, pool, now_s)
    return max(0, usable - len(row.running) - row.n_lent)


def region_slots(world: World, pool: Pool, now_s: float) -> int:
    """Count the usable slots of the own region, own ones and those peers report."""
    n_slots = sum(
        n_usable_slots(row, pool, now_s) for row in owned_servers(world, pool.name)
    )
    for peer in world.peers.alive():
        load = peer.loads.get(pool.name)
        if load is not None and peer.region == world.identity.region:
            n_slots += load.n_slots
    return n_slots
