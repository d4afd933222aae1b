"""Effects: everything that an instance's decisions ask the edge to do."""

from dataclasses import dataclass
from enum import Enum

from .peer_messages import PeerMessage
from .verdict import Verdict


@dataclass(slots=True)
class AnswerCaller:
    """Refuse a request, or close it after a whole answer.

    Attributes:
        retry_after_s: When a repeat may succeed, or 0 if that is not known.
    """

    request_id: int
    verdict: Verdict
    retry_after_s: float = 0.0


@dataclass(slots=True)
class StartAttempt:
    """Send a request to a backend server.

    Attributes:
        link: Name of the link that the bytes cross, or an empty string.
        account: Client account that the request runs for, or an empty string.
        is_idempotent: Whether the request may run more than once.
    """

    request_id: int
    attempt_id: int
    server_id: str
    address: str
    timeout_s: float
    link: str = ""
    account: str = ""
    is_idempotent: bool = False


@dataclass(slots=True)
class AbortAttempt:
    """Give up an attempt and close its connection."""

    request_id: int
    attempt_id: int


@dataclass(slots=True)
class SendPeer:
    """Send a message to another entry instance."""

    seat: str
    message: PeerMessage


@dataclass(slots=True)
class WriteClaim:
    """Create a claim in the store if it is absent.

    Attributes:
        key: Key of the claim, derived from account, route and idempotency key.
        nonce: Proves on reading back that the claim is this request's own.
        give_up_s: Clock reading after which the answer is of no more use.
    """

    request_id: int
    key: str
    nonce: str
    give_up_s: float


class Level(Enum):
    """Weight of a log line."""

    INFO = "info"
    WARNING = "warning"


@dataclass(slots=True)
class LogChange:
    """Write a log line about a change of state."""

    level: Level
    text: str


@dataclass(slots=True)
class LogRequest:
    """Write a line about a decision that touches a request.

    Attributes:
        event: What was decided.
        request: The caller's name for the request.
        fields: What decided it, with units in the names.
        is_failure: Whether the request ends without the caller's answer.
    """

    event: str
    request: str
    fields: dict[str, str | float]
    is_failure: bool = False


@dataclass(slots=True)
class Exit:
    """End the process: nothing is left to do."""


Effect = (
    AnswerCaller
    | StartAttempt
    | AbortAttempt
    | SendPeer
    | WriteClaim
    | LogChange
    | LogRequest
    | Exit
)
Effects = list[Effect]
