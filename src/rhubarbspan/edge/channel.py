"""A TCP connection with backpressure that distinguishes a clean end from a failure."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import cast

from ..systems.memory_budget import may_read_ahead
from ..tables.memory import Held, HoldingRow, Memory

# Bytes of a connection that wait to be read before nothing further is received.
HIGH_WATER_BYTES = 65_536
# All connections receive into the same buffer, and copy what has arrived. While memory
# is short, only part of it is used, as thousands of them may receive in one turn.
RECEIVE_BUFFER = memoryview(bytearray(65_536))
TIGHT_RECEIVE_BUFFER = RECEIVE_BUFFER[:8192]
# Received bytes of a connection that are not counted one by one, as most requests are
# smaller; what a connection costs at rest includes them.
UNCOUNTED_BYTES = 4096
# Parts of a message up to this size in total are copied together: passing bytes to the
# operating system costs more than copying so many.
JOINED_BYTES = 65_536
# TCP keep-alive probes of an idle connection: the time before the first one, the
# interval between them, and their number.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
N_KEEPALIVE_PROBES = 3
# How long sent bytes may remain unacknowledged. A working link acknowledges within
# tens of milliseconds; the time allows for a few retransmissions of lost packets.
USER_TIMEOUT_MS = 4000


class Channel(asyncio.BufferedProtocol):
    """A connection; ``read`` returns bytes, or empty bytes at a clean end.

    What it holds is counted: bytes that were received, until the reader has released
    them, and bytes that were written, until the operating system has them.

    Attributes:
        on_open: Called when the connection is open.
        row: Where the bytes that it holds are counted.
        on_change: Called when bytes or the end of the connection arrive.
        is_ended: Whether the peer will send no more bytes, after a clean end or not.
        is_lost: Whether the connection is closed in both directions.
    """

    __slots__ = (
        "_transport",
        "_chunks",
        "_n_bytes",
        "_n_read_bytes",
        "_n_counted_bytes",
        "_n_counted_unsent_bytes",
        "_is_tight",
        "_memory",
        "_readable",
        "_writable",
        "_closed",
        "_error",
        "is_ended",
        "is_lost",
        "on_change",
        "on_open",
        "row",
        "_is_paused",
    )

    def __init__(
        self,
        memory: Memory,
        row: HoldingRow,
        on_change: Callable[["Channel"], None] | None = None,
    ) -> None:
        self._memory = memory
        self.row = row
        self._n_read_bytes = 0
        self._n_counted_bytes = 0
        self._n_counted_unsent_bytes = 0
        self._is_tight = False
        self.on_open: Callable[[Channel], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._chunks: list[bytes] = []
        self._n_bytes = 0
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = asyncio.Event()
        self._error: Exception | None = None
        self._is_paused = False
        self.is_ended = False
        self.is_lost = False
        self.on_change = on_change

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set the socket options."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)
        if self.on_open is not None:
            self.on_open(self)

    @property
    def peer_address(self) -> str:
        """IP address of the other side."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if isinstance(name, tuple) else ""

    @property
    def peer_endpoint(self) -> str:
        """IP address and port of the other side, or an empty text."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else ""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are received into."""
        self._is_tight = not may_read_ahead(self._memory)
        return TIGHT_RECEIVE_BUFFER if self._is_tight else RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were received."""
        self.data_received(bytes(RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until they are read; pause reading when the buffer is large."""
        self._chunks.append(data)
        self._n_bytes += len(data)
        if self._n_bytes + self._n_read_bytes > UNCOUNTED_BYTES:
            self._count_received()
        is_ahead = self._is_tight or self._n_bytes > HIGH_WATER_BYTES
        if is_ahead and not self._is_paused and self._transport is not None:
            self._transport.pause_reading()
            self._is_paused = True
        self._wake()

    def eof_received(self) -> bool:
        """Record the clean end of the peer's bytes; this side may still send."""
        self.is_ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed, and its error if there was one."""
        self.is_lost = True
        self._release_all()
        if exc is not None or not self.is_ended:
            self._error = exc or ConnectionAbortedError("the connection was closed")
        self.is_ended = True
        self._writable.set()
        self._closed.set()
        self._wake()

    def pause_writing(self) -> None:
        """Block writers until the write buffer has drained."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    def _wake(self) -> None:
        self._readable.set()
        if self.on_change is not None:
            self.on_change(self)

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received that have not been read."""
        return bool(self._chunks)

    async def read(self) -> bytes:
        """Return the next bytes, or empty bytes at a clean end.

        Raises:
            ConnectionError: If the connection broke.
        """
        while not self._chunks and not self.is_ended:
            self._readable.clear()
            await self._readable.wait()
        if self._chunks:
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._n_read_bytes += self._n_bytes
            self._n_bytes = 0
            if self._is_paused and self._transport is not None:
                self._is_paused = False
                self._transport.resume_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(str(self._error)) from self._error
        return b""

    def release(self) -> None:
        """Count the bytes that were read as no longer held."""
        self._n_read_bytes = 0
        if self._n_counted_bytes:
            self._count_received()

    def _count_received(self) -> None:
        n_bytes = self._n_bytes + self._n_read_bytes
        if n_bytes <= UNCOUNTED_BYTES:
            n_bytes = 0
        self._memory.hold(self.row, Held.READ, n_bytes - self._n_counted_bytes)
        self._n_counted_bytes = n_bytes

    def write(self, data: bytes) -> None:
        """Send bytes; they are discarded if the connection is closed."""
        if self._transport is not None and not self.is_lost and data:
            self._transport.write(data)
            n_unsent_bytes = self._transport.get_write_buffer_size()
            if n_unsent_bytes != self._n_counted_unsent_bytes:
                self.count_unsent()

    def write_parts(self, parts: list[bytes]) -> None:
        """Send the parts of a message, in one call of the operating system if short."""
        if sum(map(len, parts)) <= JOINED_BYTES:
            self.write(b"".join(parts))
            return
        for part in parts:
            self.write(part)

    def count_unsent(self) -> bool:
        """Count what is not yet sent; return whether that has become less."""
        n_more_bytes = self.n_unsent_bytes - self._n_counted_unsent_bytes
        if n_more_bytes:
            self._n_counted_unsent_bytes += n_more_bytes
            self._memory.hold(self.row, Held.UNSENT, n_more_bytes)
        return n_more_bytes < 0

    async def drain(self) -> None:
        """Wait until the write buffer has room.

        Raises:
            ConnectionError: If the connection is closed.
        """
        await self._writable.wait()
        if self._n_counted_unsent_bytes:
            self.count_unsent()
        if self.is_lost:
            raise ConnectionResetError("the connection is closed")

    @property
    def n_unsent_bytes(self) -> int:
        """Bytes that were written and not yet passed to the operating system."""
        if self._transport is None or self.is_lost:
            return 0
        return self._transport.get_write_buffer_size()

    def _release_all(self) -> None:
        """Count nothing as held, as the connection is closed."""
        self._n_bytes = 0
        self.release()
        self.count_unsent()

    def half_close(self) -> None:
        """End this side cleanly; bytes of the peer can still be read."""
        if self._transport is not None and not self.is_lost:
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close the connection after the written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    async def wait_closed(self) -> None:
        """Wait until a connection that is being closed has sent its written bytes."""
        await self._closed.wait()

    def abort(self) -> None:
        """Discard unsent bytes and close, so that the peer sees a truncated message."""
        if self._transport is not None:
            self._transport.abort()


def set_socket_options(sock: socket.socket) -> None:
    """Disable the delay of small packets and detect peers that are unreachable."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
