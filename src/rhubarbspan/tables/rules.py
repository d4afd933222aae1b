"""Data for placing requests, derived once from each configuration in force."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Rules:
    """Data derived from the configuration, so that no request has to search it.

    Attributes:
        lowest_priorities: For each pool, the lowest priority of its routes, which is
            the largest number.
        mixed_priority_pools: Pools whose requests differ in priority, by route or by
            account.
        routes_of_pool: Names of the routes that a pool serves.
    """

    lowest_priorities: dict[str, int] = field(default_factory=dict)
    mixed_priority_pools: set[str] = field(default_factory=set)
    routes_of_pool: dict[str, list[str]] = field(default_factory=dict)
