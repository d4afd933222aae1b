"""Records what backend servers say of themselves in responses."""

from ..effects import Effects, LogChange, LogLevel
from ..inputs import Inbox, ServerLeavingReported
from ..world import World

FROM_RESPONSE = "response"
FROM_LIST = "list"


def record_announcements(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Record which incarnations of servers said that they are leaving."""
    effects: Effects = []
    for said in inbox.of(ServerLeavingReported):
        row = world.announcements.get_or_create(said.server_id, said.incarnation)
        if row.leaving_said_s is None:
            effects += report_leaving(
                world, said.server_id, said.incarnation, FROM_RESPONSE
            )
        row.leaving_said_s = now_s
    return effects


def report_leaving(
    world: World, server_id: str, incarnation: int, source: str
) -> Effects:
    """Log and count that a source told that a server is leaving."""
    world.count("servers_leaving", source)
    text = (
        f"backend server {server_id} is leaving, told by its {source}, "
        f"incarnation {incarnation}"
    )
    return [LogChange(LogLevel.INFO, text)]
