"""Sends each request to the server with the least expected cost.

A server that has recently handled a request's object is warm for it: it responds
several times faster than a cold one and holds a slot for a shorter time. The cost of
a server is the expected time until its response, plus a charge for the time in the
slot, which other requests cannot use meanwhile, and one for the object that a cold
server evicts. Instances tell each other which servers they use for which objects, see
``object_sharing``. All rank the servers of an object in the same order (rendezvous
hashing), so that they agree on a server also before they have told each other.
"""

import math
from dataclasses import dataclass, field
from functools import lru_cache

from ..configuration import Pool, RouteKind
from ..effects import Effects, LogRequest, StartAttempt
from ..inputs import Timer
from ..tables.objects import (
    N_MAX_RANKINGS,
    RankingRow,
    ServiceTimesRow,
    UtilisationRow,
    object_digest,
)
from ..tables.queues import QueueRow
from ..tables.requests import RequestRow, RequestState
from ..tables.servers import ServerRow
from ..verdict import NotRun, Reason
from ..world import World
from .availability import book_return, earliest_usable_s, return_delay_s
from .avoidance import is_avoided
from .bucketing import rendezvous_score
from .completion import fail_request
from .fleet_layout import known_seats
from .load_counts import update_counted_others
from .load_reports import (
    LOAD_REPORT_MAX_AGE_S,
    N_MAX_WAITING_IN_SERVER,
    estimate_others,
    reports_speed,
    update_mean_others,
)
from .object_sharing import record_use
from .quarantine import is_quarantined, must_wait, record_start
from .queue_order import (
    Judgement,
    best_work,
    count_account,
    is_by_cost,
    judge,
    make_work,
    record_offered,
    sort_waiting,
)
from .queueing import pop_next_request, undo_pop
from .rebalancing import capped_regions, record_sent
from .region_share import stays_home
from .scheduling import cannot_meet_deadline, time_until_worth
from .slots import is_available
from .slowdowns import current_slowdown

# Cost, as seconds of response time, of each rank further down an object's ranking.
COST_PER_RANK_S = 0.005
# Cost of an object that a server evicts, as a fraction of the time that a warm server
# saves, and the time since its last request in which the cost falls to a third: the
# object may be asked for again.
EVICTION_COST_FRACTION = 0.6
EVICTION_RECALL_S = 8.0
# Cost, as seconds of response time, of each second in a slot: it delays the requests
# that wait for the slot.
SLOT_WEIGHT = 0.5
# Time to and from a server of another region, or of another data centre of the own
# region, without the cost of the bytes.
OTHER_REGION_ROUND_TRIP_S = 0.05
OTHER_DATA_CENTRE_ROUND_TRIP_S = 0.005
# Cost of the own region, as seconds of response time, while its fraction of the
# requests must not grow.
CAPPED_REGION_COST_S = 0.3
# Cost of the own region, as seconds of response time, for objects that it leaves to
# other regions.
AWAY_COST_S = 0.3
# Cost, as seconds of response time, of each byte that crosses data centres. It matters
# for uploads.
BYTE_COST_S = 1.5e-5
# Fraction of the latency objective for which a request may wait in the queue.
MAX_WAIT_FRACTION = 0.2
# Utilisation of a pool from which on its slots count as scarce.
SCARCE_SLOTS_UTILISATION = 0.8
# Utilisation from which on requests go to warm servers only: a request to a cold one
# is late and holds its slot three times as long. The limit is higher for urgent
# requests and for objects that no server of the pool is warm for.
COLD_RUN_MAX_UTILISATION = 0.85
URGENT_COLD_RUN_MAX_UTILISATION = 1.0
# Fraction of the latency objective within which the response must be expected while
# slots are scarce. It is larger for urgent requests, so that others are refused first.
SCARCE_SLOTS_OBJECTIVE_FRACTION = 0.75
URGENT_SCARCE_SLOTS_OBJECTIVE_FRACTION = 1.0
# How long a computed utilisation is reused.
UTILISATION_CACHE_S = 0.1
NO_LIMIT_S = float("inf")
# Service times assumed until the first response, as fractions of the latency objective.
INITIAL_WARM_OBJECTIVE_FRACTION = 0.5
INITIAL_COLD_OBJECTIVE_FRACTION = 1.0
COLD_RATE_WINDOW_S = 1.0
# Choices of the instance that sends a server its first request, enough for the servers
# that a large fleet starts with.
N_CACHED_SENDERS = 2048


