"""Chooses the instance that mints an account's shares, and finds who has them."""

from ..tables.buckets import BucketRow
from ..tables.peers import PeerRow
from ..world import World
from .bucketing import (
    holds_delegated_shares,
    rendezvous_score,
    smoothed_demand_per_s,
)

HOLDER_ADVANTAGE = 2.0
MIN_DEMAND_PER_S = 0.01


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
    if demand_per_s < MIN_DEMAND_PER_S:
        return MIN_DEMAND_PER_S / 2 if is_holder else 0.0
    return demand_per_s * (HOLDER_ADVANTAGE if is_holder else 1.0)


def live_holder(world: World, bucket: BucketRow) -> PeerRow | None:
    """Return the peer to ask for tokens, or None if there is none to ask.

    While the shares move to another holder, the peers' heartbeats tell who has them.
    """
    if holds_delegated_shares(bucket):
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
