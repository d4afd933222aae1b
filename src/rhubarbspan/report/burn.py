"""Service-level burn: how fast each route spends its error budget."""

from collections import defaultdict
from dataclasses import dataclass

from ..tables.history import IntervalRow
from ..world import World

WINDOWS_S = {"5m": 300.0, "1h": 3600.0, "6h": 21_600.0, "3d": 259_200.0}


@dataclass(slots=True)
class WindowRow:
    """Counts of one route and client account in one window.

    Attributes:
        n_good: Complete responses without a server error, including slow ones.
        n_slow: Responses that took longer than the latency objective.
        n_failed: Server errors, and refusals that the system caused.
        n_over_rate: Refusals because the account exceeded its rate; not counted as
            bad.
    """

    route: str
    account: str
    window: str
    n_good: int
    n_slow: int
    n_failed: int
    n_over_rate: int
    availability_objective: float


@dataclass(slots=True)
class HistorySummary:
    """The recent results of one instance.

    Attributes:
        memory_s: Length of time that the instance's history covers.
    """

    seat: str
    memory_s: float
    rows: list[WindowRow]


@dataclass(slots=True)
class BurnRow:
    """The burn of one route and client account in one window.

    Attributes:
        burn_rate: Fraction of bad responses divided by the fraction that the
            objective allows; 1 spends exactly the error budget.
    """

    route: str
    account: str
    window: str
    n_requests: int
    n_bad: int
    n_over_rate: int
    burn_rate: float


@dataclass(slots=True)
class BurnReport:
    """Burn over all instances that answered.

    Attributes:
        rows: By window, within each the highest burn rate first.
        missing: Messages about windows that the history of an instance does not
            cover, and about instances that could not be asked.
    """

    rows: list[BurnRow]
    missing: list[str]


def summarise_history(world: World, now_s: float) -> HistorySummary:
    """Sum up the history of one instance by route, client account and window."""
    rows: list[WindowRow] = []
    for (route_name, _), intervals in world.history.rows.items():
        route = world.configuration.routes.get(route_name)
        if route is None:
            continue
        for window, length_s in WINDOWS_S.items():
            recent = [row for row in intervals if row.start_s > now_s - length_s]
            if recent:
                objective = route.availability_objective
                rows.append(_window_row(recent, window, objective))
    memory_s = now_s - world.history.started_s
    return HistorySummary(world.identity.seat, memory_s, rows)


def _window_row(
    intervals: list[IntervalRow], window: str, objective: float
) -> WindowRow:
    return WindowRow(
        intervals[0].route,
        intervals[0].account,
        window,
        sum(row.n_good for row in intervals),
        sum(row.n_slow for row in intervals),
        sum(row.n_failed for row in intervals),
        sum(row.n_over_rate for row in intervals),
        objective,
    )


def build_burn_report(
    summaries: list[HistorySummary], not_asked: list[str]
) -> BurnReport:
    """Add up the results of all instances and compute burn rates.

    Rows for the account ``*`` sum up all accounts of a route.

    Example:
        >>> row = WindowRow("r", "a", "5m", 98, 0, 2, 5, 0.99)
        >>> report = build_burn_report([HistorySummary("a-1", 1e6, [row])], [])
        >>> round(report.rows[0].burn_rate, 3)
        2.0
    """
    rows_by_key: dict[tuple[str, str, str], list[WindowRow]] = defaultdict(list)
    for summary in summaries:
        for row in summary.rows:
            rows_by_key[row.route, row.account, row.window].append(row)
            rows_by_key[row.route, "*", row.window].append(row)
    rows = [_burn_row(key, window_rows) for key, window_rows in rows_by_key.items()]
    order = list(WINDOWS_S)
    rows.sort(key=lambda r: (order.index(r.window), -r.burn_rate, r.route, r.account))
    missing = [f"{seat}: could not be asked" for seat in not_asked]
    for summary in summaries:
        partial = [
            w for w, length_s in WINDOWS_S.items() if summary.memory_s < length_s
        ]
        if partial:
            minutes = summary.memory_s / 60
            missing.append(
                f"{summary.seat}: remembers {minutes:.1f} minutes, "
                f"so {', '.join(partial)} are partial"
            )
    return BurnReport(rows, missing)


def _burn_row(key: tuple[str, str, str], window_rows: list[WindowRow]) -> BurnRow:
    route, account, window = key
    n_slow = sum(row.n_slow for row in window_rows)
    n_bad = n_slow + sum(row.n_failed for row in window_rows)
    n_good = sum(row.n_good for row in window_rows)
    n_requests = n_good + n_bad - n_slow
    allowed = 1.0 - window_rows[0].availability_objective
    rate = n_bad / n_requests / allowed if n_requests and allowed > 0 else 0.0
    n_over_rate = sum(row.n_over_rate for row in window_rows)
    return BurnRow(route, account, window, n_requests, n_bad, n_over_rate, rate)
