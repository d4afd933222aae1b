"""A caller's request and its response, and the pacing of links."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from aiohttp import web

from ..effects import FinishRequest


@dataclass(slots=True)
class Exchange:
    """A request in progress; only the edge holds its bytes.

    Attributes:
        body: The complete body if it is held in memory, None if it is streamed.
        response: The response to the caller, None until it starts.
        decision_made: Resolved with the final decision about the request.
        attempt: Task of the attempt in progress.
        attempt_id: Number of the attempt in progress.
        is_body_consumed: Whether the reading of a streamed body has started.
    """

    request_id: int
    request: web.Request
    body: bytes | None
    decision_made: asyncio.Future[FinishRequest]
    response: web.StreamResponse | None = None
    attempt: asyncio.Task[None] | None = None
    attempt_id: int = 0
    is_body_consumed: bool = False
    is_caller_disconnected: bool = False


@dataclass(slots=True)
class Exchanges:
    """The exchanges in progress, by request number."""

    rows: dict[int, Exchange] = field(default_factory=dict)
    n_requests: int = 0


class CallerDisconnectedError(Exception):
    """The caller's connection broke while the request body was read."""


@dataclass(slots=True)
class LinkPacer:
    """Limits the rate of this instance's bytes on a link in one direction.

    Attributes:
        bytes_per_s: The instance's share of the link's bandwidth.
        next_send_s: When the next bytes may be sent, by the event loop's clock.
    """

    bytes_per_s: float
    next_send_s: float = 0.0

    async def wait_for(self, n_bytes: int) -> None:
        """Reserve time on the link for bytes and wait until it has passed."""
        loop = asyncio.get_running_loop()
        start_s = max(loop.time(), self.next_send_s)
        self.next_send_s = start_s + n_bytes / self.bytes_per_s
        await asyncio.sleep(max(0.0, self.next_send_s - loop.time()))


async def stream_body(
    exchange: Exchange, pacer: LinkPacer | None
) -> AsyncIterator[bytes]:
    """Yield the body of a request as it arrives from the caller."""
    exchange.is_body_consumed = True
    while True:
        try:
            chunk = await exchange.request.content.readany()
        except (ConnectionError, web.HTTPException) as error:
            raise CallerDisconnectedError from error
        if not chunk:
            return
        if pacer is not None:
            await pacer.wait_for(len(chunk))
        yield chunk
