"""What the configuration in force means for placing, worked out once for each."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Rules:
    """Facts about the configuration that each request would else search for.

    Attributes:
        lowest_priorities: For each pool, the priority of its least urgent route.
    """

    lowest_priorities: dict[str, int] = field(default_factory=dict)
