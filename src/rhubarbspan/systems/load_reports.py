"""Keeps the load and the speed that backend servers report, and tells peers of them.

In a large fleet most reports of a server go to other instances. Heartbeats tell them
inside a data centre, for servers that report the speed of their machine: those change
many times a second, and an instance that sends them little hears of it too late.
"""

from dataclasses import replace

from ..inputs import ServerLoadReported
from ..record_checks import MAX_SLOWDOWN, MIN_SLOWDOWN
from ..tables.objects import server_digest
from ..tables.servers import LoadRow, ServerRow
from ..world import World
from .avoidance import N_MAX_TOLD_REJECTIONS, record_rejections
from .slowdowns import current_slowdown, record_slowdown

# Requests beyond its slots that a server may get; they wait inside the server.
N_MAX_WAITING_IN_SERVER = 3
# A load report counts less with its age, and from this age on not at all.
LOAD_REPORT_MAX_AGE_S = 1.0
# A load that has not changed is told again after this time, before it counts little.
RETELL_S = 0.5 * LOAD_REPORT_MAX_AGE_S
# Servers that a heartbeat tells of, which bounds its length; the latest go first.
N_MAX_TOLD = 256
# Servers whose reports leave out the request that they answer report no request at all
# when they have no other. A smaller fraction of such reports comes from servers that
# misreport; servers that are seldom idle then count with one request too few.
MIN_IDLE_FRACTION = 0.05
# More requests than this are implausible on one server.
N_MAX_REQUESTS = 1e6


def record_load(world: World, now_s: float, load: ServerLoadReported) -> None:
    """Record the load that a server reported in a response to this instance."""
    row = world.servers.get(load.server_id)
    if row is None:
        return
    world.servers.never_used.pop(row.server_id, None)
    n_all = load.n_running + load.n_waiting
    n_own = len(row.running)
    row.others_reported_s = now_s
    if load.slowdown is None:
        row.n_others = max(0.0, float(n_all - n_own))
        return
    if n_own:
        # The request that is answered, or refused, is no longer there.
        n_own -= 1
        if not load.is_refusal and _is_answered_counted(world, row.pool, n_all):
            n_all = max(0, n_all - 1)
    row.n_others = max(0.0, float(n_all - n_own))
    record_slowdown(world, row, load.slowdown, now_s)
    world.servers.speed_pools.add(row.pool)
    n_rejections = 0
    if load.is_refusal and load.n_running < load.n_slots and not load.n_waiting:
        n_rejections = 1
        record_rejections(world, now_s, row, 1)
    _keep_unsent(world, row, LoadRow(n_all, load.slowdown, now_s, n_rejections))


def _is_answered_counted(world: World, pool: str, n_all: int) -> bool:
    """Return whether the reports of a pool's servers count the request they answer.

    Otherwise peers would be told one request too many, or the own one would be taken
    off twice. It is learned from the reports.
    """
    servers = world.servers
    servers.n_answers[pool] += 1
    servers.n_idle_answers[pool] += n_all == 0
    return servers.n_idle_answers[pool] < MIN_IDLE_FRACTION * servers.n_answers[pool]


def record_full(world: World, now_s: float, row: ServerRow, n_slots: int) -> None:
    """Record that a server rejected a request as full, and said no load with it."""
    if not reports_speed(world, row.pool) or row.others_reported_s >= now_s:
        return
    n_all = n_slots + N_MAX_WAITING_IN_SERVER
    slowdown = current_slowdown(world, row, now_s)
    row.n_others = max(0.0, float(n_all - len(row.running)))
    row.others_reported_s = now_s
    _keep_unsent(world, row, LoadRow(n_all, slowdown, now_s))


def _keep_unsent(world: World, row: ServerRow, load: LoadRow) -> None:
    unsent = world.servers.unsent_loads
    earlier = unsent.pop(row.server_id, None)
    if earlier is not None and earlier.n_rejections:
        load = replace(load, n_rejections=load.n_rejections + earlier.n_rejections)
    unsent[row.server_id] = load


def reports_speed(world: World, pool: str) -> bool:
    """Return whether servers of a pool have reported the speed of their machines."""
    return pool in world.servers.speed_pools


def estimate_others(world: World, row: ServerRow, now_s: float) -> float:
    """Estimate the requests on a server that this instance did not send.

    The reported number counts less the older the report is. Where servers report the
    speed of their machines, the estimate from the instances' counts takes its place,
    or the mean of the pool's reports if no counts are told; otherwise nothing.
    """
    if row.pool in world.servers.counted_pools:
        mean = row.counted_others
    else:
        mean = world.servers.mean_others.get(row.pool, 0.0)
    age_s = now_s - row.others_reported_s
    if age_s >= LOAD_REPORT_MAX_AGE_S:
        return mean
    return mean + (row.n_others - mean) * (1.0 - age_s / LOAD_REPORT_MAX_AGE_S)


def update_mean_others(world: World, now_s: float, pool: str) -> None:
    """Update the mean of the other instances' requests on a server, by load reports.

    It counts only while no instance tells its requests in flight. Without it, servers
    of unknown load would count as idle: in a fleet that has few idle slots, instances
    would send them more than they can queue.
    """
    oldest_s = now_s - LOAD_REPORT_MAX_AGE_S
    reported = [
        row.n_others
        for row in world.servers.of_pool(pool)
        if row.others_reported_s > oldest_s
    ]
    if reported:
        world.servers.mean_others[pool] = sum(reported) / len(reported)
    else:
        world.servers.mean_others.pop(pool, None)


def take_loads(world: World, now_s: float) -> dict[int, list[float]]:
    """Remove and return the loads that wait to be told, by digest of the server.

    Left out are those that peers still know: the same was told a short time ago.
    """
    told: dict[int, list[float]] = {}
    servers = world.servers
    for server_id, load in reversed(servers.unsent_loads.items()):
        row = servers.get(server_id)
        age_s = now_s - load.reported_s
        if row is None or age_s >= LOAD_REPORT_MAX_AGE_S or len(told) >= N_MAX_TOLD:
            continue
        earlier = row.told_load
        is_same = not load.n_rejections and (earlier.n_all, earlier.slowdown) == (
            load.n_all,
            load.slowdown,
        )
        if is_same and load.reported_s - earlier.reported_s < RETELL_S:
            continue
        row.told_load = load
        digest = server_digest(server_id)
        told[digest] = [load.n_all, round(load.slowdown, 2), round(age_s, 3)]
        if load.n_rejections:
            told[digest].append(load.n_rejections)
    servers.unsent_loads.clear()
    return told


def apply_loads(world: World, now_s: float, told: dict[int, list[float]]) -> None:
    """Apply the loads that a peer tells, unless a newer one is known."""
    for digest, figures in told.items():
        row = world.servers.by_digest(digest)
        if row is None or len(figures) not in (3, 4):
            continue
        n_all, slowdown, age_s = figures[:3]
        n_rejections = figures[3] if len(figures) > 3 else 0.0
        if 0 < n_rejections <= N_MAX_TOLD_REJECTIONS:
            record_rejections(world, now_s, row, int(n_rejections))
        is_plausible = (
            0 <= n_all <= N_MAX_REQUESTS and MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN
        )
        reported_s = now_s - max(0.0, age_s)
        if not is_plausible or reported_s <= row.others_reported_s:
            continue
        row.n_others = max(0.0, n_all - len(row.running))
        row.others_reported_s = reported_s
        if reported_s > row.slowdown_s:
            record_slowdown(world, row, slowdown, reported_s)
        world.servers.speed_pools.add(row.pool)
        world.servers.never_used.pop(row.server_id, None)
