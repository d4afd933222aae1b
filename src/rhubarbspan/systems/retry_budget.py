"""Bounds retries by a budget for each pool that requests add to.

The bound is compared also when a retry is made, so that retries saved under a larger
one are lost when settings lower it.
"""

from ..tables.queues import QueueRow
from ..world import World
from .fleet_layout import known_seats


def add_to_budget(world: World, queue: QueueRow) -> None:
    """Add what one request adds to the budget of its pool."""
    budget = queue.retry_budget + world.policies.retries_per_request
    queue.retry_budget = min(_max_budget(world), budget)


def take_retry(world: World, queue: QueueRow) -> bool:
    """Use up one retry; return whether there was one."""
    queue.retry_budget = min(_max_budget(world), queue.retry_budget)
    if queue.retry_budget < 1:
        return False
    queue.retry_budget -= 1
    return True


def _max_budget(world: World) -> float:
    n_max_retries = world.policies.n_max_retries
    if not world.policies.is_retry_budget_shared:
        return n_max_retries
    return max(1.0, n_max_retries / (1 + len(known_seats(world))))
