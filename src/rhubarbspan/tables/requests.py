"""The table of requests under way, indexed by state."""

from dataclasses import dataclass, field
from enum import Enum

from ..configuration import Route
from ..inputs import RequestArrived
from ..verdict import MayHaveRun, NotRun


class RequestState(Enum):
    """Where a request stands."""

    ADMITTING = "admitting"
    ADMITTED = "admitted"
    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"


@dataclass(slots=True)
class RequestRow:
    """One request.

    Attributes:
        account: Name of the client account, or an empty string on open routes.
        fingerprint: Identifies the request among resends, or an empty string.
        arrived_s: When its head arrived.
        deadline_s: When its caller has no more use for an answer.
        n_attempts: Attempts that were started.
        tried: Servers that failed to run it.
        has_claim: Whether a claim in the store belongs to it.
        shift: The planned shift that moves it, or an empty string.
        slot_key: The borrowed slot that it holds, or None.
        n_shed: How often a server shed it.
        not_before_s: When it may be sent at the earliest.
        last_verdict: The verdict of the latest attempt that failed.
        priority: Its rank where room is short, 0 being the highest.
        regions: The regions that may serve it, or None for all regions.
        n_ahead: Requests expected to wait before it inside the server.
        was_warm: Whether the server was expected to know the object.
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
    not_before_s: float = 0.0
    n_shed: int = 0
    priority: int = 0
    regions: frozenset[str] | None = None
    was_warm: bool = False
    n_ahead: float = 0.0


class Requests:
    """Requests by number, with an index by state in order of entry."""

    __slots__ = ("_rows", "_by_state")

    def __init__(self) -> None:
        self._rows: dict[int, RequestRow] = {}
        self._by_state: dict[RequestState, dict[int, None]] = {
            state: {} for state in RequestState
        }

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, request_id: int) -> RequestRow | None:
        """Return a row, or None if the request is over."""
        return self._rows.get(request_id)

    def add(self, row: RequestRow) -> None:
        """Add a row in the state that it carries."""
        self._rows[row.request_id] = row
        self._by_state[row.state][row.request_id] = None

    def move(self, row: RequestRow, state: RequestState) -> None:
        """Change the state of a row."""
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
