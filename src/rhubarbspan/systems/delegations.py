"""Delegates owned shares of limits to other instances (holders) for a term.

Holders renew the delegations while they need them, and return the shares afterwards.
"""

from ..effects import Effects, SendPeerMessage
from ..inputs import Timer
from ..peer_messages import (
    DelegatedShare,
    DelegationGrant,
    DelegationRequest,
    DelegationReturn,
    ReturnedShare,
)
from ..policies import PooledShares, StaticShares, Uncoordinated
from ..tables.buckets import BucketRow, DelegatedRow, DelegationRequestRow, ShareRow
from ..world import World
from .bucketing import (
    capacity,
    holds_delegated_shares,
    is_backed_without,
    lender_term_s,
    refill,
)
from .holder_choice import choose_holder
from .share_ownership import DELEGATION_TERM_S, restore_own_share


def renew_delegations(world: World, now_s: float) -> Effects:
    """Choose the holder of each account, and request or return shares accordingly.

    This instance requests the shares of the accounts that it is to hold, and returns
    the delegated shares of all others.
    """
    effects: Effects = []
    held: list[str] = []
    # DemandShares does not get here: it has no delegations, see limit_sharing.
    match world.policies.limits:
        case PooledShares():
            pass
        case StaticShares() | Uncoordinated():
            _restore_all_shares(world, now_s)
            return []
    for bucket in world.buckets.rows():
        bucket.holder = choose_holder(world, bucket, now_s)
        if _restore_if_expired(world, now_s, bucket):
            effects += _delegate_to_pending(world, now_s, bucket)
        if bucket.holder == world.identity.seat:
            held.append(bucket.account)
        else:
            effects += _return_shares(world, now_s, bucket)
    if held:
        own_identity = world.identity
        request = DelegationRequest(
            own_identity.seat, own_identity.incarnation, now_s, held
        )
        alive = [peer for peer in world.peers.alive() if peer.peer_address]
        effects += [SendPeerMessage(peer.seat, request) for peer in alive]
    return effects


def _restore_all_shares(world: World, now_s: float) -> None:
    for bucket in world.buckets.rows():
        bucket.holder = world.identity.seat
        _restore_if_expired(world, now_s, bucket)


def _restore_if_expired(world: World, now_s: float, bucket: BucketRow) -> bool:
    """Restore the owned share unless it is delegated.

    It is also restored if there was no delegation but this instance does not refill
    from it yet, for example after the start-up wait.

    Returns:
        Whether a delegation had expired.
    """
    delegated = bucket.delegated
    if delegated is not None and now_s < delegated.until_s:
        peer = world.peers.get(delegated.holder)
        if peer is not None and not peer.is_alive:
            # "extra" is the key of an unscheduled heartbeat.
            world.deadlines.arm(delegated.until_s, Timer.HEARTBEAT, "extra")
        return False
    bucket.delegated = None
    if world.identity.seat not in bucket.shares:
        restore_own_share(world, now_s, bucket)
    return delegated is not None


def handle_delegation_request(
    world: World, now_s: float, request: DelegationRequest
) -> Effects:
    """Delegate the owned shares that are not delegated, or renew their delegations."""
    shares: list[DelegatedShare] = []
    for account in request.accounts:
        bucket = world.buckets.get(account)
        if bucket is None:
            continue
        bucket.pending_delegation_request = DelegationRequestRow(
            request.seat, request.incarnation, request.requested_s
        )
        share = _delegate(world, now_s, bucket, request)
        if share is not None:
            shares.append(share)
    if not shares:
        return []
    own_identity = world.identity
    grant = DelegationGrant(
        own_identity.seat,
        own_identity.incarnation,
        request.incarnation,
        request.requested_s,
        DELEGATION_TERM_S,
        shares,
    )
    return [SendPeerMessage(request.seat, grant)]


def _delegate(
    world: World, now_s: float, bucket: BucketRow, request: DelegationRequest
) -> DelegatedShare | None:
    """Delegate the owned share of one account, or renew its delegation."""
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
    refill(bucket, now_s)
    own = bucket.shares.get(world.identity.seat)
    if own is None or not is_backed_without(bucket, own.owner):
        return None
    n_tokens = min(bucket.n_tokens, own.burst)
    del bucket.shares[own.owner]
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


