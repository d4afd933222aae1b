"""Sends queued requests to backend servers that have a free slot."""

from ..configuration import Pool
from ..effects import Effects, StartAttempt
from ..inputs import Inbox
from ..policies import (
    LeastInFlight,
    ObjectPlacement,
    OwnedSlots,
    RandomChoice,
    TwoChoices,
)
from ..tables.queues import QueueRow
from ..tables.requests import RequestRow, RequestState
from ..tables.servers import ServerRow
from ..tables.slot_loans import BorrowedSlotRow
from ..verdict import NotRun, Reason
from ..world import World
from .completion import fail_request
from .lending import request_slots, return_idle_slots
from .local_claims import mark_claim_used
from .placement import place_requests
from .quarantine import is_quarantined, is_suspect, must_wait, record_start
from .queue_order import best_work, is_by_cost, sort_waiting
from .queueing import longest_lane, pop_next_request, undo_pop
from .scheduling import cannot_meet_deadline
from .shifting import choose_shift, link_between, shift_target
from .slots import is_available, n_free_slots, owned_servers

# Time in the queue after which a request may go to another region.
SPILLOVER_DELAY_S = 0.03
# Time in the queue after which a request that a shift moves to another region may get
# a slot of this instance.
SHIFT_FALLBACK_DELAY_S = 0.3


