"""Reads bodies up to a bound on their size, pieces and time."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from .metering import PieceMeter
from .verdict import Failure

# Code of the failure for a body that is given up.
TOO_COSTLY = "too-costly"
# A body that is held in memory may take this fraction of the memory of the process. It
# exists several times while it is decoded.
MEMORY_FRACTION = 1 / 8
# Memory that a process counts on where its settings do not tell.
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024
MAX_BODY_BYTES = int(DEFAULT_MEMORY_BYTES * MEMORY_FRACTION)
# The rest of a body that nobody needs is read up to these bounds, so that its
# connection can be used again.
SKIPPED_BYTES = 65_536
SKIPPED_S = 0.05
# After a response that closes the connection, reading goes on for this long and up to
# this size: closing a connection with unread bytes resets it, and the caller may lose
# the response.
LINGERING_CLOSE_S = 0.5
LINGERING_BYTES = 4_194_304


class CostlyBodyError(Exception):
    """A body comes in more pieces than its payload justifies."""


class MalformedBodyError(Exception):
    """The framing of a body cannot be read."""


async def wait_for_turn(meter: PieceMeter) -> Failure | None:
    """Let others run after a bounded number of pieces, and hold a costly sender back.

    Returns:
        A failure if the pieces cost too much for what they carry.
    """
    if not meter.is_turn_over():
        return None
    now_s = asyncio.get_running_loop().time()
    if meter.is_excessive(now_s):
        text = f"{meter.n_payload_bytes} bytes in {meter.n_pieces} pieces"
        return Failure(TOO_COSTLY, text)
    await asyncio.sleep(meter.delay_s(now_s))
    return None


async def read_pieces(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the pieces of a body; others run after a bounded number of them.

    Raises:
        aiohttp.ClientError: If the connection breaks.
        CostlyBodyError: If the pieces cost too much for what they carry.
    """
    meter = PieceMeter(asyncio.get_running_loop().time())
    async for piece, _ in content.iter_chunks():
        meter.record(len(piece))
        failure = await wait_for_turn(meter)
        if failure is not None:
            raise CostlyBodyError(failure.reason)
        yield piece


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes | Failure:
    """Read a body; the connection of one that is given up is closed.

    Returns:
        The body, or a failure if it is longer than ``max_bytes`` or comes in too many
        pieces.

    Raises:
        aiohttp.ClientError: If the connection breaks.
    """
    body = bytearray()
    try:
        async for piece in read_pieces(response.content):
            body += piece
            if len(body) > max_bytes:
                response.close()
                return Failure(TOO_COSTLY, f"a body longer than {max_bytes} bytes")
    except CostlyBodyError as error:
        response.close()
        return Failure(TOO_COSTLY, str(error))
    return bytes(body)


async def skip_body(response: aiohttp.ClientResponse) -> bool:
    """Read the rest of a body that nobody needs, or close its connection.

    Returns:
        Whether it was given up for its length or its pieces, and not for its pace.
    """
    try:
        async with asyncio.timeout(SKIPPED_S):
            rest = await read_body(response, SKIPPED_BYTES)
    except (aiohttp.ClientError, TimeoutError):
        response.close()
        return False
    return isinstance(rest, Failure)
