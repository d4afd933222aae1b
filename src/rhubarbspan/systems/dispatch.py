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
from .lending import ask_for_slots, return_idle_slots
from .local_claims import mark_claim_used
from .placement import place_requests
from .queueing import longest_lane, next_waiting, put_back
from .shifting import choose_shift, link_between, shift_target
from .slots import is_available, n_free_slots, owned_servers
from .suspicion import is_quarantined, is_suspect, must_wait, note_start

SPILL_AFTER_S = 0.03
SHIFT_PATIENCE_S = 0.3


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
        effects += _serve(world, now_s, pool, queue)
        effects += _trim(world, now_s, pool, queue)
        effects += _seek_slots(world, now_s, pool, queue)
        effects += return_idle_slots(world, now_s, name)
    return effects


def _refuse_all(world: World, now_s: float, pool: str) -> Effects:
    effects: Effects = []
    for row in world.requests.in_state(RequestState.QUEUED):
        if row.route.pool == pool:
            effects += fail_request(world, now_s, row, NotRun(Reason.UNKNOWN_ROUTE))
    return effects


def _serve(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    effects: Effects = []
    skipped: list[RequestRow] = []
    servers = _candidates(world, now_s, pool)
    slots = _idle_borrowed(world, now_s, pool)
    n_free = sum(n_free_slots(row, pool, now_s) for row in servers)
    while queue.n_queued > len(skipped) and (n_free > 0 or slots):
        row = next_waiting(world, queue)
        if row is None:
            break
        if is_quarantined(world, now_s, row.fingerprint):
            verdict = row.last_verdict or NotRun(Reason.QUARANTINED)
            effects += fail_request(world, now_s, row, verdict)
            continue
        if must_wait(world, now_s, row):
            skipped.append(row)
            continue
        if not row.shift:
            row.shift = choose_shift(world, now_s, row)
        slot = _pick_borrowed(world, now_s, row, slots)
        server = None if slot else _pick_own(world, now_s, pool, row, servers)
        if slot is not None:
            slots.remove(slot)
            effects.append(_start_on_borrowed(world, now_s, queue, row, slot))
        elif server is not None:
            n_free -= 1
            effects.append(_start_on_own(world, now_s, queue, row, server))
        else:
            skipped.append(row)
    for row in reversed(skipped):
        put_back(queue, row)
    return effects


def _candidates(world: World, now_s: float, pool: Pool) -> list[ServerRow]:
    match world.policies.choice:
        case OwnedSlots():
            return owned_servers(world, pool.name)
        case RandomChoice() | TwoChoices() | LeastInFlight() | ObjectPlacement():
            near = world.servers.in_region(pool.name, world.identity.region)
            return [row for row in near if is_available(row, now_s)]


def _pick_own(
    world: World,
    now_s: float,
    pool: Pool,
    row: RequestRow,
    servers: list[ServerRow],
) -> ServerRow | None:
    is_shifted = bool(shift_target(world, row))
    if is_shifted and now_s - row.queued_s < SHIFT_PATIENCE_S:
        return None
    fit = [s for s in servers if s.server_id not in row.tried]
    if is_suspect(world, row.fingerprint):
        fit = [s for s in fit if not _runs_suspect(world, s)]
    match world.policies.choice:
        case OwnedSlots():
            return _freest(world, now_s, pool, fit)
        case RandomChoice():
            return world.rng.choice(fit) if fit else None
        case TwoChoices():
            pair = world.rng.sample(fit, min(2, len(fit)))
            return min(pair, key=lambda s: len(s.running), default=None)
        case LeastInFlight() | ObjectPlacement():
            world.rng.shuffle(fit)
            return min(fit, key=lambda s: len(s.running), default=None)


def _freest(
    world: World, now_s: float, pool: Pool, servers: list[ServerRow]
) -> ServerRow | None:
    """Choose the server with the most free slots, in the own data centre first."""
    best: ServerRow | None = None
    best_score = (0, False, 0.0)
    for row in servers:
        n_free = n_free_slots(row, pool, now_s)
        if n_free == 0:
            continue
        is_near = row.data_centre == world.identity.data_centre
        score = (n_free, is_near, -row.failure_rate)
        if best is None or score > best_score:
            best = row
            best_score = score
    return best


def _runs_suspect(world: World, server: ServerRow) -> bool:
    rows = (world.requests.get(request_id) for request_id in server.running)
    return any(row and is_suspect(world, row.fingerprint) for row in rows)


def _idle_borrowed(world: World, now_s: float, pool: Pool) -> list[BorrowedSlotRow]:
    return [
        slot
        for slot in world.slot_loans.borrowed.values()
        if slot.pool == pool.name
        and slot.request_id is None
        and not slot.was_shed
        and slot.until_s > now_s
    ]


def _pick_borrowed(
    world: World, now_s: float, row: RequestRow, slots: list[BorrowedSlotRow]
) -> BorrowedSlotRow | None:
    target = shift_target(world, row)
    here = world.identity.region
    for slot in slots:
        if slot.server_id in row.tried:
            continue
        if target and slot.region != target:
            continue
        is_spilled = slot.region != here
        if not target and is_spilled and now_s - row.queued_s < SPILL_AFTER_S:
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
    return _start(world, now_s, queue, row, slot.server_id, slot.address, link)


def _start_on_own(
    world: World, now_s: float, queue: QueueRow, row: RequestRow, server: ServerRow
) -> StartAttempt:
    server.running[row.request_id] = row.n_attempts + 1
    link = link_between(world, world.identity.region, server.region)
    return _start(world, now_s, queue, row, server.server_id, server.address, link)


def _start(
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
    note_start(world, row)
    world.count("attempts", queue.pool)
    timeout_s = max(0.001, row.deadline_s - now_s)
    return StartAttempt(
        row.request_id, row.n_attempts, server_id, address, timeout_s, link
    )


def _trim(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    """Refuse the newest requests of the longest lane while the queue is too long."""
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


def _seek_slots(world: World, now_s: float, pool: Pool, queue: QueueRow) -> Effects:
    """Ask other instances for slots for the requests that found none here."""
    match world.policies.choice:
        case OwnedSlots():
            pass
        case RandomChoice() | TwoChoices() | LeastInFlight() | ObjectPlacement():
            return []
    n_asked = sum(
        ask.n_slots
        for ask in world.slot_loans.requests.values()
        if ask.pool == pool.name
    )
    n_missing = queue.n_queued - n_asked
    if n_missing <= 0:
        return []
    targets = _lenders(world, now_s, pool, queue)
    effects: Effects = []
    for seat, n_offered, is_remote in targets:
        n_slots = min(n_missing, n_offered)
        effects += ask_for_slots(world, now_s, pool.name, n_slots, seat, is_remote)
        n_missing -= n_slots
        if n_missing <= 0:
            break
    return effects


def _lenders(
    world: World, now_s: float, pool: Pool, queue: QueueRow
) -> list[tuple[str, int, bool]]:
    """List instances that may have room: seat, slots to ask for, other region."""
    loans = world.slot_loans
    asked = {ask.owner for ask in loans.requests.values() if ask.pool == pool.name}
    here = world.identity.region
    oldest_s = _oldest_wait_s(world, now_s, queue)
    shifted = _shift_targets(world, queue)
    found: list[tuple[int, float, str, int, bool]] = []
    for peer in world.peers.alive():
        load = peer.loads.get(pool.name)
        is_barred = loans.backoff_until_s.get((pool.name, peer.seat), -1e9) > now_s
        if load is None or is_barred or peer.seat in asked:
            continue
        is_remote = peer.region != here
        may_spill = oldest_s >= SPILL_AFTER_S or peer.region in shifted
        if is_remote and not may_spill:
            continue
        n_room = load.n_slots - load.n_used
        if load.n_slots == 0 or (is_remote and n_room <= 0):
            continue
        found.append((is_remote, -n_room, peer.seat, max(1, n_room), is_remote))
    found.sort()
    return [(seat, n_offered, is_remote) for _, _, seat, n_offered, is_remote in found]


def _oldest_wait_s(world: World, now_s: float, queue: QueueRow) -> float:
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
