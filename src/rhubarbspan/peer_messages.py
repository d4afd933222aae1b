"""Messages between entry instances.

Each message identifies its sender by seat and incarnation. ``requested_s`` is a reading
of the requesting instance's clock: the receiver only echoes it in the grant and never
compares it with its own clock.
"""

from dataclasses import dataclass, field

from .document import Change, Snapshot

# Requests in flight at backend servers, by pool and by region of the servers.
InFlight = dict[str, dict[str, float]]


@dataclass(slots=True)
class PoolLoad:
    """The load of those backend servers of a pool whose slots the sender hands out.

    Attributes:
        n_used: Slots that can't take a request now, mostly used by own requests or on
            loan.
        n_foreign: Estimated slots used by requests that came through no instance.
        n_slots: Usable slots of the servers that are available.
        n_queued: Requests in the sender's queue for the pool.
        arrivals_per_s: Rate of requests for the pool that arrive at the sender.
    """

    pool: str
    n_used: int
    n_foreign: int
    n_slots: int
    n_queued: int
    arrivals_per_s: float


@dataclass(slots=True)
class AccountDemand:
    """The demand of a client account at the sender.

    Attributes:
        rate_per_s: Smoothed rate of the account's requests that arrive at the sender.
        is_holder: Whether the sender holds shares that other seats own.
    """

    account: str
    rate_per_s: float
    is_holder: bool


@dataclass(slots=True)
class SuspectNotice:
    """A request that was in flight when backend servers crashed.

    Attributes:
        fingerprint: Hash that identifies the request.
        crashes: Identifiers of the crashes during which it was in flight.
        n_suspects: For each crash, the number of requests that were in flight.
        cleared: Crashes that it is no longer suspected of, because it succeeded later.
    """

    fingerprint: str
    crashes: list[str]
    n_suspects: list[int]
    cleared: list[str]


@dataclass(slots=True)
class LeavingServer:
    """A backend server that has said in a response that it is leaving.

    Attributes:
        incarnation: Incarnation that said so.
        age_s: Time since it said so.
    """

    server_id: str
    incarnation: int
    age_s: float


@dataclass(slots=True)
class Heartbeat:
    """The state of an instance, sent periodically to the other instances.

    Attributes:
        sequence: Sequence number of the heartbeat within the incarnation.
        revision: Configuration revision in force.
        config_age_s: Time since the revision was last known to be the store's newest.
        echoed_incarnation: Incarnation in the last heartbeat from the receiver, or 0 if
            there was none.
        echoed_sequence: Sequence number of that heartbeat.
        echo_age_s: Time since that heartbeat was received.
        uptime_s: Time since the start of the incarnation. Earlier versions do not send
            it; the default treats them as started long ago.
        refusing_servers_s: Backend servers whose machines refused a connection, with
            the remaining time for which they count as cold.
        handled: Objects that the instance sent to servers since its last heartbeat:
            digests of route and object, by digest of the server's identifier.
        responses: What responses since then show of how many objects the servers of a
            pool keep, encoded as in ``tables.objects``.
        is_two_level: Whether the sender sends heartbeats only inside its data centre.
        knows_servers: Whether the sender knows any backend server. Earlier versions do
            not send it.
        leaving_servers: Backend servers that have lately said that they are leaving,
            to the sender or to another instance.
        presence_digest: Digest of the instances of its data centre that hear the sender
            and are heard by it, 0 from earlier versions.
        server_loads: Load reports that the sender got since its last heartbeat, by
            digest of the server: requests there, slowdown, age in seconds, and if
            there were any, how many requests it rejected with free slots. Earlier
            versions ignore entries with the last, and do not send the field.
        in_flight: Requests of the sender at backend servers, or None if it does not
            tell. Earlier versions do not send it.
        missed: Instances that the sender knows and does not hear.
        lapsed: Silent instances that are not on the platform's list, as it knows it.
        echoes: Incarnation and sequence number of the newest heartbeat that the sender
            has, on whatever way, of each instance that it misses or that misses it.
        read_age_s: Time since the sender's data centre is known to have read the store.
    """

    seat: str
    incarnation: int
    sequence: int
    revision: int
    is_leaving: bool
    config_age_s: float = 0.0
    loads: list[PoolLoad] = field(default_factory=list)
    demands: list[AccountDemand] = field(default_factory=list)
    suspects: list[SuspectNotice] = field(default_factory=list)
    data_centre: str = ""
    address: str = ""
    peer_address: str = ""
    echoed_incarnation: int = 0
    echoed_sequence: int = 0
    echo_age_s: float = 0.0
    uptime_s: float = 1e9
    refusing_servers_s: dict[str, float] = field(default_factory=dict)
    handled: dict[int, list[int]] = field(default_factory=dict)
    responses: dict[str, list[int]] = field(default_factory=dict)
    is_two_level: bool = False
    knows_servers: bool = True
    leaving_servers: list[LeavingServer] = field(default_factory=list)
    presence_digest: int = 0
    server_loads: dict[int, list[float]] = field(default_factory=dict)
    in_flight: InFlight | None = None
    missed: list[str] = field(default_factory=list)
    lapsed: list[str] = field(default_factory=list)
    echoes: dict[str, list[int]] = field(default_factory=dict)
    read_age_s: float = 1e6


