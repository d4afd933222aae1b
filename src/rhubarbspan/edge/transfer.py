"""One caller's request at the edge, with its bytes and its answer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..effects import FinishRequest
from ..platform.headers import Headers


@dataclass(slots=True)
class ServerResponse:
    """A server's answer.

    Attributes:
        body: The whole body, or what of it came before it was passed on in pieces.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class Transfer:
    """The handle of a request whose bytes stay at the edge.

    Attributes:
        body: What was read of the body so far.
        is_body_complete: Whether that is all of it.
        read_more: Reads the next piece of the body, or nothing at its end.
        start_response: Sends the head of an answer that is passed on in pieces.
        send_chunk: Sends a piece of such an answer.
        decision_made: Set when the decision about the request is final.
        is_body_consumed: Whether pieces beyond ``body`` were sent to a server.
        has_response_started: Whether part of an answer was sent to the caller.
    """

    request_id: int
    caller_request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    is_body_complete: bool
    read_more: Callable[[], Awaitable[bytes]]
    start_response: Callable[[ServerResponse], Awaitable[None]]
    send_chunk: Callable[[bytes], Awaitable[None]]
    decision_made: asyncio.Future[FinishRequest]
    response: ServerResponse | None = None
    attempt: asyncio.Task[None] | None = None
    attempt_id: int = 0
    is_body_consumed: bool = False
    has_response_started: bool = False
    is_caller_disconnected: bool = False


@dataclass(slots=True)
class Transfers:
    """The transfers under way, by number of the request."""

    rows: dict[int, Transfer] = field(default_factory=dict)
    n_requests: int = 0
