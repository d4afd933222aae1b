"""The table of claims on idempotency keys that this instance made."""

from dataclasses import dataclass, field
from enum import Enum


class ClaimState(Enum):
    """How far a claim got."""

    PENDING = "pending"
    UNRESOLVED = "unresolved"
    RELEASED = "released"
    USED = "used"


@dataclass(slots=True)
class ClaimRow:
    """One claim.

    Attributes:
        nonce: Proves that the claim in the store is this instance's.
        state: PENDING while a request asks the store; UNRESOLVED if the request
            ended without the store's answer; RELEASED if the request did not run;
            USED once a request may have been sent.
    """

    key: str
    nonce: str
    state: ClaimState
    claimed_s: float


@dataclass(slots=True)
class Claims:
    """Claims by key, oldest first."""

    rows: dict[str, ClaimRow] = field(default_factory=dict)

    def remove_before(self, cutoff_s: float) -> None:
        """Remove claims made before a time; the store remembers them longer."""
        old = []
        for key, row in self.rows.items():
            if row.claimed_s >= cutoff_s:
                break
            old.append(key)
        for key in old:
            del self.rows[key]
