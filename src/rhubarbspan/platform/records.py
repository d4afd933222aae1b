"""Keys and records of servers and instances in the platform's store."""

from enum import Enum

import msgspec

from ..inputs import PeerListing, ServerListing
from ..record_checks import find_peer_problem, find_server_problem
from ..verdict import Failure

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
INSTANCE_PREFIX = "rhubarbspan/instances/"
# What a decoder raises for bytes that are not a record. Deep nesting exceeds the
# interpreter's recursion limit, even in fields that are skipped.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


class _Info(msgspec.Struct):
    service: str
    zone: str
    slots: int = 1


class _Status(msgspec.Struct):
    state: _State
    # Remaining time until the server is warm, not the time since it started.
    coldRemainingS: float = 0.0
    sequence: int = 0


class _ServerRecord(msgspec.Struct):
    address: str
    instanceInfo: _Info
    status: _Status
    # Start time in Unix milliseconds; the same in all records of one incarnation.
    born: int = 0


class _InstanceRecord(msgspec.Struct):
    address: str
    peer_address: str
    data_centre: str
    is_leaving: bool = False


_SERVER_DECODER = msgspec.json.Decoder(_ServerRecord)
_INSTANCE_DECODER = msgspec.json.Decoder(_InstanceRecord)


def decode_server(key: str, value: bytes) -> ServerListing | Failure:
    """Decode the record of a backend server.

    Returns:
        The server, or a failure with what is wrong with the record.
    """
    try:
        record = _SERVER_DECODER.decode(value)
    except DECODE_ERRORS as error:
        return Failure("malformed", str(error))
    server = ServerListing(
        key.removeprefix(SERVER_PREFIX),
        record.instanceInfo.service,
        record.address,
        record.instanceInfo.zone,
        record.status.state is _State.DRAINING,
        n_slots=record.instanceInfo.slots or 1,
        incarnation=record.born,
        cold_s=max(0.0, record.status.coldRemainingS),
        sequence=record.status.sequence,
    )
    problem = find_server_problem(server)
    return Failure("malformed", problem) if problem else server


def evacuated_data_centre(key: str) -> str:
    """Return the data centre that a key marks as evacuated, or an empty string."""
    if not key.startswith(EVACUATION_PREFIX):
        return ""
    return key.removeprefix(EVACUATION_PREFIX)


def encode_instance(peer: PeerListing) -> bytes:
    """Encode the record of an instance as JSON."""
    record = _InstanceRecord(
        peer.address, peer.peer_address, peer.data_centre, peer.is_leaving
    )
    return msgspec.json.encode(record)


def decode_instance(key: str, value: bytes) -> PeerListing | Failure:
    """Decode the record of an instance, or return what is wrong with it."""
    try:
        record = _INSTANCE_DECODER.decode(value)
    except DECODE_ERRORS as error:
        return Failure("malformed", str(error))
    peer = PeerListing(
        key.removeprefix(INSTANCE_PREFIX),
        record.peer_address,
        record.address,
        record.data_centre,
        record.is_leaving,
    )
    problem = find_peer_problem(peer)
    return Failure("malformed", problem) if problem else peer
