"""Compares orders of waiting requests while slots are scarce, in virtual time."""

from dataclasses import replace

from ..policies import (
    ByArrival,
    ByCost,
    EarliestDeadline,
    FirstCome,
    QueueOrder,
    ShortestWork,
)
from .scarcity import (
    POLICIES,
    GroupFigures,
    Scarcity,
    ScarcityFigures,
    measure_scarcity,
)

ORDERS: dict[str, QueueOrder] = {
    "by cost": ByCost(needs_speed=True),
    "priority, arrival (before)": ByArrival(),
    "first come": FirstCome(),
    "earliest deadline": EarliestDeadline(),
    "shortest work": ShortestWork(),
}
# A third of a deployment of 35 instances and 104 servers, at 1.3 times its load. The
# warm servers have places for all objects, so that slots are scarce and not memory.
SIZE = Scarcity(
    n_instances=12,
    n_servers=36,
    load=1.3 * 36 / 104,
    duration_s=11.0,
    n_objects=100,
)
SEEDS = (0, 1, 2)
PER_CENT = 100.0
ORDER_TITLE = (
    "order of waiting requests, 12 instances, 36 servers of 3 slots, 15% slowed to 2.5 "
    "times, 3 seeds"
)
ORDER_HEADER = [
    "order, group",
    "requests",
    "in time %",
    "late %",
    "refused %",
    "failed %",
    "value %",
    "rejected %",
    "late refusals %",
]


def measure_order(name: str, size: Scarcity = SIZE) -> ScarcityFigures:
    """Measure one order over all seeds; results by priority and by data centre."""
    policies = replace(POLICIES, queue_order=ORDERS[name])
    runs = [measure_scarcity(replace(size, seed=s), name, policies) for s in SEEDS]
    first = runs[0]
    total = replace(first, groups=[])
    for field_name in ("rejected", "late_refusals", "warm"):
        mean = sum(getattr(run, field_name) for run in runs) / len(runs)
        setattr(total, field_name, mean)
    for group in first.groups:
        if not group.group.startswith("account"):
            same = [run.group(group.group) for run in runs]
            total.groups.append(_add_groups(same))
    total.groups += _account_extremes(runs)
    return total


def _add_groups(groups: list[GroupFigures]) -> GroupFigures:
    return GroupFigures(
        groups[0].group,
        sum(group.n_requests for group in groups),
        sum(group.n_in_time for group in groups),
        sum(group.n_late for group in groups),
        sum(group.n_refused for group in groups),
        sum(group.n_failed for group in groups),
        sum(group.value for group in groups),
        sum(group.offered_value for group in groups),
    )


def _account_extremes(runs: list[ScarcityFigures]) -> list[GroupFigures]:
    """Return the accounts with the smallest and the largest fraction of the value."""
    names = [g.group for g in runs[0].groups if g.group.startswith("account")]
    totals = [_add_groups([run.group(name) for run in runs]) for name in names]
    totals.sort(key=lambda group: group.value_fraction)
    return [
        replace(totals[0], group="worst account"),
        replace(totals[-1], group="best account"),
    ]


def format_order_row(figures: ScarcityFigures, group: GroupFigures) -> list[str]:
    """Return a row of the table."""
    n_requests = max(1, group.n_requests)
    counts = (group.n_in_time, group.n_late, group.n_refused, group.n_failed)
    is_all = group.group == "all"
    return [
        f"{figures.policy}, {group.group}",
        str(group.n_requests),
        *(f"{count / n_requests * PER_CENT:.1f}" for count in counts),
        f"{group.value_fraction * PER_CENT:.1f}",
        f"{figures.rejected * PER_CENT:.2f}" if is_all else "",
        f"{figures.late_refusals * PER_CENT:.2f}" if is_all else "",
    ]
