"""Shares limits over the fleet: each home share is minted by one instance at a time.

A home seat owns a share of each account's rate and burst. It delegates the share for
a term to the holder, the instance where most of the demand is; the holder lends
tokens for shorter terms. Either side stops by its own clock, the granting side last.
The scheme is escrow (O'Neil) with leases (Gray and Cheriton).
"""

from ..configuration import ClientAccount, Shift
from ..effects import Effects, SendPeer
from ..inputs import Inbox, PeerReceived, PeersListed, Timer
from ..peer_messages import (
    DelegatedShare,
    DelegationGrant,
    DelegationRequest,
    DelegationReturn,
    LoanReport,
    ReturnedShare,
    TokenGrant,
    TokenRequest,
)
from ..policies import PooledShares, StaticShares, Uncoordinated
from ..tables.buckets import (
    AskingRow,
    BorrowedRow,
    BucketRow,
    DelegatedRow,
    LoanRow,
    ShareRow,
    WantRow,
)
from ..tables.peers import PeerRow
from ..world import World
from .bucketing import (
    capacity,
    holds_foreign_shares,
    home_share,
    is_backed_without,
    lender_term_s,
    mint,
    rendezvous_score,
    smoothed_demand_per_s,
)

DELEGATION_TERM_S = 0.9
STARTUP_S = lender_term_s(DELEGATION_TERM_S) + 0.5
HOLDER_ADVANTAGE = 2.0
WANT_TERM_S = 0.45
SHIFT_PREFIX = "shift:"
FOREVER_S = 1e18


