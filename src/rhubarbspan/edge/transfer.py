"""A caller's request with its body, its response and its attempt in progress."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..effects import FinishRequest
from ..platform.headers import Headers
from ..tables.memory import Held, HoldingRow, Memory


@dataclass(slots=True)
class ServerResponse:
    """A response of a backend server.

    Attributes:
        body: The complete body, or its first part if the rest is streamed.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class Transfer:
    """A request in progress; only the edge holds its bytes.

    Attributes:
        body: The part of the body that has been read so far.
        is_body_complete: Whether ``body`` is the complete body.
        read_more: Returns the next chunk of the body, or empty bytes at its end.
        start_response: Sends the head and first part of a response that is streamed.
        send_chunk: Sends the next chunk of a streamed response.
        decision_made: Resolved with the final decision about the request.
        row: Where the bytes of the response are counted, None once the request ended.
        n_response_bytes: Bytes of responses that are counted.
        response: The server's response, if it isn't streamed.
        attempt: Task of the attempt in progress.
        attempt_id: Number of the attempt in progress.
        is_body_consumed: Whether the streaming of the body to a server has started.
        has_response_started: Whether part of a response was sent to the caller.
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
    row: HoldingRow | None = None
    n_response_bytes: int = 0
    response: ServerResponse | None = None
    attempt: asyncio.Task[None] | None = None
    attempt_id: int = 0
    is_body_consumed: bool = False
    has_response_started: bool = False
    is_caller_disconnected: bool = False

    def hold_response(self, memory: Memory, n_bytes: int) -> None:
        """Count bytes of a response that was read and not yet written."""
        if self.row is not None:
            self.n_response_bytes += n_bytes
            memory.hold(self.row, Held.RESPONSE, n_bytes)

    def release_response(self, memory: Memory) -> None:
        """Count no bytes of a response as held."""
        if self.row is not None and self.n_response_bytes:
            memory.hold(self.row, Held.RESPONSE, -self.n_response_bytes)
            self.n_response_bytes = 0


@dataclass(slots=True)
class Transfers:
    """The transfers in progress, by request number."""

    rows: dict[int, Transfer] = field(default_factory=dict)
    n_requests: int = 0
