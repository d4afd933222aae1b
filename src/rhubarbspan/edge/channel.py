"""A TCP connection with backpressure that tells a clean end from a broken one."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import cast

HIGH_WATER_BYTES = 262_144
# Probes of a silent connection: after this idle time, this far apart, this many.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
N_KEEPALIVE_PROBES = 3
# How long sent bytes may stay without acknowledgement; links that are up answer in
# tens of milliseconds, and lost packets are sent again a few times.
USER_TIMEOUT_MS = 4000


class Channel(asyncio.Protocol):
    """One connection; ``read`` returns bytes, or nothing at a clean end.

    Attributes:
        on_change: Called when bytes or the end arrive while nobody reads.
        is_ended: Whether the peer ended its side, cleanly or not.
    """

    __slots__ = (
        "_transport",
        "_chunks",
        "_n_bytes",
        "_readable",
        "_writable",
        "_error",
        "is_ended",
        "is_lost",
        "on_change",
        "_is_paused",
    )

    def __init__(self, on_change: Callable[["Channel"], None] | None = None) -> None:
        self._transport: asyncio.Transport | None = None
        self._chunks: list[bytes] = []
        self._n_bytes = 0
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._error: Exception | None = None
        self._is_paused = False
        self.is_ended = False
        self.is_lost = False
        self.on_change = on_change

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection over and set its options."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read; stop the sender when there are many."""
        self._chunks.append(data)
        self._n_bytes += len(data)
        if self._n_bytes > HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._is_paused = True
        self._wake()

    def eof_received(self) -> bool:
        """Note the clean end of the peer's side; the own side stays open."""
        self.is_ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self.is_lost = True
        if exc is not None or not self.is_ended:
            self._error = exc or ConnectionAbortedError("the connection was closed")
        self.is_ended = True
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def _wake(self) -> None:
        self._readable.set()
        if self.on_change is not None:
            self.on_change(self)

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that were not read."""
        return bool(self._chunks)

    async def read(self) -> bytes:
        """Return the next bytes, or nothing at the clean end.

        Raises:
            ConnectionError: If the connection broke.
        """
        while not self._chunks and not self.is_ended:
            self._readable.clear()
            await self._readable.wait()
        if self._chunks:
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._n_bytes = 0
            if self._is_paused and self._transport is not None:
                self._is_paused = False
                self._transport.resume_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(str(self._error)) from self._error
        return b""

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the connection is over."""
        if self._transport is not None and not self.is_lost and data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until more may be written.

        Raises:
            ConnectionError: If the connection is over.
        """
        await self._writable.wait()
        if self.is_lost:
            raise ConnectionResetError("the connection is over")

    @property
    def n_unsent_bytes(self) -> int:
        """Bytes that were written and not yet handed to the system."""
        if self._transport is None or self.is_lost:
            return 0
        return self._transport.get_write_buffer_size()

    def half_close(self) -> None:
        """End the own side cleanly."""
        if self._transport is not None and not self.is_lost:
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once, so that the peer sees that something is missing."""
        if self._transport is not None:
            self._transport.abort()


def set_socket_options(sock: socket.socket) -> None:
    """Make a connection send at once and notice a peer that is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
