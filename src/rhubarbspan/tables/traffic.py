"""The table of requests that this instance has sent recently, by region."""

from collections import Counter, deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class TimeSliceRow:
    """Requests sent in one slice of time.

    Attributes:
        number: Number of the slice, counted from the zero of the clock.
        n_sent: Requests sent in the slice, by region of the server.
        n_slots: Usable slots of this instance's region when the slice began.
    """

    number: int
    n_sent: Counter[str] = field(default_factory=Counter)
    n_slots: int = 0


@dataclass(slots=True)
class RegionTraffic:
    """Requests sent by region in the latest two windows.

    Attributes:
        slices: Time slices of both windows, oldest first.
        previous: Requests by region in the window before the latest one.
        latest: Requests by region in the latest window.
        is_capacity_stable: Whether this instance's region has kept its slots through
            both windows.
    """

    slices: deque[TimeSliceRow] = field(default_factory=deque)
    previous: Counter[str] = field(default_factory=Counter)
    latest: Counter[str] = field(default_factory=Counter)
    is_capacity_stable: bool = True
