"""Orders new connections to peers that no longer confirm heartbeats.

A connection may go silent for good while new ones work. The transport's own probes
may take long to show it, or not show it at all.
"""

from ..effects import ClosePeerLink, Effects
from ..inputs import Inbox, Timer
from ..tables.peers import PeerRow
from ..world import World
from .confirmations import DEMAND_RETENTION_S, exchanges_heartbeats, may_refill
from .fleet_layout import (
    N_HEARTBEATS_PER_SUMMARY,
    counterpart_relays,
    is_two_level,
    sends_summaries,
)
from .membership import heartbeat_receivers

# Each new connection that confirms nothing either is given longer than the one before:
# the peer may be gone, or too busy to answer.
BACKOFF_FACTOR = 2.0


def renew_peer_links(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Order a new connection to each peer whose confirmations have ceased."""
    if not inbox.due(Timer.HEARTBEAT):
        return []
    rows = heartbeat_receivers(world)
    if is_two_level(world) and sends_summaries(world):
        rows += counterpart_relays(world)
    effects: Effects = []
    for row in rows:
        if not may_refill(row, now_s):
            continue
        if row.link_opened_s < 0:
            row.link_opened_s = now_s
        if row.confirmed_s > row.link_opened_s:
            row.link_wait_s = 0.0
        wait_s = max(row.link_wait_s, _silence_s(world, row))
        if now_s - max(row.confirmed_s, row.link_opened_s) > wait_s:
            row.link_opened_s = now_s
            row.link_wait_s = min(BACKOFF_FACTOR * wait_s, DEMAND_RETENTION_S)
            world.count("peer_links_renewed")
            effects.append(ClosePeerLink(row.seat))
    return effects


def _silence_s(world: World, row: PeerRow) -> float:
    """Return how long a peer may confirm nothing before its connection is replaced."""
    policies = world.policies
    if exchanges_heartbeats(world, row):
        return policies.dead_after_s
    # Relays exchange heartbeats as rarely as summaries, and the answer may be as late.
    interval_s = N_HEARTBEATS_PER_SUMMARY * policies.heartbeat_interval_s
    return policies.dead_after_s + 2 * interval_s
