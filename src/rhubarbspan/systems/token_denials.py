"""Remembers denials of tokens, so that what is known to be refused costs no message.

A holder denies tokens that will not be there in time, and tells when one may be. Until
then an instance refuses the account's further requests itself, except for one, which
requests a token once the time has passed: without it, more of the requests inside the
rate would be refused. The denial does not count any more when its holder was lost or
replaced, or when the limit has changed.
"""

from ..peer_messages import TokenGrant
from ..tables.buckets import BucketRow, WaiterRow
from ..world import World
from .data_centre_loans import equal_part_per_s
from .holder_choice import live_holder
from .token_advances import uses_advances

# A denial is remembered for no longer than requests wait at a holder. Tokens may come
# back sooner than forecast, from other data centres or because they were not spent.
MAX_DENIAL_S = 0.2


def record_denial(
    world: World, now_s: float, bucket: BucketRow, grant: TokenGrant
) -> None:
    """Remember until when the holder expects to have no token for more requests."""
    if not uses_advances(world):
        return
    # Earlier versions tell only the time of the last account in the message.
    known_s = grant.retry_after_s if len(grant.denied) == 1 else 0.0
    retry_after_s = grant.retries_s.get(bucket.account, known_s)
    bucket.denied_until_s = now_s + min(MAX_DENIAL_S, max(0.0, retry_after_s))
    bucket.forecast_s = now_s + max(0.0, retry_after_s)
    bucket.n_refused_by_denial = 0
    bucket.denied_by = (grant.seat, grant.incarnation)


def denied_for_s(world: World, now_s: float, bucket: BucketRow) -> float:
    """Return for how much longer the holder will have no token, by its last denial."""
    if bucket.denied_until_s <= now_s:
        return 0.0
    peer = live_holder(world, bucket)
    if peer is None or (peer.seat, peer.incarnation) != bucket.denied_by:
        return 0.0
    return bucket.denied_until_s - now_s


def next_retry_s(world: World, now_s: float, bucket: BucketRow) -> float:
    """Return the Retry-After of one more request that the last denial refuses.

    It is the rest of the holder's forecast, and later by one token of an equal part of
    the limit for each request that was refused since. Callers that all returned when
    the denial is forgotten would meet the same shortage again.
    """
    bucket.n_refused_by_denial += 1
    rate_per_s = equal_part_per_s(world, bucket.account)
    later_s = bucket.n_refused_by_denial / rate_per_s if rate_per_s > 0 else 1.0
    return bucket.forecast_s - now_s + later_s


def may_ask_later(waiter: WaiterRow, now_s: float, denied_s: float) -> bool:
    """Return whether a request may still wait at the holder after the denial."""
    return now_s + denied_s + MAX_DENIAL_S <= waiter.until_s


def forget_denial(bucket: BucketRow) -> None:
    """Forget the last denial."""
    bucket.denied_until_s = 0.0
