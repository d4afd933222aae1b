"""The HTTP server for look-ups, the readiness check and metrics."""

from aiohttp import web

from ..platform.lookup import LOOKUP_PATH, READY_PATH, lookup_body, parse_lookup_query
from ..report.metrics import render_metrics
from ..systems.lookup import find_addresses, is_ready
from .ticker import Ticker

METRICS_PATH = "/metrics"
OK = 200
UNAVAILABLE = 503


class LookupServer:
    """Serves callers' look-ups and the platform's readiness checks."""

    __slots__ = ("_ticker", "_runner", "_lifetime_s")

    def __init__(self, ticker: Ticker, lifetime_s: float) -> None:
        self._ticker = ticker
        self._runner: web.AppRunner | None = None
        self._lifetime_s = lifetime_s

    def set_lifetime(self, lifetime_s: float) -> None:
        """Set how long callers may cache an answer."""
        self._lifetime_s = lifetime_s

    async def start(self, addresses: list[str]) -> None:
        """Listen on each address, given as ``host:port``.

        Raises:
            OSError: If an address cannot be used.
        """
        application = web.Application()
        application.router.add_get(LOOKUP_PATH, self._look_up)
        application.router.add_get(READY_PATH, self._ready)
        application.router.add_get(METRICS_PATH, self._metrics)
        self._runner = web.AppRunner(
            application, access_log=None, handle_signals=False, shutdown_timeout=0.1
        )
        await self._runner.setup()
        for address in addresses:
            host, _, port = address.rpartition(":")
            await web.TCPSite(self._runner, host.strip("[]"), int(port)).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _look_up(self, request: web.Request) -> web.Response:
        world = self._ticker.world
        region, data_centre = parse_lookup_query(request.query)
        addresses = find_addresses(world, self._ticker.now_s(), region, data_centre)
        if not addresses or world.configuration.revision == 0:
            return web.json_response({"error": "no instance"}, status=UNAVAILABLE)
        world.count("lookups")
        return web.json_response(lookup_body(addresses, self._lifetime_s))

    async def _ready(self, request: web.Request) -> web.Response:
        is_up = is_ready(self._ticker.world, self._ticker.now_s())
        return web.Response(status=OK if is_up else UNAVAILABLE)

    async def _metrics(self, request: web.Request) -> web.Response:
        body = render_metrics(
            self._ticker.world, self._ticker.n_ticks, self._ticker.now_s()
        )
        return web.Response(body=body, content_type="text/plain", charset="utf-8")
