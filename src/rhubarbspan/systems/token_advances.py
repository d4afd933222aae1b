"""Lends tokens in advance to instances at which an account's requests arrive in series.

A caller keeps its connection for many requests, so that after two of them more are
likely to arrive at the same instance. It requests tokens for these together with the
one that it needs now. The holder lends them from what its bucket has beyond a reserve,
for a term that is longer the less it refills. Tokens that are not spent in time expire:
a message only to return them would cost as much as it saves.
"""

import math

from ..peer_messages import TokenAdvance
from ..policies import DemandShares, PooledShares, StaticShares, Uncoordinated
from ..tables.buckets import BucketRow, LoanRow, WaiterRow
from ..world import World
from .bucketing import TOKEN_TERM_S, lender_term_s, n_lent, refill_rate_per_s
from .fleet_layout import is_two_level
from .limit_keepers import permitted_excess

# Fraction of the tokens of a bucket, without one, that an instance is lent in advance
# at most. With the last tokens of a small account, more of its requests were refused.
ADVANCE_FRACTION = 0.66
# Fraction of the permitted excess by which the limit may be exceeded when the holders
# of all data centres are replaced while all that they lent is unspent. A quarter of the
# excess is not given out as burst; half of that is left for data centres whose figures
# did not arrive.
EXCESS_FRACTION = 0.125
# Fraction of the requested tokens that a holder without any borrows in advance.
SHORT_FRACTION = 0.5
# A holder that expects to lack fewer borrows none in advance. A small account has only
# some tokens in each data centre: if they move in advance they are missing there.
MIN_SHORT = 6
# Tokens are returned this many heartbeats before they expire.
RETURN_HEARTBEATS = 1.5
# Fewer tokens are left to expire: a message brings back as much as it costs.
MIN_RETURNED = 2
# Connections are seldom kept in use for longer without a request.
MAX_TERM_S = 2.5
# Assumed until a holder has told the term that it lends for.
INITIAL_TERM_S = 1.0
# Half-life of a request in the rate at which an account's requests arrive here. That in
# the demand is shorter, so that the rate of one connection would be mostly noise.
SERIES_HALF_LIFE_S = 2.0


def uses_advances(world: World) -> bool:
    """Return whether instances borrow in advance and remember denials.

    In a small fleet most requests arrive at the holder or at one of few instances, and
    the messages saved are few.
    """
    match world.policies.limits:
        case DemandShares():
            return is_two_level(world)
        case PooledShares() | StaticShares() | Uncoordinated():
            return False


def record_in_series(bucket: BucketRow, now_s: float) -> None:
    """Add a request to the rate at which the account's requests arrive here."""
    gained_per_s = math.log(2) / SERIES_HALF_LIFE_S
    bucket.series_per_s = _series_per_s(bucket, now_s) + gained_per_s
    bucket.last_arrival_s = now_s


def n_in_series(bucket: BucketRow) -> int:
    """Return how many more requests are expected here within the term of an advance."""
    term_s = bucket.advance_term_s or INITIAL_TERM_S
    return round(bucket.series_per_s * term_s)


def record_inflow(bucket: BucketRow, now_s: float, n_tokens: int) -> None:
    """Add tokens that were requested of this instance to the rate of the requests."""
    age_s = max(0.0, now_s - bucket.inflow_s)
    bucket.inflow_per_s *= 0.5 ** (age_s / SERIES_HALF_LIFE_S)
    bucket.inflow_per_s += n_tokens * math.log(2) / SERIES_HALF_LIFE_S
    bucket.inflow_s = now_s


def n_short(bucket: BucketRow) -> int:
    """Return how many tokens a holder that has none will lack within a term.

    Its refill keeps up with requests only on average: with none in store each of the
    next ones would cost a message, to it or to another data centre.
    """
    term_s = bucket.advance_term_s or INITIAL_TERM_S
    n_tokens = round(SHORT_FRACTION * bucket.inflow_per_s * term_s)
    return n_tokens if n_tokens >= MIN_SHORT else 0


def lend_in_advance(
    world: World, now_s: float, bucket: BucketRow, waiter: WaiterRow
) -> TokenAdvance | None:
    """Lend an instance what it expects to need soon, as far as there is enough."""
    return _lend_own(world, now_s, bucket, waiter) or _lend_on(
        world, now_s, bucket, waiter
    )


