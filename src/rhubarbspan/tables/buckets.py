"""The table of token buckets, one row for each client account."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class ShareRow:
    """A share of an account's limit that this instance may mint from.

    Attributes:
        owner: Seat that owns the share.
        until_s: When the right to mint ends.
        delegation_id: Number of the delegation, 0 for the instance's own share.
    """

    owner: str
    rate_per_s: float
    burst: float
    until_s: float
    owner_incarnation: int = 0
    delegation_id: int = 0
    requested_s: float = 0.0


@dataclass(slots=True)
class LoanRow:
    """Tokens lent to another instance and not yet known to be spent."""

    loan_id: int
    borrower: str
    n_tokens: int
    n_outstanding: int
    until_s: float
    n_returned: int = 0


@dataclass(slots=True)
class BorrowedRow:
    """Tokens borrowed from a holder."""

    loan_id: int
    holder: str
    holder_incarnation: int
    n_tokens: int
    until_s: float
    n_spent: int = 0
    n_returned: int = 0
    n_reported: int = 0

    @property
    def n_left(self) -> int:
        """Tokens that can still be spent."""
        return self.n_tokens - self.n_spent - self.n_returned


@dataclass(slots=True)
class WaiterRow:
    """A request for tokens that could not be met at once.

    Attributes:
        borrower: Seat that asked, or an empty string for a local request.
        request_id: The local request, or 0.
    """

    borrower: str
    borrower_incarnation: int
    request_id: int
    n_tokens: int
    requested_s: float
    until_s: float


@dataclass(slots=True)
class DelegationRequestRow:
    """The newest request for the own home share, kept in case it becomes free."""

    holder: str
    holder_incarnation: int
    requested_s: float


@dataclass(slots=True)
class DelegatedRow:
    """The instance's own share while another instance mints from it."""

    holder: str
    holder_incarnation: int
    delegation_id: int
    until_s: float


@dataclass(slots=True)
class BucketRow:
    """An account's tokens at this instance.

    Attributes:
        n_tokens: Tokens at ``refilled_s``.
        refilled_s: Up to when tokens were minted.
        shares: Shares that this instance mints from, by home seat.
        own_rate_per_s: Rate of the own home share, wherever it is minted.
        own_burst: Burst of the own home share.
        delegated: Where the own home share is, or None if it is here.
        loans: Tokens lent to others, by number of the loan.
        borrowed: Tokens borrowed from others, by holder and number of the loan.
        waiters: Unmet requests in order of arrival, local and remote.
        n_requested: Tokens asked for and not yet granted.
        requested_until_s: When what was asked for counts as lost.
        last_request_s: When tokens were last asked for.
        holder: Seat that should mint the account's shares, in this one's view.
        half_life_s: How long an arrival counts half in the smoothed demand.
        demand_per_s: Smoothed rate of arrivals at ``demand_updated_s``.
        next_deadline_s: The deadline that is armed for the next token.
        ramp_s: Time over which the rate rises from zero, for shifts.
        returned_s: When shares were given back, by home seat; grants that were
            asked for earlier are void.
        retired_s: When the account was removed, or None.
        advertised_demand_per_s: Demand that the latest heartbeat told peers.
        pending_delegation_request: Who asked for the own share last, or None.
    """

    account: str
    n_tokens: float = 0.0
    refilled_s: float = 0.0
    shares: dict[str, ShareRow] = field(default_factory=dict)
    own_rate_per_s: float = 0.0
    own_burst: float = 0.0
    pending_rate_per_s: float = 0.0
    pending_burst: float = 0.0
    delegated: DelegatedRow | None = None
    n_delegations: int = 0
    loans: dict[int, LoanRow] = field(default_factory=dict)
    borrowed: dict[tuple[str, int, int], BorrowedRow] = field(default_factory=dict)
    waiters: deque[WaiterRow] = field(default_factory=deque)
    n_requested: int = 0
    requested_until_s: float = 0.0
    half_life_s: float = 2.0
    demand_per_s: float = 0.0
    demand_updated_s: float = 0.0
    holder: str = ""
    last_request_s: float = -1e9
    next_deadline_s: float = 0.0
    ramp_s: float = 0.0
    ramp_start_s: float = 0.0
    returned_s: dict[str, float] = field(default_factory=dict)
    pending_delegation_request: DelegationRequestRow | None = None
    retired_s: float | None = None
    advertised_demand_per_s: float = 0.0


class Buckets:
    """Buckets by account."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: dict[str, BucketRow] = {}

    def get(self, account: str) -> BucketRow | None:
        """Return a row, or None if the account does not exist."""
        return self._rows.get(account)

    def add(self, row: BucketRow) -> None:
        """Add a row."""
        self._rows[row.account] = row

    def remove(self, account: str) -> None:
        """Remove a row."""
        del self._rows[account]

    def rows(self) -> list[BucketRow]:
        """List all rows."""
        return list(self._rows.values())
