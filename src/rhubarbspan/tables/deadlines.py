"""The table of deadlines, a heap ordered by time."""

import heapq

from ..inputs import DeadlineReached, Timer


class Deadlines:
    """Deadlines in order of time.

    Deadlines are not removed when they become obsolete; their receiver ignores them.

    Example:
        >>> deadlines = Deadlines()
        >>> deadlines.arm(2.0, Timer.REQUEST, "1")
        >>> deadlines.next_s(), deadlines.pop_due(1.9)
        (2.0, [])
        >>> deadlines.pop_due(2.0)[0].key
        '1'
    """

    __slots__ = ("_heap", "_n_armed")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer, str]] = []
        self._n_armed = 0

    def arm(self, when_s: float, timer: Timer, key: str) -> None:
        """Add a deadline."""
        self._n_armed += 1
        heapq.heappush(self._heap, (when_s, self._n_armed, timer, key))

    def next_s(self) -> float | None:
        """Return the time of the earliest deadline, or None."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_s: float) -> list[DeadlineReached]:
        """Remove and return the deadlines at or before ``now_s``."""
        due: list[DeadlineReached] = []
        while self._heap and self._heap[0][0] <= now_s:
            _, _, timer, key = heapq.heappop(self._heap)
            due.append(DeadlineReached(timer, key))
        return due
