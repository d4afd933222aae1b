"""The table of split routes, with the number of requests sent to each pool."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class SplitRow:
    """One split route.

    Attributes:
        parts: Pools and weights for which the requests were counted.
        n_chosen: Requests by pool.
    """

    parts: tuple[tuple[str, float], ...]
    n_chosen: Counter[str] = field(default_factory=Counter)
