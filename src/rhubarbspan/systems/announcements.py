"""Keeps what backend servers say of themselves in responses, also to peers.

What a server said holds for that incarnation of it, whatever the platform's list shows:
the list may be late, and while the store is unreachable it stays as it was. What its
record said can be taken back by a later record, but not by an earlier one that a
restore of the store brings back.
"""

from enum import Enum

from ..effects import Effects, LogChange, LogLevel
from ..inputs import (
    Inbox,
    PeerMessageReceived,
    ServerLeavingReported,
    ServerPauseReported,
    Timer,
)
from ..peer_messages import Heartbeat, LeavingServer
from ..tables.announcements import AnnouncementRow
from ..tables.servers import ServerRow
from ..world import World

# How long an announcement is kept after its server was last heard or listed. Within
# this time the record of a server may come back after an outage of the store.
RETENTION_S = 900.0
# How long peers are told of a server that is leaving. Those that hear nothing for that
# long learn it from the server itself.
TOLD_S = 10.0
# Servers that a heartbeat tells of, which bounds its length; the latest go first.
N_MAX_TOLD = 64


class LeavingSource(Enum):
    """What told that a backend server is leaving."""

    RESPONSE = "response"
    LIST = "list"
    PEER = "peer"


def record_announcements(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Record which incarnations of servers are leaving, and which want a pause.

    Peers tell which are leaving; a pause holds for one instance only.
    """
    effects: Effects = []
    for said in inbox.of(ServerLeavingReported):
        effects += _record_leaving(
            world, now_s, said.server_id, said.incarnation, LeavingSource.RESPONSE
        )
    for received in inbox.of(PeerMessageReceived):
        match received.message:
            case Heartbeat(leaving_servers=told):
                for server in told:
                    effects += _record_leaving(
                        world,
                        now_s - server.age_s,
                        server.server_id,
                        server.incarnation,
                        LeavingSource.PEER,
                    )
    if world.store_era.is_new:
        _keep_listed_leaving(world, now_s)
    for pause in inbox.of(ServerPauseReported):
        _record_pause(world, now_s, pause)
    if inbox.due(Timer.HEARTBEAT):
        _remove_expired(world, now_s)
    return effects


def _record_leaving(
    world: World,
    said_s: float,
    server_id: str,
    incarnation: int,
    source: LeavingSource,
) -> Effects:
    row = world.announcements.get_or_create(server_id, incarnation)
    is_new = row.leaving_said_s is None
    row.leaving_said_s = max(said_s, row.leaving_said_s or said_s)
    row.last_known_s = max(said_s, row.last_known_s)
    server = world.servers.get(server_id)
    if server is not None:
        apply_announcements(world, server)
    if not is_new:
        return []
    return report_leaving(world, server_id, incarnation, source)


def record_listed(
    world: World, now_s: float, server_id: str, incarnation: int, is_leaving: bool
) -> None:
    """Record whether the record of a server says that it is leaving."""
    if is_leaving and incarnation:
        row = world.announcements.get_or_create(server_id, incarnation)
        row.is_listed_leaving = True
        row.last_known_s = now_s
        return
    known = world.announcements.get(server_id, incarnation)
    if known is not None:
        known.is_listed_leaving = False


def _keep_listed_leaving(world: World, now_s: float) -> None:
    """Have servers leave for good whose records said that they leave."""
    for row in world.announcements.rows():
        if row.is_listed_leaving and row.leaving_said_s is None:
            row.leaving_said_s = row.last_known_s = now_s
            server = world.servers.get(row.server_id)
            if server is not None:
                apply_announcements(world, server)


def _record_pause(world: World, now_s: float, pause: ServerPauseReported) -> None:
    world.count("server_pauses")
    row = world.announcements.get_or_create(pause.server_id, pause.incarnation)
    row.paused_until_s = max(row.paused_until_s, now_s + pause.pause_s)
    row.last_known_s = now_s
    server = world.servers.get(pause.server_id)
    if server is not None:
        apply_announcements(world, server)


def apply_announcements(world: World, server: ServerRow) -> None:
    """Apply what the present incarnation of a server has said to its row."""
    row = world.announcements.get(server.server_id, server.incarnation)
    was_leaving = server.has_said_leaving
    server.has_said_leaving = row is not None and row.leaving_said_s is not None
    if server.has_said_leaving != was_leaving:
        world.queues.mark_changed(server.pool)
    if row is not None and row.paused_until_s > server.shed_until_s:
        server.shed_until_s = row.paused_until_s
        world.deadlines.arm(server.shed_until_s, Timer.SERVER, server.pool)


def describe_leaving(world: World, now_s: float) -> list[LeavingServer]:
    """List the servers that have lately said that they are leaving, for peers."""
    told = [
        LeavingServer(row.server_id, row.incarnation, round(now_s - said_s, 2))
        for row in world.announcements.rows()
        if (said_s := row.leaving_said_s) is not None and now_s - said_s < TOLD_S
    ]
    told.sort(key=lambda server: server.age_s)
    return told[:N_MAX_TOLD]


def report_leaving(
    world: World, server_id: str, incarnation: int, source: LeavingSource
) -> Effects:
    """Log and count that a source told that a server is leaving."""
    world.count("servers_leaving", source.value)
    text = (
        f"backend server {server_id} is leaving "
        f"(source: {source.value}, incarnation {incarnation})"
    )
    return [LogChange(LogLevel.INFO, text)]


def _remove_expired(world: World, now_s: float) -> None:
    for row in world.announcements.rows():
        if _is_listed(world, row):
            row.last_known_s = now_s
        is_forgotten = now_s - row.last_known_s > RETENTION_S
        is_leaving = row.leaving_said_s is not None or row.is_listed_leaving
        if (is_forgotten or not is_leaving) and now_s >= row.paused_until_s:
            world.announcements.remove(row)


def _is_listed(world: World, row: AnnouncementRow) -> bool:
    server = world.servers.get(row.server_id)
    return server is not None and server.incarnation == row.incarnation