def _lend_on(
    world: World, now_s: float, bucket: BucketRow, waiter: WaiterRow
) -> TokenAdvance | None:
    """Lend borrowed tokens on, for no longer than this instance has them."""
    for row in bucket.borrowed.values():
        term_s = row.until_s - waiter.arrived_s
        n_tokens = min(waiter.n_ahead, math.floor(ADVANCE_FRACTION * row.n_left))
        if n_tokens > 0 and row.until_s - now_s > TOKEN_TERM_S:
            row.n_spent += n_tokens
            world.n_loans += 1
            return TokenAdvance(world.n_loans, bucket.account, n_tokens, term_s)
    return None


def _lend_own(
    world: World, now_s: float, bucket: BucketRow, waiter: WaiterRow
) -> TokenAdvance | None:
    """Lend tokens of the bucket, for a term that is longer the fewer are on loan.

    The next holder does not know the loans of one that was lost or replaced. A loan
    ends before what is refilled meanwhile, and all that is on loan with it, exceed the
    burst by more than this holder's part of the excess. What could not be lent for the
    shortest term under this rule is not lent.
    """
    longest_s = now_s + lender_term_s(MAX_TERM_S)
    burst = sum(row.burst for row in bucket.shares.values() if row.until_s >= longest_s)
    n_free = burst - n_lent(bucket)
    rate_per_s = refill_rate_per_s(bucket)
    n_unknown = n_free + _excess_part(world, bucket.account)
    n_spare = min(
        ADVANCE_FRACTION * (bucket.n_tokens - 1),
        n_free,
        n_unknown - rate_per_s * TOKEN_TERM_S,
    )
    n_tokens = min(waiter.n_ahead, math.floor(n_spare + 1e-9))
    if n_tokens <= 0:
        return None
    n_refilled = n_unknown - n_tokens
    term_s = min(MAX_TERM_S, n_refilled / rate_per_s) if rate_per_s > 0 else MAX_TERM_S
    until_s = now_s + lender_term_s(term_s)
    bucket.n_tokens -= n_tokens
    world.n_loans += 1
    loan = LoanRow(world.n_loans, waiter.borrower, n_tokens, n_tokens, until_s)
    bucket.loans[loan.loan_id] = loan
    world.count("tokens_lent_in_advance", bucket.account, n_tokens)
    return TokenAdvance(loan.loan_id, bucket.account, n_tokens, term_s)


def _excess_part(world: World, name: str) -> float:
    """Return by how much the loans of a replaced holder may exceed an account's limit.

    Holders of several data centres may be replaced within one term, in a rolling
    restart or with a region, so that they share the excess equally. Groups that do not
    hear each other in one data centre share its part by their instances.
    """
    account = world.configuration.client_accounts.get(name)
    if account is None:
        return 0.0
    division = world.limit_division
    n_parts = 1 if name in division.kept else max(1, division.n_data_centres)
    excess = EXCESS_FRACTION * permitted_excess(world.policies, account)
    return excess * division.present_fraction / n_parts


def return_unlikely(world: World, now_s: float, bucket: BucketRow) -> int:
    """Mark tokens as returned that will most likely expire; return how many.

    This is decided at heartbeats, for loans that end before the next but one.
    """
    n_returned = 0
    soon_s = now_s + RETURN_HEARTBEATS * world.policies.heartbeat_interval_s
    for row in bucket.borrowed.values():
        if row.until_s > soon_s or row.until_s <= now_s or row.n_left <= 0:
            continue
        n_kept = math.ceil(_series_per_s(bucket, now_s) * (row.until_s - now_s))
        n_surplus = row.n_left - n_kept
        if n_surplus >= MIN_RETURNED:
            row.n_returned += n_surplus
            n_returned += n_surplus
    return n_returned


def _series_per_s(bucket: BucketRow, now_s: float) -> float:
    age_s = max(0.0, now_s - bucket.last_arrival_s)
    return float(bucket.series_per_s * 0.5 ** (age_s / SERIES_HALF_LIFE_S))


def follow_limits(world: World) -> None:
    """Give up what was borrowed or denied under a limit that has changed."""
    for bucket in world.buckets.rows():
        account = world.configuration.client_accounts.get(bucket.account)
        limit = (account.rate_per_s, float(account.burst)) if account else (0.0, 0.0)
        has_changed = limit != bucket.limit
        bucket.limit = limit
        if not has_changed or not uses_advances(world):
            continue
        bucket.denied_until_s = 0.0
        for row in bucket.borrowed.values():
            row.n_returned += row.n_left
