"""The table of tickets: idempotency keys that this incarnation alone may run."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Tickets:
    """Tickets of this incarnation, by number.

    Attributes:
        secret: Proves that a ticket was handed out by this incarnation.
        n_issued: Number of the newest ticket.
        used: Numbers under which a request was started.
        forgotten_below: Numbers below this one are no longer known.
    """

    secret: bytes
    n_issued: int = 0
    used: dict[int, None] = field(default_factory=dict)
    forgotten_below: int = 1
