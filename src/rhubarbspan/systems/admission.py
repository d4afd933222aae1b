"""Admits requests for tokens of their client account, some after a short wait."""

from ..effects import Effects, SendPeerMessage
from ..inputs import Inbox, Timer
from ..peer_messages import TokenRequest
from ..tables.buckets import BucketRow, WaiterRow
from ..tables.requests import RequestRow, RequestState
from ..verdict import NotRun, Reason
from ..world import World
from .bucketing import (
    capacity,
    record_arrivals,
    refill,
    refill_rate_per_s,
    smoothed_demand_per_s,
    spend_token,
)
from .completion import fail_request
from .data_centre_loans import is_remote_borrower, n_expected, request_expiry_s
from .holder_choice import live_holder
from .share_ownership import startup_s
from .token_advances import record_in_series, record_inflow, uses_advances
from .token_denials import denied_for_s, may_ask_later, next_retry_s
from .token_lending import Grants, refill_s, serve_other_data_centre, serve_peer
from .token_loans import denies
from .token_requests import borrow_elsewhere, request_tokens, return_advances

MAX_WAIT_S = 0.5
# Requests that were refused because the instance had just started are told to retry at
# random times within this interval, so that they do not all return at once.
RETRY_SPREAD_S = 0.6


def admit_requests(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Grant tokens to the local requests and the peers that wait for them."""
    _add_waiters(world, now_s)
    for account in inbox.due(Timer.BUCKET):
        world.changed_accounts[account] = None
    effects: Effects = []
    changed_accounts = list(world.changed_accounts)
    world.changed_accounts.clear()
    batches: dict[str, TokenRequest] = {}
    for account in changed_accounts:
        bucket = world.buckets.get(account)
        if bucket is None or bucket.removed_s is not None:
            effects += _refuse_all(world, now_s, account)
            continue
        refill(bucket, now_s)
        effects += _serve_waiters(world, now_s, bucket)
        request_tokens(world, now_s, bucket, batches)
        borrow_elsewhere(world, now_s, bucket, batches)
        _arm_deadline(world, now_s, bucket)
    if inbox.due(Timer.HEARTBEAT) and uses_advances(world):
        return_advances(world, now_s, batches)
    effects += [SendPeerMessage(seat, batch) for seat, batch in batches.items()]
    return effects


def _add_waiters(world: World, now_s: float) -> None:
    for row in world.new_requests:
        if row.state is not RequestState.ADMITTING or not row.account:
            continue
        bucket = world.buckets.get(row.account)
        world.changed_accounts[row.account] = None
        if bucket is None:
            continue
        record_arrivals(bucket, now_s, 1)
        record_in_series(bucket, now_s)
        record_inflow(bucket, now_s, 1)
        until_s = min(now_s + MAX_WAIT_S, row.deadline_s)
        if denies(world):
            until_s = min(until_s, row.arrived_s + row.route.latency_objective_s)
        bucket.waiters.append(WaiterRow("", 0, row.request_id, 1, now_s, until_s))


def _refuse_all(world: World, now_s: float, account: str) -> Effects:
    effects: Effects = []
    for row in world.requests.in_state(RequestState.ADMITTING):
        if row.account == account:
            effects += fail_request(world, now_s, row, NotRun(Reason.BAD_KEY))
    return effects


def _serve_waiters(world: World, now_s: float, bucket: BucketRow) -> Effects:
    """Serve the waiters in order of arrival, as a single central bucket would."""
    effects: Effects = []
    grants: Grants = {}
    kept: list[WaiterRow] = []
    rate = refill_rate_per_s(bucket)
    n_ahead = 0
    denied_s = denied_for_s(world, now_s, bucket)
    while bucket.waiters:
        waiter = bucket.waiters.popleft()
        if waiter.borrower and is_remote_borrower(world, bucket, waiter):
            serve_other_data_centre(world, now_s, bucket, waiter, grants, kept)
            continue
        if waiter.borrower:
            n_ahead += serve_peer(world, now_s, bucket, waiter, grants, kept, n_ahead)
            continue
        row = world.requests.get(waiter.request_id)
        if row is None or row.state is not RequestState.ADMITTING:
            continue
        if n_ahead == 0 and spend_token(bucket, now_s):
            _admit(world, now_s, row)
            continue
        n_ahead += 1
        n_new = n_ahead - bucket.n_requested - bucket.n_denied
        is_first_in_time = n_new == 1 and may_ask_later(waiter, now_s, denied_s)
        if denied_s > 0 and n_new > 0 and not is_first_in_time:
            world.count("refused_by_known_denial", bucket.account)
            retry_after_s = next_retry_s(world, now_s, bucket)
            effects += _refuse_over_rate(world, now_s, bucket, row, retry_after_s)
            n_ahead -= 1
            continue
        if _cannot_be_served(world, now_s, bucket, waiter, rate, n_ahead):
            retry_after_s = refill_s(world, bucket, n_ahead)
            verdict = NotRun(Reason.OVER_RATE)
            starting_s = world.started_s + startup_s(world) - now_s
            if rate <= 0 and starting_s > 0:
                # During startup no token may be spent, whatever the account's rate.
                verdict = NotRun(Reason.NOT_READY)
                retry_after_s = starting_s + RETRY_SPREAD_S * world.rng.random()
            else:
                world.count("refused_over_rate", bucket.account)
            inputs = _describe_limit(world, now_s, bucket)
            effects += fail_request(world, now_s, row, verdict, retry_after_s, inputs)
            n_ahead -= 1
            continue
        kept.append(waiter)
    bucket.waiters.extend(kept)
    effects += _refuse_denied(world, now_s, bucket)
    effects += [SendPeerMessage(key[0], grant) for key, grant in grants.items()]
    return effects


def _describe_limit(world: World, now_s: float, bucket: BucketRow) -> dict[str, float]:
    """Return the figures that decide whether a request gets a token."""
    account = world.configuration.client_accounts.get(bucket.account)
    return {
        "limit_rate_per_s": account.rate_per_s if account else 0.0,
        "limit_burst": account.burst if account else 0.0,
        "own_rate_per_s": round(refill_rate_per_s(bucket), 3),
        "own_burst": round(capacity(bucket), 3),
        "n_tokens": round(bucket.n_tokens, 3),
        "demand_per_s": round(smoothed_demand_per_s(bucket, now_s), 3),
    }


def _cannot_be_served(
    world: World,
    now_s: float,
    bucket: BucketRow,
    waiter: WaiterRow,
    rate_per_s: float,
    n_ahead: int,
) -> bool:
    """Return whether a local waiter cannot be served before it expires."""
    if now_s >= waiter.until_s:
        return True
    if live_holder(world, bucket) is not None:
        return False
    n_missing = n_ahead - bucket.n_tokens - n_expected(world, now_s, bucket)
    return n_missing > rate_per_s * (waiter.until_s - now_s)


def _refuse_denied(world: World, now_s: float, bucket: BucketRow) -> Effects:
    """Refuse the newest waiting requests, as many as the holder denied a token."""
    effects: Effects = []
    kept: list[WaiterRow] = []
    while bucket.n_denied > 0 and bucket.waiters:
        waiter = bucket.waiters.pop()
        row = world.requests.get(waiter.request_id)
        if waiter.borrower or row is None:
            kept.append(waiter)
            continue
        bucket.n_denied -= 1
        retry_after_s = bucket.denied_retry_after_s
        effects += _refuse_over_rate(world, now_s, bucket, row, retry_after_s)
    bucket.waiters.extend(reversed(kept))
    bucket.n_denied = 0
    return effects


def _refuse_over_rate(
    world: World, now_s: float, bucket: BucketRow, row: RequestRow, retry_after_s: float
) -> Effects:
    world.count("refused_over_rate", bucket.account)
    inputs = _describe_limit(world, now_s, bucket)
    verdict = NotRun(Reason.OVER_RATE)
    return fail_request(world, now_s, row, verdict, retry_after_s, inputs)


def _admit(world: World, now_s: float, row: RequestRow) -> None:
    row.admitted_s = now_s
    world.requests.move(row, RequestState.ADMITTED)
    world.count("admitted", row.account)


def _arm_deadline(world: World, now_s: float, bucket: BucketRow) -> None:
    """Arm a deadline for the next time at which a waiter can be served or expires."""
    if not bucket.waiters:
        return
    next_deadline_s = min(waiter.until_s for waiter in bucket.waiters)
    if bucket.n_requested:
        next_deadline_s = min(next_deadline_s, bucket.request_expires_s)
    next_deadline_s = min(next_deadline_s, request_expiry_s(bucket))
    rate = refill_rate_per_s(bucket)
    if rate > 0 and bucket.n_tokens < 1:
        next_deadline_s = min(next_deadline_s, now_s + (1 - bucket.n_tokens) / rate)
    next_deadline_s = max(next_deadline_s, now_s + 0.001)
    if now_s < bucket.next_deadline_s <= next_deadline_s:
        return
    bucket.next_deadline_s = next_deadline_s
    world.deadlines.arm(next_deadline_s, Timer.BUCKET, bucket.account)
