"""Headers and statuses of the HTTP protocol with callers and backend servers."""

import hashlib
from collections.abc import Iterable, Mapping

from ..verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

VERDICT_HEADER = "Rhubarbspan-Verdict"
REASON_HEADER = "Rhubarbspan-Reason"
SHED_HEADER = "X-Load-Shed"
DEADLINE_HEADER = "X-Deadline-Ms"
TIMEOUT_HEADER = "X-Timeout-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
KEY_SCHEME = "bearer "
MAX_IDEMPOTENCY_KEY_LENGTH = 255
MS_PER_S = 1000.0

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "host",
    }
)
STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {"authorization", DEADLINE_HEADER.lower()}

NOT_RUN_STATUS = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BAD_KEY: 401,
    Reason.OVER_RATE: 429,
    Reason.KEY_MISSING: 400,
    Reason.QUARANTINED: 422,
    Reason.CANCELLED: 499,
    Reason.OTHER_INSTANCE: 421,
}
# Requests whose body was being streamed may be rejected after a server has begun.
MAY_HAVE_RUN_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.DEADLINE: 504,
    Reason.DUPLICATE: 409,
    Reason.TICKET_GONE: 409,
}


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a client account's key; the key is not stored.

    Example:
        >>> hash_key("abc")[:8]
        'ba7816bf'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def read_key_hash(headers: Mapping[str, str]) -> str:
    """Return the hash of the bearer key in the headers, or an empty string."""
    value = headers.get("Authorization", "")
    if value[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return ""
    key = value[len(KEY_SCHEME) :].strip()
    return hash_key(key) if key else ""


def read_timeout_s(headers: Mapping[str, str]) -> float | None:
    """Return the caller's timeout in seconds, 0 if absent, None if malformed."""
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return 0.0
    if not text.isdigit() or int(text) == 0:
        return None
    return int(text) / MS_PER_S


def forwarded_request_headers(
    pairs: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of a request that are forwarded to a backend server."""
    return [(name, value) for name, value in pairs if _is_forwarded(name)]


def _is_forwarded(name: str) -> bool:
    return name.lower() not in STRIPPED_HEADERS


def forwarded_response_headers(
    pairs: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of a response that are forwarded to the caller."""
    dropped = HOP_BY_HOP_HEADERS | {"content-length"}
    return [(name, value) for name, value in pairs if name.lower() not in dropped]


def verdict_status(verdict: NotRun | MayHaveRun) -> int:
    """Return the HTTP status for a request that was not or may not have been run.

    Example:
        >>> verdict_status(NotRun(Reason.OVER_RATE))
        429
        >>> verdict_status(MayHaveRun(Reason.CONNECTION_LOST))
        502
    """
    match verdict:
        case NotRun(reason=reason):
            return NOT_RUN_STATUS.get(reason, 503)
        case MayHaveRun(reason=reason):
            return MAY_HAVE_RUN_STATUS.get(reason, 502)


def verdict_headers(verdict: Verdict) -> dict[str, str]:
    """Return the headers that report the verdict to the caller."""
    match verdict:
        case Answered():
            return {VERDICT_HEADER: "answered"}
        case NotRun(reason=reason):
            return {VERDICT_HEADER: "not-run", REASON_HEADER: reason.value}
        case MayHaveRun(reason=reason):
            return {VERDICT_HEADER: "may-have-run", REASON_HEADER: reason.value}
