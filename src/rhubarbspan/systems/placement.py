"""Places requests on the servers that are likely to answer them soonest.

A server that has lately handled a request's object answers it several times faster
than one that has not, and holds a slot for a shorter time. Requests therefore go to
the server with the least expected time until the answer, in which a slot that is held
longer counts as a cost to others. Instances rank the servers of an object in the same
order without talking (rendezvous hashing), so that they warm up the same ones.
"""

from dataclasses import dataclass, replace

from ..configuration import Pool, RouteKind
from ..effects import Effects, LogRequest, StartAttempt
from ..inputs import Timer
from ..tables.objects import N_MAX_RANKINGS, RankingRow, UtilisationRow
from ..tables.queues import QueueRow
from ..tables.requests import RequestRow, RequestState
from ..tables.servers import ServerRow
from ..verdict import NotRun, Reason
from ..world import World
from .bucketing import rendezvous_score
from .completion import fail_request
from .queueing import next_waiting, put_back
from .slots import is_available
from .spreading import held_regions, note_sent
from .suspicion import is_quarantined, must_wait, note_start

# Expected cost, in seconds of waiting, of a place further down an object's ranking.
RANK_COST_S = 0.02
# Time until the answer that a second in the slot is worth to the requests behind.
SLOT_WEIGHT = 0.5
# Cost of crossing a region and a data centre, besides the bytes.
OTHER_REGION_S = 0.05
OTHER_PLACE_S = 0.005
# Cost of the own region while no larger part of the requests should run there.
HELD_COST_S = 0.3
# Cost of a byte that crosses data centres; uploads are what it is for.
BYTE_S = 1.5e-6
# Requests beyond the slots that may wait inside a server.
MAX_WAITING = 3
# Part of the latency objective for which a request may wait here.
WAIT_FRACTION = 0.2
# How long a server's word on its load is worth something.
LOAD_MEMORY_S = 1.0
# Part of a pool's slots in use above which slots are short.
SHORT_UTILISATION = 0.8
# Part in use above which no server is made to learn an object: such a run is late and
# takes the slot for three times as long. Urgent requests may do so for longer.
LEARNING_UTILISATION = 0.85
URGENT_LEARNING_UTILISATION = 1.0
# Part of the latency objective within which the answer must be expected while slots
# are short; urgent requests may wait longer, so that others are refused first.
SHORT_FRACTION = 0.75
URGENT_SHORT_FRACTION = 1.0
# How long a measured utilisation is used again.
UTILISATION_S = 0.05
NO_LIMIT_S = float("inf")
# Times taken for granted until the first answer, as parts of the objective.
FIRST_WARM = 0.5
FIRST_COLD = 1.0
COLD_WINDOW_S = 1.0
RETRY_AFTER_S = 0.4


@dataclass(frozen=True, slots=True)
class Place:
    """A server with the expected cost of sending a request there."""

    server: ServerRow
    cost_s: float
    is_warm: bool
    expected_s: float
    n_ahead: float


