"""Data for placing requests, derived once from each configuration in force."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Rules:
    """Data derived from the configuration, so that no request has to search it.

    Attributes:
        lowest_priorities: For each pool, the lowest priority of its routes, which is
            the largest number.
    """

    lowest_priorities: dict[str, int] = field(default_factory=dict)