@dataclass(slots=True)
class RelayedHeartbeat:
    """A heartbeat that the sender passes on to an instance which misses its author.

    Attributes:
        heartbeat: The heartbeat, without what only those need that hear its author.
    """

    seat: str
    incarnation: int
    heartbeat: Heartbeat


@dataclass(slots=True)
class ConfigurationRequest:
    """Request to a peer for the configuration changes after a revision."""

    seat: str
    incarnation: int
    revision: int


@dataclass(slots=True)
class ConfigurationDelivery:
    """Configuration sent to a peer: changes, or a snapshot if changes are missing."""

    seat: str
    incarnation: int
    snapshot: Snapshot | None
    changes: list[Change]


@dataclass(slots=True)
class DelegationRequest:
    """A holder asks the owner to delegate its shares of some accounts.

    Attributes:
        requested_s: Reading of the holder's clock when it sent the request. The
            holder's term starts then.
    """

    seat: str
    incarnation: int
    requested_s: float
    accounts: list[str]


@dataclass(slots=True)
class DelegatedShare:
    """An owner's share of one account's limit.

    Attributes:
        delegation_id: Number of the delegation, which its renewals keep.
        tokens: Tokens transferred with the share; the holder counts them once for each
            delegation.
    """

    account: str
    rate_per_s: float
    burst: float
    delegation_id: int
    tokens: float


@dataclass(slots=True)
class DelegationGrant:
    """An owner delegates shares until ``requested_s`` plus ``term_s``."""

    seat: str
    incarnation: int
    holder_incarnation: int
    requested_s: float
    term_s: float
    shares: list[DelegatedShare]


@dataclass(slots=True)
class ReturnedShare:
    """A share that a holder returns before its term ends.

    Attributes:
        tokens: Tokens returned with the share.
    """

    account: str
    delegation_id: int
    tokens: float = 0.0


@dataclass(slots=True)
class DelegationReturn:
    """A holder returns shares that it has stopped using."""

    seat: str
    incarnation: int
    shares: list[ReturnedShare]


@dataclass(slots=True)
class TokenWant:
    """The number of tokens of one account that an instance requests."""

    account: str
    n_tokens: int


@dataclass(slots=True)
class LoanReport:
    """The use of a loan of tokens so far.

    Attributes:
        n_spent: Tokens spent since the start of the loan.
        n_returned: Tokens returned, which the borrower can no longer spend.
    """

    account: str
    loan_id: int
    n_spent: int
    n_returned: int


@dataclass(slots=True)
class TokenRequest:
    """An instance requests tokens from the holder and reports on earlier loans.

    Attributes:
        advances: Tokens that it expects to need soon. They are lent only if the holder
            has them to spare, and never denied.
    """

    seat: str
    incarnation: int
    holder_incarnation: int
    requested_s: float
    requested_tokens: list[TokenWant]
    reports: list[LoanReport]
    advances: list[TokenWant] = field(default_factory=list)


@dataclass(slots=True)
class TokenLoan:
    """Tokens of one account on loan."""

    loan_id: int
    account: str
    n_tokens: int


@dataclass(slots=True)
class TokenAdvance:
    """Tokens of one account on loan for a term of their own."""

    loan_id: int
    account: str
    n_tokens: int
    term_s: float


@dataclass(slots=True)
class TokenGrant:
    """The holder lends tokens until ``requested_s`` plus ``term_s``.

    Attributes:
        denied: Tokens that the holder will not lend, as they will not be there in time.
        retry_after_s: Time after which it may have a token for a denied request.
        advances: Tokens that were requested in advance.
        retries_s: The same time by account.
    """

    seat: str
    incarnation: int
    borrower_incarnation: int
    requested_s: float
    term_s: float
    loans: list[TokenLoan]
    denied: list[TokenWant] = field(default_factory=list)
    retry_after_s: float = 0.0
    advances: list[TokenAdvance] = field(default_factory=list)
    retries_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class SlotRequest:
    """An instance requests slots from the owner of servers.

    Attributes:
        request_number: Number of the request, echoed in the grant.
        is_remote: Whether the sender is in another region.
    """

    seat: str
    incarnation: int
    request_number: int
    pool: str
    n_slots: int
    is_remote: bool
    requested_s: float


