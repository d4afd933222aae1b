"""HTTP client sessions that give up endless, reset and invalid responses."""

import asyncio
from functools import partial
from typing import cast

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from .metering import N_MAX_INTERIM_RESPONSES

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
# Bytes of framing that a response may have, and for each byte of its payload.
MAX_FRAMING_BYTES = 1_048_576
MAX_FRAMING_PER_BYTE = 8


class BoundedResponseHandler(ResponseHandler):
    """Gives up a connection whose response is endless, reset or invalid."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._n_interim_responses = 0
        self._n_bytes = 0
        self._content: aiohttp.StreamReader | None = None
        self._error: BaseException | None = None

    async def read(self) -> tuple[RawResponseMessage, aiohttp.StreamReader]:
        """Return the next response, also an interim one.

        Raises:
            aiohttp.ClientError: If there are too many interim responses, or the status
                is none. The library accepts any three digits.
        """
        message, content = await super().read()
        if message.code < FIRST_STATUS:
            raise aiohttp.ClientPayloadError(f"the status is {message.code:03}")
        if self._error is not None and _has_no_length(message):
            # The connection was reset before its response was asked for.
            content.set_exception(aiohttp.ClientPayloadError(f"reset: {self._error}"))
        if message.code >= FIRST_FINAL_STATUS:
            self._n_interim_responses = 0
            self._n_bytes = 0
            self._content = content
            return message, content
        self._n_interim_responses += 1
        if self._n_interim_responses > N_MAX_INTERIM_RESPONSES:
            raise aiohttp.ClientPayloadError("too many interim responses")
        return message, content

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end of the connection; a response that was reset is not whole.

        The library takes one without a length as complete at any end of its connection.
        """
        self._error = exc
        content = self._content
        if exc is not None and content is not None and not content.is_eof():
            content.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; give up a response that is nearly all framing."""
        super().data_received(data)
        content = self._content
        if content is None:
            return
        self._n_bytes += len(data)
        n_framing_bytes = self._n_bytes - content.total_bytes
        if n_framing_bytes > (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BYTE * content.total_bytes
        ):
            content.set_exception(aiohttp.ClientPayloadError("too much framing"))
            self.close()


def _has_no_length(message: RawResponseMessage) -> bool:
    """Return whether the body of a response ends with its connection."""
    return not message.chunked and hdrs.CONTENT_LENGTH not in message.headers


def open_session(
    connector: aiohttp.TCPConnector | None = None,
    timeout: aiohttp.ClientTimeout = aiohttp.client.DEFAULT_TIMEOUT,
    auto_decompress: bool = True,
) -> aiohttp.ClientSession:
    """Open a session with bounded responses; its arguments are those of aiohttp's."""
    connector = connector or aiohttp.TCPConnector()
    # The library has no other way to name the class of its connections.
    loop = asyncio.get_running_loop()
    connector._factory = cast(
        "partial[ResponseHandler]", partial(BoundedResponseHandler, loop)
    )
    return aiohttp.ClientSession(
        connector=connector, timeout=timeout, auto_decompress=auto_decompress
    )
