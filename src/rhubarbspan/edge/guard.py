"""Bounds what the library of the own interface leaves unbounded in a request.

The library waits without end for the head of a connection's first request. It hands a
body with malformed chunks to nobody as broken: its reader waits for more, and the
error is answered only after that request.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from ..bodies import MalformedBodyError
from ..verdict import NotRun, Reason
from ..wire.http import verdict_headers

HEAD_TIMEOUT_STATUS = "408 Request Timeout"


class Guard(asyncio.Protocol):
    """Passes the events of a connection on to the library's protocol.

    It is listed by its transport in a table of the acceptor while that is open.

    Attributes:
        request: The request in progress, or None.
    """

    __slots__ = (
        "_protocol",
        "_head_timeout_s",
        "_on_timeout",
        "_guards",
        "_transport",
        "_timer",
        "_has_next",
        "request",
    )

    def __init__(
        self,
        protocol: web.RequestHandler,
        head_timeout_s: Callable[[], float],
        on_timeout: Callable[[], None],
        guards: dict[asyncio.BaseTransport, "Guard"],
    ) -> None:
        self._protocol = protocol
        self._head_timeout_s = head_timeout_s
        self._on_timeout = on_timeout
        self._guards = guards
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._has_next = False
        self.request: web.Request | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, before a request of it can begin."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._guards[transport] = self
        self._protocol.connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the time limit."""
        self._stop_timer()
        self._protocol.connection_lost(exc)
        if self._transport is not None:
            self._guards.pop(self._transport, None)

    def data_received(self, data: bytes) -> None:
        """Limit the time of a head, and break a body whose chunks are malformed."""
        request = self.request
        # Bytes after the end of a request belong to the head of the next one.
        self._has_next |= request is not None and request.content.is_eof()
        self._protocol.data_received(data)
        if request is None:
            self._start_timer()
        else:
            self._break_malformed(request)

    def eof_received(self) -> None:
        """Pass the end of the caller's bytes on."""
        self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the write buffer is full."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the write buffer has room."""
        self._protocol.resume_writing()

    def begin(self, request: web.Request) -> None:
        """Record that the head of a request has arrived."""
        self._stop_timer()
        self.request = request
        # Its body may have begun to arrive before.
        self._break_malformed(request)

    def end(self) -> None:
        """Record that a request has ended; the next head may have begun to arrive."""
        self.request = None
        if self._has_next:
            self._has_next = False
            self._start_timer()

    def _break_malformed(self, request: web.Request) -> None:
        """Break the body of a request if the library could not parse the rest of it."""
        is_open = not request.content.is_eof() and request.content.exception() is None
        if is_open and _is_malformed(self._protocol):
            request.content.set_exception(MalformedBodyError("malformed chunks"))

    def _start_timer(self) -> None:
        """Start the time limit with the first byte of a head."""
        if self._timer is None and self._transport is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._head_timeout_s(), self._reject)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reject(self) -> None:
        """Reject a request whose head has not arrived in time."""
        if self._transport is None or self._transport.is_closing():
            return
        self._on_timeout()
        fields = {
            **verdict_headers(NotRun(Reason.BAD_REQUEST)),
            "Connection": "close",
            "Content-Length": "0",
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([f"HTTP/1.1 {HEAD_TIMEOUT_STATUS}", *lines, "", ""])
        self._transport.write(head.encode())
        self._transport.close()


def _is_malformed(protocol: web.RequestHandler) -> bool:
    """Return whether the library could not parse what has arrived.

    It queues the error as a message without a body behind the request in progress.
    There is no public way to learn of it before that request has ended.
    """
    messages = protocol._messages
    return bool(messages) and not hasattr(messages[-1][0], "method")
