"""Policies that vary: how limits are shared and how backend servers are chosen."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PooledShares:
    """Home shares are delegated to the instance where the demand is."""


@dataclass(frozen=True, slots=True)
class StaticShares:
    """Each seat spends its own home share only."""


@dataclass(frozen=True, slots=True)
class Uncoordinated:
    """Each instance admits the whole rate, as if it were alone."""


LimitPolicy = PooledShares | StaticShares | Uncoordinated


@dataclass(frozen=True, slots=True)
class OwnedSlots:
    """Each server's slots belong to one instance at a time, which counts them."""


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Any available server, whatever its load."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less loaded of two random servers, by this instance's own view."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The server with the fewest requests of this instance."""


ChoicePolicy = OwnedSlots | RandomChoice | TwoChoices | LeastInFlight


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies of one instance.

    Attributes:
        has_tickets: Whether the callers that are measured use tickets.
    """

    limits: LimitPolicy = PooledShares()
    choice: ChoicePolicy = OwnedSlots()
    has_tickets: bool = False
