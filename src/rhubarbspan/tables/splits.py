"""The table of split routes: how often each of their pools was chosen."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class SplitRow:
    """One split route.

    Attributes:
        parts: Pools and weights that the counts belong to.
        n_chosen: Requests by pool.
    """

    parts: tuple[tuple[str, float], ...]
    n_chosen: Counter[str] = field(default_factory=Counter)
