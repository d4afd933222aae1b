"""Claims idempotency keys in the store, so that a request runs at most once."""

from ..configuration import RouteKind
from ..effects import Effects, WriteClaim
from ..inputs import ClaimResult, ClaimSettled, Inbox
from ..tables.claims import ClaimRow, ClaimState
from ..tables.requests import RequestRow, RequestState
from ..verdict import MayHaveRun, NotRun, Reason
from ..world import World
from .completion import fail_request
from .local_claims import claim_key
from .queueing import join_queue
from .ticketing import TicketUse, check_ticket, use_ticket

CLAIM_RETENTION_S = 900.0
CLAIM_TIMEOUT_S = 2.0


def claim_requests(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Queue admitted requests; those of at-most-once routes need a claim or ticket."""
    effects: Effects = []
    for claim_settled in inbox.of(ClaimSettled):
        effects += _apply_claim_result(world, now_s, claim_settled)
    for row in world.requests.in_state(RequestState.ADMITTED):
        if row.route.kind is RouteKind.AT_MOST_ONCE and not row.has_claim:
            effects += _start_claim(world, now_s, row)
        else:
            join_queue(world, now_s, row)
    return effects


def _start_claim(world: World, now_s: float, row: RequestRow) -> Effects:
    match check_ticket(world, row.arrived.idempotency_key):
        case TicketUse.RUN:
            use_ticket(world, row.arrived.idempotency_key)
            join_queue(world, now_s, row)
            return []
        case TicketUse.USED:
            return fail_request(world, now_s, row, MayHaveRun(Reason.DUPLICATE))
        case TicketUse.GONE:
            return fail_request(world, now_s, row, MayHaveRun(Reason.TICKET_GONE))
        case TicketUse.OTHER_INSTANCE:
            return fail_request(world, now_s, row, NotRun(Reason.OTHER_INSTANCE))
        case TicketUse.FORGED:
            return fail_request(world, now_s, row, NotRun(Reason.BAD_REQUEST))
        case TicketUse.NOT_A_TICKET:
            return _claim_in_store(world, now_s, row)


def _claim_in_store(world: World, now_s: float, row: RequestRow) -> Effects:
    world.claims.remove_before(now_s - CLAIM_RETENTION_S)
    key = claim_key(row)
    known = world.claims.rows.get(key)
    if known is not None and known.state in (ClaimState.PENDING, ClaimState.USED):
        verdict = MayHaveRun(Reason.DUPLICATE)
        return fail_request(world, now_s, row, verdict)
    if known is not None:
        # A released or unresolved claim is written again with the same nonce: if the
        # store already holds it, it is this instance's, and no request ran under it.
        nonce = known.nonce
    else:
        nonce = f"{world.identity.seat}/{world.identity.incarnation}/{row.request_id}"
    world.claims.rows.pop(key, None)
    world.claims.rows[key] = ClaimRow(key, nonce, ClaimState.PENDING, now_s)
    world.requests.move(row, RequestState.CLAIMING)
    claim_deadline_s = min(row.deadline_s, now_s + CLAIM_TIMEOUT_S)
    return [WriteClaim(row.request_id, key, nonce, claim_deadline_s)]


def _apply_claim_result(
    world: World, now_s: float, claim_settled: ClaimSettled
) -> Effects:
    row = world.requests.get(claim_settled.request_id)
    if row is None or row.state is not RequestState.CLAIMING:
        return []
    claim = world.claims.rows[claim_key(row)]
    match claim_settled.result:
        case ClaimResult.OURS:
            row.has_claim = True
            join_queue(world, now_s, row)
            return []
        case ClaimResult.TAKEN:
            claim.state = ClaimState.USED
            verdict = MayHaveRun(Reason.DUPLICATE)
            return fail_request(world, now_s, row, verdict)
        case ClaimResult.UNKNOWN | ClaimResult.NOT_WRITTEN:
            claim.state = ClaimState.UNRESOLVED
            world.count("claims_unresolved")
            unresolved = NotRun(Reason.CLAIM_UNKNOWN)
            return fail_request(world, now_s, row, unresolved)
