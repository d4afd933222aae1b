"""The table of regions to which this instance has sent requests lately."""

from collections import Counter, deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class TimeSliceRow:
    """A slice of time.

    Attributes:
        number: Number of the slice since the clock's start.
        n_sent: Requests sent in it, by region of the server.
        n_slots: Slots of the own region that could be used when it began.
    """

    number: int
    n_sent: Counter[str] = field(default_factory=Counter)
    n_slots: int = 0


@dataclass(slots=True)
class RegionTraffic:
    """Slices of the latest two windows, oldest first, and sums over them.

    Attributes:
        previous: Requests by region in the window before the latest one.
        latest: Requests by region in the latest window.
        is_capacity_stable: Whether the own region has kept its slots in both windows.
    """

    slices: deque[TimeSliceRow] = field(default_factory=deque)
    previous: Counter[str] = field(default_factory=Counter)
    latest: Counter[str] = field(default_factory=Counter)
    is_capacity_stable: bool = True
