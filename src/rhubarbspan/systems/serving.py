"""Learns from answers: service times, and which servers know which objects."""

from ..tables.requests import RequestRow
from ..tables.servers import ServerRow
from ..world import World


def record_service(
    world: World,
    now_s: float,
    row: RequestRow,
    server: ServerRow | None,
    is_success: bool,
) -> None:
    """Learn how long a request took, and that the server knows its object now."""
    if server is None or not is_success:
        return
    if row.n_ahead < 1:
        # Otherwise the time contains a wait inside the server.
        for name in (row.route.name, row.route.pool):
            world.objects.record_service_time(name, row.was_warm, now_s - row.sent_s)
    if row.was_warm:
        world.count("warm", row.route.name)
