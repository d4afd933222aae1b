"""Verdicts on whether a request may have run, and the result of a failed operation."""

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why a request was refused or failed; callers see the value in a header.

    Attributes:
        BAD_KEY: The caller's API key is missing or belongs to no client account.
        KEY_MISSING: The route requires an idempotency key, and the request has none.
        CLAIM_UNKNOWN: It could not be determined whether the idempotency key had
            already been claimed.
        TICKET_GONE: The instance that issued the ticket used as idempotency key has
            been replaced, is not known to be alive, or no longer tracks the ticket.
        BODY_TOO_LARGE: The request's body is longer than the configuration allows.
        LEAVING: The instance is stopping, and the request could outlast its grace
            period.
        MEMORY_SHORT: The instance holds too much for others to take the body.
        SHED: A backend server declined the request without running it, because of
            overload or because its address now belongs to another server.
    """

    UNKNOWN_ROUTE = "unknown-route"
    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    BAD_KEY = "bad-key"
    OVER_RATE = "over-rate"
    NO_SERVER = "no-server"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    KEY_MISSING = "idempotency-key-missing"
    CLAIM_UNKNOWN = "claim-unknown"
    DUPLICATE = "duplicate"
    OTHER_INSTANCE = "other-instance"
    TICKET_GONE = "ticket-gone"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    TRUNCATED = "truncated-answer"
    SHED = "shed"
    CANCELLED = "cancelled"
    STALE_CONFIGURATION = "stale-configuration"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    MEMORY_SHORT = "memory-short"


@dataclass(frozen=True, slots=True)
class Answered:
    """A backend server sent a complete response.

    Attributes:
        status: HTTP status of the response.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request definitely didn't run on any backend server."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run, completely or in part."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Failure:
    """The result of an operation that failed, returned in place of its value.

    Attributes:
        code: Short name of the kind of failure.
        reason: Description of the failure for an operator.
    """

    code: str
    reason: str


Verdict = Answered | NotRun | MayHaveRun
