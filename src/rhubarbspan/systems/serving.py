"""Records service times, and counts the responses of warm servers."""

from ..tables.requests import RequestRow
from ..tables.servers import ServerRow
from ..world import World
from .object_sharing import record_response
from .slowdowns import current_slowdown

# Cold service times must be this many times longer than warm ones to tell them apart.
MIN_COLD_RATIO = 1.7


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
        # The response has just told the slowdown at its end.
        slowdown = (row.slowdown + current_slowdown(world, server, now_s)) / 2
        _record_time(world, row, (now_s - row.sent_s) / slowdown)
    if row.was_warm:
        world.count("warm", row.route.name)


def _record_time(world: World, row: RequestRow, service_s: float) -> None:
    """Learn warm and cold service times, and how many objects a server keeps.

    Only requests that are certain to have been warm or cold give the service times:
    those for an object that the server has handled just before, or not lately.
    """
    objects = world.objects
    names = (row.route.name, row.route.pool)
    if not row.arrived.object_key:
        objects.record_service_time(row.route.name, False, service_s)
        return
    depth = row.warm_depth
    if depth is None:
        for name in names:
            objects.record_service_time(name, False, service_s)
        return
    times = objects.service_times_of(row.route.name)
    if times.warm_s > 0 and times.cold_s > MIN_COLD_RATIO * times.warm_s:
        was_warm = service_s < (times.warm_s + times.cold_s) / 2
        record_response(world, row.route.pool, depth, was_warm)
    if depth < objects.memory_of(row.route.pool).n_objects / 2:
        for name in names:
            objects.record_service_time(name, True, service_s)
