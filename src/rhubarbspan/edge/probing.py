"""Probes the health and load of backend servers."""

import asyncio

import aiohttp
import msgspec

from ..client_session import open_session
from ..inputs import ProbeFailed, ProbeSucceeded
from ..tables.servers import ServerRow
from .failures import FailureLog, run_on
from .ticker import Ticker

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.8
HEALTH_PATH = "/health"
MAX_HEALTH_BYTES = 4096
HTTP_OK = 200
# Deep nesting exceeds the interpreter's recursion limit.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


class HealthBody(msgspec.Struct):
    """The JSON body of a health check response.

    Attributes:
        in_flight: Requests that the server is running.
        accepting: Whether the server accepts new requests.
        generation: Identifies the process; changes when it restarts.
    """

    in_flight: int = 0
    accepting: bool = True
    generation: str = ""


class Prober:
    """Probes servers of the own region and those whose slots the instance owns."""

    __slots__ = ("_ticker", "_failures", "_session", "_task")

    def __init__(self, ticker: Ticker) -> None:
        self._ticker = ticker
        self._failures = FailureLog(ticker.world.count, ticker.now_s)
        timeout = aiohttp.ClientTimeout(PROBE_TIMEOUT_S)
        self._session = open_session(timeout=timeout)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start probing."""
        self._task = asyncio.create_task(run_on(self._run, "probing", self._failures))

    async def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    async def _run(self) -> None:
        while True:
            servers = self._servers_to_probe()
            await asyncio.gather(*(self._probe(server) for server in servers))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _servers_to_probe(self) -> list[ServerRow]:
        world = self._ticker.world
        owned = {row.server_id for rows in world.owned.values() for row in rows}
        return [
            row
            for row in world.servers.rows()
            if row.region == world.identity.region or row.server_id in owned
        ]

    async def _probe(self, server: ServerRow) -> None:
        url = f"http://{server.address}{HEALTH_PATH}"
        try:
            async with self._session.get(url, allow_redirects=False) as response:
                body = await response.content.read(MAX_HEALTH_BYTES)
                is_ok = response.status == HTTP_OK
            health = msgspec.json.decode(body, type=HealthBody)
        except (aiohttp.ClientError, TimeoutError, OSError, *DECODE_ERRORS):
            self._ticker.inputs.on_next(ProbeFailed(server.server_id))
            return
        probed = ProbeSucceeded(
            server.server_id,
            max(0, health.in_flight),
            health.accepting and is_ok,
            health.generation,
        )
        self._ticker.inputs.on_next(probed)
