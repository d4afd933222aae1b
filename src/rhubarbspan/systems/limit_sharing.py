"""Shares limits over the fleet: one instance at a time refills from each owned share.

Each seat owns a share of each account's rate and burst. It delegates the share for a
term to the holder, the instance with the most demand; the holder lends tokens for
shorter terms. Both sides measure a term by their own clocks, and the granting side
waits longer, so that a share is never in use twice.
The scheme is escrow (O'Neil) with leases (Gray and Cheriton).
"""

from ..effects import Effects
from ..inputs import Inbox, PeerMessageReceived, PeersListed, PoliciesChanged, Timer
from ..peer_messages import (
    DelegationGrant,
    DelegationRequest,
    DelegationReturn,
    TokenGrant,
    TokenRequest,
)
from ..policies import DemandShares, PooledShares, StaticShares, Uncoordinated
from ..world import World
from .delegations import (
    handle_delegation_grant,
    handle_delegation_request,
    handle_delegation_return,
    renew_delegations,
)
from .demand_fractions import update_demand_fractions
from .share_ownership import (
    confirm_seats,
    startup_s,
    sync_buckets,
    update_owned_shares,
    update_unconfirmed_seats,
)
from .token_advances import follow_limits
from .token_loans import handle_token_grant, handle_token_request


def share_limits(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Update buckets to the configuration and exchange shares and tokens with peers."""
    if world.is_configuration_new or inbox.of(PoliciesChanged):
        update_unconfirmed_seats(world)
        sync_buckets(world, now_s)
        follow_limits(world)
    if world.unconfirmed_seats and _has_peer_updates(inbox):
        confirm_seats(world, now_s)
    effects: Effects = []
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case DelegationRequest() as request:
                effects += handle_delegation_request(world, now_s, request)
            case DelegationGrant() as grant:
                handle_delegation_grant(world, now_s, grant)
            case DelegationReturn() as returned:
                effects += handle_delegation_return(world, now_s, returned)
            case TokenRequest() as token_request:
                handle_token_request(world, now_s, token_request)
            case TokenGrant() as token_grant:
                handle_token_grant(world, now_s, token_grant)
    if inbox.due(Timer.HEARTBEAT):
        match world.policies.limits:
            case DemandShares():
                update_demand_fractions(world, now_s, startup_s(world))
                update_owned_shares(world, now_s)
            case PooledShares() | StaticShares() | Uncoordinated():
                effects += renew_delegations(world, now_s)
    return effects


def _has_peer_updates(inbox: Inbox) -> bool:
    return bool(inbox.of(PeerMessageReceived)) or bool(inbox.of(PeersListed))
