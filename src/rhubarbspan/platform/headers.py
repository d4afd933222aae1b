"""Parses and builds the headers of requests and responses on the platform."""

import hashlib
import re
from dataclasses import dataclass

from ..record_checks import MAX_SLOWDOWN, MIN_SLOWDOWN
from ..verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

Headers = list[tuple[bytes, bytes]]

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-milliseconds"
CREDENTIAL = b"x-credential"
# Client account that the key belongs to; backend servers get it instead of the key.
ACCOUNT = b"x-tenant-name"
# Backend server that must run the request; any other responds with status 421.
EXPECTED_SERVER = b"x-expected-instance"
# Signature of the backend server; responses that this system makes have none.
SIGNATURE = b"x-response-signature"
NOT_RUN = b"x-not-executed"
LOAD = b"x-server-load"
# Present with the value 1 in all responses of a backend server that is leaving.
SERVER_LEAVING = b"server-leaving"
AFFINITY_COOKIE = b"x-affinity-key"
RETRY_AFTER = b"retry-after"
MISDIRECTED = 421
MS_PER_S = 1000.0
PER_CENT = 100.0
# A server that asks for a longer pause gets one of this length.
MAX_RETRY_AFTER_S = 3600.0
SECONDS = re.compile(rb"\d+(\.\d+)?")
# Longer counts in a load report are implausible.
LOAD_COUNT = re.compile(rb"\s*\d{1,6}\s*")

# Headers that concern only one connection.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Headers from the caller that are not forwarded: this system sets or consumes them.
OWN_HEADERS = frozenset({DEADLINE, CREDENTIAL, ACCOUNT, EXPECTED_SERVER})

NOT_RUN_STATUS = {
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 401,
    Reason.OVER_RATE: 429,
}
MAY_HAVE_RUN_STATUS = {Reason.DEADLINE: 504}
SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502


@dataclass(frozen=True, slots=True)
class RequestFields:
    """Fields that are parsed from the headers of a caller's request.

    Attributes:
        host: Host in lower case, without a port.
        caller_request_id: Identifier that the caller gave to the request.
        key_hash: SHA-256 hash of the caller's key, or an empty string.
        timeout_s: Timeout of the caller in seconds; 0 if absent, -1 if malformed.
        object_key: Object that the request works on, or an empty string.
    """

    host: str
    caller_request_id: str
    key_hash: str
    timeout_s: float
    object_key: str


@dataclass(frozen=True, slots=True)
class ResponseFields:
    """Fields that are parsed from the headers of a backend server's response.

    Attributes:
        caller_request_id: Identifier of the request that the response belongs to, or
            an empty string.
        is_signed: Whether a signature of the backend server is present.
        is_not_run: Whether the server states that it did not run the request.
        is_encoded: Whether the body has a content encoding, so that it is not the body
            that the server made.
        load: Running requests, queued requests and slots of the server, or None if the
            header is absent or malformed.
        slowdown: Factor by which work takes longer than usual on the server's machine
            now, or None if the header does not say, or nothing plausible.
        keep_alive_s: How long the server keeps an idle connection open, in whole
            seconds, or None if it does not say.
        is_leaving: Whether the server states that it is leaving.
        retry_after_s: Time for which the server wants no requests, at most
            ``MAX_RETRY_AFTER_S``; 0 if absent, -1 if malformed.
    """

    caller_request_id: str
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    load: tuple[int, int, int] | None
    slowdown: float | None
    keep_alive_s: float | None
    is_leaving: bool
    retry_after_s: float


def parse_request_headers(headers: Headers) -> RequestFields:
    """Parse the headers of a caller's request; names must be in lower case."""
    host = request_id = object_key = key_hash = ""
    timeout_s = 0.0
    for name, value in headers:
        if name == b"host":
            host = value.decode("latin-1").rpartition("@")[2].lower()
            host = host.partition(":")[0]
        elif name == REQUEST_ID:
            request_id = value.decode("latin-1")
        elif name == DEADLINE:
            timeout_s = _parse_timeout_s(value)
        elif name == CREDENTIAL:
            key_hash = hashlib.sha256(value.strip()).hexdigest()
        elif name == b"cookie":
            object_key = _parse_affinity_cookie(value) or object_key
    return RequestFields(host, request_id, key_hash, timeout_s, object_key)


def _parse_timeout_s(value: bytes) -> float:
    try:
        timeout_s = float(value) / MS_PER_S
    except ValueError:
        return -1.0
    return timeout_s if 0 < timeout_s < float("inf") else -1.0


