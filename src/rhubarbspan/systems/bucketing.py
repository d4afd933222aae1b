"""Computes the refill, capacity and demand of token buckets, one row at a time."""

import math

import xxhash

from ..tables.buckets import BucketRow

MAX_CLOCK_DRIFT = 0.0005
DRIFT_MARGIN_S = 0.03
TOKEN_TERM_S = 0.4


def lender_term_s(term_s: float) -> float:
    """Return how long the granting side waits for a term that a peer's clock measures.

    It is longer than the term, by the drift of both clocks and a margin.

    Example:
        >>> round(lender_term_s(1.0), 3)
        1.031
    """
    return term_s * (1 + 2 * MAX_CLOCK_DRIFT) + DRIFT_MARGIN_S


def refill(bucket: BucketRow, now_s: float) -> None:
    """Add the tokens due up to ``now_s`` and remove expired shares and loans."""
    if not bucket.shares and not bucket.loans:
        # Most buckets of an instance: others of its data centre refill the account.
        bucket.refilled_s = max(bucket.refilled_s, now_s)
        bucket.n_tokens = min(bucket.n_tokens, 0.0)
        return
    for share in list(bucket.shares.values()):
        end_s = min(now_s, share.until_s)
        # A clock that runs fast must not refill at more than the rate.
        factor = ramp_factor(bucket, bucket.refilled_s) * (1 - MAX_CLOCK_DRIFT)
        bucket.n_tokens += (
            max(0.0, end_s - bucket.refilled_s) * share.rate_per_s * factor
        )
        if share.until_s <= now_s:
            del bucket.shares[share.owner]
    for loan in list(bucket.loans.values()):
        if loan.until_s <= now_s:
            del bucket.loans[loan.loan_id]
    bucket.refilled_s = max(bucket.refilled_s, now_s)
    bucket.n_tokens = min(bucket.n_tokens, capacity(bucket))


def ramp_factor(bucket: BucketRow, now_s: float) -> float:
    """Return the fraction of the rate that is in force while a shift ramps up."""
    if bucket.ramp_s <= 0:
        return 1.0
    return min(1.0, max(0.0, (now_s - bucket.ramp_start_s) / bucket.ramp_s))


def n_lent(bucket: BucketRow) -> int:
    """Return the number of tokens on loan that borrowers may still spend."""
    return sum(loan.n_outstanding for loan in bucket.loans.values())


def capacity(bucket: BucketRow) -> float:
    """Return how many tokens the bucket may hold: its burst less the tokens lent."""
    burst = sum(share.burst for share in bucket.shares.values())
    return max(0.0, burst - n_lent(bucket))


def n_lendable(bucket: BucketRow, now_s: float) -> int:
    """Return the number of tokens that may be lent for a whole term.

    Only shares that expire after the loan back it, so that an owner that refills from
    its share again never finds tokens of its burst still on loan.
    """
    end_s = now_s + lender_term_s(TOKEN_TERM_S)
    burst = sum(s.burst for s in bucket.shares.values() if s.until_s >= end_s)
    return max(0, math.floor(min(bucket.n_tokens, burst - n_lent(bucket)) + 1e-9))


def is_backed_without(bucket: BucketRow, owner_seat: str) -> bool:
    """Return whether the shares of other owners cover the loans until they end."""
    end_s = max((loan.until_s for loan in bucket.loans.values()), default=0.0)
    burst = sum(
        share.burst
        for share in bucket.shares.values()
        if share.owner != owner_seat and share.until_s >= end_s
    )
    return burst >= n_lent(bucket)


def refill_rate_per_s(bucket: BucketRow) -> float:
    """Return the rate at which the bucket is refilled, the sum over its shares."""
    return sum(share.rate_per_s for share in bucket.shares.values())


def holds_delegated_shares(bucket: BucketRow) -> bool:
    """Return whether another seat has delegated its share to this instance."""
    return any(share.delegation_id for share in bucket.shares.values())


def n_borrowed(bucket: BucketRow, now_s: float) -> int:
    """Return the number of borrowed tokens left to spend and remove expired loans."""
    total = 0
    for key, row in list(bucket.borrowed.items()):
        if row.until_s <= now_s:
            del bucket.borrowed[key]
        else:
            total += row.n_left
    return total


def spend_token(bucket: BucketRow, now_s: float) -> bool:
    """Spend an own token or else a borrowed one; return whether there was one."""
    if bucket.n_tokens >= 1.0 - 1e-9:
        bucket.n_tokens -= 1.0
        return True
    for row in bucket.borrowed.values():
        if row.until_s > now_s and row.n_left > 0:
            row.n_spent += 1
            return True
    return False


def record_arrivals(bucket: BucketRow, now_s: float, n_arrived: int) -> None:
    """Add arrivals to the smoothed demand."""
    bucket.demand_per_s = smoothed_demand_per_s(bucket, now_s)
    bucket.demand_updated_s = now_s
    bucket.demand_per_s += n_arrived * math.log(2) / bucket.half_life_s


def smoothed_demand_per_s(bucket: BucketRow, now_s: float) -> float:
    """Return the smoothed demand at ``now_s``; it halves in each half-life."""
    age_s = max(0.0, now_s - bucket.demand_updated_s)
    return float(bucket.demand_per_s * 0.5 ** (age_s / bucket.half_life_s))


def owned_share(
    account: str, rate_per_s: float, burst: int, seats: list[str], seat: str
) -> tuple[float, int]:
    """Return the share of an account's limit that one seat of the fleet owns.

    The burst is divided in whole tokens, since a share below one token admits nothing,
    and the rate in proportion to it. With fewer tokens than seats, the first seat of
    each data centre comes first, in an order that differs between accounts.

    Returns:
        Rate per second and burst of the seat. Over all seats they sum to the limit.

    Example:
        >>> owned_share("a", 3.0, 6, ["x-1", "x-2"], "x-1")
        (1.5, 3)
    """
    if seat not in seats:
        return 0.0, 0
    ordered = sorted(seats, key=lambda name: _seat_order(account, name))
    each, extra = divmod(burst, len(seats))
    own = each + (1 if ordered.index(seat) < extra else 0)
    return rate_per_s * own / burst, own


def _seat_order(account: str, seat: str) -> tuple[int, int]:
    number = seat.rpartition("-")[2]
    rank = int(number) if number.isdigit() else 0
    return rank, rendezvous_score(account, seat)


def rendezvous_score(key: str, candidate: str) -> int:
    """Return a candidate's score by rendezvous hashing (Thaler, Ravishankar)."""
    return xxhash.xxh64_intdigest(f"{key}/{candidate}".encode())
