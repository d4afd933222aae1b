"""Effects: the actions that the edge carries out for an instance's decisions."""

from dataclasses import dataclass
from enum import Enum

from .peer_messages import PeerMessage, StoreUpdate
from .verdict import Verdict


@dataclass(slots=True)
class FinishRequest:
    """End a request: report its refusal or failure, or close it after the response.

    Attributes:
        retry_after_s: Time after which a retry may succeed, or 0 if it is unknown.
    """

    request_id: int
    verdict: Verdict
    retry_after_s: float = 0.0


@dataclass(slots=True)
class StartAttempt:
    """Send a request to a backend server.

    Attributes:
        link: Link between regions that carries the bytes, or an empty string if it
            crosses none.
        account: Client account of the request, or an empty string.
        is_idempotent: Whether the request may safely run more than once.
        incarnation: Incarnation of the server that was chosen, or 0 if unknown.
    """

    request_id: int
    attempt_id: int
    server_id: str
    address: str
    timeout_s: float
    link: str = ""
    account: str = ""
    is_idempotent: bool = False
    incarnation: int = 0


@dataclass(slots=True)
class AbortAttempt:
    """Cancel an attempt and close its connection."""

    request_id: int
    attempt_id: int


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to another entry instance."""

    seat: str
    message: PeerMessage


@dataclass(slots=True)
class ClosePeerLink:
    """Close the connection to another entry instance, which is gone or silent.

    The next message to it opens a new one.
    """

    seat: str


class StoreAccess(Enum):
    """How an instance learns what the store holds."""

    # Reads the store, and passes on what it reads.
    READER = "reader"
    # Reads what the store calls stale, at a fraction of the price, beside a reader.
    BACKUP = "backup"
    # Is told by the readers of its data centre.
    FOLLOWER = "follower"


@dataclass(slots=True)
class SetStoreAccess:
    """Change how the instance learns what the store holds."""

    access: StoreAccess


@dataclass(slots=True)
class ApplyStoreUpdate:
    """Apply what another instance read from the store."""

    update: StoreUpdate


@dataclass(slots=True)
class WriteClaim:
    """Create a claim in the store if it is absent.

    Attributes:
        key: Key of the claim, derived from account, route and idempotency key.
        nonce: Unique value that shows, when the claim is read back, that this request
            wrote it.
        claim_deadline_s: Clock reading after which the result is no longer needed.
    """

    request_id: int
    key: str
    nonce: str
    claim_deadline_s: float


class LogLevel(Enum):
    """Severity of a log line."""

    INFO = "info"
    WARNING = "warning"


@dataclass(slots=True)
class LogChange:
    """Write a log line about a change of state."""

    level: LogLevel
    text: str


@dataclass(slots=True)
class LogRequest:
    """Write a log line about a decision on a request.

    Attributes:
        event: The decision.
        request: Request identifier that the caller sent.
        fields: The values that the decision rests on, with units in their names.
        is_failure: Whether the request was refused, failed, or got a server error.
    """

    event: str
    request: str
    fields: dict[str, str | float]
    is_failure: bool = False


@dataclass(slots=True)
class Exit:
    """End the process, as the departure is complete."""


Effect = (
    FinishRequest
    | StartAttempt
    | AbortAttempt
    | SendPeerMessage
    | ClosePeerLink
    | SetStoreAccess
    | ApplyStoreUpdate
    | WriteClaim
    | LogChange
    | LogRequest
    | Exit
)
Effects = list[Effect]
