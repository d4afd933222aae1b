"""Queues a pool's requests in one lane per client account, served in turn.

The order is fair between the accounts. ``dispatch`` bounds the length of the queue.
"""

from ..tables.queues import LaneRow, QueueRow
from ..tables.requests import RequestRow, RequestState
from ..world import World

# Time over which the rate of arriving requests is smoothed.
ARRIVALS_WINDOW_S = 2.0


def join_queue(world: World, now_s: float, row: RequestRow) -> None:
    """Append an admitted request to its account's lane."""
    _enqueue(world, now_s, row).request_ids.append(row.request_id)


def rejoin_queue(world: World, now_s: float, row: RequestRow) -> None:
    """Return a request that a server did not run to the head of its lane."""
    _enqueue(world, now_s, row).request_ids.appendleft(row.request_id)


def _enqueue(world: World, now_s: float, row: RequestRow) -> LaneRow:
    queue = world.queues.queue_of(row.route.pool)
    world.requests.move(row, RequestState.QUEUED)
    row.queued_s = now_s
    queue.n_queued += 1
    world.queues.mark_changed(queue.pool)
    return queue.lanes.setdefault(row.account, LaneRow(row.account))


def leave_queue(world: World, row: RequestRow) -> None:
    """Remove a request from the count of queued ones.

    Its identifier stays in the lane and is skipped when its turn comes.
    """
    world.queues.queue_of(row.route.pool).n_queued -= 1


def longest_lane(queue: QueueRow) -> LaneRow | None:
    """Return the lane with the most requests."""
    if not queue.lanes:
        return None
    return max(queue.lanes.values(), key=lambda lane: len(lane.request_ids))


def pop_next_request(world: World, queue: QueueRow) -> RequestRow | None:
    """Remove and return the next request, or None if no lane has any.

    Lanes are served round robin, one request each.
    """
    while queue.lanes:
        account = next(iter(queue.lanes))
        lane = queue.lanes.pop(account)
        row = _pop_queued(world, lane)
        if lane.request_ids:
            queue.lanes[account] = lane
        if row is not None:
            return row
    return None


def _pop_queued(world: World, lane: LaneRow) -> RequestRow | None:
    while lane.request_ids:
        row = world.requests.get(lane.request_ids.popleft())
        if row is not None and row.state is RequestState.QUEUED:
            return row
    return None


def undo_pop(queue: QueueRow, row: RequestRow) -> None:
    """Return a request that cannot be sent now to the head of its lane."""
    lane = queue.lanes.setdefault(row.account, LaneRow(row.account))
    lane.request_ids.appendleft(row.request_id)


def record_pool_arrivals(queue: QueueRow, now_s: float, n_arrived: int) -> None:
    """Update the smoothed rate of arriving requests of a pool."""
    age_s = max(0.0, now_s - queue.arrivals_updated_s)
    kept_fraction = max(0.0, 1.0 - age_s / ARRIVALS_WINDOW_S)
    queue.arrivals_per_s = (
        queue.arrivals_per_s * kept_fraction + n_arrived / ARRIVALS_WINDOW_S
    )
    queue.arrivals_updated_s = now_s
