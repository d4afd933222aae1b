"""Inputs: everything that can happen to an instance, as typed messages."""

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar, cast

from .document import Change, Snapshot
from .peer_messages import PeerMessage

T = TypeVar("T")


@dataclass(slots=True)
class RequestArrived:
    """A caller sent the head of a request.

    Attributes:
        request_id: Number of the request, unique within the instance's life.
        path: Path of the request target, without the query.
        key_hash: SHA-256 hash of the caller's key, or an empty string.
        idempotency_key: The caller's idempotency key, or an empty string.
        body_digest: Hash of method, target and body if the body is held in memory,
            otherwise an empty string.
        is_replayable: Whether the edge can send the body more than once.
        n_body_bytes: Length of the body, or -1 if it is not known.
        timeout_s: The caller's own timeout, or 0 if it gave none.
        host: The host that the caller asked for, in lower case.
        object_key: Names the object that the request concerns, or an empty string.
        caller_request_id: The caller's own name for the request, for logs.
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
class CallerGone:
    """The caller of a request closed its connection."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Completed:
    """A whole answer was passed to the caller."""

    status: int


@dataclass(frozen=True, slots=True)
class Shed:
    """The backend server said that it did not run the request."""


@dataclass(frozen=True, slots=True)
class Misdirected:
    """Another server has the address now, and did not run the request."""


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection was made, so no byte was sent."""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection broke after a byte may have been sent.

    Attributes:
        has_answer_begun: Whether part of an answer was passed to the caller.
        is_body_spent: Whether the request's body can no longer be sent again.
    """

    has_answer_begun: bool = False
    is_body_spent: bool = False


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The attempt's deadline passed before the whole answer was there."""

    has_answer_begun: bool = False


@dataclass(frozen=True, slots=True)
class Aborted:
    """The attempt was given up at our own decision or because the caller left."""


Outcome = (
    Completed | Shed | Misdirected | ConnectFailed | ConnectionLost | TimedOut | Aborted
)


@dataclass(slots=True)
class AttemptEnded:
    """An attempt to have a backend server run a request is over."""

    request_id: int
    attempt_id: int
    outcome: Outcome


@dataclass(slots=True)
class ServerListing:
    """One backend server as the platform's list shows it.

    Attributes:
        n_slots: Slots by the server's own word, or 0 if the list does not say.
        incarnation: Start of the server's process in Unix milliseconds, or 0.
        cold_s: For how long it stays cold.
        sequence: Number of its newest report.
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
class ServersListed:
    """The platform's list of a pool's backend servers."""

    pool: str
    servers: list[ServerListing]


@dataclass(slots=True)
class EvacuationsListed:
    """The data centres whose servers the operator wants to get nothing."""

    data_centres: frozenset[str]


@dataclass(slots=True)
class ServerLoad:
    """A backend server told its load with an answer.

    Attributes:
        n_running: Requests that it runs, from all sources.
        n_waiting: Requests that wait there.
    """

    server_id: str
    n_running: int
    n_waiting: int
    n_slots: int


@dataclass(slots=True)
class StoreRegained:
    """The store answers again after an outage."""


@dataclass(slots=True)
class PeerListing:
    """One entry instance as the platform's list shows it."""

    seat: str
    peer_address: str
    address: str
    data_centre: str
    is_leaving: bool = False


@dataclass(slots=True)
class PeersListed:
    """The platform's list of entry instances, or seeds from the settings."""

    peers: list[PeerListing]
    is_seed: bool = False


@dataclass(slots=True)
class ServerProbed:
    """A backend server answered its health and load request.

    Attributes:
        n_in_flight: Requests that the server says it runs, from all sources.
        is_accepting: Whether the server says that it takes new work.
        generation: Identifies one life of the server's process.
    """

    server_id: str
    n_in_flight: int
    is_accepting: bool
    generation: str = ""


@dataclass(slots=True)
class ProbeFailed:
    """A backend server did not answer its health request."""

    server_id: str


@dataclass(slots=True)
class ConfigurationOffered:
    """The store or a peer delivered configuration.

    Attributes:
        snapshot: A whole document, or None.
        changes: Consecutive changes, maybe on top of the snapshot.
        is_from_store: Whether the store itself was read.
        confirmed_s: When the store was asked, or None for the time of arrival.
    """

    snapshot: Snapshot | None
    changes: list[Change] = field(default_factory=list)
    is_from_store: bool = False
    confirmed_s: float | None = None


@dataclass(slots=True)
class StoreContacted:
    """The store answered that the revision in force is still its newest.

    Attributes:
        asked_s: When it was asked, or None for the time of arrival.
    """

    revision: int
    asked_s: float | None = None


@dataclass(slots=True)
class PeerReceived:
    """A message from another entry instance arrived."""

    message: PeerMessage


class ClaimResult(Enum):
    """What the store said about a claim."""

    OURS = "ours"
    TAKEN = "taken"
    UNKNOWN = "unknown"
    NOT_WRITTEN = "not-written"


@dataclass(slots=True)
class ClaimSettled:
    """The store's answer, or the lack of one, about one claim."""

    request_id: int
    result: ClaimResult


@dataclass(slots=True)
class StopRequested:
    """The operator asked the process to stop."""


class Timer(Enum):
    """What a deadline is for."""

    REQUEST = "request"
    BUCKET = "bucket"
    HEARTBEAT = "heartbeat"
    STEERING = "steering"
    SERVER = "server"
    DEPARTURE = "departure"


@dataclass(slots=True)
class Due:
    """A deadline of the instance's own came due."""

    timer: Timer
    key: str


Input = (
    RequestArrived
    | CallerGone
    | AttemptEnded
    | ServersListed
    | EvacuationsListed
    | ServerLoad
    | StoreRegained
    | PeersListed
    | ServerProbed
    | ProbeFailed
    | ConfigurationOffered
    | StoreContacted
    | PeerReceived
    | ClaimSettled
    | StopRequested
    | Due
)


class Inbox:
    """The inputs of one tick, grouped by type in order of arrival."""

    __slots__ = ("_by_type",)

    def __init__(self, inputs: list[Input]) -> None:
        self._by_type: dict[type, list[object]] = {}
        for item in inputs:
            self._by_type.setdefault(type(item), []).append(item)

    def of(self, kind: type[T]) -> list[T]:
        """List the inputs of one type."""
        return cast(list[T], self._by_type.get(kind, []))

    def due(self, timer: Timer) -> list[str]:
        """List the keys of the deadlines of one kind that came due.

        Example:
            >>> Inbox([Due(Timer.REQUEST, "7")]).due(Timer.REQUEST)
            ['7']
        """
        return [
            item.key
            for item in self._by_type.get(Due, ())
            if isinstance(item, Due) and item.timer is timer
        ]
