"""The table of token buckets, one row for each client account."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class ShareRow:
    """A share of an account's limit that refills the bucket of this instance.

    Attributes:
        owner: Seat to which the configuration assigns the share.
        until_s: When the right to refill from the share expires.
        owner_incarnation: Incarnation of the owner that delegated the share, 0 for
            the share that this seat owns.
        delegation_id: Number of the delegation, 0 for the share that this seat owns.
        requested_s: When this instance requested the delegation that it has now.
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
    """Tokens lent to another instance.

    Attributes:
        borrower: Seat that borrowed the tokens.
        n_outstanding: Tokens that the borrower has reported neither spent nor
            returned.
        until_s: When the loan ends by the lender's clock.
    """

    loan_id: int
    borrower: str
    n_tokens: int
    n_outstanding: int
    until_s: float
    n_returned: int = 0


@dataclass(slots=True)
class BorrowedRow:
    """Tokens borrowed from a holder.

    Attributes:
        holder: Seat that lent the tokens.
        until_s: When the tokens expire.
        n_reported: Tokens reported to the holder as spent or returned.
    """

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
    """A local request or a peer that waits for tokens.

    Attributes:
        borrower: Seat of the peer, or an empty string for a local request.
        request_id: The local request, or 0 for a peer.
        n_tokens: Tokens still missing.
        requested_s: When the tokens were requested, by the clock of the instance that
            waits.
        until_s: When the waiter expires.
        arrived_s: When the request arrived at this instance.
        n_ahead: Tokens that a peer expects to need soon in addition.
    """

    borrower: str
    borrower_incarnation: int
    request_id: int
    n_tokens: int
    requested_s: float
    until_s: float
    arrived_s: float = 0.0
    n_ahead: int = 0


@dataclass(slots=True)
class LenderRow:
    """What this instance requested of another data centre's holder.

    Attributes:
        n_requested: Tokens requested and neither granted nor denied yet.
        expires_s: When a request that got no answer counts as lost.
        not_before_s: Until when the data centre is not asked, after a denial.
        backoff_s: How long it was not asked after the latest denial, 0 after a grant.
    """

    data_centre: str
    n_requested: int = 0
    expires_s: float = 0.0
    not_before_s: float = -1e9
    backoff_s: float = 0.0


@dataclass(slots=True)
class DelegationRequestRow:
    """The latest request to delegate the owned share, kept until the share is free."""

    holder: str
    holder_incarnation: int
    requested_s: float


@dataclass(slots=True)
class DelegatedRow:
    """The delegation of the owned share to a holder, which refills from it.

    Attributes:
        holder: Seat of the holder.
        until_s: When the owner may refill from the share again, unless the delegation
            is renewed.
    """

    holder: str
    holder_incarnation: int
    delegation_id: int
    until_s: float


@dataclass(slots=True)
class BucketRow:
    """The token bucket of one account at this instance.

    Attributes:
        n_tokens: Tokens at ``refilled_s``.
        refilled_s: Time up to which the bucket was refilled.
        shares: Shares whose rate refills this bucket, by owner seat.
        own_rate_per_s: Rate of the share that this seat owns, whether this instance
            or a holder refills it.
        own_burst: Burst of the share that this seat owns.
        pending_rate_per_s: Rate of the owned share by the newest configuration; in
            force in full once no seat can use an older, larger share.
        pending_burst: Burst of the owned share, pending likewise.
        delegated: Delegation of the owned share, or None if no other instance has it.
        n_delegations: Number of the owned share's latest delegation.
        loans: Tokens lent to others, by loan number.
        borrowed: Tokens borrowed from others, by holder, holder's incarnation and
            loan number.
        waiters: Local requests and peers that wait for tokens, in order of arrival.
        n_requested: Tokens requested from the holder and not yet granted.
        request_expires_s: When a request that got no answer counts as lost.
        half_life_s: Time in which the weight of an arrival in the smoothed demand
            halves.
        demand_per_s: Smoothed rate of arrivals at ``demand_updated_s``.
        holder: Seat that this instance chose to hold the account's shares.
        last_request_s: When tokens were last requested from the holder.
        next_deadline_s: Deadline that is armed for the waiters.
        ramp_s: Time over which the rate rises from zero, for shifts; 0 for none.
        share_returned_s: When shares were returned, by owner seat; grants that were
            requested before are void.
        pending_delegation_request: Latest request for the owned share, or None.
        removed_s: When the account was removed, or None.
        advertised_demand_per_s: Demand that the latest heartbeat told.
        claimed_demand_per_s: Demand by which the own part of the limit is computed.
        advertised: When lately which demand was told, oldest first.
        n_denied: Tokens that the holder denied to waiting local requests.
        isolated_s: When this instance last held the share of a data centre without a
            way to the limit's keeper.
        lenders: Other data centres whose holders were asked for tokens, by name.
        denied_retry_after_s: When the holder may have tokens for these, from then on.
        denied_until_s: Until when the holder expects to have no token for more.
        forecast_s: When the holder expects the next token, by its last denial.
        n_refused_by_denial: Requests that this instance refused because of it.
        denied_by: Seat and incarnation of the holder that denied tokens last.
        last_arrival_s: When the account's last request arrived here.
        series_per_s: Rate at which its requests arrived here by then.
        inflow_per_s: Rate at which tokens were requested of this instance by then.
        inflow_s: When tokens were last requested of it.
        advance_term_s: Term of the latest tokens in advance, 0 if there were none.
        limit: Rate and burst of the account by the configuration in force.
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
    request_expires_s: float = 0.0
    half_life_s: float = 2.0
    demand_per_s: float = 0.0
    demand_updated_s: float = 0.0
    holder: str = ""
    last_request_s: float = -1e9
    next_deadline_s: float = 0.0
    ramp_s: float = 0.0
    ramp_start_s: float = 0.0
    share_returned_s: dict[str, float] = field(default_factory=dict)
    pending_delegation_request: DelegationRequestRow | None = None
    removed_s: float | None = None
    advertised_demand_per_s: float = 0.0
    claimed_demand_per_s: float = 0.0
    advertised: deque[tuple[float, float]] = field(default_factory=deque)
    n_denied: int = 0
    isolated_s: float = -1e9
    denied_retry_after_s: float = 0.0
    lenders: dict[str, LenderRow] = field(default_factory=dict)
    denied_until_s: float = 0.0
    forecast_s: float = 0.0
    n_refused_by_denial: int = 0
    denied_by: tuple[str, int] = ("", 0)
    last_arrival_s: float = -1e9
    series_per_s: float = 0.0
    inflow_per_s: float = 0.0
    inflow_s: float = 0.0
    advance_term_s: float = 0.0
    limit: tuple[float, float] = (0.0, 0.0)


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
