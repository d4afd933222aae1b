"""Counts the requests in flight at backend servers, by pool and region of the servers.

Load reports come from servers that have just answered, which are mostly busy ones: as
the load of servers without a report their mean is too high, and requests were refused
while half of the slots were idle. The requests that the instances themselves have in
flight have no such bias. Heartbeats tell those of an instance, summaries those of a
data centre.
"""

from ..configuration import Pool
from ..peer_messages import InFlight
from ..tables.data_centres import DataCentreRow
from ..tables.peers import PeerRow
from ..tables.servers import ServerRow
from ..world import World
from .confirmations import UNHEARD_AFTER_S
from .fleet_layout import local_peers
from .load_reports import N_MAX_REQUESTS, N_MAX_WAITING_IN_SERVER
from .slots import is_available
from .told_uses import recent_uses

# Summaries of a data centre that are older than this no longer count.
SUMMARY_MAX_AGE_S = UNHEARD_AFTER_S

# Requests in flight by region of the servers.
Counts = dict[str, float]


def count_own(world: World) -> InFlight | None:
    """Count the own requests in flight, None while no server has reported its speed.

    Servers that are leaving are left out, as in the utilisation.
    """
    if not world.servers.speed_pools:
        return None
    return _count_running(world.servers.rows())


def _count_running(servers: list[ServerRow]) -> InFlight:
    counts: InFlight = {}
    for server in servers:
        if server.running and not server.is_leaving:
            by_region = counts.setdefault(server.pool, {})
            n_before = by_region.get(server.region, 0.0)
            by_region[server.region] = n_before + len(server.running)
    return counts


def count_data_centre(world: World) -> InFlight | None:
    """Count the requests in flight of the own data centre, for its summary."""
    own = count_own(world)
    if own is None:
        return None
    told = [own, *(row.in_flight for row in local_peers(world) if row.is_alive)]
    pools = {pool for counts in told if counts is not None for pool in counts}
    return {
        pool: {
            region: round(n, 1)
            for region, n in _sum_counts([_of_pool(c, pool) for c in told]).items()
        }
        for pool in sorted(pools)
    }


def apply_peer_counts(row: PeerRow, in_flight: InFlight | None) -> None:
    """Keep the counts that a heartbeat tells; without any, the peer's are unknown."""
    row.in_flight = _without_implausible(in_flight)


def apply_summary_counts(
    row: DataCentreRow, as_of_s: float, in_flight: InFlight | None
) -> None:
    """Keep the counts that a summary tells, unless newer ones are known.

    One without counts does not replace those of the data centre's other relay.
    """
    counts = _without_implausible(in_flight)
    if counts is not None and as_of_s >= row.in_flight_s:
        row.in_flight = counts
        row.in_flight_s = as_of_s


def _without_implausible(in_flight: InFlight | None) -> InFlight | None:
    """Return counts that a message tells, or None if any of them is not plausible."""
    for by_region in (in_flight or {}).values():
        if any(not 0 <= n <= N_MAX_REQUESTS for n in by_region.values()):
            return None
    return in_flight


def update_counted_others(world: World, now_s: float, pool: Pool) -> bool:
    """Estimate the other instances' requests on each server of a pool.

    Those in flight in a region are divided over its servers by the requests that the
    instances told of lately, one more for each server: with the same number for all,
    the servers of popular objects get more than they can queue.

    Returns:
        Whether any other instance tells counts.
    """
    uses: dict[str, float] = {}
    n_uses: Counts = {}
    n_places: Counts = {}
    usable: list[ServerRow] = []
    for server in world.servers.of_pool(pool.name):
        if server.is_leaving or not is_available(server, now_s):
            continue
        if server.avoided_until_s > now_s:
            continue
        region = server.region
        n_slots = server.n_slots or pool.n_slots_per_server
        usable.append(server)
        uses[server.server_id] = 1.0 + recent_uses(server, now_s)
        n_uses[region] = n_uses.get(region, 0.0) + uses[server.server_id]
        n_places[region] = n_places.get(region, 0) + n_slots + N_MAX_WAITING_IN_SERVER
    others = _count_others(world, now_s, pool.name, n_places)
    if others is None:
        world.servers.counted_pools.discard(pool.name)
        return False
    world.servers.counted_pools.add(pool.name)
    for server in usable:
        part = uses[server.server_id] / n_uses[server.region]
        server.counted_others = part * others.get(server.region, 0.0)
    return True


def _count_others(
    world: World, now_s: float, pool: str, n_places: Counts
) -> Counts | None:
    """Count the requests of all other instances on a pool's servers, by region.

    Args:
        world: The tables.
        now_s: The present time.
        pool: Name of the pool.
        n_places: Requests that the servers of each region may get from one instance.

    Returns:
        The counts, or None if no other instance tells any.
    """
    own_data_centre = world.identity.data_centre
    alive: dict[str, list[PeerRow]] = {own_data_centre: []}
    for row in world.peers.rows():
        if row.is_alive or row.is_listed:
            rows = alive.setdefault(row.data_centre, [])
            if row.is_alive:
                rows.append(row)
    own = _count_running(world.servers.of_pool(pool)).get(pool, {})
    local = _told_by(alive.pop(own_data_centre), pool, n_places)
    all_local = _sum_counts([own, *local])
    told = [
        _of_data_centre(world, now_s, name, rows, pool, n_places)
        for name, rows in alive.items()
    ]
    if all(counts is None for counts in (*local, *told)):
        return None
    if all(counts is None for counts in told):
        # While no other data centre tells any, each counts as the own one.
        told = [all_local] * len(told)
    total = _sum_counts(told)
    for region, n in all_local.items():
        total[region] = total.get(region, 0.0) + n - own.get(region, 0.0)
    return total


def _of_data_centre(
    world: World,
    now_s: float,
    name: str,
    alive: list[PeerRow],
    pool: str,
    n_places: Counts,
) -> Counts | None:
    """Return the counts of another data centre, or None if they are not known."""
    row = world.data_centres.rows.get(name)
    if row is not None and now_s - row.in_flight_s < SUMMARY_MAX_AGE_S:
        n_max = {region: n * max(1, len(alive)) for region, n in n_places.items()}
        counts = _of_pool(row.in_flight, pool)
        if _is_plausible(counts, n_max):
            return counts
    # In a small fleet its instances send heartbeats themselves.
    told = _told_by(alive, pool, n_places)
    if all(counts is None for counts in told):
        return None
    return _sum_counts(told)


def _told_by(rows: list[PeerRow], pool: str, n_places: Counts) -> list[Counts | None]:
    """Return the counts of each instance, None if it tells none that are plausible."""
    told = [
        # Counts from before an instance sent its last heartbeat are outdated.
        None if row.is_summarised else _of_pool(row.in_flight, pool)
        for row in rows
    ]
    return [counts if _is_plausible(counts, n_places) else None for counts in told]


def _of_pool(in_flight: InFlight | None, pool: str) -> Counts | None:
    return None if in_flight is None else in_flight.get(pool, {})


def _is_plausible(counts: Counts | None, n_max: Counts) -> bool:
    """Return whether counts are known, and no more than the servers could get."""
    return counts is not None and all(
        n <= n_max.get(region, n) for region, n in counts.items()
    )


def _sum_counts(told: list[Counts | None]) -> Counts:
    """Sum counts by region. One that is missing counts as the mean of the others."""
    known = [counts for counts in told if counts is not None]
    total: Counts = {}
    for counts in known:
        for region, n in counts.items():
            total[region] = total.get(region, 0.0) + n
    factor = len(told) / max(1, len(known))
    return {region: n * factor for region, n in total.items()}
