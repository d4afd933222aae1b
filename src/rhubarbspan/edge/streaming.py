"""Streams a long request body to a server while its response may already arrive."""

import asyncio
from collections.abc import Coroutine
from enum import Enum

import h11
import logbook

from ..inputs import Aborted, Completed, Outcome
from .channel import Channel
from .transfer import Transfer

LOG = logbook.Logger("rhubarbspan.upstream")
# A response that is complete is passed on this long before the deadline at the latest,
# even if the server has not yet taken the whole body.
EARLY_RESPONSE_MARGIN_S = 0.1
SUCCESS_STATUSES = range(200, 300)


class BodyEnd(Enum):
    """How the streaming of a body to a server ended."""

    SENT = "sent"
    CALLER_LEFT = "caller-left"
    SERVER_LEFT = "server-left"


async def stream_and_receive(
    send: Coroutine[None, None, BodyEnd],
    receive: Coroutine[None, None, Outcome],
    deadline_s: float,
) -> Outcome:
    """Send a body as it arrives from the caller, and receive the response.

    A success may come before the end of the body. The caller gets it once the server
    has the whole body, as a caller with a response may stop sending. After any other
    early response the rest of the body is not sent.

    Args:
        send: Sends the body.
        receive: Receives the response.
        deadline_s: Deadline of the attempt by the event loop's clock.
    """
    sending = asyncio.create_task(send)
    receiving = asyncio.create_task(receive)
    try:
        await asyncio.wait((sending, receiving), return_when=asyncio.FIRST_COMPLETED)
        if not receiving.done() and sending.result() is BodyEnd.CALLER_LEFT:
            return Aborted()
        outcome = await receiving
        match outcome:
            case Completed(status=status) if status in SUCCESS_STATUSES:
                left_s = deadline_s - asyncio.get_running_loop().time()
                timeout_s = max(0.0, left_s - EARLY_RESPONSE_MARGIN_S)
                await asyncio.wait((sending,), timeout=timeout_s)
        return outcome
    finally:
        for task in (sending, receiving):
            task.cancel()
        await asyncio.gather(sending, receiving, return_exceptions=True)


async def send_body(
    transfer: Transfer, channel: Channel, parser: h11.Connection
) -> BodyEnd:
    """Stream the body from the caller to the server."""
    chunk = transfer.body
    while chunk:
        channel.write(parser.send(h11.Data(chunk)) or b"")
        try:
            await channel.drain()
        except ConnectionError as error:
            LOG.debug("a server closed its connection within a body: {}", error)
            return BodyEnd.SERVER_LEFT
        try:
            chunk = await transfer.read_more()
        except (ConnectionError, h11.RemoteProtocolError) as error:
            LOG.debug("a caller closed its connection within a body: {}", error)
            return BodyEnd.CALLER_LEFT
    channel.write(parser.send(h11.EndOfMessage()) or b"")
    return BodyEnd.SENT
