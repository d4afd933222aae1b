"""Checks the heads of requests against the limits on what callers may send."""

import h11

from ..configuration import CallerLimits
from ..metering import N_MAX_HEADER_LINES
from ..platform.headers import Headers

REQUEST_TIMEOUT = 408
TOO_LARGE = 413


def rejection_status(
    request: h11.Request, headers: Headers, limits: CallerLimits
) -> int:
    """Return the status with which a request is rejected by its head, or 0."""
    if _count_head_bytes(request, headers) > limits.n_head_bytes:
        return 431
    if len(headers) > N_MAX_HEADER_LINES:
        return 431
    if _is_ambiguous(headers, request.target):
        return 400
    if content_length(headers) > limits.n_body_bytes:
        return TOO_LARGE
    return 0


def _count_head_bytes(request: h11.Request, headers: Headers) -> int:
    """Count the bytes of a head; the parser limits only incomplete heads."""
    n_fields = sum(len(name) + len(value) + 4 for name, value in headers)
    return len(request.method) + len(request.target) + n_fields


def content_length(headers: Headers) -> int:
    """Return the announced length of a body, or 0 if there is none."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return 0


def _is_ambiguous(headers: Headers, target: bytes) -> bool:
    """Return whether parsers could disagree on the request's length or target."""
    names = [name for name, _ in headers]
    if names.count(b"host") != 1 or not target.startswith(b"/"):
        return True
    ncontent_lengths = names.count(b"content-length")
    n_transfer_encodings = names.count(b"transfer-encoding")
    return (
        ncontent_lengths > 1
        or n_transfer_encodings > 1
        or (ncontent_lengths > 0 and n_transfer_encodings > 0)
    )
