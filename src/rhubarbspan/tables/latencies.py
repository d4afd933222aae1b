"""Latency histograms of requests, by route and outcome, for the metrics."""

from bisect import bisect_left
from dataclasses import dataclass, field

# Upper bounds of the histogram buckets, finer around the latency objectives.
BUCKET_BOUNDS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 2.0, 4.0)
# Configuration changes add routes without bound; later ones share a row per outcome.
N_MAX_ROWS = 400
OTHER_ROUTE = "other"


@dataclass(slots=True)
class LatencyRow:
    """A histogram; its last bucket counts requests above all bounds."""

    n_in_bucket: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1)
    )
    sum_s: float = 0.0


@dataclass(slots=True)
class Latencies:
    """Histograms by route and outcome."""

    rows: dict[tuple[str, str], LatencyRow] = field(default_factory=dict)

    def record(self, route: str, outcome: str, duration_s: float) -> None:
        """Add a request that ended to its histogram."""
        key = (route, outcome)
        if key not in self.rows and len(self.rows) >= N_MAX_ROWS:
            key = (OTHER_ROUTE, outcome)
        row = self.rows.setdefault(key, LatencyRow())
        row.n_in_bucket[bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        row.sum_s += duration_s
