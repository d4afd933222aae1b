"""Requests tokens from holders, and reports those that were spent or returned."""

import math

from ..inputs import Timer
from ..peer_messages import LoanReport, TokenRequest, TokenWant
from ..tables.buckets import BucketRow
from ..world import World
from .bucketing import TOKEN_TERM_S, n_borrowed, smoothed_demand_per_s
from .data_centre_loans import REMOTE_TIMEOUT_S, choose_lender, n_pending
from .data_centre_loans import REQUEST_INTERVAL_S as REMOTE_INTERVAL_S
from .holder_choice import live_holder
from .share_ownership import SHIFT_PREFIX
from .token_advances import n_in_series, n_short, return_unlikely, uses_advances
from .token_denials import denied_for_s
from .token_loans import denies

REQUEST_TIMEOUT_S = 0.45
REQUEST_INTERVAL_S = 0.01
PREFETCH_S = 0.15
PREFETCH_MIN_RATE_PER_S = 20.0


def request_tokens(
    world: World, now_s: float, bucket: BucketRow, batches: dict[str, TokenRequest]
) -> None:
    """Request missing tokens from the holder and report those spent or returned."""
    peer = live_holder(world, bucket)
    if peer is None:
        return
    if bucket.n_requested and now_s >= bucket.request_expires_s:
        bucket.n_requested = 0
    denied_s = denied_for_s(world, now_s, bucket)
    if denied_s > 0:
        if bucket.waiters:
            world.deadlines.arm(now_s + denied_s, Timer.BUCKET, bucket.account)
        return
    n_waiting = sum(1 for waiter in bucket.waiters if not waiter.borrower)
    n_prefetch = _prefetch(world, now_s, bucket)
    n_missing = n_waiting + n_prefetch - n_borrowed(bucket, now_s) - bucket.n_requested
    is_urgent = n_waiting > bucket.n_requested or n_missing >= max(1, n_prefetch // 2)
    if not n_waiting and not uses_advances(world):
        _return_surplus(bucket, now_s, n_prefetch)
    n_to_request = n_missing if is_urgent and n_missing > 0 else 0
    if not n_to_request and denies(world):
        # Loans end soon by themselves, so that a message only to report one is not
        # worth its bytes.
        return
    reports = _collect_reports(bucket, peer.seat, peer.incarnation)
    if not n_to_request and not reports:
        return
    if now_s - bucket.last_request_s < REQUEST_INTERVAL_S and not n_waiting:
        return
    bucket.last_request_s = now_s
    _add_to_batch(world, now_s, bucket, peer.seat, n_to_request, reports, batches)
    if n_to_request and uses_advances(world):
        n_ahead = n_in_series(bucket)
        if n_ahead > 0:
            want = TokenWant(bucket.account, n_ahead)
            batches[peer.seat].advances.append(want)


def borrow_elsewhere(
    world: World, now_s: float, bucket: BucketRow, batches: dict[str, TokenRequest]
) -> None:
    """Request the tokens that the waiters of a holder lack from another data centre."""
    if not bucket.waiters or live_holder(world, bucket) is not None:
        return
    n_waiting = sum(waiter.n_tokens for waiter in bucket.waiters)
    found = choose_lender(world, now_s, bucket)
    n_missing = math.ceil(n_waiting - bucket.n_tokens - n_pending(bucket) - 1e-9)
    if n_missing <= 0 or found is None:
        return
    row, peer = found
    next_s = peer.asked_for_tokens_s + REMOTE_INTERVAL_S
    if peer.seat not in batches and now_s < next_s:
        world.deadlines.arm(next_s, Timer.BUCKET, bucket.account)
        return
    peer.asked_for_tokens_s = now_s
    reports = _collect_reports(bucket, peer.seat, peer.incarnation)
    _add_to_batch(world, now_s, bucket, peer.seat, 0, reports, batches)
    want = TokenWant(bucket.account, n_missing)
    batches[peer.seat].requested_tokens.append(want)
    if uses_advances(world) and (n_ahead := n_short(bucket)) > 0:
        batches[peer.seat].advances.append(TokenWant(bucket.account, n_ahead))
    row.n_requested += n_missing
    row.expires_s = now_s + REMOTE_TIMEOUT_S


def return_advances(
    world: World, now_s: float, batches: dict[str, TokenRequest]
) -> None:
    """Return tokens that will most likely not be spent to the holders they are from."""
    for bucket in world.buckets.rows():
        if not bucket.borrowed or not return_unlikely(world, now_s, bucket):
            continue
        lenders = {
            (row.holder, row.holder_incarnation) for row in bucket.borrowed.values()
        }
        for seat, incarnation in lenders:
            reports = _collect_reports(bucket, seat, incarnation)
            if reports:
                _add_to_batch(world, now_s, bucket, seat, 0, reports, batches)


def _prefetch(world: World, now_s: float, bucket: BucketRow) -> int:
    demand_per_s = smoothed_demand_per_s(bucket, now_s)
    account = world.configuration.client_accounts.get(bucket.account)
    if account is not None:
        if account.rate_per_s < PREFETCH_MIN_RATE_PER_S or uses_advances(world):
            return 0
        return int(min(demand_per_s, account.rate_per_s) * PREFETCH_S)
    # A request does not wait for a token of a shift: without one it is not shifted. So
    # tokens are borrowed in advance, at least one.
    name = bucket.account.removeprefix(SHIFT_PREFIX)
    shift = world.configuration.shifts.get(name)
    if shift is None or demand_per_s < 1:
        return 0
    return max(1, int(min(demand_per_s, shift.cap_requests_per_s) * PREFETCH_S))


def _return_surplus(bucket: BucketRow, now_s: float, n_prefetch: int) -> None:
    """Return borrowed tokens when no local request waits for tokens.

    An account with a prefetch keeps its tokens until half of their term has passed.
    """
    for row in bucket.borrowed.values():
        is_old = row.until_s - now_s < TOKEN_TERM_S / 2
        if row.n_left > 0 and (is_old or not n_prefetch):
            row.n_returned += row.n_left


def _collect_reports(
    bucket: BucketRow, holder: str, incarnation: int
) -> list[LoanReport]:
    reports = []
    for key, row in list(bucket.borrowed.items()):
        if (row.holder, row.holder_incarnation) != (holder, incarnation):
            continue
        if row.n_spent + row.n_returned == row.n_reported:
            continue
        row.n_reported = row.n_spent + row.n_returned
        reports.append(
            LoanReport(bucket.account, row.loan_id, row.n_spent, row.n_returned)
        )
        bucket.borrowed[key] = row
    return reports


def _add_to_batch(
    world: World,
    now_s: float,
    bucket: BucketRow,
    holder: str,
    n_to_request: int,
    reports: list[LoanReport],
    batches: dict[str, TokenRequest],
) -> None:
    if holder not in batches:
        peer = world.peers.get(holder)
        own_identity = world.identity
        incarnation = peer.incarnation if peer else 0
        batches[holder] = TokenRequest(
            own_identity.seat, own_identity.incarnation, incarnation, now_s, [], []
        )
    batches[holder].reports.extend(reports)
    if n_to_request:
        batches[holder].requested_tokens.append(TokenWant(bucket.account, n_to_request))
        bucket.n_requested += n_to_request
        bucket.request_expires_s = now_s + REQUEST_TIMEOUT_S
