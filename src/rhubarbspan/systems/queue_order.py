"""Applies the policy for the order of waiting requests to the tables.

The decisions themselves are in ``scheduling``. By cost is in force for a pool whose
routes or accounts differ in priority, or whose routes differ in work, and on the
platform only where servers report the speed of their machines.
"""

import math
from dataclasses import dataclass

from ..configuration import Pool
from ..policies import (
    ByArrival,
    ByCost,
    EarliestDeadline,
    FirstCome,
    ShortestWork,
)
from ..tables.objects import ServiceTimesRow
from ..tables.queues import QueueRow
from ..tables.requests import RequestRow
from ..world import World
from .load_reports import reports_speed
from .scheduling import (
    Work,
    is_starved,
    is_worth_sending,
    slot_price,
    value_density,
)

# Routes whose expected work differs by more than this factor differ in work.
WORK_RATIO = 1.2
# Weight of one more request in the mean value density.
DENSITY_SMOOTHING = 0.02
# Time in which the counts of an account's requests fall to a third, and the count from
# which on its fraction says something.
SHARES_WINDOW_S = 5.0
MIN_COUNT = 5.0
SHARES_INTERVAL_S = 0.5
FORGOTTEN_COUNT = 0.05


@dataclass(frozen=True, slots=True)
class Judgement:
    """A decision to send a request now or not, with its figures.

    Attributes:
        density: Value of the request for each second in a slot.
        price: Price of a second in a slot.
        utilisation: Requests at the pool's servers as a fraction of their slots.
    """

    is_worth_it: bool
    density: float
    price: float
    utilisation: float

    def figures(self) -> dict[str, float]:
        """Return the figures for a log line."""
        return {
            "value_density": round(self.density, 3),
            "slot_price": round(self.price, 3),
            "utilisation": round(self.utilisation, 3),
        }


def is_by_cost(world: World, pool: Pool) -> bool:
    """Return whether the requests of a pool are ordered by cost."""
    match world.policies.queue_order:
        case ByCost(needs_speed=needs_speed):
            return (
                not needs_speed or reports_speed(world, pool.name)
            ) and _routes_differ(world, pool)
        case _:
            return False


def _routes_differ(world: World, pool: Pool) -> bool:
    if pool.name in world.rules.mixed_priority_pools:
        return True
    times: list[float] = []
    for name in world.rules.routes_of_pool.get(pool.name, ()):
        service = world.objects.service_times_of(name)
        if service.is_measured:
            times.append(service.warm_s or service.cold_s)
    return len(times) > 1 and max(times) > WORK_RATIO * min(times)


def sort_waiting(
    world: World, now_s: float, pool: Pool, rows: list[RequestRow]
) -> None:
    """Sort the waiting requests of a pool, those to be decided first in front."""
    match world.policies.queue_order:
        case FirstCome():
            rows.sort(key=lambda row: row.arrived_s)
        case EarliestDeadline():
            rows.sort(key=lambda row: row.deadline_s)
        case ShortestWork():
            rows.sort(key=lambda row: (_shortest_s(world, row), row.arrived_s))
        case ByCost() if is_by_cost(world, pool):
            rows.sort(
                key=lambda row: (
                    -value_density(best_work(world, now_s, row)),
                    row.deadline_s,
                )
            )
        case ByArrival() | ByCost():
            rows.sort(key=lambda row: (row.priority, row.arrived_s))


def _shortest_s(world: World, row: RequestRow) -> float:
    service = world.objects.service_times_of(row.route.name)
    return service.warm_s or service.cold_s


def best_work(world: World, now_s: float, row: RequestRow) -> Work:
    """Return the work of a request on an idle server that is warm for it, if any is."""
    service = world.objects.service_times_of(row.route.name)
    times = service if service.is_measured else ServiceTimesRow()
    return make_work(row, now_s, times.warm_s or times.cold_s, times.warm_s)


def make_work(row: RequestRow, now_s: float, expected_s: float, slot_s: float) -> Work:
    """Return what a decision on a request rests on."""
    objective_s = row.arrived_s + row.route.latency_objective_s
    return Work(
        row.priority,
        objective_s - now_s,
        row.deadline_s - now_s,
        expected_s,
        slot_s or expected_s,
    )


def judge(queue: QueueRow, account: str, work: Work, utilisation: float) -> Judgement:
    """Decide whether a request is worth the slot time that it takes now."""
    price = slot_price(utilisation, queue.mean_density)
    if _is_account_starved(queue, account):
        price = 0.0
    return Judgement(
        is_worth_sending(work, price), value_density(work), price, utilisation
    )


def record_offered(queue: QueueRow, work: Work) -> None:
    """Update the mean value density with the work of a new request."""
    density = value_density(work)
    queue.mean_density += (density - queue.mean_density) * (
        DENSITY_SMOOTHING if queue.mean_density else 1.0
    )


def count_account(
    queue: QueueRow, now_s: float, account: str, n_offered: float, n_sent: float
) -> None:
    """Count requests of an account that were offered or sent."""
    age_s = now_s - queue.counts_updated_s
    if age_s >= SHARES_INTERVAL_S:
        queue.counts_updated_s = now_s
        kept = math.exp(-age_s / SHARES_WINDOW_S)
        queue.counts = {
            name: (offered * kept, sent * kept)
            for name, (offered, sent) in queue.counts.items()
            if offered * kept > FORGOTTEN_COUNT
        }
        all_sent = sum(sent for _, sent in queue.counts.values())
        queue.sent_per_s = all_sent / SHARES_WINDOW_S
    offered, sent = queue.counts.get(account, (0.0, 0.0))
    queue.counts[account] = offered + n_offered, sent + n_sent


def _is_account_starved(queue: QueueRow, account: str) -> bool:
    offered, sent = queue.counts.get(account, (0.0, 0.0))
    if offered < MIN_COUNT:
        return False
    all_offered = sum(counts[0] for counts in queue.counts.values())
    all_sent = sum(counts[1] for counts in queue.counts.values())
    return is_starved(sent / offered, all_sent / all_offered)
