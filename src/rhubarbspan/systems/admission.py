"""Admits requests against the client account's tokens, some after a short wait."""

from ..effects import Effects, SendPeerMessage
from ..inputs import Inbox, Timer
from ..peer_messages import LoanReport, TokenGrant, TokenLoan, TokenRequest, TokenWant
from ..tables.buckets import BucketRow, LoanRow, WaiterRow
from ..tables.requests import RequestRow, RequestState
from ..verdict import NotRun, Reason
from ..world import World
from .bucketing import (
    TOKEN_TERM_S,
    capacity,
    lendable,
    lender_term_s,
    mint,
    mint_rate_per_s,
    n_borrowed,
    note_arrivals,
    smoothed_demand_per_s,
    spend_token,
)
from .completion import fail_request
from .holders import live_holder
from .homes import SHIFT_PREFIX, startup_s

MAX_WAIT_S = 0.5
ASK_TIMEOUT_S = 0.45
ASK_INTERVAL_S = 0.01
PREFETCH_S = 0.15
# Over which time those come back who were refused because the instance had started.
RETURN_SPREAD_S = 0.6
PREFETCH_MIN_RATE_PER_S = 20.0


def admit_requests(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Give tokens to the requests and instances that wait for them."""
    _enlist_arrivals(world, now_s)
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
        mint(bucket, now_s)
        effects += _serve_wants(world, now_s, bucket)
        _ask_holder(world, now_s, bucket, batches)
        _arm_wake(world, now_s, bucket)
    effects += [SendPeerMessage(seat, batch) for seat, batch in batches.items()]
    return effects


def _enlist_arrivals(world: World, now_s: float) -> None:
    for row in world.new_requests:
        if row.state is not RequestState.ADMITTING or not row.account:
            continue
        bucket = world.buckets.get(row.account)
        world.changed_accounts[row.account] = None
        if bucket is None:
            continue
        note_arrivals(bucket, now_s, 1)
        until_s = min(now_s + MAX_WAIT_S, row.deadline_s)
        bucket.waiters.append(WaiterRow("", 0, row.request_id, 1, now_s, until_s))


def _refuse_all(world: World, now_s: float, account: str) -> Effects:
    effects: Effects = []
    for row in world.requests.in_state(RequestState.ADMITTING):
        if row.account == account:
            effects += fail_request(world, now_s, row, NotRun(Reason.BAD_KEY))
    return effects


def _serve_wants(world: World, now_s: float, bucket: BucketRow) -> Effects:
    """Serve the waiters in order of arrival, as one central bucket would."""
    effects: Effects = []
    grants: dict[tuple[str, float], TokenGrant] = {}
    kept: list[WaiterRow] = []
    rate = mint_rate_per_s(bucket)
    n_ahead = 0
    while bucket.waiters:
        want = bucket.waiters.popleft()
        if want.borrower:
            n_ahead += _serve_peer(world, now_s, bucket, want, grants, kept)
            continue
        row = world.requests.get(want.request_id)
        if row is None or row.state is not RequestState.ADMITTING:
            continue
        if n_ahead == 0 and spend_token(bucket, now_s):
            _admit(world, now_s, row)
            continue
        n_ahead += 1
        if _is_hopeless(world, now_s, bucket, want, rate, n_ahead):
            retry_after_s = n_ahead / rate if rate > 0 else 1.0
            verdict = NotRun(Reason.OVER_RATE)
            starting_s = world.started_s + startup_s(world) - now_s
            if rate <= 0 and starting_s > 0:
                # Nothing may be spent yet, whatever the account's rate.
                verdict = NotRun(Reason.NOT_READY)
                retry_after_s = starting_s + RETURN_SPREAD_S * world.rng.random()
            else:
                world.count("refused_over_rate", bucket.account)
            inputs = _describe_limit(world, now_s, bucket)
            effects += fail_request(world, now_s, row, verdict, retry_after_s, inputs)
            n_ahead -= 1
            continue
        kept.append(want)
    bucket.waiters.extend(kept)
    effects += [SendPeerMessage(seat, grant) for (seat, _), grant in grants.items()]
    return effects


def _describe_limit(world: World, now_s: float, bucket: BucketRow) -> dict[str, float]:
    """Return the figures that decide whether a request finds a token."""
    account = world.configuration.client_accounts.get(bucket.account)
    return {
        "limit_rate_per_s": account.rate_per_s if account else 0.0,
        "limit_burst": account.burst if account else 0.0,
        "own_rate_per_s": round(mint_rate_per_s(bucket), 3),
        "own_burst": round(capacity(bucket), 3),
        "n_tokens": round(bucket.n_tokens, 3),
        "demand_per_s": round(smoothed_demand_per_s(bucket, now_s), 3),
    }


def _is_hopeless(
    world: World,
    now_s: float,
    bucket: BucketRow,
    want: WaiterRow,
    rate_per_s: float,
    n_ahead: int,
) -> bool:
    """Tell whether a local waiter cannot be served in time."""
    if now_s >= want.until_s:
        return True
    if live_holder(world, bucket) is not None:
        return False
    n_missing = n_ahead - bucket.n_tokens
    return n_missing > rate_per_s * (want.until_s - now_s)


def _serve_peer(
    world: World,
    now_s: float,
    bucket: BucketRow,
    want: WaiterRow,
    grants: dict[tuple[str, float], TokenGrant],
    kept: list[WaiterRow],
) -> int:
    """Lend tokens to a peer; return how many it still waits for."""
    if want.until_s <= now_s:
        return 0
    n_tokens = min(want.n_tokens, lendable(bucket, now_s))
    if kept:
        n_tokens = 0
    if n_tokens > 0:
        _lend(world, now_s, bucket, want, n_tokens, grants)
        want.n_tokens -= n_tokens
    if want.n_tokens > 0:
        kept.append(want)
    return want.n_tokens


def _lend(
    world: World,
    now_s: float,
    bucket: BucketRow,
    want: WaiterRow,
    n_tokens: int,
    grants: dict[tuple[str, float], TokenGrant],
) -> None:
    bucket.n_tokens -= n_tokens
    world.n_loans += 1
    until_s = now_s + lender_term_s(TOKEN_TERM_S)
    loan = LoanRow(world.n_loans, want.borrower, n_tokens, n_tokens, until_s)
    bucket.loans[loan.loan_id] = loan
    key = (want.borrower, want.requested_s)
    if key not in grants:
        me = world.identity
        grants[key] = TokenGrant(
            me.seat,
            me.incarnation,
            want.borrower_incarnation,
            want.requested_s,
            TOKEN_TERM_S,
            [],
        )
    grants[key].loans.append(TokenLoan(loan.loan_id, bucket.account, n_tokens))


def _admit(world: World, now_s: float, row: RequestRow) -> None:
    row.admitted_s = now_s
    world.requests.move(row, RequestState.ADMITTED)
    world.count("admitted", row.account)


def _ask_holder(
    world: World, now_s: float, bucket: BucketRow, batches: dict[str, TokenRequest]
) -> None:
    """Ask the holder for the tokens that are missing, and report those spent."""
    peer = live_holder(world, bucket)
    if peer is None:
        return
    if bucket.n_requested and now_s >= bucket.request_expires_s:
        bucket.n_requested = 0
    n_waiting = sum(1 for want in bucket.waiters if not want.borrower)
    n_prefetch = _prefetch(world, now_s, bucket)
    n_missing = n_waiting + n_prefetch - n_borrowed(bucket, now_s) - bucket.n_requested
    is_urgent = n_waiting > bucket.n_requested or n_missing >= max(1, n_prefetch // 2)
    if not n_waiting:
        _return_surplus(bucket, now_s, n_prefetch)
    reports = _collect_reports(bucket, peer.seat, peer.incarnation)
    n_wanted = n_missing if is_urgent and n_missing > 0 else 0
    if not n_wanted and not reports:
        return
    if now_s - bucket.last_request_s < ASK_INTERVAL_S and not n_waiting:
        return
    bucket.last_request_s = now_s
    _add_to_batch(world, now_s, bucket, peer.seat, n_wanted, reports, batches)


def _prefetch(world: World, now_s: float, bucket: BucketRow) -> int:
    demand_per_s = smoothed_demand_per_s(bucket, now_s)
    account = world.configuration.client_accounts.get(bucket.account)
    if account is not None:
        if account.rate_per_s < PREFETCH_MIN_RATE_PER_S:
            return 0
        return int(min(demand_per_s, account.rate_per_s) * PREFETCH_S)
    # Requests never wait for a shift's tokens, so some must be at hand.
    name = bucket.account.removeprefix(SHIFT_PREFIX)
    shift = world.configuration.shifts.get(name)
    if shift is None or demand_per_s < 1:
        return 0
    return max(1, int(min(demand_per_s, shift.cap_requests_per_s) * PREFETCH_S))


def _return_surplus(bucket: BucketRow, now_s: float, n_prefetch: int) -> None:
    """Give back borrowed tokens that nobody waits for.

    An account with a prefetch keeps its tokens until they get old.
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
    n_wanted: int,
    reports: list[LoanReport],
    batches: dict[str, TokenRequest],
) -> None:
    if holder not in batches:
        peer = world.peers.get(holder)
        me = world.identity
        incarnation = peer.incarnation if peer else 0
        batches[holder] = TokenRequest(
            me.seat, me.incarnation, incarnation, now_s, [], []
        )
    batches[holder].reports.extend(reports)
    if n_wanted:
        batches[holder].requested_tokens.append(TokenWant(bucket.account, n_wanted))
        bucket.n_requested += n_wanted
        bucket.request_expires_s = now_s + ASK_TIMEOUT_S


def _arm_wake(world: World, now_s: float, bucket: BucketRow) -> None:
    """Arm the deadline at which a waiter may be served or expires."""
    if not bucket.waiters:
        return
    next_deadline_s = min(want.until_s for want in bucket.waiters)
    if bucket.n_requested:
        next_deadline_s = min(next_deadline_s, bucket.request_expires_s)
    rate = mint_rate_per_s(bucket)
    if rate > 0 and bucket.n_tokens < 1:
        next_deadline_s = min(next_deadline_s, now_s + (1 - bucket.n_tokens) / rate)
    next_deadline_s = max(next_deadline_s, now_s + 0.001)
    if now_s < bucket.next_deadline_s <= next_deadline_s:
        return
    bucket.next_deadline_s = next_deadline_s
    world.deadlines.arm(next_deadline_s, Timer.BUCKET, bucket.account)
