"""Tells peers which requests were in flight when backend servers crashed.

While servers crash often, the table holds hundreds of suspects for ten minutes. Telling
all of them in each heartbeat took 4 KB a message and half of a core in a fleet of 84.
A heartbeat therefore tells a peer only the suspects that have changed since the last
heartbeat which the peer has acknowledged by its echo. In a fleet of two levels, what an
instance tells reaches its whole data centre at once; the others pass it on only as
relays, to other data centres.
"""

from ..peer_messages import Heartbeat, SuspectNotice
from ..tables.peers import PeerRow
from ..tables.suspects import SuspectRow
from ..world import World
from .fleet_layout import is_two_level

# All suspects are told in one of this many heartbeats: a peer whose tick failed has
# acknowledged the heartbeat, but lost what it told.
N_HEARTBEATS_PER_COMPLETE_ONE = 20


def note_change(world: World, row: SuspectRow, is_told_locally: bool = False) -> None:
    """Record that a suspect differs from what the last heartbeat told.

    Args:
        world: The tables.
        row: The suspect.
        is_told_locally: Whether all instances of the own data centre were told.
    """
    row.changed_sequence = world.heartbeat_sequence
    if not is_told_locally:
        row.told_sequence = world.heartbeat_sequence


def is_told_locally(world: World, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat went to all instances of the own data centre."""
    peer = world.peers.get(heartbeat.seat)
    is_local = peer is not None and peer.data_centre == world.identity.data_centre
    return is_local and is_two_level(world)


def suspects_since(
    world: World, acknowledged_sequence: int, is_local: bool
) -> list[SuspectNotice]:
    """Describe the suspects that changed since a heartbeat was sent.

    Args:
        world: The tables.
        acknowledged_sequence: Sequence number of the heartbeat, 0 for all suspects.
        is_local: Whether the receiver was told what the others of this data centre
            were told.
    """
    return [
        SuspectNotice(
            row.fingerprint,
            list(row.crashes),
            list(row.crashes.values()),
            list(row.cleared),
        )
        for row in world.suspects.rows()
        if (row.told_sequence if is_local else row.changed_sequence)
        >= acknowledged_sequence
    ]


def first_sequence_to_tell(world: World, peer: PeerRow) -> int:
    """Return the heartbeat since which a peer is told what has changed."""
    if world.heartbeat_sequence % N_HEARTBEATS_PER_COMPLETE_ONE == 0:
        return 0
    return peer.acknowledged_sequence
