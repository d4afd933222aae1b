"""Describes the requests of callers for the systems that decide about them."""

import xxhash

from ..inputs import RequestArrived
from ..platform.headers import RequestFields
from .heads import content_length
from .transfer import Transfer

# Request bodies up to this size are buffered, so that a retry can send them again.
MAX_BUFFERED_BODY_BYTES = 1_048_576
# The part of a streamed body by which its resends are known. Other bodies with the same
# first part count as the same request, so it is as long as what is always buffered.
DIGEST_PREFIX_BYTES = MAX_BUFFERED_BODY_BYTES


def make_arrival(transfer: Transfer, fields: RequestFields) -> RequestArrived:
    """Return the input that tells the systems of a request."""
    n_body_bytes = len(transfer.body)
    if not transfer.is_body_complete:
        n_body_bytes = max(n_body_bytes, content_length(transfer.headers))
    return RequestArrived(
        transfer.request_id,
        path_of(transfer.target),
        fields.key_hash,
        "",
        _digest_request(transfer),
        transfer.is_body_complete,
        n_body_bytes,
        fields.timeout_s,
        fields.host,
        fields.object_key,
        fields.caller_request_id,
    )


def _digest_request(transfer: Transfer) -> str:
    """Return a hash of method, target and body that a request shares with its resends.

    How much of a streamed body has been read by now differs from one sending to the
    next, so that its first part counts, of a fixed length, and its length if given.
    """
    head = transfer.method + b" " + transfer.target + b"\n"
    if transfer.is_body_complete:
        return xxhash.xxh64_hexdigest(head + transfer.body)
    length = b"%d\n" % content_length(transfer.headers)
    prefix = transfer.body[:DIGEST_PREFIX_BYTES]
    return xxhash.xxh64_hexdigest(head + length + prefix)


def path_of(target: bytes) -> str:
    """Return the path of a request's target, without its query."""
    return target.partition(b"?")[0].decode("latin-1")
