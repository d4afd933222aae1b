"""Encodes and decodes the key-value and health endpoints of Consul's HTTP API v1."""

import base64
import binascii

import msgspec

from ..inputs import PeerListing, ServerListing
from ..keyvalue import STORE_GARBAGE, Entry, Operation
from ..record_checks import find_peer_problem, find_server_problem
from ..verdict import Failure

INDEX_HEADER = "X-Consul-Index"
# Code of the failure for an entry that cannot be used.
MALFORMED_ENTRY = "malformed"
# Deep nesting exceeds the interpreter's recursion limit.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class KeyValueBody(msgspec.Struct, rename="pascal"):
    """One entry of a key-value response."""

    key: str
    value: str | None = None
    modify_index: int = 0
    session: str = ""


class TransactionError(msgspec.Struct, rename="pascal"):
    """One failed operation of a transaction."""

    op_index: int
    what: str = ""


class TransactionBody(msgspec.Struct, rename="pascal"):
    """Response to a transaction."""

    errors: list[TransactionError] | None = None


class SessionBody(msgspec.Struct):
    """Response to the creation of a session."""

    id: str = msgspec.field(name="ID")


class ServiceBody(msgspec.Struct, rename="pascal"):
    """One registered process."""

    id: str = msgspec.field(name="ID")
    address: str = ""
    port: int = 0
    meta: dict[str, str] = {}


class ServiceEntryBody(msgspec.Struct, rename="pascal"):
    """One entry of a health response."""

    service: ServiceBody


def decode_entries(body: bytes) -> list[Entry] | Failure:
    """Decode a key-value response; values are Base64 on the wire."""
    try:
        found = msgspec.json.decode(body, type=list[KeyValueBody])
        return [
            Entry(
                item.key,
                base64.b64decode(item.value or "", validate=True),
                item.modify_index,
                item.session,
            )
            for item in found
        ]
    except (*DECODE_ERRORS, binascii.Error) as error:
        return Failure(STORE_GARBAGE, f"the store's response is malformed: {error}")


def encode_transaction(operations: list[Operation]) -> bytes:
    """Encode the operations of a transaction as JSON."""
    return msgspec.json.encode(
        [
            {
                "KV": {
                    "Verb": operation.verb.value,
                    "Key": operation.key,
                    "Value": base64.b64encode(operation.value).decode(),
                    "Index": operation.index,
                    "Session": operation.session,
                }
            }
            for operation in operations
        ]
    )


def decode_transaction_errors(body: bytes) -> list[int] | Failure:
    """Return the indices of the operations of a transaction that failed."""
    try:
        decoded = msgspec.json.decode(body, type=TransactionBody)
    except DECODE_ERRORS as error:
        return Failure(STORE_GARBAGE, f"the store's response is malformed: {error}")
    return [error.op_index for error in decoded.errors or []]


def decode_session(body: bytes) -> str | Failure:
    """Return the identifier of a new session."""
    try:
        return msgspec.json.decode(body, type=SessionBody).id
    except DECODE_ERRORS as error:
        return Failure(STORE_GARBAGE, f"the store's response is malformed: {error}")


def decode_services(body: bytes) -> list[ServiceBody | Failure] | Failure:
    """Decode a health response to the registered processes that it lists.

    Returns:
        A process for each entry, or what is wrong with the entry; a failure if the
        response cannot be split into entries.
    """
    try:
        decoded = msgspec.json.decode(body, type=list[ServiceEntryBody])
    except msgspec.ValidationError:
        return _decode_each_service(body)
    except DECODE_ERRORS as error:
        return Failure(STORE_GARBAGE, f"the service list is malformed: {error}")
    return [entry.service for entry in decoded]


def _decode_each_service(body: bytes) -> list[ServiceBody | Failure] | Failure:
    try:
        entries = msgspec.json.decode(body, type=list[msgspec.Raw])
    except DECODE_ERRORS as error:
        return Failure(STORE_GARBAGE, f"the service list is malformed: {error}")
    return [_decode_service(entry) for entry in entries]


def _decode_service(entry: msgspec.Raw) -> ServiceBody | Failure:
    try:
        return msgspec.json.decode(entry, type=ServiceEntryBody).service
    except DECODE_ERRORS as error:
        return Failure(MALFORMED_ENTRY, str(error))


def to_server_listing(pool: str, service: ServiceBody) -> ServerListing | Failure:
    """Translate a registered process to a backend server, or say why it can't be."""
    server = ServerListing(
        service.id,
        pool,
        f"{service.address}:{service.port}",
        service.meta.get("data_centre", ""),
        service.meta.get("state") == "leaving",
    )
    problem = find_server_problem(server)
    return Failure(MALFORMED_ENTRY, problem) if problem else server


def to_peer_listing(service: ServiceBody) -> PeerListing | Failure:
    """Translate a registered process to a peer instance, or say why it can't be."""
    peer = PeerListing(
        service.id,
        service.meta.get("peer_address", ""),
        f"{service.address}:{service.port}",
        service.meta.get("data_centre", ""),
        service.meta.get("state") == "leaving",
    )
    problem = find_peer_problem(peer)
    return Failure(MALFORMED_ENTRY, problem) if problem else peer