def dispatch_requests(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Serve the queues of the pools whose requests or slots changed."""
    effects: Effects = []
    for name in world.queues.pop_changed():
        pool = world.configuration.pools.get(name)
        queue = world.queues.queue_of(name)
        if pool is None:
            effects += _refuse_all(world, now_s, name)
            continue
        if isinstance(world.policies.choice, ObjectPlacement):
            effects += place_requests(world, now_s, pool, queue)
            continue
        effects += _serve_queue(world, now_s, pool, queue)
        effects += _refuse_excess(world, now_s, pool, queue)
        effects += _request_slots(world, now_s, pool, queue)
        effects += return_idle_slots(world, now_s, name)
    return effects


def _refuse_all(world: World, now_s: float, pool: str) -> Effects:
    effects: Effects = []
    for row in world.requests.in_state(RequestState.QUEUED):
        if row.route.pool == pool:
            effects += fail_request(world, now_s, row, NotRun(Reason.UNKNOWN_ROUTE))
    return effects


def _serve_queue(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    effects: Effects = []
    skipped: list[RequestRow] = []
    servers = _candidate_servers(world, now_s, pool)
    slots = _idle_borrowed_slots(world, now_s, pool)
    n_free = sum(n_free_slots(row, pool, now_s) for row in servers)
    ordered: list[RequestRow] | None = None
    if is_by_cost(world, pool):
        ordered = _pop_by_cost(world, now_s, pool, queue)
    while queue.n_queued > len(skipped) and (n_free > 0 or slots):
        if ordered is None:
            row = pop_next_request(world, queue)
        else:
            row = ordered.pop() if ordered else None
        if row is None:
            break
        if ordered is not None and cannot_meet_deadline(best_work(world, now_s, row)):
            figures = {"deadline_left_s": round(row.deadline_s - now_s, 3)}
            verdict = row.last_verdict or NotRun(Reason.NO_SERVER)
            effects += fail_request(world, now_s, row, verdict, inputs=figures)
            continue
        if is_quarantined(world, now_s, row.fingerprint):
            verdict = row.last_verdict or NotRun(Reason.QUARANTINED)
            effects += fail_request(world, now_s, row, verdict)
            continue
        if must_wait(world, now_s, row):
            skipped.append(row)
            continue
        if not row.shift:
            row.shift = choose_shift(world, now_s, row)
        slot = _choose_borrowed_slot(world, now_s, row, slots)
        server = None if slot else _choose_server(world, now_s, pool, row, servers)
        if slot is not None:
            slots.remove(slot)
            effects.append(_start_on_borrowed(world, now_s, queue, row, slot))
        elif server is not None:
            n_free -= 1
            effects.append(_start_on_own(world, now_s, queue, row, server))
        else:
            skipped.append(row)
    for row in [*(ordered or []), *reversed(skipped)]:
        undo_pop(queue, row)
    return effects


def _pop_by_cost(
    world: World, now_s: float, pool: Pool, queue: QueueRow
) -> list[RequestRow]:
    """Remove and return all requests of a queue, those to be sent first last."""
    rows: list[RequestRow] = []
    while (row := pop_next_request(world, queue)) is not None:
        rows.append(row)
    sort_waiting(world, now_s, pool, rows)
    rows.reverse()
    return rows


def _candidate_servers(world: World, now_s: float, pool: Pool) -> list[ServerRow]:
    match world.policies.choice:
        case OwnedSlots():
            return owned_servers(world, pool.name)
        case RandomChoice() | TwoChoices() | LeastInFlight() | ObjectPlacement():
            local = world.servers.in_region(pool.name, world.identity.region)
            return [row for row in local if is_available(row, now_s)]


def _choose_server(
    world: World,
    now_s: float,
    pool: Pool,
    row: RequestRow,
    servers: list[ServerRow],
) -> ServerRow | None:
    is_shifted = bool(shift_target(world, row))
    if is_shifted and now_s - row.queued_s < SHIFT_FALLBACK_DELAY_S:
        return None
    eligible = [s for s in servers if s.server_id not in row.tried]
    if is_suspect(world, row.fingerprint):
        eligible = [s for s in eligible if not _is_running_suspect(world, s)]
    match world.policies.choice:
        case OwnedSlots():
            return _choose_most_free(world, now_s, pool, eligible)
        case RandomChoice():
            return world.rng.choice(eligible) if eligible else None
        case TwoChoices():
            pair = world.rng.sample(eligible, min(2, len(eligible)))
            return min(pair, key=lambda s: len(s.running), default=None)
        case LeastInFlight() | ObjectPlacement():
            world.rng.shuffle(eligible)
            return min(eligible, key=lambda s: len(s.running), default=None)


def _choose_most_free(
    world: World, now_s: float, pool: Pool, servers: list[ServerRow]
) -> ServerRow | None:
    """Return the server with the most free slots, or None if none has any.

    Of servers with equally many, one of the own data centre goes first, then the one
    with the lowest failure rate.
    """
    best: ServerRow | None = None
    best_score = (0, False, 0.0)
    for row in servers:
        n_free = n_free_slots(row, pool, now_s)
        if n_free == 0:
            continue
        is_local = row.data_centre == world.identity.data_centre
        score = (n_free, is_local, -row.failure_rate)
        if best is None or score > best_score:
            best = row
            best_score = score
    return best


def _is_running_suspect(world: World, server: ServerRow) -> bool:
    rows = (world.requests.get(request_id) for request_id in server.running)
    return any(row and is_suspect(world, row.fingerprint) for row in rows)


def _idle_borrowed_slots(
    world: World, now_s: float, pool: Pool
) -> list[BorrowedSlotRow]:
    return [
        slot
        for slot in world.slot_loans.borrowed.values()
        if slot.pool == pool.name
        and slot.request_id is None
        and not slot.was_shed
        and slot.until_s > now_s
    ]


def _choose_borrowed_slot(
    world: World, now_s: float, row: RequestRow, slots: list[BorrowedSlotRow]
) -> BorrowedSlotRow | None:
    target = shift_target(world, row)
    own_region = world.identity.region
    for slot in slots:
        if slot.server_id in row.tried:
            continue
        if target and slot.region != target:
            continue
        is_spilled = slot.region != own_region
        if not target and is_spilled and now_s - row.queued_s < SPILLOVER_DELAY_S:
            continue
        return slot
    return None


def _start_on_borrowed(
    world: World,
    now_s: float,
    queue: QueueRow,
    row: RequestRow,
    slot: BorrowedSlotRow,
) -> StartAttempt:
    slot.request_id = row.request_id
    row.slot_key = (slot.owner, slot.owner_incarnation, slot.loan_id)
    link = link_between(world, world.identity.region, slot.region)
    if slot.region != world.identity.region:
        world.count("sent_to_other_region", queue.pool)
    return _start_attempt(world, now_s, queue, row, slot.server_id, slot.address, link)


def _start_on_own(
    world: World, now_s: float, queue: QueueRow, row: RequestRow, server: ServerRow
) -> StartAttempt:
    server.running[row.request_id] = row.n_attempts + 1
    link = link_between(world, world.identity.region, server.region)
    return _start_attempt(
        world, now_s, queue, row, server.server_id, server.address, link
    )


def _start_attempt(
    world: World,
    now_s: float,
    queue: QueueRow,
    row: RequestRow,
    server_id: str,
    address: str,
    link: str,
) -> StartAttempt:
    queue.n_queued -= 1
    world.requests.move(row, RequestState.RUNNING)
    row.n_attempts += 1
    row.server_id = server_id
    row.sent_s = now_s
    mark_claim_used(world, row)
    record_start(world, row)
    world.count("attempts", queue.pool)
    timeout_s = max(0.001, row.deadline_s - now_s)
    return StartAttempt(
        row.request_id, row.n_attempts, server_id, address, timeout_s, link
    )


def _refuse_excess(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    """Refuse the newest requests of the longest lanes while the queue is too long."""
    effects: Effects = []
    while queue.n_queued > pool.n_max_queued:
        lane = longest_lane(queue)
        if lane is None:
            break
        row = world.requests.get(lane.request_ids.pop())
        if not lane.request_ids:
            del queue.lanes[lane.account]
        if row is not None and row.state is RequestState.QUEUED:
            effects += fail_request(world, now_s, row, NotRun(Reason.QUEUE_FULL))
    return effects


def _request_slots(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    """Request slots of other instances for the requests that are still queued."""
    match world.policies.choice:
        case OwnedSlots():
            pass
        case RandomChoice() | TwoChoices() | LeastInFlight() | ObjectPlacement():
            return []
    n_requested = sum(
        request.n_slots
        for request in world.slot_loans.requests.values()
        if request.pool == pool.name
    )
    n_missing = queue.n_queued - n_requested
    if n_missing <= 0:
        return []
    targets = _possible_lenders(world, now_s, pool, queue)
    effects: Effects = []
    for seat, n_offered, is_remote in targets:
        n_slots = min(n_missing, n_offered)
        effects += request_slots(world, now_s, pool.name, n_slots, seat, is_remote)
        n_missing -= n_slots
        if n_missing <= 0:
            break
    return effects


def _possible_lenders(
    world: World, now_s: float, pool: Pool, queue: QueueRow
) -> list[tuple[str, int, bool]]:
    """List the instances that may lend slots, those of the own region first.

    Returns:
        For each instance its seat, the slots to request of it, and whether it is in
        another region.
    """
    loans = world.slot_loans
    requested_seats = {
        request.owner
        for request in loans.requests.values()
        if request.pool == pool.name
    }
    own_region = world.identity.region
    longest_wait_s = _longest_wait_s(world, now_s, queue)
    shifted = _shift_targets(world, queue)
    found: list[tuple[int, float, str, int, bool]] = []
    for peer in world.peers.alive():
        load = peer.loads.get(pool.name)
        is_backing_off = loans.backoff_until_s.get((pool.name, peer.seat), -1e9) > now_s
        if load is None or is_backing_off or peer.seat in requested_seats:
            continue
        is_remote = peer.region != own_region
        may_spill = longest_wait_s >= SPILLOVER_DELAY_S or peer.region in shifted
        if is_remote and not may_spill:
            continue
        n_room = load.n_slots - load.n_used
        if load.n_slots == 0 or (is_remote and n_room <= 0):
            continue
        found.append((is_remote, -n_room, peer.seat, max(1, n_room), is_remote))
    found.sort()
    return [(seat, n_offered, is_remote) for _, _, seat, n_offered, is_remote in found]


def _longest_wait_s(world: World, now_s: float, queue: QueueRow) -> float:
    waits = [0.0]
    for lane in queue.lanes.values():
        row = world.requests.get(lane.request_ids[0]) if lane.request_ids else None
        if row is not None:
            waits.append(now_s - row.queued_s)
    return max(waits)


def _shift_targets(world: World, queue: QueueRow) -> set[str]:
    targets: set[str] = set()
    for lane in queue.lanes.values():
        for request_id in lane.request_ids:
            row = world.requests.get(request_id)
            if row is not None:
                targets.add(shift_target(world, row))
    return targets - {""}