@dataclass(slots=True)
class SlotLoan:
    """One slot of a backend server on loan."""

    loan_id: int
    server_id: str
    address: str


@dataclass(slots=True)
class SlotGrant:
    """The owner lends slots until ``requested_s`` plus ``term_s``, or refuses.

    Attributes:
        loans: The slots on loan; empty if the owner can spare none.
    """

    seat: str
    incarnation: int
    request_number: int
    pool: str
    requested_s: float
    term_s: float
    loans: list[SlotLoan]


@dataclass(slots=True)
class SlotReturn:
    """The borrower returns slots.

    Attributes:
        shed_loan_ids: Those of ``loan_ids`` whose server shed the request.
    """

    seat: str
    incarnation: int
    owner_incarnation: int
    loan_ids: list[int]
    shed_loan_ids: list[int] = field(default_factory=list)


@dataclass(slots=True)
class MemberState:
    """An instance of the data centre that a summary describes.

    Attributes:
        uptime_s: Time since the start of the incarnation.
        silent_s: Time since its last heartbeat.
        revision: Configuration revision that it reported.
    """

    seat: str
    incarnation: int
    uptime_s: float
    silent_s: float
    revision: int
    is_leaving: bool = False


@dataclass(slots=True)
class DataCentreSummary:
    """The instances of the sender's data centre and the demand there.

    Attributes:
        members: The other live instances of the data centre.
        demands: Rate of requests by account; only those that changed, unless complete.
        uptime_s: Time since the start of the sender.
        revision: Configuration revision of the sender.
        is_passed_on: Whether an instance of the receiver's data centre passed it on.
        age_s: Time since the summary was made.
        handled: Objects that the data centre sent to servers since the last summary,
            as in a heartbeat.
        responses: What responses since then show, as in a heartbeat.
        unheard: Data centres of which the sender has no recent figures.
        in_flight: Requests of the data centre's instances at backend servers, or None
            if the sender does not tell. Earlier versions do not send it.
        missed: Data centres whose summaries the sender's does not get from themselves.
        is_relayed: Whether it came by way of a third data centre.
    """

    seat: str
    incarnation: int
    data_centre: str
    members: list[MemberState]
    demands: dict[str, float]
    is_complete: bool
    uptime_s: float = 1e9
    revision: int = 0
    is_passed_on: bool = False
    age_s: float = 0.0
    handled: dict[int, list[int]] = field(default_factory=dict)
    responses: dict[str, list[int]] = field(default_factory=dict)
    unheard: list[str] = field(default_factory=list)
    in_flight: InFlight | None = None
    missed: list[str] = field(default_factory=list)
    is_relayed: bool = False


@dataclass(slots=True)
class StoreItem:
    """A key of the store; the value is None if it cannot be decoded or was deleted."""

    key: str
    value: bytes | None
    is_deleted: bool = False


@dataclass(slots=True)
class StoreUpdate:
    """What a reader read from the store under a prefix.

    Attributes:
        after: Revision after which the items follow; 0 if they are all there are.
        revision: Revision of the store up to which they are complete.
        next_within_s: Time within which the reader promises its next reading.
        is_stale: Whether the store may have held newer items than it returned.
        era: Era of the store that the revisions belong to. Earlier versions do not
            send it.
        differs_from: If the items are the differences between two complete copies of
            the sender, the revision of the first; ``after`` is then ``revision``, so
            that earlier versions that are behind read the store themselves.
        digest: Digest of the second of the two copies.
        seat: Seat of the reader. Earlier versions do not send it.
    """

    prefix: str
    after: int
    revision: int
    items: list[StoreItem]
    next_within_s: float
    is_stale: bool = False
    era: int = 0
    differs_from: int = 0
    digest: int = 0
    seat: str = ""


@dataclass(slots=True)
class KnownServer:
    """A backend server that an instance uses.

    Attributes:
        n_slots: Slots, or 0 if not known.
        incarnation: Start of the server's process in Unix milliseconds.
        cold_s: Remaining time for which it counts as cold.
        sequence: Sequence number of its newest report.
    """

    server_id: str
    pool: str
    address: str
    data_centre: str
    n_slots: int
    incarnation: int
    cold_s: float
    sequence: int


@dataclass(slots=True)
class ServerHandover:
    """The servers that an instance uses, for a peer that knows none.

    Attributes:
        evacuated: Data centres that an operator has evacuated.
    """

    seat: str
    incarnation: int
    servers: list[KnownServer]
    evacuated: list[str]


PeerMessage = (
    Heartbeat
    | ConfigurationRequest
    | ConfigurationDelivery
    | DelegationRequest
    | DelegationGrant
    | DelegationReturn
    | TokenRequest
    | TokenGrant
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | DataCentreSummary
    | StoreUpdate
    | ServerHandover
    | RelayedHeartbeat
)
