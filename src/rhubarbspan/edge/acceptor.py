"""Accepts the connections of the own interface, within a bound on their number."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import logbook
from aiohttp import web

from ..systems.memory_budget import choose_displaced
from ..tables.memory import HoldingRow, Phase
from .guard import Guard
from .listener import Listener, let_requests_arrive
from .ticker import Ticker

LOG = logbook.Logger("rhubarbspan.server")
# Bytes of a connection that are received at a time. The library's own size, 256 KiB,
# is passed on as a whole before reading is paused.
RECEIVED_BYTES = 32_768
# Connections that are accepted in one turn; each is set up before the next.
N_ACCEPTED_PER_TURN = 1


class Acceptor:
    """Accepts connections, and closes idle ones when there are too many.

    Attributes:
        transports: The open connections, by the row of what they hold.
        rows: The same the other way round.
        guards: The protocols of the open connections.
    """

    __slots__ = (
        "_ticker",
        "_listener",
        "_accepted",
        "_task",
        "transports",
        "rows",
        "guards",
    )

    def __init__(self, ticker: Ticker) -> None:
        self._ticker = ticker
        self._listener: Listener | None = None
        # The last one is None.
        self._accepted: asyncio.Queue[tuple[socket.socket, str] | None] = (
            asyncio.Queue()
        )
        self._task: asyncio.Task[None] | None = None
        self.transports: dict[HoldingRow, asyncio.Transport] = {}
        self.rows: dict[asyncio.BaseTransport, HoldingRow] = {}
        self.guards: dict[asyncio.BaseTransport, Guard] = {}

    def start(self, server: web.Server, host: str, port: int) -> None:
        """Listen for callers.

        Raises:
            OSError: If the address cannot be used.
        """
        self._listener = Listener(
            host,
            port,
            lambda accepted, address: self._accepted.put_nowait((accepted, address)),
            N_ACCEPTED_PER_TURN,
        )
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._open_accepted(server))

    async def stop(self) -> None:
        """Stop listening; open connections stay, and their requests are read."""
        if self._listener is None or self._task is None:
            return
        self._listener.close()
        self._accepted.put_nowait(None)
        await self._task
        await let_requests_arrive()

    def enter(self, transport: asyncio.BaseTransport | None, phase: Phase) -> None:
        """Record what a connection does from now on."""
        row = self.rows.get(transport) if transport is not None else None
        if row is not None:
            row.enter(phase, asyncio.get_running_loop().time())

    @web.middleware
    async def note_request(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Record on its connection that a request is in progress."""
        transport = request.transport
        guard = self.guards.get(transport) if transport is not None else None
        if guard is None:
            return await handler(request)
        guard.begin(request)
        try:
            return await handler(request)
        finally:
            guard.end()

    def _make_guard(self, server: web.Server) -> Guard:
        world = self._ticker.world
        return Guard(
            server(),
            lambda: world.configuration.caller_limits.head_timeout_s,
            lambda: world.count("rejected", "408"),
            self.guards,
        )

    async def _open_accepted(self, server: web.Server) -> None:
        while (row := await self._accepted.get()) is not None:
            accepted, address = row
            try:
                await self._open(accepted, address, server)
            except OSError as error:
                LOG.warning("a connection could not be set up: {}", error)
                accepted.close()

    async def _open(
        self, accepted: socket.socket, address: str, server: web.Server
    ) -> None:
        """Serve a new connection, if there is or can be made room for it."""
        loop = asyncio.get_running_loop()
        memory = self._ticker.world.memory
        if memory.n_connections >= memory.n_max_connections:
            self._forget_closed()
        if memory.n_connections >= memory.n_max_connections:
            row = choose_displaced(memory, address, loop.time())
            if row is None:
                self._ticker.world.count("connections_refused")
                accepted.close()
                return
            self._ticker.world.count("connections_closed", "descriptors-short")
            self.transports[row].abort()
            self._forget(row)
        transport, _ = await loop.connect_accepted_socket(
            lambda: self._make_guard(server), accepted
        )
        # The transports of the event loop receive up to this much at a time.
        transport.max_size = RECEIVED_BYTES  # type: ignore[attr-defined]
        row = memory.open(address, loop.time())
        self.transports[row] = transport
        self.rows[transport] = row

    def _forget_closed(self) -> None:
        for row, transport in list(self.transports.items()):
            if transport.is_closing():
                self._forget(row)

    def _forget(self, row: HoldingRow) -> None:
        self._ticker.world.memory.close(row)
        del self.rows[self.transports.pop(row)]
