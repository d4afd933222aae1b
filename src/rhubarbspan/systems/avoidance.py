"""Avoids servers that reject requests although they have free slots.

Such a server has a fault, and its load report makes it look idle, so that requests keep
going there. Each instance of a large fleet sends to it too rarely to notice: instances
of a data centre tell each other of such rejections with the loads.
"""

from ..inputs import Timer
from ..tables.servers import ServerRow
from ..world import World

# Rejections without a response in between after which a server is avoided. A single
# one may have crossed a report.
N_REJECTIONS_TO_AVOID = 2
# How long it is avoided at first, and at most; each further rejection doubles the time.
AVOIDED_S = 1.0
MAX_AVOIDED_S = 16.0
# Largest fraction of a pool's servers that are avoided at the same time: servers that
# reject some requests are better than none.
MAX_AVOIDED_FRACTION = 0.75
# More rejections than this in one heartbeat are implausible.
N_MAX_TOLD_REJECTIONS = 1000


def record_rejections(
    world: World, now_s: float, row: ServerRow, n_rejections: int
) -> None:
    """Record that a server with free slots rejected requests, here or at a peer.

    Rejections while the server is avoided are of requests that were on the way.
    """
    if row.avoided_until_s > now_s:
        return
    row.n_idle_rejections += n_rejections
    n_beyond = row.n_idle_rejections - N_REJECTIONS_TO_AVOID
    if n_beyond < 0 or not _can_avoid(world, now_s, row.pool):
        return
    row.n_avoidances += 1
    avoided_s = min(MAX_AVOIDED_S, AVOIDED_S * 2.0 ** min(10, row.n_avoidances - 1))
    row.avoided_until_s = now_s + avoided_s
    # The next rejection, that of the probe, makes it avoided again at once.
    row.n_idle_rejections = N_REJECTIONS_TO_AVOID - 1
    world.count("avoided_servers", row.pool)
    world.deadlines.arm(row.avoided_until_s, Timer.SERVER, row.pool)


def _can_avoid(world: World, now_s: float, pool: str) -> bool:
    rows = [row for row in world.servers.of_pool(pool) if not row.is_leaving]
    n_avoided = sum(row.avoided_until_s > now_s for row in rows)
    return n_avoided + 1 <= MAX_AVOIDED_FRACTION * len(rows)


def record_response(row: ServerRow) -> None:
    """Record that a server responded to a request: it is used as before."""
    row.n_idle_rejections = 0
    row.n_avoidances = 0
    row.avoided_until_s = -1e9


def is_avoided(row: ServerRow, now_s: float) -> bool:
    """Return whether a server gets no request now.

    After the time in which it is avoided it gets one, as a probe.
    """
    if row.avoided_until_s > now_s:
        return True
    return row.n_avoidances > 0 and bool(row.running)
