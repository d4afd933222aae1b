"""Lends slots of backend servers between instances, also across regions.

A request goes to another instance's server only with a slot that the owner lent, so a
free slot is given out once, however many instances know of it.
"""

import math

from ..effects import Effects, SendPeerMessage
from ..inputs import Inbox, PeerMessageReceived, Timer
from ..peer_messages import SlotGrant, SlotLoan, SlotRequest, SlotReturn
from ..tables.servers import ServerRow
from ..tables.slot_loans import BorrowedSlotRow, LentSlotRow, SlotRequestRow
from ..world import World
from .bucketing import lender_term_s
from .slots import n_free_slots, n_usable_slots, owned_servers, record_shed

SLOT_TERM_S = 5.0
# Counted from the request for the slot.
START_WITHIN_S = 2.0
REQUEST_TIMEOUT_S = 0.25
# Fraction of the usable slots that is not lent to other regions.
RESERVE_FRACTION = 0.15
# Pause before an owner that granted fewer slots than requested is asked again.
SLOT_BACKOFF_S = 0.02
REMOTE_SLOT_BACKOFF_S = 0.2


def lend_slots(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Grant slots to peers, and apply the grants and returns that peers send."""
    effects: Effects = []
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case SlotRequest() as request:
                effects.append(_grant_slots(world, now_s, request))
            case SlotGrant() as grant:
                effects += _handle_grant(world, now_s, grant)
            case SlotReturn() as returned:
                _handle_return(world, now_s, returned)
    if inbox.due(Timer.HEARTBEAT):
        _remove_expired(world, now_s)
    return effects


def _grant_slots(world: World, now_s: float, request: SlotRequest) -> SendPeerMessage:
    loans: list[SlotLoan] = []
    for server in _pick_servers(world, now_s, request):
        world.slot_loans.n_loans += 1
        loan_id = world.slot_loans.n_loans
        server.n_lent += 1
        world.slot_loans.lent[loan_id] = LentSlotRow(
            loan_id,
            server.server_id,
            request.pool,
            request.seat,
            now_s + lender_term_s(SLOT_TERM_S),
        )
        loans.append(SlotLoan(loan_id, server.server_id, server.address))
    world.count("slots_lent", request.pool, len(loans))
    own_identity = world.identity
    grant = SlotGrant(
        own_identity.seat,
        own_identity.incarnation,
        request.request_number,
        request.pool,
        request.requested_s,
        START_WITHIN_S,
        loans,
    )
    return SendPeerMessage(request.seat, grant)


def _pick_servers(world: World, now_s: float, request: SlotRequest) -> list[ServerRow]:
    """Pick a server for each slot to lend, the one with the most free slots first."""
    pool = world.configuration.pools.get(request.pool)
    if pool is None:
        return []
    queue = world.queues.queue_of(pool.name)
    owned = owned_servers(world, pool.name)
    free = {row.server_id: n_free_slots(row, pool, now_s) for row in owned}
    n_spare = sum(free.values()) - queue.n_queued
    if request.is_remote:
        n_usable = sum(n_usable_slots(row, pool, now_s) for row in owned)
        n_spare -= math.ceil(n_usable * RESERVE_FRACTION)
    picked: list[ServerRow] = []
    for _ in range(min(n_spare, request.n_slots)):
        best = max(owned, key=lambda row: free[row.server_id])
        free[best.server_id] -= 1
        picked.append(best)
    return picked


def _handle_grant(world: World, now_s: float, grant: SlotGrant) -> Effects:
    pending = world.slot_loans.requests.pop(grant.request_number, None)
    until_s = grant.requested_s + grant.term_s
    if pending is None or until_s <= now_s:
        return []
    peer = world.peers.get(grant.seat)
    region = peer.region if peer else ""
    world.queues.mark_changed(grant.pool)
    for loan in grant.loans:
        key = (grant.seat, grant.incarnation, loan.loan_id)
        world.slot_loans.borrowed[key] = BorrowedSlotRow(
            loan.loan_id,
            grant.seat,
            grant.incarnation,
            loan.server_id,
            loan.address,
            grant.pool,
            region,
            until_s,
        )
    if len(grant.loans) < pending.n_slots:
        is_own_region = region == world.identity.region
        backoff_s = SLOT_BACKOFF_S if is_own_region else REMOTE_SLOT_BACKOFF_S
        world.slot_loans.backoff_until_s[grant.pool, grant.seat] = now_s + backoff_s
        world.deadlines.arm(now_s + backoff_s, Timer.SERVER, grant.pool)
    return []


def _handle_return(world: World, now_s: float, returned: SlotReturn) -> None:
    if returned.owner_incarnation != world.identity.incarnation:
        return
    for loan_id in returned.loan_ids:
        lent = world.slot_loans.lent.get(loan_id)
        if lent is None or lent.borrower != returned.seat:
            continue
        _end_loan(world, lent)
        server = world.servers.get(lent.server_id)
        if loan_id in returned.shed_loan_ids and server is not None:
            record_shed(world, now_s, server)


def _end_loan(world: World, lent: LentSlotRow) -> None:
    del world.slot_loans.lent[lent.loan_id]
    server = world.servers.get(lent.server_id)
    if server is not None:
        server.n_lent = max(0, server.n_lent - 1)
    world.queues.mark_changed(lent.pool)


def _remove_expired(world: World, now_s: float) -> None:
    """Remove expired loans and requests.

    Slots still in use after their loan show in the server's own report.
    """
    for lent in list(world.slot_loans.lent.values()):
        if lent.until_s <= now_s:
            _end_loan(world, lent)
    for pending in list(world.slot_loans.requests.values()):
        if pending.until_s <= now_s:
            del world.slot_loans.requests[pending.number]


def request_slots(
    world: World, now_s: float, pool: str, n_slots: int, seat: str, is_remote: bool
) -> Effects:
    """Send an instance a request for slots of its servers."""
    loans = world.slot_loans
    loans.n_requests += 1
    until_s = now_s + REQUEST_TIMEOUT_S
    loans.requests[loans.n_requests] = SlotRequestRow(
        loans.n_requests, seat, pool, n_slots, until_s
    )
    world.deadlines.arm(until_s, Timer.SERVER, pool)
    own_identity = world.identity
    request = SlotRequest(
        own_identity.seat,
        own_identity.incarnation,
        loans.n_requests,
        pool,
        n_slots,
        is_remote,
        now_s,
    )
    return [SendPeerMessage(seat, request)]


def return_idle_slots(world: World, now_s: float, pool: str) -> Effects:
    """Return the borrowed slots of a pool that no request uses."""
    idle: dict[tuple[str, int], SlotReturn] = {}
    own_identity = world.identity
    for key, slot in list(world.slot_loans.borrowed.items()):
        if slot.pool != pool or slot.request_id is not None:
            continue
        del world.slot_loans.borrowed[key]
        owner = (slot.owner, slot.owner_incarnation)
        if owner not in idle:
            idle[owner] = SlotReturn(
                own_identity.seat, own_identity.incarnation, slot.owner_incarnation, []
            )
        idle[owner].loan_ids.append(slot.loan_id)
        if slot.was_shed:
            idle[owner].shed_loan_ids.append(slot.loan_id)
    return [SendPeerMessage(seat, returned) for (seat, _), returned in idle.items()]
