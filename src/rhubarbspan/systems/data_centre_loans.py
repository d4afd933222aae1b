"""Lets the holder of a limit's part borrow tokens from holders in other data centres.

Each data centre refills a part of an account's limit that follows the demand which it
told some time ago. Callers that choose another instance for each connection, or move,
are faster: their requests arrive where tokens are missing while other data centres have
more than they need. The holder there asks one of them, first one of its own region,
then the one that refills most. What cannot be lent at once is denied at once, so that
the next data centre can be asked in time.
"""

import math

from ..peer_messages import TokenGrant
from ..policies import DemandShares, PooledShares, StaticShares, Uncoordinated
from ..tables.buckets import BucketRow, LenderRow, WaiterRow
from ..tables.peers import PeerRow
from ..world import World
from .bucketing import TOKEN_TERM_S, n_lendable, refill_rate_per_s
from .limit_keepers import reachable_rows, remote_holder
from .share_ownership import startup_s

# A request without an answer for this long is lost. The way to another region and back
# takes 40 ms, and a busy instance some ticks.
REMOTE_TIMEOUT_S = 0.12
# A data centre that denied tokens is not asked again for this long, twice as long each
# time. An account over its rate finds none anywhere, and must cost few messages.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.6
# Shortest time between two requests for tokens to one instance, for all accounts.
REQUEST_INTERVAL_S = 0.01
# A lender keeps what it refills in this time: its own requests come without notice.
RESERVE_S = 0.1


def is_divided(world: World, account: str) -> bool:
    """Return whether data centres refill parts of an account's limit."""
    division = world.limit_division
    return (
        _divides_by_demand(world)
        and division.n_data_centres > 1
        and account in world.configuration.client_accounts
        and account not in division.kept
        and account not in division.isolated
    )


def equal_part_per_s(world: World, account: str) -> float:
    """Return the rate of an equal part of an account's limit, or of all if it is kept.

    A part that is divided by demand follows it in a second or two, and can borrow until
    then, so that at least an equal part is refilled for those who return.
    """
    row = world.configuration.client_accounts.get(account)
    if row is None:
        return 0.0
    n_parts = world.limit_division.n_data_centres if is_divided(world, account) else 1
    return row.rate_per_s / n_parts


def _divides_by_demand(world: World) -> bool:
    match world.policies.limits:
        case DemandShares():
            return True
        case PooledShares() | StaticShares() | Uncoordinated():
            return False


def is_remote_borrower(world: World, bucket: BucketRow, waiter: WaiterRow) -> bool:
    """Return whether a waiter is the holder of another data centre's part."""
    peer = world.peers.get(waiter.borrower)
    return (
        _divides_by_demand(world)
        and peer is not None
        and peer.data_centre != world.identity.data_centre
        and bucket.account not in world.limit_division.kept
    )


def n_spare(bucket: BucketRow, now_s: float) -> int:
    """Return how many tokens may be lent to another data centre."""
    reserve = int(RESERVE_S * refill_rate_per_s(bucket))
    return max(0, n_lendable(bucket, now_s) - reserve)


def n_expected(world: World, now_s: float, bucket: BucketRow) -> float:
    """Return how many tokens other data centres may still lend to the waiters.

    It is without bound while one can be asked that has not denied any since its last
    grant. Of the others, each may have what an equal part refills in the time since
    then, so that the requests of an account over its rate are refused at once.
    """
    account = world.configuration.client_accounts.get(bucket.account)
    candidates = _candidates(world, now_s, bucket)
    if account is None or not candidates:
        return n_pending(bucket)
    if any(not row.backoff_s for row, _ in candidates):
        return math.inf
    rate_per_s = account.rate_per_s / world.limit_division.n_data_centres
    backoff_s = sum(row.backoff_s for row, _ in candidates)
    return n_pending(bucket) + max(1.0, rate_per_s * backoff_s)


def n_pending(bucket: BucketRow) -> int:
    """Return how many tokens were requested of other data centres, without answer."""
    return sum(row.n_requested for row in bucket.lenders.values())


