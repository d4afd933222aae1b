"""The table of request results by interval of time, for the burn report."""

from collections import deque
from dataclasses import dataclass, field

INTERVAL_S = 60.0
N_INTERVALS = 3 * 24 * 60


@dataclass(slots=True)
class IntervalRow:
    """Results of one route and client account in one interval."""

    route: str
    account: str
    start_s: float
    n_good: int = 0
    n_slow: int = 0
    n_failed: int = 0
    n_over_rate: int = 0


@dataclass(slots=True)
class History:
    """The latest ``N_INTERVALS`` intervals of each route and account, newest last."""

    started_s: float = 0.0
    rows: dict[tuple[str, str], deque[IntervalRow]] = field(default_factory=dict)

    def interval_at(self, route: str, account: str, now_s: float) -> IntervalRow:
        """Return the interval that contains ``now_s``; create it if it is missing."""
        start_s = now_s - now_s % INTERVAL_S
        intervals = self.rows.setdefault((route, account), deque(maxlen=N_INTERVALS))
        if not intervals or intervals[-1].start_s != start_s:
            intervals.append(IntervalRow(route, account, start_s))
        return intervals[-1]
