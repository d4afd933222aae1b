"""The table of tickets: idempotency keys issued by this incarnation.

No other instance or incarnation may run a request under such a key.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Tickets:
    """Tickets of this incarnation, by number.

    Attributes:
        secret: Key of the digest that shows that this incarnation issued a ticket.
        n_issued: Number of the newest ticket.
        used: Numbers of tickets under which a request was started.
        forgotten_below: Tickets with smaller numbers are no longer tracked.
    """

    secret: bytes
    n_issued: int = 0
    used: dict[int, None] = field(default_factory=dict)
    forgotten_below: int = 1
