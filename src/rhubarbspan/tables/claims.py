"""The table of claims on idempotency keys that this instance made."""

from dataclasses import dataclass, field
from enum import Enum


class ClaimState(Enum):
    """The state of a claim.

    Attributes:
        PENDING: A request waits for the store's answer.
        UNRESOLVED: The request ended before the store answered.
        RELEASED: The request did not run; a resend may use the claim.
        USED: A request may have been sent under the claim.
    """

    PENDING = "pending"
    UNRESOLVED = "unresolved"
    RELEASED = "released"
    USED = "used"


@dataclass(slots=True)
class ClaimRow:
    """A claim on one idempotency key.

    Attributes:
        key: Hash of account, route and idempotency key.
        nonce: Unique value that proves that the claim in the store is this
            instance's.
        claimed_s: When the claim was last sent to the store.
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
        """Remove claims made before ``cutoff_s``; the store keeps them longer."""
        old = []
        for key, row in self.rows.items():
            if row.claimed_s >= cutoff_s:
                break
            old.append(key)
        for key in old:
            del self.rows[key]
