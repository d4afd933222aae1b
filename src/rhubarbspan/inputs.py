"""Inputs: the events that an instance handles, as typed messages."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

from .document import Change, Snapshot
from .peer_messages import PeerMessage, StoreUpdate

T = TypeVar("T")


@dataclass(slots=True)
class RequestArrived:
    """The head of a request arrived from a caller.

    Attributes:
        request_id: Number of the request, unique within the incarnation.
        path: Path of the request target, without the query.
        key_hash: SHA-256 hash of the caller's key, or an empty string.
        idempotency_key: The caller's idempotency key, or an empty string.
        body_digest: Hash of method, target and body by which resends are known, or an
            empty string. Of a body that is streamed it covers the first part.
        is_replayable: Whether the edge can send the body again on a retry.
        n_body_bytes: Length of the body, or -1 if it is unknown.
        timeout_s: Timeout that the caller set, or 0 if it set none.
        host: Host from the request, in lower case.
        object_key: Identifier of the object that the request concerns, for affinity, or
            an empty string.
        caller_request_id: Request identifier that the caller sent, for logs.
    """

    request_id: int
    path: str
    key_hash: str = ""
    idempotency_key: str = ""
    body_digest: str = ""
    is_replayable: bool = True
    n_body_bytes: int = 0
    timeout_s: float = 0.0
    host: str = ""
    object_key: str = ""
    caller_request_id: str = ""


@dataclass(slots=True)
class CallerDisconnected:
    """The caller closed its connection before the request ended."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Completed:
    """The backend server's response was received completely."""

    status: int


@dataclass(frozen=True, slots=True)
class Shed:
    """The backend server refused the request without running it.

    Attributes:
        is_broken: Whether the refusal's body was given up for its length or pieces.
    """

    is_broken: bool = False


@dataclass(frozen=True, slots=True)
class Misdirected:
    """The address belongs to another server now, which did not run the request."""


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """The connection could not be established, so no byte was sent.

    Attributes:
        is_refused: Whether the machine refused it, so that no process listens there.
    """

    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection broke after part of the request may have been sent.

    Attributes:
        has_response_started: Whether part of a response was passed to the caller.
        is_server_up: Whether the server had not closed the connection, so that it did
            not crash: its response was invalid, or could not be forwarded.
    """

    has_response_started: bool = False
    is_server_up: bool = False


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The attempt's deadline passed before the response was complete."""

    has_response_started: bool = False


@dataclass(frozen=True, slots=True)
class Aborted:
    """The instance cancelled the attempt, or the caller disconnected."""


Outcome = (
    Completed | Shed | Misdirected | ConnectFailed | ConnectionLost | TimedOut | Aborted
)


@dataclass(slots=True)
class AttemptEnded:
    """An attempt to run a request on a backend server ended.

    Attributes:
        is_body_consumed: Whether the body was streamed and can't be sent again,
            whatever the outcome.
    """

    request_id: int
    attempt_id: int
    outcome: Outcome
    is_body_consumed: bool = False


@dataclass(slots=True)
class ServerListing:
    """One backend server, as registered with the platform.

    Attributes:
        n_slots: Slots that the server advertises, or 0 if the list has no number.
        incarnation: Start of the server's process in Unix milliseconds, or 0 if the
            list doesn't have it.
        cold_s: Remaining time for which the server is cold, as it reported.
        sequence: Sequence number of the server's newest report.
    """

    server_id: str
    pool: str
    address: str
    data_centre: str
    is_leaving: bool = False
    n_slots: int = 0
    incarnation: int = 0
    cold_s: float = 0.0
    sequence: int = 0


@dataclass(slots=True)
class ServersUnchanged:
    """The platform's lists of backend servers are still as they were delivered."""


@dataclass(slots=True)
class ServersListed:
    """The platform delivered the list of a pool's backend servers."""

    pool: str
    servers: list[ServerListing]


@dataclass(slots=True)
class EvacuationsListed:
    """The platform delivered the data centres that the operator evacuates.

    Their backend servers get no requests.
    """

    data_centres: frozenset[str]


@dataclass(slots=True)
class ServerLoadReported:
    """A backend server reported its load in the headers of a response.

    Attributes:
        n_running: Requests that the server runs, from all sources.
        n_waiting: Requests that wait in the server's queue.
        slowdown: Factor by which work takes longer than usual on its machine now, None
            if the server does not say.
        is_refusal: Whether the response refuses the request, which the server then does
            not count.
    """

    server_id: str
    n_running: int
    n_waiting: int
    n_slots: int
    slowdown: float | None = None
    is_refusal: bool = False


@dataclass(slots=True)
class ServerLeavingReported:
    """A backend server stated in a response that it is leaving.

    Attributes:
        incarnation: Incarnation that the request was sent to.
    """

    server_id: str
    incarnation: int


@dataclass(slots=True)
class ServerPauseReported:
    """A backend server asked this instance to send nothing for some time.

    Attributes:
        incarnation: Incarnation that the request was sent to.
        pause_s: That time, from now on.
    """

    server_id: str
    incarnation: int
    pause_s: float


