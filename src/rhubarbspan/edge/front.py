"""Accepts the connections of callers and hands decisions to their requests."""

import asyncio
import socket

import logbook

from ..bodies import LINGERING_CLOSE_S
from ..effects import FinishRequest
from ..systems.memory_budget import (
    choose_displaced,
    choose_stalled,
    may_read_ahead,
)
from ..tables.memory import Held, HoldingRow, Memory
from .caller import CallerConnection
from .channel import Channel
from .listener import Listener, let_requests_arrive
from .ticker import Ticker
from .transfer import Transfers

LOG = logbook.Logger("rhubarbspan.front")
# Connections that are accepted in one turn. Those over the limit are closed in the next
# turn, so this many descriptors may be in use for a moment beyond it.
N_ACCEPTED_PER_TURN = 32
# Interval at which the connections are looked at for bytes that make no progress.
SWEEP_S = 0.25


class Front:
    """Accepts the connections of callers.

    Attributes:
        connections: The open connections, by the row of what they hold.
    """

    __slots__ = (
        "ticker",
        "transfers",
        "connections",
        "_listener",
        "_opening",
        "_tasks",
        "_sweep",
        "_is_short",
    )

    def __init__(self, ticker: Ticker, transfers: Transfers) -> None:
        self.ticker = ticker
        self.transfers = transfers
        self.connections: dict[HoldingRow, CallerConnection] = {}
        self._listener: Listener | None = None
        self._opening: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: asyncio.TimerHandle | None = None
        self._is_short = False

    async def start(self, address: str) -> None:
        """Listen for callers on ``host:port``.

        Raises:
            OSError: If the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = Listener(
            host.strip("[]"), int(port), self._accept, N_ACCEPTED_PER_TURN
        )
        self._sweep = loop.call_later(SWEEP_S, self._close_stalled)

    async def stop(self) -> None:
        """Stop listening and close connections once their responses are sent.

        A request that is still arriving is refused when it is complete, as long as the
        grace period allows to wait for it.
        """
        if self._listener is not None:
            self._listener.close()
        if self._opening:
            await asyncio.wait(self._opening)
        await let_requests_arrive()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self.connections.values()):
            if connection.is_idle:
                connection.channel.close()
        timeout_s = LINGERING_CLOSE_S * 2
        departure = self.ticker.world.departure
        if departure is not None:
            timeout_s = max(0.0, departure.finish_until_s - self.ticker.now_s())
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        for connection in list(self.connections.values()):
            # Callers whose requests had begun to arrive get no response.
            self.ticker.world.count("connections_cut")
            LOG.warning("connection cut at the stop: {}", connection.describe())
            connection.channel.abort()

    def finish_request(self, effect: FinishRequest) -> None:
        """Hand the final decision on a request to its connection."""
        transfer = self.transfers.rows.get(effect.request_id)
        if transfer is not None and not transfer.decision_made.done():
            transfer.decision_made.set_result(effect)

    def _accept(self, accepted: socket.socket, address: str) -> None:
        task = asyncio.get_running_loop().create_task(self._set_up(accepted))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _set_up(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_channel, accepted)
        except OSError as error:
            LOG.info("a connection could not be set up: {}", error)
            accepted.close()

    def _make_channel(self) -> Channel:
        connection = CallerConnection(self.ticker, self.transfers, self._forget)
        connection.channel.on_open = lambda channel: self._open(connection)
        return connection.channel

    def _open(self, connection: CallerConnection) -> None:
        """Serve a new connection, if there is or can be made room for it."""
        memory = self.ticker.world.memory
        address = connection.channel.peer_address
        now_s = asyncio.get_running_loop().time()
        if memory.n_connections >= memory.n_max_connections:
            row = choose_displaced(memory, address, now_s)
            displaced = self.connections.get(row) if row is not None else None
            if row is None or displaced is None:
                self.ticker.world.count("connections_refused")
                connection.channel.abort()
                return
            row.is_closing = True
            self.ticker.world.count("connections_closed", "descriptors-short")
            # Its descriptor is closed in the next turn of the event loop.
            displaced.channel.abort()
        connection.set_row(memory.open(address, now_s))
        self.connections[connection.row] = connection
        task = asyncio.get_running_loop().create_task(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _forget(self, connection: CallerConnection) -> None:
        self.connections.pop(connection.row, None)

    def _close_stalled(self) -> None:
        """Close connections that hold most without progress, while memory is short."""
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(SWEEP_S, self._close_stalled)
        memory = self.ticker.world.memory
        n_closed = 0
        if memory.n_total_bytes:
            n_closed = self._close_most_stalled(memory, loop.time())
        self._log_shortage(n_closed)

    def _close_most_stalled(self, memory: Memory, now_s: float) -> int:
        """Record which connections progress; return how many were closed."""
        holding = [row for row in self.connections if row.total()]
        for row in holding:
            if (
                row.n_bytes[Held.UNSENT]
                and self.connections[row].channel.count_unsent()
            ):
                row.progressed_s = now_s
        chosen = choose_stalled(memory, holding, now_s)
        for row in chosen:
            self.ticker.world.count("connections_closed", "memory-short")
            self.connections[row].give_up()
        return len(chosen)

    def _log_shortage(self, n_closed: int) -> None:
        """Log when memory becomes short, and when it no longer is."""
        memory = self.ticker.world.memory
        is_short = n_closed > 0 or not may_read_ahead(memory)
        if is_short is self._is_short:
            return
        self._is_short = is_short
        kinds = ", ".join(
            f"{kind.name.lower()} {memory.n_bytes[kind]}" for kind in Held
        )
        state = "short" if is_short else "no longer short"
        LOG.warning(
            "memory is {}: {} of {} bytes held for others ({}), {} connections",
            *(state, memory.n_total_bytes, memory.limit_bytes, kinds),
            memory.n_connections,
        )
