"""Chooses the holder of an account's shares and finds the peer that has them now."""

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
    """Return the seat of the instance that should hold an account's shares.

    It is the live instance with the most demand that is not leaving. The present holder
    keeps the shares until another instance has twice its demand.
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
    """Return the peer to request tokens from, or None if there is none.

    While the shares move to another holder, it is a peer that reports in its heartbeats
    that it has them.
    """
    if holds_delegated_shares(bucket):
        return None
    chosen = world.peers.get(bucket.holder)
    is_alive = chosen is not None and chosen.is_alive
    if not world.peers.holders:
        return chosen if is_alive else None
    if is_alive and chosen is not None and _claims_shares(chosen, bucket.account):
        return chosen
    for peer in world.peers.alive():
        if _claims_shares(peer, bucket.account):
            return peer
    return chosen if is_alive else None


def _claims_shares(peer: PeerRow, account: str) -> bool:
    demand = peer.demands.get(account)
    return demand is not None and demand.is_holder
