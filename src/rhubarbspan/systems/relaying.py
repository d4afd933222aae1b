"""Passes heartbeats and summaries on to those that miss their author.

Who may refill a part of a limit follows from what the others know of it. An instance
that another does not hear would be taken for gone once its record is, and neither may
grow without the other's confirmation. A third that hears both passes on what each of
them tells: its demand, and what it has of the other.
"""

from dataclasses import replace

from ..effects import Effects, SendPeerMessage
from ..inputs import Inbox, PeerMessageReceived
from ..peer_messages import DataCentreSummary, Heartbeat, RelayedHeartbeat
from ..tables.peers import PeerRow
from ..world import World
from .confirmations import (
    OWN_PART_RETENTION_S,
    UNHEARD_AFTER_S,
    exchanges_heartbeats,
)
from .fleet_layout import N_RELAYS, counterpart_relays, local_peers


def relay_heartbeats(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Pass heartbeats on to those that miss their author, and apply those passed on."""
    effects: Effects = []
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat() as heartbeat:
                effects += _pass_on(world, heartbeat)
            case RelayedHeartbeat(heartbeat=heartbeat):
                _apply_relayed(world, now_s, heartbeat)
    return effects


def missed_seats(world: World) -> list[str]:
    """List the instances that this one should hear and does not."""
    return [
        row.seat
        for row in world.peers.rows()
        if not row.is_alive and not row.is_leaving and exchanges_heartbeats(world, row)
    ]


def lapsed_seats(world: World) -> list[str]:
    """List the silent instances that are not on the platform's list."""
    return [
        row.seat
        for row in world.peers.rows()
        if not row.is_alive and not row.is_listed and world.has_peer_list
    ]


def echoes_to_pass_on(world: World, missed: list[str]) -> dict[str, list[int]]:
    """Return what this instance has of those that it misses or that miss it."""
    echoes: dict[str, list[int]] = {}
    for seat in sorted(world.peers.missing.union(missed)):
        row = world.peers.get(seat)
        if row is None or not row.incarnation:
            continue
        if seat in missed or world.identity.seat in row.missed:
            echoes[seat] = [row.incarnation, row.newest_sequence()]
    return echoes


def apply_told_ways(world: World, row: PeerRow, heartbeat: Heartbeat) -> None:
    """Apply what a heartbeat tells of whom its author hears, and what it has heard."""
    own = world.identity
    world.peers.set_missed(row, heartbeat.missed)
    echo = heartbeat.echoes.get(own.seat, [])
    if len(echo) == 2 and echo[0] == own.incarnation:
        sent_s = world.heartbeats_sent_s.get(echo[1])
        if sent_s is not None:
            row.relayed_confirmed_s = max(row.relayed_confirmed_s, sent_s)


def apply_lapsed(world: World, now_s: float, heartbeat: Heartbeat) -> None:
    """Take records as removed that a peer with a newer reading of the store misses.

    The own list stays as it was while the store is away from here.
    """
    own_age_s = now_s - world.configuration_state.read_s
    if own_age_s < OWN_PART_RETENTION_S or heartbeat.read_age_s > OWN_PART_RETENTION_S:
        return
    for seat in heartbeat.lapsed:
        row = world.peers.get(seat)
        if row is not None and row.is_listed and not row.is_alive:
            row.is_listed = False
            row.unlisted_s = now_s


def _pass_on(world: World, heartbeat: Heartbeat) -> Effects:
    author = world.peers.get(heartbeat.seat)
    if author is None or not exchanges_heartbeats(world, author):
        return []
    own = world.identity
    effects: Effects = []
    for seat in sorted(world.peers.missing):
        row = world.peers.get(seat)
        if (
            row is None
            or heartbeat.seat not in row.missed
            or not row.is_alive
            or not exchanges_heartbeats(world, row)
            or not _is_relay_between(world, heartbeat.seat, row.seat)
        ):
            continue
        brief = Heartbeat(
            seat=heartbeat.seat,
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            revision=heartbeat.revision,
            is_leaving=heartbeat.is_leaving,
            demands=heartbeat.demands,
            data_centre=heartbeat.data_centre,
            uptime_s=heartbeat.uptime_s,
            missed=heartbeat.missed,
            echoes={k: v for k, v in heartbeat.echoes.items() if k == row.seat},
        )
        message = RelayedHeartbeat(own.seat, own.incarnation, brief)
        effects.append(SendPeerMessage(row.seat, message))
    return effects


def _is_relay_between(world: World, author: str, receiver: str) -> bool:
    """Return whether this instance is one of the first of its data centre to relay."""
    n_before = sum(
        row.seat < world.identity.seat
        for row in local_peers(world)
        if row.is_alive and not row.is_leaving and row.seat not in (author, receiver)
    )
    return world.departure is None and n_before < N_RELAYS


def _apply_relayed(world: World, now_s: float, heartbeat: Heartbeat) -> None:
    row = world.peers.get(heartbeat.seat)
    if row is None:
        region = world.configuration.region_of(heartbeat.data_centre)
        row = PeerRow(heartbeat.seat, heartbeat.data_centre, region, unlisted_s=now_s)
        world.peers.add(row)
    if heartbeat.seat == world.identity.seat or heartbeat.incarnation < row.incarnation:
        return
    if heartbeat.incarnation > row.incarnation:
        row.incarnation = heartbeat.incarnation
        row.sequence = row.relayed_sequence = 0
        row.acknowledged_sequence = 0
        row.started_s = now_s - heartbeat.uptime_s
        # It has not heard any earlier figures.
        row.relayed_confirmed_s = now_s
    if heartbeat.sequence <= row.newest_sequence():
        return
    row.relayed_sequence = heartbeat.sequence
    row.relayed_s = now_s
    row.is_leaving = heartbeat.is_leaving
    row.revision = heartbeat.revision
    world.peers.set_demands(row, now_s, heartbeat.demands)
    apply_told_ways(world, row, heartbeat)


def missed_data_centres(world: World, now_s: float) -> list[str]:
    """List the data centres whose summaries do not come from themselves."""
    names = {
        row.data_centre
        for row in world.peers.rows()
        if not row.is_leaving and not exchanges_heartbeats(world, row)
    }
    rows = world.data_centres.rows
    return sorted(
        name
        for name in names
        if name not in rows or now_s - rows[name].direct_s > UNHEARD_AFTER_S
    )


def relay_summary(world: World, summary: DataCentreSummary) -> Effects:
    """Pass a summary on to the data centres that do not get it from its own."""
    missing = {
        row.name
        for row in world.data_centres.rows.values()
        if summary.data_centre in row.missed and row.name != summary.data_centre
    }
    if not missing:
        return []
    # Earlier changes of demand may have been lost on the way that is silent.
    known = world.data_centres.rows[summary.data_centre].demands
    relayed = replace(
        summary,
        demands=dict(known),
        is_complete=True,
        handled={},
        responses={},
        is_relayed=True,
    )
    return [
        SendPeerMessage(row.seat, relayed)
        for row in counterpart_relays(world)
        if row.data_centre in missing
    ]