def share_limits(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Bring buckets in line with the configuration and exchange shares and tokens."""
    if world.is_configuration_new:
        _note_seats(world)
        sync_buckets(world, now_s)
    if world.unconfirmed_seats and _hears_of_peers(inbox):
        _confirm_seats(world, now_s)
    effects: Effects = []
    for received in inbox.of(PeerReceived):
        match received.message:
            case DelegationRequest() as request:
                effects += _answer_delegation_request(world, now_s, request)
            case DelegationGrant() as grant:
                _take_delegation(world, now_s, grant)
            case DelegationReturn() as returned:
                effects += _take_share_back(world, now_s, returned)
            case TokenRequest() as wanted:
                _note_token_request(world, now_s, wanted)
            case TokenGrant() as granted:
                _take_tokens(world, now_s, granted)
    if inbox.due(Timer.HEARTBEAT):
        effects += _renew_delegations(world, now_s)
    return effects


def _hears_of_peers(inbox: Inbox) -> bool:
    return bool(inbox.of(PeerReceived)) or bool(inbox.of(PeersListed))


def sync_buckets(world: World, now_s: float) -> None:
    """Create, change and remove buckets to match the configuration in force."""
    wanted: dict[str, tuple[float, int]] = {}
    for account in world.configuration.client_accounts.values():
        wanted[account.name] = _own_share(world, account)
    for shift in world.configuration.shifts.values():
        wanted[SHIFT_PREFIX + shift.name] = _shift_share(world, shift)
    for bucket in world.buckets.rows():
        if bucket.account not in wanted:
            world.buckets.remove(bucket.account)
    for name, (rate, burst) in wanted.items():
        bucket = world.buckets.get(name) or BucketRow(name, minted_s=now_s)
        world.buckets.add(bucket)
        mint(bucket, now_s)
        _set_own_share(world, now_s, bucket, rate, float(burst))
    for shift in world.configuration.shifts.values():
        bucket_of_shift = world.buckets.get(SHIFT_PREFIX + shift.name)
        if bucket_of_shift is not None and bucket_of_shift.ramp_s == 0:
            ramp_s = shift.cap_requests_per_s / shift.pace_requests_per_s2
            bucket_of_shift.ramp_s = ramp_s
            bucket_of_shift.ramp_start_s = now_s


def _own_share(world: World, account: ClientAccount) -> tuple[float, int]:
    match world.policies.limits:
        case Uncoordinated():
            return account.rate_per_s, account.burst
        case PooledShares() | StaticShares():
            return home_share(
                account.name,
                account.rate_per_s,
                account.burst,
                world.configuration.seats(),
                world.identity.seat,
            )


def _shift_share(world: World, shift: Shift) -> tuple[float, int]:
    # Rate plus burst is at most the cap, so that no second exceeds it.
    burst = max(1, int(shift.cap_requests_per_s * 0.1))
    rate = max(0.0, shift.cap_requests_per_s - burst)
    if shift.cap_requests_per_s < 1:
        return 0.0, 0
    seats = world.configuration.seats()
    name = SHIFT_PREFIX + shift.name
    return home_share(name, rate, burst, seats, world.identity.seat)


def _set_own_share(
    world: World, now_s: float, bucket: BucketRow, rate: float, burst: float
) -> None:
    bucket.pending_rate_per_s = rate
    bucket.pending_burst = burst
    if world.unconfirmed_seats:
        rate = min(rate, bucket.own_rate_per_s)
        burst = min(burst, bucket.own_burst)
    bucket.own_rate_per_s = rate
    bucket.own_burst = burst
    if bucket.delegated is None:
        _mint_at_home(world, now_s, bucket)


def _mint_at_home(world: World, now_s: float, bucket: BucketRow) -> None:
    """Let this instance mint its own share, with its level unchanged."""
    if now_s - world.started_s < STARTUP_S:
        # An earlier life of this seat may have delegated the share.
        return
    mint(bucket, now_s)
    seat = world.identity.seat
    if bucket.own_burst <= 0:
        bucket.shares.pop(seat, None)
    else:
        bucket.shares[seat] = ShareRow(
            seat, bucket.own_rate_per_s, bucket.own_burst, FOREVER_S
        )
    bucket.n_tokens = min(bucket.n_tokens, capacity(bucket))


def _note_seats(world: World) -> None:
    """Note which seats have to confirm a change of the places before shares grow."""
    revision = world.configuration_state.snapshot.seats_revision
    if revision <= world.confirmed_seats_revision:
        return
    for seat in {*world.known_seats, *world.configuration.seats()}:
        place = world.configuration.data_centres.get(seat.rpartition("-")[0])
        if seat == world.identity.seat or (place is not None and place.is_gone):
            world.unconfirmed_seats.pop(seat, None)
        else:
            world.unconfirmed_seats[seat] = revision
    world.is_first_seats = not world.known_seats
    world.known_seats = world.configuration.seats()
    world.confirmed_seats_revision = revision


def _confirm_seats(world: World, now_s: float) -> None:
    for seat, revision in list(world.unconfirmed_seats.items()):
        peer = world.peers.get(seat)
        has_confirmed = peer is not None and peer.revision >= revision
        if has_confirmed or _is_known_absent(world, peer):
            del world.unconfirmed_seats[seat]
    if world.unconfirmed_seats:
        return
    for bucket in world.buckets.rows():
        _set_own_share(
            world, now_s, bucket, bucket.pending_rate_per_s, bucket.pending_burst
        )


def _is_known_absent(world: World, peer: PeerRow | None) -> bool:
    """Tell whether an instance that has just started may go by the platform's list."""
    if not (world.is_first_seats and world.has_peer_list):
        return False
    return peer is None or not (peer.is_listed or peer.is_alive)


def choose_holder(world: World, bucket: BucketRow, now_s: float) -> str:
    """Choose the instance that should mint an account's shares.

    It is the one with the most demand among those that are alive. The present
    holder keeps the shares until another has twice its demand.
    """
    own_demand = smoothed_demand_per_s(bucket, now_s)
    is_own = any(share.delegation_id for share in bucket.shares.values())
    candidates: list[tuple[float, int, str]] = []
    seat = world.identity.seat
    if world.departure is None:
        score = _holder_score(own_demand, is_own)
        candidates.append((score, rendezvous_score(bucket.account, seat), seat))
    for peer in world.peers.alive():
        if peer.is_leaving:
            continue
        demand = peer.demands.get(bucket.account)
        score = _holder_score(demand.rate_per_s, demand.is_holder) if demand else 0.0
        order = rendezvous_score(bucket.account, peer.seat)
        candidates.append((score, order, peer.seat))
    return max(candidates)[2] if candidates else seat


def _holder_score(demand_per_s: float, is_holder: bool) -> float:
    if demand_per_s < 0.01:
        return 0.005 if is_holder else 0.0
    return demand_per_s * (HOLDER_ADVANTAGE if is_holder else 1.0)


def _renew_delegations(world: World, now_s: float) -> Effects:
    effects: Effects = []
    held: list[str] = []
    match world.policies.limits:
        case PooledShares():
            pass
        case StaticShares() | Uncoordinated():
            _resume_all(world, now_s)
            return []
    for bucket in world.buckets.rows():
        bucket.holder = choose_holder(world, bucket, now_s)
        if _resume_if_lapsed(world, now_s, bucket):
            effects += _delegate_to_asking(world, now_s, bucket)
        if bucket.holder == world.identity.seat:
            held.append(bucket.account)
        else:
            effects += _return_shares(world, now_s, bucket)
    if held:
        me = world.identity
        request = DelegationRequest(me.seat, me.incarnation, now_s, held)
        alive = [peer for peer in world.peers.alive() if peer.peer_address]
        effects += [SendPeer(peer.seat, request) for peer in alive]
    return effects


def _resume_all(world: World, now_s: float) -> None:
    for bucket in world.buckets.rows():
        bucket.holder = world.identity.seat
        _resume_if_lapsed(world, now_s, bucket)


def _resume_if_lapsed(world: World, now_s: float, bucket: BucketRow) -> bool:
    """Mint the own share here if its delegation is over; tell whether it was."""
    delegated = bucket.delegated
    if delegated is not None and now_s < delegated.until_s:
        peer = world.peers.get(delegated.holder)
        if peer is not None and not peer.is_alive:
            world.deadlines.arm(delegated.until_s, Timer.HEARTBEAT, "extra")
        return False
    bucket.delegated = None
    if world.identity.seat not in bucket.shares:
        _mint_at_home(world, now_s, bucket)
    return delegated is not None


def _answer_delegation_request(
    world: World, now_s: float, request: DelegationRequest
) -> Effects:
    shares: list[DelegatedShare] = []
    for account in request.accounts:
        bucket = world.buckets.get(account)
        if bucket is None:
            continue
        bucket.asking = AskingRow(request.seat, request.incarnation, request.asked_s)
        share = _delegate(world, now_s, bucket, request)
        if share is not None:
            shares.append(share)
    if not shares:
        return []
    me = world.identity
    grant = DelegationGrant(
        me.seat,
        me.incarnation,
        request.incarnation,
        request.asked_s,
        DELEGATION_TERM_S,
        shares,
    )
    return [SendPeer(request.seat, grant)]


def _delegate(
    world: World, now_s: float, bucket: BucketRow, request: DelegationRequest
) -> DelegatedShare | None:
    """Delegate the own share of one account, or renew its delegation."""
    until_s = now_s + lender_term_s(DELEGATION_TERM_S)
    delegated = bucket.delegated
    if delegated is not None and now_s < delegated.until_s:
        is_same = delegated.holder == request.seat
        if not is_same or delegated.holder_incarnation != request.incarnation:
            return None
        if bucket.holder != request.seat:
            return None
        delegated.until_s = until_s
        return _describe_share(bucket, delegated.delegation_id, 0.0)
    if bucket.holder != request.seat or bucket.own_burst <= 0:
        return None
    mint(bucket, now_s)
    own = bucket.shares.get(world.identity.seat)
    if own is None or not is_backed_without(bucket, own.home):
        return None
    n_tokens = min(bucket.n_tokens, own.burst)
    del bucket.shares[own.home]
    bucket.n_tokens = min(bucket.n_tokens - n_tokens, capacity(bucket))
    bucket.n_delegations += 1
    bucket.delegated = DelegatedRow(
        request.seat, request.incarnation, bucket.n_delegations, until_s
    )
    return _describe_share(bucket, bucket.n_delegations, n_tokens)


def _describe_share(
    bucket: BucketRow, delegation_id: int, n_tokens: float
) -> DelegatedShare:
    return DelegatedShare(
        bucket.account,
        bucket.own_rate_per_s,
        bucket.own_burst,
        delegation_id,
        n_tokens,
    )


def _take_delegation(world: World, now_s: float, grant: DelegationGrant) -> None:
    until_s = grant.asked_s + grant.term_s
    if grant.holder_incarnation != world.identity.incarnation or until_s <= now_s:
        return
    for share in grant.shares:
        bucket = world.buckets.get(share.account)
        if bucket is None:
            continue
        if grant.asked_s <= bucket.returned_s.get(grant.seat, -1e9):
            continue
        _add_share(world, bucket, now_s, grant, share)


def _add_share(
    world: World,
    bucket: BucketRow,
    now_s: float,
    grant: DelegationGrant,
    share: DelegatedShare,
) -> None:
    mint(bucket, now_s)
    until_s = grant.asked_s + grant.term_s
    known = bucket.shares.get(grant.seat)
    lives = (grant.incarnation, share.delegation_id)
    if known is not None:
        known_lives = (known.home_incarnation, known.delegation_id)
        if lives < known_lives or grant.asked_s < known.asked_s:
            return
        is_first = lives > known_lives
    else:
        is_first = True
    bucket.shares[grant.seat] = ShareRow(
        grant.seat,
        share.rate_per_s,
        share.burst,
        until_s,
        grant.incarnation,
        share.delegation_id,
        grant.asked_s,
    )
    if is_first:
        bucket.n_tokens += share.tokens
        world.thirsty[bucket.account] = None
        world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
    bucket.n_tokens = min(bucket.n_tokens, capacity(bucket))


def _return_shares(world: World, now_s: float, bucket: BucketRow) -> Effects:
    """Give foreign shares back, with their part of the tokens.

    Shares on which loans rest stay until the loans are over.
    """
    if not holds_foreign_shares(bucket):
        return []
    mint(bucket, now_s)
    foreign = [share for share in bucket.shares.values() if share.delegation_id]
    effects: Effects = []
    for share in foreign:
        if not is_backed_without(bucket, share.home):
            break
        room = max(share.burst, capacity(bucket))
        part = share.burst / room if room > 0 else 0.0
        n_tokens = bucket.n_tokens * part
        bucket.n_tokens -= n_tokens
        del bucket.shares[share.home]
        bucket.returned_s[share.home] = now_s
        effects.append(_return_share(world, bucket, share, n_tokens))
    if effects:
        world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
    return effects


def _return_share(
    world: World, bucket: BucketRow, share: ShareRow, n_tokens: float
) -> SendPeer:
    me = world.identity
    returned = ReturnedShare(bucket.account, share.delegation_id, n_tokens)
    message = DelegationReturn(me.seat, me.incarnation, [returned])
    return SendPeer(share.home, message)


def _take_share_back(world: World, now_s: float, returned: DelegationReturn) -> Effects:
    effects: Effects = []
    for share in returned.shares:
        bucket = world.buckets.get(share.account)
        if bucket is None or bucket.delegated is None:
            continue
        delegated = bucket.delegated
        known = (delegated.holder, delegated.holder_incarnation)
        if known != (returned.seat, returned.incarnation):
            continue
        if delegated.delegation_id != share.delegation_id:
            continue
        bucket.delegated = None
        _mint_at_home(world, now_s, bucket)
        bucket.n_tokens = min(bucket.n_tokens + share.tokens, capacity(bucket))
        effects += _delegate_to_asking(world, now_s, bucket)
    return effects


def _delegate_to_asking(world: World, now_s: float, bucket: BucketRow) -> Effects:
    """Pass a share that became free on to the holder that asked for it last.

    The holder counts its term from when it asked, so an old request is still good.
    """
    asking = bucket.asking
    if asking is None or asking.holder != bucket.holder:
        return []
    request = DelegationRequest(
        asking.holder, asking.holder_incarnation, asking.asked_s, [bucket.account]
    )
    return _answer_delegation_request(world, now_s, request)


def _note_token_request(world: World, now_s: float, request: TokenRequest) -> None:
    if request.holder_incarnation == world.identity.incarnation:
        _note_reports(world, now_s, request)
    for want in request.wants:
        bucket = world.buckets.get(want.account)
        if bucket is None or not bucket.shares:
            continue
        bucket.wants.append(
            WantRow(
                request.seat,
                request.incarnation,
                0,
                want.n_tokens,
                request.asked_s,
                now_s + WANT_TERM_S,
            )
        )
        world.thirsty[bucket.account] = None


def _note_reports(world: World, now_s: float, request: TokenRequest) -> None:
    for report in request.reports:
        bucket = world.buckets.get(report.account)
        if bucket is None:
            continue
        mint(bucket, now_s)
        loan = bucket.loans.get(report.loan_id)
        if loan is None or loan.borrower != request.seat:
            continue
        _settle_loan(bucket, loan, report)
        world.thirsty[bucket.account] = None


def _settle_loan(bucket: BucketRow, loan: LoanRow, report: LoanReport) -> None:
    n_open = loan.n_tokens - report.n_spent - report.n_returned
    if n_open >= loan.n_open:
        return
    n_returned = max(0, report.n_returned - loan.n_returned)
    loan.n_open = n_open
    loan.n_returned += n_returned
    if n_open <= 0:
        del bucket.loans[loan.loan_id]
    bucket.n_tokens = min(bucket.n_tokens + n_returned, capacity(bucket))


def _take_tokens(world: World, now_s: float, grant: TokenGrant) -> None:
    until_s = grant.asked_s + grant.term_s
    if grant.borrower_incarnation != world.identity.incarnation:
        return
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
        bucket.n_asked = max(0, bucket.n_asked - loan.n_tokens)
        world.thirsty[bucket.account] = None


def live_holder(world: World, bucket: BucketRow) -> PeerRow | None:
    """Return the peer to ask for tokens, or None if there is none to ask.

    While the shares move to another holder, the peers' heartbeats tell who has them.
    """
    if holds_foreign_shares(bucket):
        return None
    chosen = world.peers.get(bucket.holder)
    is_alive = chosen is not None and chosen.is_alive
    if is_alive and chosen is not None and _claims_shares(chosen, bucket.account):
        return chosen
    for peer in world.peers.alive():
        if _claims_shares(peer, bucket.account):
            return peer
    return chosen if is_alive else None


def _claims_shares(peer: PeerRow, account: str) -> bool:
    demand = peer.demands.get(account)
    return demand is not None and demand.is_holder
