"""Computes when servers may take a request again, and when its caller may return."""

from collections.abc import Collection

from ..tables.requests import RequestRow
from ..world import World

# Mean delay for callers while slots may become free soon, or nobody knows when.
RETRY_AFTER_S = 0.4
# Callers that wait for the end of a pause return within this fraction of it, or within
# RETRY_AFTER_S if that is longer.
RETURN_SPREAD_FRACTION = 0.5
# Shorter timeouts count as this one.
MIN_TIMEOUT_S = 0.001
NEVER_S = float("inf")


def earliest_usable_s(
    world: World, now_s: float, row: RequestRow, excluded: Collection[str] = ()
) -> float:
    """Return when the first server may be able to take a request.

    Args:
        world: The tables.
        now_s: The present time.
        row: The request.
        excluded: Servers that don't count.

    Returns:
        The present time if a server may take it now or as soon as a slot is free, the
        end of the shortest pause if all wait for one, and infinity if none will.
    """
    servers = world.servers.of_pool(row.route.pool)
    if not servers and world.servers_listed_s < world.started_s:
        # No list has been read yet.
        return now_s
    earliest_s = NEVER_S
    for server in servers:
        if server.is_leaving or server.server_id in excluded:
            continue
        if row.regions is None or server.region in row.regions:
            earliest_s = min(earliest_s, max(now_s, server.shed_until_s))
    return earliest_s


def return_delay_s(
    world: World, now_s: float, row: RequestRow, unused_wait_s: float = 0.0
) -> float:
    """Return the time after which the caller of a refused request may return.

    A caller that is refused before the longest wait in the queue is over returns no
    sooner for it: its next attempt would find the same servers. After a pause of all
    servers the more urgent requests return first, and of equally urgent ones those
    that have used up most of their time.
    """
    pause_s = earliest_usable_s(world, now_s, row) - now_s
    if pause_s == NEVER_S:
        pause_s = 0.0
    if pause_s < RETRY_AFTER_S:
        delay_s = RETRY_AFTER_S * (0.5 + world.rng.random())
        return max(pause_s, delay_s + unused_wait_s)
    spread_s = max(RETRY_AFTER_S, RETURN_SPREAD_FRACTION * pause_s)
    lowest = world.rules.lowest_priorities.get(row.route.pool, 0)
    rank = min(max(row.priority, 0), lowest)
    timeout_s = max(MIN_TIMEOUT_S, row.deadline_s - row.arrived_s)
    remaining_fraction = max(0.0, row.deadline_s - now_s) / timeout_s
    position = remaining_fraction * world.rng.random()
    return pause_s + spread_s * (rank + position) / (lowest + 1)
