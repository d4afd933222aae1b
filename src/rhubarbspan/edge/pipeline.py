"""The requests of a caller's connection that are in progress, in their order."""

import asyncio
from dataclasses import dataclass, field

import h11

from ..metering import PieceMeter
from ..platform.headers import Headers, RequestFields
from .transfer import Transfer


@dataclass(slots=True)
class CallerExchange:
    """A request of a connection, and the response that is sent in its turn.

    Attributes:
        parser: State of the HTTP protocol for this request alone.
        meter: Pieces of the request that were received.
        turn: Resolved once all responses before are sent; false if the connection does
            not stay open after them.
        done: Resolved once this response is sent, with the same meaning.
        n_body_bytes: Bytes of the body that are buffered.
        n_reserved_bytes: Bytes of the budget that are reserved for the body.
        rejection_status: Status with which the request is rejected while its body is
            being streamed, or 0.
        transfer: The request in progress, or None before it is decided and afterwards.
    """

    parser: h11.Connection
    meter: PieceMeter
    turn: asyncio.Future[bool]
    done: asyncio.Future[bool]
    n_body_bytes: int = 0
    n_reserved_bytes: int = 0
    rejection_status: int = 0
    transfer: Transfer | None = None


@dataclass(slots=True)
class ReadRequest:
    """A request as read from a connection, its body at least in part.

    Attributes:
        fields: What its headers say.
    """

    exchange: CallerExchange
    request: h11.Request
    headers: Headers
    fields: RequestFields
    body: bytes
    is_complete: bool


@dataclass(slots=True)
class Pipeline:
    """Exchanges of a connection in the order of their requests, oldest first.

    Attributes:
        last_done: ``done`` of the newest exchange that was begun.
        changed: Set when an exchange ends.
    """

    last_done: asyncio.Future[bool]
    rows: list[CallerExchange] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
