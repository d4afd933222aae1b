"""The table of requests in progress, indexed by state."""

from dataclasses import dataclass, field
from enum import Enum

from ..configuration import Route
from ..inputs import RequestArrived
from ..verdict import MayHaveRun, NotRun


class RequestState(Enum):
    """The stage that a request in progress has reached."""

    ADMITTING = "admitting"
    ADMITTED = "admitted"
    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"


# Not yet sent to a server, and without a claim whose fate is unknown.
WAITING_STATES = (
    RequestState.ADMITTING,
    RequestState.ADMITTED,
    RequestState.QUEUED,
)


@dataclass(slots=True)
class RequestRow:
    """One request in progress.

    Attributes:
        account: Name of the client account, or an empty string on open routes.
        fingerprint: Equal for a request and its resends, or an empty string.
        arrived_s: When the head of the request arrived.
        deadline_s: After which the caller has no use for a response.
        n_attempts: Attempts that were started.
        tried: Servers on which an attempt failed.
        has_claim: Whether it holds a claim on its idempotency key in the store.
        shift: Name of the planned shift that moves the request, or an empty string.
        slot_key: Key of the borrowed slot that the request holds, or None.
        n_shed: How many attempts were shed by a server.
        not_before_s: Earliest time at which it may be sent.
        last_verdict: Verdict of the latest failed attempt.
        is_body_consumed: Whether an attempt streamed the body, so that no other server
            can get it.
        priority: Priority when capacity is short; 0 is the highest.
        regions: Regions that may serve it, or None for all regions.
        n_ahead: Expected number of requests that wait before it inside the server.
        was_warm: Whether the server was expected to be warm for the request's object.
        warm_depth: Number of objects that the server handled since it handled the
            request's, or None if it is not known to have handled it.
        is_counted: Whether it was counted as offered to its pool.
        slowdown: Expected slowdown of the server when the request was sent.
    """

    request_id: int
    arrived: RequestArrived
    route: Route
    account: str
    fingerprint: str
    arrived_s: float
    deadline_s: float
    state: RequestState = RequestState.ADMITTING
    n_attempts: int = 0
    server_id: str = ""
    sent_s: float = 0.0
    admitted_s: float = 0.0
    queued_s: float = 0.0
    tried: set[str] = field(default_factory=set)
    has_claim: bool = False
    shift: str = ""
    slot_key: tuple[str, int, int] | None = None
    last_verdict: NotRun | MayHaveRun | None = None
    is_body_consumed: bool = False
    not_before_s: float = 0.0
    n_shed: int = 0
    priority: int = 0
    regions: frozenset[str] | None = None
    was_warm: bool = False
    warm_depth: int | None = None
    n_ahead: float = 0.0
    slowdown: float = 1.0
    is_counted: bool = False


class Requests:
    """Requests by identifier, indexed by state in order of entry."""

    __slots__ = ("_rows", "_by_state")

    def __init__(self) -> None:
        self._rows: dict[int, RequestRow] = {}
        self._by_state: dict[RequestState, dict[int, None]] = {
            state: {} for state in RequestState
        }

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, request_id: int) -> RequestRow | None:
        """Return a row, or None if the request has ended."""
        return self._rows.get(request_id)

    def add(self, row: RequestRow) -> None:
        """Add a row and index it under its state."""
        self._rows[row.request_id] = row
        self._by_state[row.state][row.request_id] = None

    def move(self, row: RequestRow, state: RequestState) -> None:
        """Change the state of a row, and put it last in the order of the new state."""
        del self._by_state[row.state][row.request_id]
        row.state = state
        self._by_state[state][row.request_id] = None

    def remove(self, row: RequestRow) -> None:
        """Remove a row."""
        del self._rows[row.request_id]
        del self._by_state[row.state][row.request_id]

    def n_in(self, state: RequestState) -> int:
        """Count the rows in a state."""
        return len(self._by_state[state])

    def in_state(self, state: RequestState) -> list[RequestRow]:
        """List the rows in a state, in order of entry."""
        return [self._rows[number] for number in self._by_state[state]]