@dataclass(slots=True)
class Candidate:
    """A server that a request may be sent to, with the expected cost.

    Attributes:
        server: The server.
        cost_s: Cost by which servers are compared, as seconds of response time.
        is_warm: Whether the server has recently handled the request's object.
        expected_s: Expected time until the response.
        service_s: Expected time in a slot.
        n_ahead: Estimated requests that have to end before this one gets a slot.
        warm_depth: Objects that the server handled since it handled the request's,
            None if it is not known to have handled it.
    """

    server: ServerRow
    cost_s: float
    is_warm: bool
    expected_s: float
    service_s: float
    n_ahead: float
    warm_depth: int | None = None


@dataclass(slots=True)
class _Search:
    """The search for the server of one request.

    Attributes:
        key: Digest of the request's object, or 0.
        max_expected_s: Longest expected time until the response that is acceptable.
        capped: Regions whose fraction of the requests must not grow.
        service: Service times to expect.
        stays_home: Whether the servers of the own region are to be preferred.
        best: Best candidate so far.
        best_unavailable: Best so far of those that failed probes or were ejected.
        cold_known: Servers that handled the object, but are cold for it now.
    """

    key: int
    max_expected_s: float
    capped: frozenset[str]
    service: ServiceTimesRow
    stays_home: bool = True
    best: Candidate | None = None
    best_unavailable: Candidate | None = None
    cold_known: dict[str, Candidate] = field(default_factory=dict)