def handle_delegation_grant(world: World, now_s: float, grant: DelegationGrant) -> None:
    """Start to refill from delegated shares, or extend their terms.

    A grant is ignored if its term is over, if it was made to an earlier incarnation of
    this instance, or if it was requested before the share was returned.
    """
    until_s = grant.requested_s + grant.term_s
    if grant.holder_incarnation != world.identity.incarnation or until_s <= now_s:
        return
    for share in grant.shares:
        bucket = world.buckets.get(share.account)
        if bucket is None:
            continue
        if grant.requested_s <= bucket.share_returned_s.get(grant.seat, -1e9):
            continue
        _add_share(world, bucket, now_s, grant, share)


def _add_share(
    world: World,
    bucket: BucketRow,
    now_s: float,
    grant: DelegationGrant,
    share: DelegatedShare,
) -> None:
    refill(bucket, now_s)
    until_s = grant.requested_s + grant.term_s
    current_share = bucket.shares.get(grant.seat)
    version = (grant.incarnation, share.delegation_id)
    if current_share is not None:
        current_version = (
            current_share.owner_incarnation,
            current_share.delegation_id,
        )
        if version < current_version or grant.requested_s < current_share.requested_s:
            return
        is_new_delegation = version > current_version
    else:
        is_new_delegation = True
    bucket.shares[grant.seat] = ShareRow(
        grant.seat,
        share.rate_per_s,
        share.burst,
        until_s,
        grant.incarnation,
        share.delegation_id,
        grant.requested_s,
    )
    if is_new_delegation:
        bucket.n_tokens += share.tokens
        world.changed_accounts[bucket.account] = None
        world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
    bucket.n_tokens = min(bucket.n_tokens, capacity(bucket))


def _return_shares(world: World, now_s: float, bucket: BucketRow) -> Effects:
    """Return delegated shares to their owners, with a part of the tokens each.

    The part is the share's burst divided by the capacity of the bucket, at most 1.
    Shares that back loans are kept until the loans end.
    """
    if not holds_delegated_shares(bucket):
        return []
    refill(bucket, now_s)
    delegated = [share for share in bucket.shares.values() if share.delegation_id]
    effects: Effects = []
    for share in delegated:
        if not is_backed_without(bucket, share.owner):
            break
        total_capacity = max(share.burst, capacity(bucket))
        fraction = share.burst / total_capacity if total_capacity > 0 else 0.0
        n_tokens = bucket.n_tokens * fraction
        bucket.n_tokens -= n_tokens
        del bucket.shares[share.owner]
        bucket.share_returned_s[share.owner] = now_s
        effects.append(_return_share(world, bucket, share, n_tokens))
    if effects:
        world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
    return effects


def _return_share(
    world: World, bucket: BucketRow, share: ShareRow, n_tokens: float
) -> SendPeerMessage:
    own_identity = world.identity
    returned = ReturnedShare(bucket.account, share.delegation_id, n_tokens)
    message = DelegationReturn(own_identity.seat, own_identity.incarnation, [returned])
    return SendPeerMessage(share.owner, message)


def handle_delegation_return(
    world: World, now_s: float, returned: DelegationReturn
) -> Effects:
    """Refill again from the owned shares that a holder returns."""
    effects: Effects = []
    for share in returned.shares:
        bucket = world.buckets.get(share.account)
        if bucket is None or bucket.delegated is None:
            continue
        delegated = bucket.delegated
        current_holder = (delegated.holder, delegated.holder_incarnation)
        if current_holder != (returned.seat, returned.incarnation):
            continue
        if delegated.delegation_id != share.delegation_id:
            continue
        bucket.delegated = None
        restore_own_share(world, now_s, bucket)
        bucket.n_tokens = min(bucket.n_tokens + share.tokens, capacity(bucket))
        effects += _delegate_to_pending(world, now_s, bucket)
    return effects


def _delegate_to_pending(world: World, now_s: float, bucket: BucketRow) -> Effects:
    """Delegate a share that is no longer delegated to the last holder to request it.

    The holder counts the term from the time of its request, so granting an old request
    is safe.
    """
    pending = bucket.pending_delegation_request
    if pending is None or pending.holder != bucket.holder:
        return []
    request = DelegationRequest(
        pending.holder,
        pending.holder_incarnation,
        pending.requested_s,
        [bucket.account],
    )
    return handle_delegation_request(world, now_s, request)
