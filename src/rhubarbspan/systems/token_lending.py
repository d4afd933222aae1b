"""Lends tokens to peers that wait for them, and denies what comes too late for them."""

import math

from ..peer_messages import TokenGrant, TokenLoan, TokenWant
from ..tables.buckets import BucketRow, LoanRow, WaiterRow
from ..world import World
from .bucketing import TOKEN_TERM_S, lender_term_s, n_lendable, refill_rate_per_s
from .data_centre_loans import (
    equal_part_per_s,
    is_divided,
    is_remote_borrower,
    lend_borrowed,
    n_expected,
    n_spare,
)
from .token_advances import lend_in_advance, record_inflow
from .token_loans import denies

# Grants of a tick, by borrower, time of its request, and term.
Grants = dict[tuple[str, float, float], TokenGrant]


def serve_peer(
    world: World,
    now_s: float,
    bucket: BucketRow,
    waiter: WaiterRow,
    grants: Grants,
    kept: list[WaiterRow],
    n_ahead: int,
) -> int:
    """Lend tokens to a peer and return the number that it still waits for.

    What will not be there in time is denied, so that requests are refused at once.
    """
    if waiter.until_s <= now_s:
        if denies(world):
            _deny(world, bucket, waiter, waiter.n_tokens, n_ahead, grants)
        return 0
    n_tokens = min(waiter.n_tokens, n_lendable(bucket, now_s))
    if kept:
        n_tokens = 0
    if n_tokens > 0:
        _lend(world, now_s, bucket, waiter, n_tokens, grants)
        waiter.n_tokens -= n_tokens
    while waiter.n_tokens > 0 and not kept:
        n_tokens, term_s = lend_borrowed(bucket, now_s, waiter)
        if not n_tokens:
            break
        world.n_loans += 1
        grant = _grant_for(world, waiter, grants, term_s)
        grant.loans.append(TokenLoan(world.n_loans, bucket.account, n_tokens))
        waiter.n_tokens -= n_tokens
    if waiter.n_tokens <= 0:
        _advance(world, now_s, bucket, waiter, grants)
        return 0
    rate_per_s = refill_rate_per_s(bucket)
    n_in_time = bucket.n_tokens - n_ahead + rate_per_s * (waiter.until_s - now_s)
    n_denied = min(waiter.n_tokens, math.ceil(waiter.n_tokens - n_in_time))
    if n_denied > 0 and denies(world):
        n_missing = waiter.n_tokens - n_in_time - n_expected(world, now_s, bucket)
        n_denied = min(waiter.n_tokens, math.ceil(max(0.0, n_missing)))
    if n_denied > 0 and denies(world):
        _deny(world, bucket, waiter, n_denied, n_ahead, grants)
        waiter.n_tokens -= n_denied
    if waiter.n_tokens > 0:
        kept.append(waiter)
    return waiter.n_tokens


def serve_other_data_centre(
    world: World,
    now_s: float,
    bucket: BucketRow,
    waiter: WaiterRow,
    grants: Grants,
    kept: list[WaiterRow],
) -> None:
    """Lend the holder of another data centre what is spare now; deny the rest."""
    n_tokens = 0 if kept else min(waiter.n_tokens, n_spare(bucket, now_s))
    if n_tokens > 0:
        _lend(world, now_s, bucket, waiter, n_tokens, grants)
        world.count("tokens_lent_to_data_centres", bucket.account, n_tokens)
    if n_tokens < waiter.n_tokens:
        _deny(world, bucket, waiter, waiter.n_tokens - n_tokens, len(kept), grants)
        return
    _advance(world, now_s, bucket, waiter, grants)


def refill_s(world: World, bucket: BucketRow, n_tokens: int) -> float:
    """Return how long the refill takes for tokens that are missing."""
    rate_per_s = refill_rate_per_s(bucket)
    if is_divided(world, bucket.account):
        rate_per_s = max(rate_per_s, equal_part_per_s(world, bucket.account))
    return n_tokens / rate_per_s if rate_per_s > 0 else 1.0


def _lend(
    world: World,
    now_s: float,
    bucket: BucketRow,
    waiter: WaiterRow,
    n_tokens: int,
    grants: Grants,
) -> None:
    bucket.n_tokens -= n_tokens
    world.n_loans += 1
    until_s = now_s + lender_term_s(TOKEN_TERM_S)
    loan = LoanRow(world.n_loans, waiter.borrower, n_tokens, n_tokens, until_s)
    bucket.loans[loan.loan_id] = loan
    grant = _grant_for(world, waiter, grants)
    grant.loans.append(TokenLoan(loan.loan_id, bucket.account, n_tokens))


def _advance(
    world: World, now_s: float, bucket: BucketRow, waiter: WaiterRow, grants: Grants
) -> None:
    """Lend what a peer whose requests are served expects to need soon."""
    if not waiter.n_ahead:
        return
    advance = lend_in_advance(world, now_s, bucket, waiter)
    if advance is None:
        return
    _grant_for(world, waiter, grants).advances.append(advance)
    if is_remote_borrower(world, bucket, waiter):
        n_tokens = advance.n_tokens
        world.count("tokens_lent_to_data_centres", bucket.account, n_tokens)
    else:
        record_inflow(bucket, now_s, advance.n_tokens)


def _deny(
    world: World,
    bucket: BucketRow,
    waiter: WaiterRow,
    n_tokens: int,
    n_ahead: int,
    grants: Grants,
) -> None:
    grant = _grant_for(world, waiter, grants)
    grant.denied.append(TokenWant(bucket.account, n_tokens))
    grant.retry_after_s = refill_s(world, bucket, n_ahead + 1)
    grant.retries_s[bucket.account] = grant.retry_after_s


def _grant_for(
    world: World, waiter: WaiterRow, grants: Grants, term_s: float = TOKEN_TERM_S
) -> TokenGrant:
    """Return the grant that answers a peer's request; create it if it is missing."""
    key = (waiter.borrower, waiter.requested_s, term_s)
    if key not in grants:
        own_identity = world.identity
        grants[key] = TokenGrant(
            own_identity.seat,
            own_identity.incarnation,
            waiter.borrower_incarnation,
            waiter.requested_s,
            term_s,
            [],
        )
    return grants[key]