def place_requests(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    """Send each waiting request to its best server, refuse it, or keep it queued.

    It is kept queued only if a slot may become free in time.
    """
    effects: Effects = []
    waiting: list[RequestRow] = []
    while (row := pop_next_request(world, queue)) is not None:
        waiting.append(row)
    sort_waiting(world, now_s, pool, waiting)
    by_cost = is_by_cost(world, pool)
    deferred: list[RequestRow] = []
    for row in waiting:
        if is_quarantined(world, now_s, row.fingerprint):
            verdict = row.last_verdict or NotRun(Reason.QUARANTINED)
            effects += fail_request(world, now_s, row, verdict)
            continue
        if must_wait(world, now_s, row):
            deferred.append(row)
            continue
        judgement = None
        if by_cost and _is_hopeless(world, now_s, queue, row):
            verdict = row.last_verdict or NotRun(Reason.NO_SERVER)
            figures = {"deadline_left_s": round(row.deadline_s - now_s, 3)}
            retry_s = _forecast_return_s(world, now_s, pool, queue, row)
            effects += fail_request(world, now_s, row, verdict, retry_s, figures)
            continue
        candidate = find_candidate(world, now_s, pool, row, by_cost)
        if by_cost and candidate is not None:
            judgement = _judge_candidate(world, now_s, pool, queue, row, candidate)
        if candidate is not None and (judgement is None or judgement.is_worth_it):
            figures = judgement.figures() if judgement else {}
            effects += _start_attempt(
                world, now_s, pool, queue, row, candidate, figures
            )
            if by_cost:
                count_account(queue, now_s, row.account, 0.0, 1.0)
        elif not _may_be_placed_later(world, now_s, row):
            verdict = row.last_verdict or NotRun(Reason.NO_SERVER)
            if by_cost:
                retry_s = _forecast_return_s(world, now_s, pool, queue, row)
            else:
                unused_wait_s = max(0.0, _wait_until_s(row) - now_s)
                retry_s = return_delay_s(world, now_s, row, unused_wait_s)
            figures = judgement.figures() if judgement else {}
            effects += fail_request(world, now_s, row, verdict, retry_s, figures)
        else:
            deferred.append(row)
            world.deadlines.arm(_wait_until_s(row), Timer.SERVER, pool.name)
    for row in reversed(deferred):
        undo_pop(queue, row)
    return effects


def _is_hopeless(world: World, now_s: float, queue: QueueRow, row: RequestRow) -> bool:
    """Return whether no server can respond before the deadline, idle or not."""
    work = best_work(world, now_s, row)
    if not row.is_counted:
        row.is_counted = True
        if work.expected_s > 0:
            record_offered(queue, work)
        count_account(queue, now_s, row.account, 1.0, 0.0)
    return work.expected_s > 0 and cannot_meet_deadline(work)


def _forecast_return_s(
    world: World, now_s: float, pool: Pool, queue: QueueRow, row: RequestRow
) -> float:
    """Return the time after which the caller of a refused request may return."""
    work = best_work(world, now_s, row)
    utilisation = measure_utilisation(world, now_s, pool, row.regions)
    free_s = time_until_worth(work, utilisation, queue.mean_density)
    return book_return(world, now_s, queue, row, free_s, work.expected_s)


def _judge_candidate(
    world: World,
    now_s: float,
    pool: Pool,
    queue: QueueRow,
    row: RequestRow,
    candidate: Candidate,
) -> Judgement | None:
    """Decide whether a request is worth the slot time on its best server.

    Assumed service times are no reason to refuse a request.
    """
    if not world.objects.service_times_of(row.route.name).is_measured:
        return None
    work = make_work(row, now_s, candidate.expected_s, candidate.service_s)
    utilisation = measure_utilisation(world, now_s, pool, row.regions)
    return judge(queue, row.account, work, utilisation)


def _may_be_placed_later(world: World, now_s: float, row: RequestRow) -> bool:
    until_s = _wait_until_s(row)
    if now_s >= until_s:
        return False
    return earliest_usable_s(world, now_s, row, row.tried) < until_s


def _wait_until_s(row: RequestRow) -> float:
    return min(
        row.deadline_s, row.queued_s + MAX_WAIT_FRACTION * row.route.latency_objective_s
    )


def find_candidate(
    world: World, now_s: float, pool: Pool, row: RequestRow, by_cost: bool = False
) -> Candidate | None:
    """Return the server with the least expected cost, or None if none qualifies.

    A server that failed probes or was ejected is a candidate only if no other is.

    Args:
        world: The tables.
        now_s: The present time.
        pool: The pool.
        row: The request.
        by_cost: Whether the price of slots decides which requests are sent while they
            are scarce, instead of a fraction of the objective.
    """
    never_used_candidate = _find_never_used(world, now_s, pool, row)
    if never_used_candidate is not None:
        return never_used_candidate
    utilisation = measure_utilisation(world, now_s, pool, row.regions)
    is_urgent = _is_urgent(world, row)
    search = _Search(
        warm_key(row),
        _max_expected_s(world, now_s, row, utilisation, is_urgent, by_cost),
        capped_regions(world, now_s) if row.regions is None else frozenset(),
        _expected_service(world, pool, row),
        row.regions is not None or stays_home(world, now_s, pool, warm_key(row)),
    )
    # Only servers that are known to have handled the object can be warm. In a large
    # pool few have, so that those are tried first.
    known = list(world.objects.servers_of_object.get((pool.name, search.key), ()))
    for server_id in known:
        _try_server(world, now_s, pool, row, search, server_id, 0)
    if not _may_run_cold(world, pool, row, search.key, utilisation, is_urgent):
        return search.best or search.best_unavailable
    for rank, server_id in enumerate(_rank_servers(world, pool.name, row)):
        least_s = search.service.cold_s * (1 + SLOT_WEIGHT) + rank * COST_PER_RANK_S
        if search.best is not None and search.best.cost_s <= least_s:
            # No server further down the ranking costs less.
            break
        if server_id not in known:
            _try_server(world, now_s, pool, row, search, server_id, rank)
        elif search.cold_known.get(server_id) is not None:
            _keep_better(search, search.cold_known[server_id], rank, now_s)
    return search.best or search.best_unavailable


def _may_run_cold(
    world: World,
    pool: Pool,
    row: RequestRow,
    key: int,
    utilisation: float,
    is_urgent: bool,
) -> bool:
    """Return whether a request may be sent to a server that is cold for its object."""
    if not row.arrived.object_key:
        return True
    max_utilisation = (
        URGENT_COLD_RUN_MAX_UTILISATION if is_urgent else COLD_RUN_MAX_UTILISATION
    )
    if not world.objects.is_warm_in_pool(pool.name, key):
        max_utilisation = URGENT_COLD_RUN_MAX_UTILISATION
    return utilisation < max_utilisation


def _try_server(
    world: World,
    now_s: float,
    pool: Pool,
    row: RequestRow,
    search: _Search,
    server_id: str,
    rank: int,
) -> None:
    """Evaluate a server, and keep it if it is the best so far."""
    server = world.servers.get(server_id)
    if server is None or server_id in row.tried or server.is_leaving:
        return
    if is_avoided(server, now_s):
        return
    if row.regions is not None and server.region not in row.regions:
        return
    is_capped = server.region in search.capped
    if is_capped and server.region != world.identity.region:
        return
    candidate = _evaluate_server(world, now_s, pool, row, server, search)
    if candidate is None or candidate.expected_s > search.max_expected_s:
        return
    if server.region == world.identity.region and not search.stays_home:
        candidate.cost_s += AWAY_COST_S
    if is_capped:
        # Only the own region gets this far. The cost makes its traffic return in
        # steps, but requests aren't refused for it.
        candidate.cost_s += CAPPED_REGION_COST_S
    if candidate.is_warm:
        _keep_better(search, candidate, 0, now_s)
    elif candidate.warm_depth is not None and rank == 0:
        # The server handled the object, but not lately: it competes by its rank.
        search.cold_known[server_id] = candidate
    else:
        _keep_better(search, candidate, rank, now_s)


def _keep_better(
    search: _Search, candidate: Candidate, rank: int, now_s: float
) -> None:
    candidate.cost_s += rank * COST_PER_RANK_S
    if not is_available(candidate.server, now_s):
        best = search.best_unavailable
        if best is None or candidate.cost_s < best.cost_s:
            search.best_unavailable = candidate
    elif search.best is None or candidate.cost_s < search.best.cost_s:
        search.best = candidate


def _expected_service(world: World, pool: Pool, row: RequestRow) -> ServiceTimesRow:
    """Return the service times to expect, also before any was measured."""
    service = world.objects.service_times_of(row.route.name)
    general = world.objects.service_times_of(pool.name)
    objective_s = row.route.latency_objective_s
    warm_s = (
        service.warm_s
        or general.warm_s
        or INITIAL_WARM_OBJECTIVE_FRACTION * objective_s
    )
    cold_s = (
        service.cold_s
        or general.cold_s
        or INITIAL_COLD_OBJECTIVE_FRACTION * objective_s
    )
    if row.arrived.object_key:
        cold_s = max(warm_s, cold_s)
    return ServiceTimesRow(warm_s, cold_s)


def measure_utilisation(
    world: World, now_s: float, pool: Pool, regions: frozenset[str] | None
) -> float:
    """Return the requests in flight on a pool's servers divided by their slots.

    Where the instances tell their requests in flight, these are summed; otherwise the
    servers' load reports are.

    Args:
        world: The tables.
        now_s: The current time.
        pool: The pool.
        regions: The regions whose servers count, or None for all.
    """
    key = (pool.name, regions)
    cached = world.objects.utilisations.get(key)
    if cached is not None and now_s - cached.measured_s < UTILISATION_CACHE_S:
        return cached.fraction
    n_in_flight = 0.0
    n_slots = 0.0
    oldest_s = now_s - LOAD_REPORT_MAX_AGE_S
    update_load_means(world, now_s, pool)
    is_counted = pool.name in world.servers.counted_pools
    has_mean = pool.name in world.servers.mean_others
    for server in world.servers.of_pool(pool.name):
        if server.is_leaving or not is_available(server, now_s):
            continue
        if server.avoided_until_s > now_s:
            continue
        if regions is not None and server.region not in regions:
            continue
        n_slots += (server.n_slots or pool.n_slots_per_server) / current_slowdown(
            world, server, now_s
        )
        if server.running:
            n_in_flight += len(server.running)
        if is_counted:
            n_in_flight += server.counted_others
        elif server.others_reported_s > oldest_s or has_mean:
            n_in_flight += estimate_others(world, server, now_s)
    fraction = n_in_flight / n_slots if n_slots else 0.0
    world.objects.utilisations[key] = UtilisationRow(now_s, fraction)
    return fraction


def update_load_means(world: World, now_s: float, pool: Pool) -> None:
    """Update what is estimated of the other instances' requests on a pool's servers.

    Only servers that report the speed of their machines have such an estimate.
    """
    if not reports_speed(world, pool.name):
        return
    if update_counted_others(world, now_s, pool):
        world.servers.mean_others.pop(pool.name, None)
    else:
        update_mean_others(world, now_s, pool.name)


def _is_urgent(world: World, row: RequestRow) -> bool:
    """Return whether some route of the same pool is less urgent."""
    return row.priority < world.rules.lowest_priorities.get(row.route.pool, 0)


def _max_expected_s(
    world: World,
    now_s: float,
    row: RequestRow,
    utilisation: float,
    is_urgent: bool,
    by_cost: bool,
) -> float:
    """Return the longest expected time until the response that is acceptable."""
    remaining_s = row.deadline_s - now_s
    if not world.objects.service_times_of(row.route.name).is_measured:
        # Assumed service times are no reason to refuse a request.
        return NO_LIMIT_S
    if utilisation < SCARCE_SLOTS_UTILISATION or by_cost:
        return remaining_s
    fraction = (
        URGENT_SCARCE_SLOTS_OBJECTIVE_FRACTION
        if is_urgent
        else SCARCE_SLOTS_OBJECTIVE_FRACTION
    )
    objective_s = row.route.latency_objective_s
    spent_s = now_s - row.arrived_s
    return min(remaining_s, max(0.0, fraction * objective_s - spent_s))


def _find_never_used(
    world: World, now_s: float, pool: Pool, row: RequestRow
) -> Candidate | None:
    """Return a never used server that this instance is to send the first request.

    No request would prefer a server that is warm for no object, so a server that joins
    would stay idle. One instance sends it a first request, one that may be repeated.
    """
    if row.route.kind is not RouteKind.IDEMPOTENT or row.tried:
        return None
    if not world.servers.never_used:
        return None
    senders = _first_senders(world)
    own_seat = world.identity.seat
    for server_id in world.servers.never_used:
        server = world.servers.get(server_id)
        if server is None or server.pool != pool.name or server.is_leaving:
            continue
        if row.regions is not None and server.region not in row.regions:
            continue
        if not is_available(server, now_s) or server.running:
            continue
        if is_avoided(server, now_s):
            continue
        seats = senders.get(server.region) or senders[None]
        if own_seat in seats and _choose_first_sender(server_id, seats) == own_seat:
            service = _expected_service(world, pool, row)
            search = _Search(warm_key(row), NO_LIMIT_S, frozenset(), service)
            candidate = _evaluate_server(world, now_s, pool, row, server, search)
            if candidate is not None:
                return candidate
    return None


def _first_senders(world: World) -> dict[str | None, tuple[str, ...]]:
    """Return the live instances by region; None stands for all regions.

    One of them sends a server its first request, an instance of the server's region if
    one is alive there.
    """
    own_identity = world.identity
    rows = [(peer.region, peer.seat) for peer in world.peers.alive()]
    rows.append((own_identity.region, own_identity.seat))
    by_region: dict[str, list[str]] = {}
    for region, seat in rows:
        by_region.setdefault(region, []).append(seat)
    senders: dict[str | None, tuple[str, ...]] = {
        region: tuple(seats) for region, seats in by_region.items()
    }
    senders[None] = tuple(seat for _, seat in rows)
    return senders


@lru_cache(N_CACHED_SENDERS)
def _choose_first_sender(server_id: str, seats: tuple[str, ...]) -> str:
    """Return the seat of the instance that sends a server its first request."""
    return max(seats, key=lambda seat: rendezvous_score(server_id, seat))


def _evaluate_server(
    world: World,
    now_s: float,
    pool: Pool,
    row: RequestRow,
    server: ServerRow,
    search: _Search,
) -> Candidate | None:
    """Return a server's cost, without that of its rank, or None if it is full."""
    n_slots = server.n_slots or pool.n_slots_per_server
    warm_s, cold_s = search.service.warm_s, search.service.cold_s
    n_in_flight = len(server.running) + estimate_others(world, server, now_s)
    if n_in_flight >= n_slots + N_MAX_WAITING_IN_SERVER or server.shed_until_s > now_s:
        return None
    factor = 1.0
    if _may_have_restarted(world, now_s, server):
        server.cold_until_s = max(server.cold_until_s, now_s + pool.ramp_s)
    if now_s < server.cold_until_s:
        if not _may_send_to_cold(world, now_s, pool, server):
            return None
        factor = 2.0
    key = search.key
    depth = world.objects.depth_of(server.server_id, key) if key else None
    is_warm = depth is not None and depth < world.objects.memory_of(pool.name).n_objects
    slowdown = current_slowdown(world, server, now_s)
    service_s = (warm_s if is_warm else cold_s) * factor * slowdown
    n_ahead = max(0.0, n_in_flight + 1 - n_slots)
    wait_s = n_ahead * warm_s * slowdown / n_slots
    expected_s = wait_s + service_s + _round_trip_s(world, server)
    cost_s = expected_s + service_s * SLOT_WEIGHT + _bytes_cost_s(world, row, server)
    if key and not is_warm:
        cost_s += _eviction_cost_s(world, now_s, server, cold_s - warm_s)
    return Candidate(server, cost_s, is_warm, expected_s, service_s, n_ahead, depth)


def _eviction_cost_s(
    world: World, now_s: float, server: ServerRow, saved_s: float
) -> float:
    """Return the cost of the object that a server evicts for another one.

    Args:
        world: The tables.
        now_s: The present time.
        server: The server, which is cold for the other object.
        saved_s: Time that a warm server saves.
    """
    used_s = world.objects.next_evicted_s(server.server_id)
    if used_s is None:
        return 0.0
    idle_s = max(0.0, now_s - used_s)
    return EVICTION_COST_FRACTION * saved_s * math.exp(-idle_s / EVICTION_RECALL_S)


def _may_have_restarted(world: World, now_s: float, server: ServerRow) -> bool:
    """Return whether a server may have restarted in an outage of the store.

    Nothing tells of the restart of a server that got no requests meanwhile.
    """
    listed_s = world.servers_listed_s
    is_overdue = now_s - listed_s > world.policies.max_listing_gap_s
    return is_overdue and server.last_success_s < listed_s


def warm_key(row: RequestRow) -> int:
    """Return the digest under which a server is warm for a request, or 0.

    Servers are warm for an object by route: an order for an object does not speed up
    a look-up of the same object.
    """
    if not row.arrived.object_key:
        return 0
    return object_digest(row.route.name, row.arrived.object_key)


def _round_trip_s(world: World, server: ServerRow) -> float:
    """Return the network time to a server and back."""
    own_identity = world.identity
    if server.data_centre == own_identity.data_centre:
        return 0.0
    return (
        OTHER_DATA_CENTRE_ROUND_TRIP_S
        if server.region == own_identity.region
        else OTHER_REGION_ROUND_TRIP_S
    )


def _bytes_cost_s(world: World, row: RequestRow, server: ServerRow) -> float:
    """Return the cost of the body's bytes if they cross data centres.

    The cost is not part of the expected time.
    """
    if server.data_centre == world.identity.data_centre:
        return 0.0
    return BYTE_COST_S * max(0, row.arrived.n_body_bytes)


def _may_send_to_cold(
    world: World, now_s: float, pool: Pool, server: ServerRow
) -> bool:
    """Return whether a cold server may get one more request from this instance.

    The requests per second that a cold server may get are divided equally over the
    instances. If that leaves less than one request each, some instances may send one;
    all instances agree on which.
    """
    policies = world.policies
    rate_per_s = pool.cold_rate_per_s * policies.cold_overage + policies.cold_slack
    seats = known_seats(world)
    n_allowed = int(rate_per_s / (1 + len(seats)))
    if n_allowed < 1:
        own_score = rendezvous_score(server.server_id, world.identity.seat)
        n_before = sum(rendezvous_score(server.server_id, s) > own_score for s in seats)
        if n_before >= max(1, int(rate_per_s)):
            return False
        n_allowed = 1
    server.last_sends_s = [
        s for s in server.last_sends_s if s > now_s - COLD_RATE_WINDOW_S
    ]
    return len(server.last_sends_s) < n_allowed


def _rank_servers(world: World, pool: str, row: RequestRow) -> list[str]:
    """Return the identifiers of a pool's servers, ranked for the request's object."""
    key = row.arrived.object_key or str(row.request_id)
    cached = world.objects.rankings.get((pool, key))
    if cached is not None and cached.version == world.servers.version:
        return cached.server_ids
    scores = {
        server.server_id: rendezvous_score(key, server.server_id)
        for server in world.servers.of_pool(pool)
    }
    server_ids = sorted(scores, key=scores.__getitem__)
    ranking = RankingRow(world.servers.version, server_ids)
    if row.arrived.object_key:
        if len(world.objects.rankings) >= N_MAX_RANKINGS:
            world.objects.rankings.clear()
        world.objects.rankings[pool, key] = ranking
    return ranking.server_ids


def _start_attempt(
    world: World,
    now_s: float,
    pool: Pool,
    queue: QueueRow,
    row: RequestRow,
    candidate: Candidate,
    figures: dict[str, float],
) -> Effects:
    server = candidate.server
    queue.n_queued -= 1
    world.requests.move(row, RequestState.RUNNING)
    row.n_attempts += 1
    row.server_id = server.server_id
    row.sent_s = now_s
    row.slowdown = current_slowdown(world, server, now_s)
    row.was_warm = candidate.is_warm
    row.warm_depth = candidate.warm_depth
    row.n_ahead = candidate.n_ahead
    server.running[row.request_id] = row.n_attempts
    record_sent(world, now_s, server.region)
    world.servers.never_used.pop(server.server_id, None)
    server.last_sends_s.append(now_s)
    del server.last_sends_s[:-16]
    if row.arrived.object_key:
        record_use(world, now_s, pool.name, server, warm_key(row))
    record_start(world, row)
    world.count("attempts", queue.pool)
    line = LogRequest(
        "sent",
        row.arrived.caller_request_id,
        {
            "server": server.server_id,
            "region": server.region,
            "incarnation": server.incarnation,
            "attempt": row.n_attempts,
            "object": row.arrived.object_key,
            "is_warm": candidate.is_warm,
            "warm_depth": -1 if candidate.warm_depth is None else candidate.warm_depth,
            "n_objects_kept": world.objects.memory_of(pool.name).n_objects,
            "cost_s": round(candidate.cost_s, 4),
            "n_running": len(server.running),
            "n_others": round(estimate_others(world, server, now_s), 2),
            "others_age_s": round(min(now_s - server.others_reported_s, 1e6), 3),
            "slowdown": round(row.slowdown, 2),
            "waited_s": round(now_s - row.arrived_s, 4),
            **figures,
        },
    )
    attempt = StartAttempt(
        row.request_id,
        row.n_attempts,
        server.server_id,
        server.address,
        max(0.001, row.deadline_s - now_s),
        account=row.account,
        is_idempotent=row.route.kind is RouteKind.IDEMPOTENT,
        incarnation=server.incarnation,
    )
    return [attempt, line]