def place_requests(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    """Send each waiting request to its best server, refuse it, or let it wait."""
    effects: Effects = []
    waiting: list[RequestRow] = []
    while (row := next_waiting(world, queue)) is not None:
        waiting.append(row)
    waiting.sort(key=lambda row: (row.priority, row.arrived_s))
    left: list[RequestRow] = []
    for row in waiting:
        if is_quarantined(world, now_s, row.fingerprint):
            verdict = row.last_verdict or NotRun(Reason.QUARANTINED)
            effects += fail_request(world, now_s, row, verdict)
            continue
        if must_wait(world, now_s, row):
            left.append(row)
            continue
        place = find_place(world, now_s, pool, row)
        if place is not None:
            effects += _start(world, now_s, pool, queue, row, place)
        elif now_s >= _wait_until_s(row):
            verdict = row.last_verdict or NotRun(Reason.NO_SERVER)
            retry_s = RETRY_AFTER_S * (0.5 + world.rng.random())
            effects += fail_request(world, now_s, row, verdict, retry_s)
        else:
            left.append(row)
            world.deadlines.arm(_wait_until_s(row), Timer.SERVER, pool.name)
    for row in reversed(left):
        put_back(queue, row)
    return effects


def _wait_until_s(row: RequestRow) -> float:
    return min(
        row.deadline_s, row.queued_s + WAIT_FRACTION * row.route.latency_objective_s
    )


def find_place(world: World, now_s: float, pool: Pool, row: RequestRow) -> Place | None:
    """Find the server with the least expected cost, or None if none has room."""
    untried = _find_untried(world, now_s, pool, row)
    if untried is not None:
        return untried
    best: Place | None = None
    best_suspect: Place | None = None
    utilisation = measure_utilisation(world, now_s, pool, row.regions)
    is_urgent = _is_urgent(world, row)
    limit_s = _limit_s(world, now_s, row, utilisation, is_urgent)
    learning = URGENT_LEARNING_UTILISATION if is_urgent else LEARNING_UTILISATION
    if not world.objects.is_warm_in_pool(pool.name, memory_key(row)):
        learning = URGENT_LEARNING_UTILISATION
    may_learn = utilisation < learning or not row.arrived.object_key
    held = held_regions(world, now_s) if row.regions is None else frozenset()
    for rank, server_id in enumerate(_ranking(world, pool.name, row)):
        server = world.servers.get(server_id)
        if server is None or server_id in row.tried or server.is_leaving:
            continue
        if row.regions is not None and server.region not in row.regions:
            continue
        if server.region in held and server.region != world.identity.region:
            continue
        place = _judge(world, now_s, pool, row, server, rank)
        if place is None or place.expected_s > limit_s:
            continue
        if server.region in held:
            # Requests that come back home do so by steps, but are not refused for it.
            place = replace(place, cost_s=place.cost_s + HELD_COST_S)
        if not place.is_warm and not may_learn:
            continue
        if not is_available(server, now_s):
            if best_suspect is None or place.cost_s < best_suspect.cost_s:
                best_suspect = place
        elif best is None or place.cost_s < best.cost_s:
            best = place
    return best or best_suspect


def measure_utilisation(
    world: World, now_s: float, pool: Pool, regions: frozenset[str] | None
) -> float:
    """Return the requests at a pool's servers divided by their slots.

    Args:
        world: The tables.
        now_s: The present time.
        pool: The pool.
        regions: The regions whose servers count, or None for all.
    """
    key = (pool.name, regions)
    known = world.objects.utilisations.get(key)
    if known is not None and now_s - known.measured_s < UTILISATION_S:
        return known.fraction
    n_there = 0.0
    n_slots = 0
    for server in world.servers.of_pool(pool.name):
        if server.is_leaving or not is_available(server, now_s):
            continue
        if regions is not None and server.region not in regions:
            continue
        n_slots += server.n_slots or pool.n_slots_per_server
        n_there += len(server.running) + _n_others(server, now_s)
    fraction = n_there / n_slots if n_slots else 0.0
    world.objects.utilisations[key] = UtilisationRow(now_s, fraction)
    return fraction


def _is_urgent(world: World, row: RequestRow) -> bool:
    """Tell whether less urgent requests use the same pool."""
    return row.priority < world.rules.lowest_priorities.get(row.route.pool, 0)


def _limit_s(
    world: World,
    now_s: float,
    row: RequestRow,
    utilisation: float,
    is_urgent: bool,
) -> float:
    """Return within which time the answer must be expected."""
    remaining_s = row.deadline_s - now_s
    if not world.objects.service_times_of(row.route.name).is_measured:
        # A guess is no reason to refuse.
        return NO_LIMIT_S
    if utilisation < SHORT_UTILISATION:
        return remaining_s
    fraction = URGENT_SHORT_FRACTION if is_urgent else SHORT_FRACTION
    objective_s = row.route.latency_objective_s
    spent_s = now_s - row.arrived_s
    return min(remaining_s, max(0.0, fraction * objective_s - spent_s))


def _find_untried(
    world: World, now_s: float, pool: Pool, row: RequestRow
) -> Place | None:
    """Find a server that has not got any request, to be tried by this instance.

    No request would prefer a server that knows no object, so that one that joins
    would stay idle. One instance tries each, with a request that may be repeated.
    """
    if row.route.kind is not RouteKind.IDEMPOTENT or row.tried:
        return None
    for server_id in world.servers.never_used:
        server = world.servers.get(server_id)
        if server is None or server.pool != pool.name or server.is_leaving:
            continue
        if row.regions is not None and server.region not in row.regions:
            continue
        if not is_available(server, now_s) or server.running:
            continue
        if _trier(world, server) == world.identity.seat:
            place = _judge(world, now_s, pool, row, server, 0)
            if place is not None:
                return place
    return None


def _trier(world: World, server: ServerRow) -> str:
    """Return the instance that tries a server: one of its region if there is one."""
    me = world.identity
    rows = [(peer.region, peer.seat) for peer in world.peers.alive()]
    rows.append((me.region, me.seat))
    near = [seat for region, seat in rows if region == server.region]
    seats = near or [seat for _, seat in rows]
    return max(seats, key=lambda seat: rendezvous_score(server.server_id, seat))


def _judge(
    world: World,
    now_s: float,
    pool: Pool,
    row: RequestRow,
    server: ServerRow,
    rank: int,
) -> Place | None:
    n_slots = server.n_slots or pool.n_slots_per_server
    n_there = len(server.running) + _n_others(server, now_s)
    if n_there >= n_slots + MAX_WAITING or server.shed_until_s > now_s:
        return None
    factor = 1.0
    if now_s < server.cold_until_s:
        if not _may_use_cold(world, now_s, pool, server):
            return None
        factor = 2.0
    service = world.objects.service_times_of(row.route.name)
    general = world.objects.service_times_of(pool.name)
    objective_s = row.route.latency_objective_s
    warm_s = service.warm_s or general.warm_s or FIRST_WARM * objective_s
    cold_s = service.cold_s or general.cold_s or FIRST_COLD * objective_s
    cold_s = cold_s if not row.arrived.object_key else max(warm_s, cold_s)
    is_warm = _is_warm(world, row, server)
    service_s = (warm_s if is_warm else cold_s) * factor
    n_ahead = max(0.0, n_there + 1 - n_slots)
    wait_s = n_ahead * warm_s / n_slots
    distance_s = _distance_s(world, server)
    expected_s = wait_s + service_s + distance_s
    cost_s = expected_s + service_s * SLOT_WEIGHT + rank * RANK_COST_S
    cost_s += _bytes_cost_s(world, row, server)
    return Place(server, cost_s, is_warm, expected_s, n_ahead)


def _is_warm(world: World, row: RequestRow, server: ServerRow) -> bool:
    key = memory_key(row)
    return bool(key) and world.objects.is_warm(server.server_id, key)


def memory_key(row: RequestRow) -> str:
    """Return what a server has to remember for the request to be a fast one.

    Servers remember an object for each route apart: having answered an order says
    nothing about a look-up of the same object.
    """
    if not row.arrived.object_key:
        return ""
    return f"{row.route.name}/{row.arrived.object_key}"


def _distance_s(world: World, server: ServerRow) -> float:
    """Return the time that the way to a server and back takes."""
    me = world.identity
    if server.data_centre == me.data_centre:
        return 0.0
    return OTHER_PLACE_S if server.region == me.region else OTHER_REGION_S


def _bytes_cost_s(world: World, row: RequestRow, server: ServerRow) -> float:
    """Return what the bytes cost that cross data centres: no time, but a price."""
    if server.data_centre == world.identity.data_centre:
        return 0.0
    return BYTE_S * max(0, row.arrived.n_body_bytes)


def _n_others(server: ServerRow, now_s: float) -> float:
    """Estimate how many requests of others a server has; old words count less."""
    age_s = now_s - server.others_reported_s
    return server.n_others * max(0.0, 1.0 - age_s / LOAD_MEMORY_S)


def _may_use_cold(world: World, now_s: float, pool: Pool, server: ServerRow) -> bool:
    """Tell whether a cold server may get one more request from this instance.

    Each instance has an equal part of what the server bears in a second. If that is
    less than one request, some instances may send one, the same ones in all views.
    """
    policies = world.policies
    rate_per_s = pool.cold_rate_per_s * policies.cold_overage + policies.cold_slack
    seats = [peer.seat for peer in world.peers.alive()]
    n_allowed = int(rate_per_s / (1 + len(seats)))
    if n_allowed < 1:
        own = rendezvous_score(server.server_id, world.identity.seat)
        n_before = sum(rendezvous_score(server.server_id, s) > own for s in seats)
        if n_before >= max(1, int(rate_per_s)):
            return False
        n_allowed = 1
    server.last_sends_s = [s for s in server.last_sends_s if s > now_s - COLD_WINDOW_S]
    return len(server.last_sends_s) < n_allowed


def _ranking(world: World, pool: str, row: RequestRow) -> list[str]:
    """Return the pool's servers in the order of the request's object."""
    key = row.arrived.object_key or str(row.request_id)
    known = world.objects.rankings.get((pool, key))
    if known is not None and known.version == world.servers.version:
        return known.server_ids
    rows = world.servers.of_pool(pool)
    rows.sort(key=lambda server: rendezvous_score(key, server.server_id))
    ranking = RankingRow(world.servers.version, [server.server_id for server in rows])
    if row.arrived.object_key:
        if len(world.objects.rankings) >= N_MAX_RANKINGS:
            world.objects.rankings.clear()
        world.objects.rankings[pool, key] = ranking
    return ranking.server_ids


def _start(
    world: World,
    now_s: float,
    pool: Pool,
    queue: QueueRow,
    row: RequestRow,
    place: Place,
) -> Effects:
    server = place.server
    queue.n_queued -= 1
    world.requests.move(row, RequestState.RUNNING)
    row.n_attempts += 1
    row.server_id = server.server_id
    row.sent_s = now_s
    row.was_warm = place.is_warm
    row.n_ahead = place.n_ahead
    server.running[row.request_id] = row.n_attempts
    note_sent(world, now_s, server.region)
    world.servers.never_used.pop(server.server_id, None)
    server.last_sends_s.append(now_s)
    del server.last_sends_s[:-16]
    if row.arrived.object_key:
        world.objects.record_handled(pool.name, server.server_id, memory_key(row))
    note_start(world, row)
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
            "is_warm": place.is_warm,
            "cost_s": round(place.cost_s, 4),
            "n_running": len(server.running),
            "n_others": round(_n_others(server, now_s), 2),
            "others_age_s": round(min(now_s - server.others_reported_s, 1e6), 3),
            "waited_s": round(now_s - row.arrived_s, 4),
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
    )
    return [attempt, line]