def choose_lender(
    world: World, now_s: float, bucket: BucketRow
) -> tuple[LenderRow, PeerRow] | None:
    """Return the data centre to ask for tokens and its holder, or None."""
    told = world.limit_division.demands.get(bucket.account, {})
    own_region = world.identity.region

    def order(candidate: tuple[LenderRow, PeerRow]) -> tuple[bool, bool, float, str]:
        row, peer = candidate
        told_per_s = told.get(peer.data_centre, 0.0)
        return not row.backoff_s, peer.region == own_region, told_per_s, peer.seat

    return max(_candidates(world, now_s, bucket), key=order, default=None)


def _candidates(
    world: World, now_s: float, bucket: BucketRow
) -> list[tuple[LenderRow, PeerRow]]:
    """List the data centres that can be asked now, and their holders."""
    if bucket.holder != world.identity.seat or not is_divided(world, bucket.account):
        return []
    _expire_requests(bucket, now_s)
    found: list[tuple[LenderRow, PeerRow]] = []
    for peer in _holders_elsewhere(world, now_s, bucket):
        row = bucket.lenders.get(peer.data_centre)
        if row is None:
            row = bucket.lenders[peer.data_centre] = LenderRow(peer.data_centre)
        if row.not_before_s <= now_s and peer.is_alive:
            found.append((row, peer))
    return found


def take_denial(world: World, now_s: float, grant: TokenGrant, account: str) -> bool:
    """Note that a data centre has no tokens; return False if it was not asked."""
    row = _lender_of(world, grant, account)
    if row is None:
        return False
    _back_off(row, now_s)
    return True


def take_grant(world: World, grant: TokenGrant, account: str, n_tokens: int) -> bool:
    """Note that a data centre has lent tokens; return False if it was not asked."""
    row = _lender_of(world, grant, account)
    if row is None:
        return False
    row.n_requested = max(0, row.n_requested - n_tokens)
    row.backoff_s = 0.0
    world.count("tokens_borrowed_from_data_centres", account, n_tokens)
    return True


def note_advance(world: World, grant: TokenGrant, account: str, n_tokens: int) -> None:
    """Count tokens that another data centre has lent in advance."""
    if _lender_of(world, grant, account) is not None:
        world.count("tokens_borrowed_from_data_centres", account, n_tokens)


def lend_borrowed(
    bucket: BucketRow, now_s: float, waiter: WaiterRow
) -> tuple[int, float]:
    """Take borrowed tokens out for a peer; return how many, and their term.

    The peer counts the term from its request, which it sent before it arrived here, so
    that its loan ends before the one that backs it.
    """
    for row in bucket.borrowed.values():
        term_s = min(TOKEN_TERM_S, row.until_s - waiter.arrived_s)
        if row.n_left > 0 and row.until_s > now_s and term_s > 0:
            n_tokens = min(row.n_left, waiter.n_tokens)
            row.n_spent += n_tokens
            return n_tokens, term_s
    return 0, 0.0


def request_expiry_s(bucket: BucketRow) -> float:
    """Return when the next request to another data centre counts as lost."""
    return min(
        (row.expires_s for row in bucket.lenders.values() if row.n_requested),
        default=math.inf,
    )


def _expire_requests(bucket: BucketRow, now_s: float) -> None:
    for row in bucket.lenders.values():
        if row.n_requested and now_s >= row.expires_s:
            _back_off(row, now_s)


def _back_off(row: LenderRow, now_s: float) -> None:
    row.n_requested = 0
    if row.not_before_s > now_s:
        # Further denials of requests that were sent before the first one arrived.
        return
    row.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * row.backoff_s))
    row.not_before_s = now_s + row.backoff_s


def _lender_of(world: World, grant: TokenGrant, account: str) -> LenderRow | None:
    bucket = world.buckets.get(account)
    peer = world.peers.get(grant.seat)
    if bucket is None or peer is None or grant.seat == bucket.holder:
        return None
    return bucket.lenders.get(peer.data_centre)


def _holders_elsewhere(world: World, now_s: float, bucket: BucketRow) -> list[PeerRow]:
    """List the holders of the other data centres, chosen once in each heartbeat."""
    holders = world.limit_division.holders_elsewhere
    found = holders.get(bucket.account)
    if found is None:
        by_data_centre = reachable_rows(world, now_s, world.peers.alive())
        start_s = startup_s(world)
        seats = [
            remote_holder(bucket.account, rows, now_s, start_s, None)
            for rows in by_data_centre.values()
        ]
        found = [row for seat in seats if (row := world.peers.get(seat))]
        holders[bucket.account] = found
    return found