def _parse_affinity_cookie(value: bytes) -> str:
    for part in value.split(b";"):
        name, _, content = part.strip().partition(b"=")
        if name.lower() == AFFINITY_COOKIE:
            return content.decode("latin-1")
    return ""


def forwarded_request_headers(
    headers: Headers, timeout_s: float, server_id: str, account: str
) -> Headers:
    """Build the headers of a request to a backend server.

    Forwards the caller's headers without its key and those that concern only its
    connection. Adds the remaining time, the expected server and the client account.
    """
    dropped = CONNECTION_HEADERS | OWN_HEADERS | _connection_options(headers)
    forwarded = [(name, value) for name, value in headers if name not in dropped]
    remaining_ms = max(1, int(timeout_s * MS_PER_S))
    forwarded.append((DEADLINE, str(remaining_ms).encode()))
    forwarded.append((EXPECTED_SERVER, server_id.encode()))
    if account:
        forwarded.append((ACCOUNT, account.encode()))
    return forwarded


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the headers that the Connection header names, in lower case."""
    listed = (value for name, value in headers if name == b"connection")
    return frozenset(
        part.strip().lower() for value in listed for part in value.split(b",")
    )


def parse_response_headers(headers: Headers) -> ResponseFields:
    """Parse the headers of a backend server's response, names in lower case."""
    request_id = ""
    is_signed = is_not_run = is_encoded = is_leaving = False
    load: tuple[int, int, int] | None = None
    slowdown: float | None = None
    keep_alive_s: float | None = None
    retry_after_s = 0.0
    for name, value in headers:
        if name == REQUEST_ID:
            request_id = value.decode("latin-1")
        elif name == SIGNATURE:
            is_signed = bool(value)
        elif name == NOT_RUN:
            is_not_run = True
        elif name == b"content-encoding":
            is_encoded = value.lower() != b"identity"
        elif name == LOAD:
            load = _parse_load(value)
            slowdown = _parse_slowdown(value) if load is not None else None
        elif name == b"keep-alive":
            keep_alive_s = _parse_keep_alive_s(value)
        elif name == SERVER_LEAVING:
            is_leaving = value.strip() == b"1"
        elif name == RETRY_AFTER:
            retry_after_s = _parse_retry_after_s(value)
    return ResponseFields(
        request_id,
        is_signed,
        is_not_run,
        is_encoded,
        load,
        slowdown,
        keep_alive_s,
        is_leaving,
        retry_after_s,
    )


def _parse_load(value: bytes) -> tuple[int, int, int] | None:
    """Parse a load report of three figures, or of four with the machine's speed."""
    parts = value.split(b",")
    if len(parts) not in (3, 4):
        return None
    if not all(LOAD_COUNT.fullmatch(part) for part in parts[:3]):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    return (running, waiting, slots) if slots else None


def _parse_slowdown(value: bytes) -> float | None:
    """Parse the fourth figure of a load report, in per cent of the usual time."""
    parts = value.split(b",")
    if len(parts) != 4 or not LOAD_COUNT.fullmatch(parts[3]):
        return None
    slowdown = int(parts[3]) / PER_CENT
    return slowdown if MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN else None


def _parse_keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, content = part.strip().partition(b"=")
        if name.lower() == b"timeout" and content.isdigit():
            return float(content)
    return None


def _parse_retry_after_s(value: bytes) -> float:
    if SECONDS.fullmatch(value.strip()) is None:
        return -1.0
    return min(float(value), MAX_RETRY_AFTER_S)


def forwarded_response_headers(headers: Headers) -> Headers:
    """Return the headers of a response that are forwarded to the caller."""
    dropped = CONNECTION_HEADERS | _connection_options(headers)
    return [(name, value) for name, value in headers if name not in dropped]


def error_response(
    verdict: Verdict, retry_after_s: float, caller_request_id: str
) -> tuple[int, Headers]:
    """Return the status and headers of an error response made by this system.

    A status of 408, 421, 429 or 503 guarantees that the request never runs.
    """
    headers: Headers = [(b"content-type", b"text/plain")]
    if caller_request_id:
        headers.append((REQUEST_ID, caller_request_id.encode("latin-1")))
    match verdict:
        case NotRun(reason=reason):
            status = NOT_RUN_STATUS.get(reason, SERVICE_UNAVAILABLE)
            if retry_after_s > 0:
                headers.append((RETRY_AFTER, f"{retry_after_s:.3f}".encode()))
        case MayHaveRun(reason=reason):
            status = MAY_HAVE_RUN_STATUS.get(reason, BAD_GATEWAY)
        case Answered():
            status = BAD_GATEWAY
    return status, headers
