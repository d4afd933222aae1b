"""The table of queues, one for each pool, with a lane for each client account.

A lane is the queue of one account within the queue of a pool; lanes are served round
robin.
"""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class LaneRow:
    """Queued requests of one client account, in the queue of one pool."""

    account: str
    request_ids: deque[int] = field(default_factory=deque)


@dataclass(slots=True)
class QueueRow:
    """Requests that wait for a pool's slots.

    Attributes:
        lanes: Lanes with requests, by account, in round-robin order.
        n_queued: Requests in all lanes.
        service_s: Smoothed time that a request occupies a slot.
        arrivals_per_s: Smoothed rate of arrivals at ``arrivals_updated_s``.
        mean_density: Smoothed value of a request for each second in a slot.
        counts: Requests of each account that were offered and sent lately.
        sent_per_s: Smoothed rate of requests that this instance sends.
        counts_updated_s: When older requests were last discounted.
        returns_s: When the next caller of a refused request may return, by priority.
        retry_budget: Retries that may be made now; each uses up 1.
    """

    pool: str
    lanes: dict[str, LaneRow] = field(default_factory=dict)
    n_queued: int = 0
    service_s: float = 0.05
    arrivals_per_s: float = 0.0
    arrivals_updated_s: float = 0.0
    n_arrived: int = 0
    retry_budget: float = 10.0
    mean_density: float = 0.0
    counts: dict[str, tuple[float, float]] = field(default_factory=dict)
    counts_updated_s: float = -1e9
    sent_per_s: float = 0.0
    returns_s: dict[int, float] = field(default_factory=dict)


class Queues:
    """Queues by pool, and the set of pools whose queue or slots changed."""

    __slots__ = ("_rows", "_changed")

    def __init__(self) -> None:
        self._rows: dict[str, QueueRow] = {}
        self._changed: dict[str, None] = {}

    def mark_changed(self, pool: str) -> None:
        """Mark a pool whose queue or slots changed."""
        self._changed[pool] = None

    def pop_changed(self) -> list[str]:
        """Return and clear the changed pools, in the order in which they changed."""
        changed = list(self._changed)
        self._changed.clear()
        return changed

    def queue_of(self, pool: str) -> QueueRow:
        """Return the queue of a pool; create it if it is missing."""
        row = self._rows.get(pool)
        if row is None:
            row = QueueRow(pool)
            self._rows[pool] = row
        return row

    def rows(self) -> list[QueueRow]:
        """List all queues."""
        return list(self._rows.values())
