"""A caller's request and its response, and the pacing of links."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from aiohttp import web

from ..bodies import CostlyBodyError, MalformedBodyError, read_pieces
from ..effects import FinishRequest
from ..verdict import Reason


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
        body_failure: Why a streamed body was not read to its end, or None.
    """

    request_id: int
    request: web.Request
    body: bytes | None
    decision_made: asyncio.Future[FinishRequest]
    response: web.StreamResponse | None = None
    attempt: asyncio.Task[None] | None = None
    attempt_id: int = 0
    is_body_consumed: bool = False
    body_failure: Reason | None = None
    is_caller_disconnected: bool = False


@dataclass(slots=True)
class Exchanges:
    """The exchanges in progress, by request number."""

    rows: dict[int, Exchange] = field(default_factory=dict)
    n_requests: int = 0


class BodyFailedError(Exception):
    """A request body ended early, or was rejected while it was read."""


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
    exchange: Exchange, pacer: LinkPacer | None, n_max_bytes: int
) -> AsyncIterator[bytes]:
    """Yield the body of a request as it arrives from the caller.

    Raises:
        BodyFailedError: If the body ends early, is longer than ``n_max_bytes``, comes
            in too many pieces or has malformed chunks: the server must not get the end
            of it.
    """
    exchange.is_body_consumed = True
    n_bytes = 0
    try:
        async for piece in read_pieces(exchange.request.content):
            n_bytes += len(piece)
            if n_bytes > n_max_bytes:
                raise _fail_body(exchange, Reason.BODY_TOO_LARGE)
            if pacer is not None:
                await pacer.wait_for(len(piece))
            yield piece
    except (ConnectionError, web.HTTPException) as error:
        raise _fail_body(exchange, Reason.CANCELLED) from error
    except (CostlyBodyError, MalformedBodyError) as error:
        raise _fail_body(exchange, Reason.BAD_REQUEST) from error


def _fail_body(exchange: Exchange, reason: Reason) -> BodyFailedError:
    exchange.body_failure = reason
    return BodyFailedError(reason.value)
