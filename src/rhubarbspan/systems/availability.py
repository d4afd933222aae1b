"""Computes when servers may take a request again, and when its caller may return."""

from collections.abc import Collection

from ..tables.queues import QueueRow
from ..tables.requests import RequestRow
from ..world import World

# Mean delay for callers while slots may become free soon, or nobody knows when.
RETRY_AFTER_S = 0.4
# Callers that wait for the end of a pause return within this fraction of it, or within
# RETRY_AFTER_S if that is longer.
RETURN_SPREAD_FRACTION = 0.5
# Shorter timeouts count as this one.
MIN_TIMEOUT_S = 0.001
# Callers return no sooner than this, as the load that is known here is older.
MIN_RETURN_S = 0.05
# Callers that would return too late come back at a random moment in this last part of
# the time in which they can still be served.
LATEST_RETURN_FRACTION = 0.5
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


def book_return(
    world: World,
    now_s: float,
    queue: QueueRow,
    row: RequestRow,
    free_s: float,
    service_s: float,
) -> float:
    """Return when the caller of a refused request may return, and keep that time free.

    Load pattern: callers that are refused together would return together. They are
    spread at the rate at which this instance sends requests of the pool, urgent ones
    before others, and return in time to be served before their own deadline.

    Args:
        world: The tables.
        now_s: The present time.
        queue: The queue of the request's pool.
        row: The request.
        free_s: Time in which capacity for such a request is expected to be free.
        service_s: Expected time until a response then.
    """
    pause_s = earliest_usable_s(world, now_s, row) - now_s
    if pause_s == NEVER_S:
        pause_s = 0.0
    earliest_s = now_s + max(MIN_RETURN_S, free_s, pause_s)
    booked_s = [at_s for rank, at_s in queue.returns_s.items() if rank <= row.priority]
    return_s = max([earliest_s, *booked_s])
    timeout_s = row.arrived.timeout_s or row.route.timeout_s
    latest_s = row.arrived_s + timeout_s - service_s
    if return_s > latest_s > earliest_s:
        # Those with little time left don't queue behind others.
        part = LATEST_RETURN_FRACTION * world.rng.random()
        return_s = latest_s - part * (latest_s - earliest_s)
        return return_s - now_s
    queue.returns_s[row.priority] = return_s + 1.0 / max(1.0, queue.sent_per_s)
    return return_s - now_s
