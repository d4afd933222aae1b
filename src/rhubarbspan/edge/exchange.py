"""One caller's request and the attempts to have it answered."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from aiohttp import web

from ..effects import FinishRequest


@dataclass(slots=True)
class Exchange:
    """The handle of a request whose bytes stay at the edge.

    Attributes:
        body: The whole body if it is held in memory, otherwise None.
        response: The answer to the caller once its head was sent.
        decision_made: Set when the decision about the request is final.
        attempt: The task of the attempt under way.
        attempt_id: Number of the attempt under way.
        is_body_consumed: Whether a streamed body was partly read.
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
    """The exchanges under way, by number of the request."""

    rows: dict[int, Exchange] = field(default_factory=dict)
    n_requests: int = 0


class CallerDisconnectedError(Exception):
    """The caller's connection broke while its body was read."""


@dataclass(slots=True)
class LinkPacer:
    """Paces the bytes that this instance sends over a link in one direction.

    Attributes:
        bytes_per_s: The instance's share of the link.
        next_send_s: When the bytes so far will have been paid for.
    """

    bytes_per_s: float
    next_send_s: float = 0.0

    async def wait_for(self, n_bytes: int) -> None:
        """Wait until bytes may be sent."""
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
