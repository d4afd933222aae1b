"""Records service times, and counts the responses of warm servers."""

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
    """Record how long a server took for a request, if its response was a success."""
    if server is None or not is_success:
        return
    if row.n_ahead < 1:
        # A request behind others also waited inside the server.
        for name in (row.route.name, row.route.pool):
            world.objects.record_service_time(name, row.was_warm, now_s - row.sent_s)
    if row.was_warm:
        world.count("warm", row.route.name)
