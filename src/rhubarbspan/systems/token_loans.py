"""Handles requests for tokens and loans of tokens between a holder and its peers."""

from ..peer_messages import LoanReport, TokenGrant, TokenRequest
from ..policies import DemandShares, PooledShares, StaticShares, Uncoordinated
from ..tables.buckets import BorrowedRow, BucketRow, LoanRow, WaiterRow
from ..world import World
from .bucketing import capacity, refill
from .data_centre_loans import is_remote_borrower, note_advance, take_denial, take_grant
from .token_advances import record_inflow
from .token_denials import forget_denial, record_denial

WAITER_TERM_S = 0.45
# How long a request of a peer waits at a holder that denies what will not be there in
# time. It is well below the term of the tokens, which counts from the request: tokens
# that are lent late could not be spent.
DENYING_WAITER_TERM_S = 0.2


def handle_token_request(world: World, now_s: float, request: TokenRequest) -> None:
    """Apply a peer's reports on its loans and add waiters for its token requests."""
    if request.holder_incarnation == world.identity.incarnation:
        _apply_reports(world, now_s, request)
    ahead = {want.account: want.n_tokens for want in request.advances}
    for requested in request.requested_tokens:
        bucket = world.buckets.get(requested.account)
        if bucket is None:
            continue
        waiter = WaiterRow(
            request.seat,
            request.incarnation,
            0,
            requested.n_tokens,
            request.requested_s,
            now_s + (DENYING_WAITER_TERM_S if denies(world) else WAITER_TERM_S),
            now_s,
            ahead.get(requested.account, 0),
        )
        if not is_remote_borrower(world, bucket, waiter):
            record_inflow(bucket, now_s, waiter.n_tokens)
        if not bucket.shares and not is_remote_borrower(world, bucket, waiter):
            continue
        bucket.waiters.append(waiter)
        world.changed_accounts[bucket.account] = None


def denies(world: World) -> bool:
    """Return whether a holder tells peers at once that it will not lend tokens.

    Otherwise their requests wait for as long as their own instance lets them.
    """
    match world.policies.limits:
        case DemandShares():
            return True
        case PooledShares() | StaticShares() | Uncoordinated():
            return False


def _apply_reports(world: World, now_s: float, request: TokenRequest) -> None:
    for report in request.reports:
        bucket = world.buckets.get(report.account)
        if bucket is None:
            continue
        refill(bucket, now_s)
        loan = bucket.loans.get(report.loan_id)
        if loan is None or loan.borrower != request.seat:
            continue
        _settle_loan(bucket, loan, report)
        world.changed_accounts[bucket.account] = None


def _settle_loan(bucket: BucketRow, loan: LoanRow, report: LoanReport) -> None:
    n_outstanding = loan.n_tokens - report.n_spent - report.n_returned
    if n_outstanding >= loan.n_outstanding:
        return
    n_returned = max(0, report.n_returned - loan.n_returned)
    loan.n_outstanding = n_outstanding
    loan.n_returned += n_returned
    if n_outstanding <= 0:
        del bucket.loans[loan.loan_id]
    bucket.n_tokens = min(bucket.n_tokens + n_returned, capacity(bucket))


def handle_token_grant(world: World, now_s: float, grant: TokenGrant) -> None:
    """Add the tokens that a holder lends, unless their term is over."""
    until_s = grant.requested_s + grant.term_s
    if grant.borrower_incarnation != world.identity.incarnation:
        return
    for denied in grant.denied:
        bucket = world.buckets.get(denied.account)
        if bucket is None:
            continue
        if take_denial(world, now_s, grant, denied.account):
            world.changed_accounts[bucket.account] = None
            continue
        if grant.seat != bucket.holder:
            continue
        bucket.n_denied += denied.n_tokens
        bucket.denied_retry_after_s = grant.retry_after_s
        bucket.n_requested = max(0, bucket.n_requested - denied.n_tokens)
        record_denial(world, now_s, bucket, grant)
        world.changed_accounts[bucket.account] = None
    for loan in grant.loans:
        bucket = world.buckets.get(loan.account)
        if bucket is None:
            continue
        key = (grant.seat, grant.incarnation, loan.loan_id)
        if key in bucket.borrowed or until_s <= now_s:
            continue
        bucket.borrowed[key] = BorrowedRow(
            loan.loan_id, grant.seat, grant.incarnation, loan.n_tokens, until_s
        )
        if not take_grant(world, grant, loan.account, loan.n_tokens):
            bucket.n_requested = max(0, bucket.n_requested - loan.n_tokens)
            forget_denial(bucket)
        world.changed_accounts[bucket.account] = None
    # Last, so that tokens with the shorter term are spent first.
    _add_advances(world, now_s, grant)


def _add_advances(world: World, now_s: float, grant: TokenGrant) -> None:
    for loan in grant.advances:
        bucket = world.buckets.get(loan.account)
        key = (grant.seat, grant.incarnation, loan.loan_id)
        until_s = grant.requested_s + loan.term_s
        if bucket is None or key in bucket.borrowed or until_s <= now_s:
            continue
        bucket.advance_term_s = loan.term_s
        note_advance(world, grant, loan.account, loan.n_tokens)
        bucket.borrowed[key] = BorrowedRow(
            loan.loan_id, grant.seat, grant.incarnation, loan.n_tokens, until_s
        )
        world.changed_accounts[bucket.account] = None