@dataclass(slots=True)
class StoreRead:
    """This instance read from the store."""

    update: StoreUpdate


@dataclass(slots=True)
class StoreRecovered:
    """The store is reachable again after an outage.

    Attributes:
        failed_s: When the first call that failed was sent, or None if it is unknown.
        last_failed_s: When the last call that failed ended, or None if only the first
            one is known.
    """

    failed_s: float | None = None
    last_failed_s: float | None = None


@dataclass(slots=True)
class StoreEraRead:
    """A reading was of a newer era of the store than all before."""

    era: int


@dataclass(slots=True)
class PeerListing:
    """One entry instance, as registered with the platform."""

    seat: str
    peer_address: str
    address: str
    data_centre: str
    is_leaving: bool = False


@dataclass(slots=True)
class PeersListed:
    """The list of entry instances was delivered.

    Attributes:
        is_seed: Whether the list holds the seeds from the settings instead of the
            platform's list.
    """

    peers: list[PeerListing]
    is_seed: bool = False


@dataclass(slots=True)
class ProbeSucceeded:
    """A backend server answered a health check.

    Attributes:
        n_in_flight: Requests that the server reports as running, from all sources.
        is_accepting: Whether the server reports that it accepts new requests.
        generation: Identifies the server's process; it changes with each restart.
    """

    server_id: str
    n_in_flight: int
    is_accepting: bool
    generation: str = ""


@dataclass(slots=True)
class ProbeFailed:
    """A health check of a backend server failed."""

    server_id: str


@dataclass(slots=True)
class ConfigurationReceived:
    """The store or a peer delivered configuration.

    Attributes:
        snapshot: A complete document, or None if only changes were delivered.
        changes: Consecutive changes, which apply on top of the snapshot if there is
            one.
        is_from_store: Whether it was read from the store and not from a peer.
        confirmed_s: When the read from the store was sent, or None to use the time
            at which this input is handled.
        is_just_written: Whether the operator wrote it since the reading before.
    """

    snapshot: Snapshot | None
    changes: list[Change] = field(default_factory=list)
    is_from_store: bool = False
    confirmed_s: float | None = None
    is_just_written: bool = False


@dataclass(frozen=True, slots=True)
class PoliciesChanged:
    """The policies of the world were replaced, as the settings have changed."""


@dataclass(slots=True)
class RevisionConfirmed:
    """The store confirmed that a revision is still its newest.

    Attributes:
        requested_s: When the read from the store was sent, or None to use the time
            at which this input is handled.
        is_just_written: Whether the operator wrote it since the reading before.
    """

    revision: int
    requested_s: float | None = None
    is_just_written: bool = False


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another entry instance arrived."""

    message: PeerMessage


class ClaimResult(Enum):
    """Outcome of writing a claim to the store."""

    OURS = "ours"
    TAKEN = "taken"
    UNKNOWN = "unknown"
    NOT_WRITTEN = "not-written"


@dataclass(slots=True)
class ClaimSettled:
    """Writing a claim to the store succeeded, failed or timed out."""

    request_id: int
    result: ClaimResult


@dataclass(slots=True)
class StopRequested:
    """The operator asked the process to stop.

    Attributes:
        signalled_s: When the process was told so, or None if just now.
    """

    signalled_s: float | None = None


class Timer(Enum):
    """Kind of a deadline."""

    REQUEST = "request"
    BUCKET = "bucket"
    HEARTBEAT = "heartbeat"
    STEERING = "steering"
    SERVER = "server"
    DEPARTURE = "departure"


@dataclass(slots=True)
class DeadlineReached:
    """A deadline that the instance had set was reached."""

    timer: Timer
    key: str


Input = (
    RequestArrived
    | CallerDisconnected
    | AttemptEnded
    | ServersListed
    | ServersUnchanged
    | EvacuationsListed
    | ServerLoadReported
    | ServerLeavingReported
    | ServerPauseReported
    | StoreRead
    | StoreRecovered
    | StoreEraRead
    | PeersListed
    | ProbeSucceeded
    | ProbeFailed
    | ConfigurationReceived
    | RevisionConfirmed
    | PoliciesChanged
    | PeerMessageReceived
    | ClaimSettled
    | StopRequested
    | DeadlineReached
)


class Inbox:
    """The inputs of one tick, grouped by type, in order of arrival."""

    __slots__ = ("_by_type",)

    def __init__(self, inputs: list[Input]) -> None:
        self._by_type: dict[type, list[Any]] = {}
        for item in inputs:
            self._by_type.setdefault(type(item), []).append(item)

    def of(self, kind: type[T]) -> list[T]:
        """List the inputs of one type."""
        return self._by_type.get(kind) or []

    def due(self, timer: Timer) -> list[str]:
        """List the keys of the deadlines of one kind that were reached.

        Example:
            >>> Inbox([DeadlineReached(Timer.REQUEST, "7")]).due(Timer.REQUEST)
            ['7']
        """
        reached = self._by_type.get(DeadlineReached)
        if not reached:
            return []
        return [item.key for item in reached if item.timer is timer]
