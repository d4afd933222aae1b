"""Tells an instance that starts while the store is away which servers there are.

Such an instance gets the configuration from a peer, but would refuse each request for
want of a server until the store is back. One of its peers hands over the servers that
it uses itself. A list from the store always goes before.
"""

from ..effects import Effects, LogChange, LogLevel, SendPeerMessage
from ..inputs import Inbox, PeerMessageReceived
from ..peer_messages import Heartbeat, KnownServer, ServerHandover
from ..policies import (
    LeastInFlight,
    ObjectPlacement,
    OwnedSlots,
    RandomChoice,
    TwoChoices,
)
from ..record_checks import to_listing
from ..world import World
from .health import add_server, apply_record


def hand_over_servers(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Hand servers over to peers that know none, and take over those of others."""
    match world.policies.choice:
        case ObjectPlacement():
            pass
        case OwnedSlots() | RandomChoice() | TwoChoices() | LeastInFlight():
            # Slots are assigned by the platform's list, which all must share.
            return []
    effects: Effects = []
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat(knows_servers=False, is_leaving=False) as heartbeat:
                if _is_giver(world, heartbeat):
                    effects.append(_hand_over(world, now_s, heartbeat.seat))
            case ServerHandover() as handover:
                effects += _take_over(world, now_s, handover)
    return effects


def _is_giver(world: World, heartbeat: Heartbeat) -> bool:
    """Return whether this instance is the one that hands servers over to a peer.

    It is the first live one of the peer's data centre in the order of names, or of all
    if there is none.
    """
    if not world.servers.rows() or world.departure is not None:
        return False
    own = world.identity
    others = [
        (row.data_centre, row.seat)
        for row in world.peers.alive()
        if row.seat != heartbeat.seat and not row.is_leaving and row.knows_servers
    ]
    candidates = [(own.data_centre, own.seat), *others]
    near = [seat for name, seat in candidates if name == heartbeat.data_centre]
    return own.seat == min(near or [seat for _, seat in candidates])


def _hand_over(world: World, now_s: float, seat: str) -> SendPeerMessage:
    servers = [
        KnownServer(
            row.server_id,
            row.pool,
            row.address,
            row.data_centre,
            row.n_slots,
            row.incarnation,
            round(max(0.0, row.cold_until_s - now_s), 2),
            row.sequence,
        )
        for row in world.servers.rows()
        if not row.is_leaving
    ]
    own = world.identity
    handover = ServerHandover(
        own.seat, own.incarnation, servers, sorted(world.evacuated)
    )
    return SendPeerMessage(seat, handover)


def _take_over(world: World, now_s: float, handover: ServerHandover) -> Effects:
    if world.servers_listed_s >= world.started_s or world.servers.rows():
        return []
    world.evacuated = world.evacuated | frozenset(handover.evacuated)
    effects: Effects = []
    for server in handover.servers:
        listing = to_listing(server)
        add_server(world, now_s, listing)
        row = world.servers.get(server.server_id)
        if row is not None:
            effects += apply_record(world, now_s, row, listing)
            # The peer has used it.
            world.servers.never_used.pop(row.server_id, None)
    for pool in world.configuration.pools:
        world.queues.mark_changed(pool)
    text = f"{len(handover.servers)} servers taken over from instance {handover.seat}"
    effects.append(LogChange(LogLevel.INFO, text))
    return effects
