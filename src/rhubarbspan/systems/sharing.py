"""Shares limits over the fleet: each home share is minted by one instance at a time.

A home seat owns a share of each account's rate and burst. It delegates the share for
a term to the holder, the instance where most of the demand is; the holder lends
tokens for shorter terms. Either side stops by its own clock, the granting side last.
The scheme is escrow (O'Neil) with leases (Gray and Cheriton).
"""

from ..effects import Effects
from ..inputs import Inbox, PeerMessageReceived, PeersListed, Timer
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
    answer_delegation_request,
    renew_delegations,
    take_delegation,
    take_share_back,
)
from .homes import confirm_seats, follow_demand, note_seats, sync_buckets
from .parts import note_demands
from .token_loans import note_token_request, take_tokens


def share_limits(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Bring buckets in line with the configuration and exchange shares and tokens."""
    if world.is_configuration_new:
        note_seats(world)
        sync_buckets(world, now_s)
    if world.unconfirmed_seats and _hears_of_peers(inbox):
        confirm_seats(world, now_s)
    effects: Effects = []
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case DelegationRequest() as request:
                effects += answer_delegation_request(world, now_s, request)
            case DelegationGrant() as grant:
                take_delegation(world, now_s, grant)
            case DelegationReturn() as returned:
                effects += take_share_back(world, now_s, returned)
            case TokenRequest() as wanted:
                note_token_request(world, now_s, wanted)
            case TokenGrant() as granted:
                take_tokens(world, now_s, granted)
    if inbox.due(Timer.HEARTBEAT):
        match world.policies.limits:
            case DemandShares():
                note_demands(world, now_s)
                follow_demand(world, now_s)
            case PooledShares() | StaticShares() | Uncoordinated():
                effects += renew_delegations(world, now_s)
    return effects


def _hears_of_peers(inbox: Inbox) -> bool:
    return bool(inbox.of(PeerMessageReceived)) or bool(inbox.of(PeersListed))
