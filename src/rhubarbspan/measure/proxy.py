"""Measures request latency on loopback, and the CPU time of all parties together.

The parties are client, proxy and backend server, which run in one process. Direct
requests, a minimal pass-through proxy and a server that sends a constant response serve
as baselines. Idle fleets of several sizes are measured as well.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
import logbook
from aiohttp import web

from ..report.text import format_table
from ..standins.backend import BackendStandIn
from ..standins.deployment import Deployment, free_address
from ..wire.http import hash_key
from .oracle import quantile

N_REQUESTS = 2000
N_WARM_UP = 200
KEY = "measured"
HEADERS = {"Authorization": f"Bearer {KEY}"}
IDLE_S = 5.0
FLEET_SIZES = (1, 4, 7, 12)
MS_PER_S = 1000.0

DOCUMENT = {
    "route look": {"pool": "shop", "path_prefix": "/look", "kind": "idempotent"},
    "pool shop": {"slots_per_server": "100", "ramp_s": "0"},
    "client_account ana": {
        "rate_per_s": "100000",
        "burst": "100000",
        "key_hashes": hash_key(KEY),
    },
    "data_centre x": {"region": "r", "client_blocks": "127.0.0.0/8"},
}


@dataclass(slots=True)
class Cost:
    """Latency and CPU time of one kind of request.

    Attributes:
        cpu_ms: CPU time of client, proxy and backend server together, per request. The
            row of the idle process has its CPU time per second, and latencies of 0.
    """

    name: str
    p50_ms: float
    p99_ms: float
    cpu_ms: float


@dataclass(slots=True)
class IdleCost:
    """CPU time and peer traffic of each idle daemon.

    Attributes:
        n_seats: Number of daemons.
        cpu_ms_per_s: CPU time of the whole process, including probes and stand-ins,
            divided by the number of daemons.
        bytes_per_s: Bytes that each daemon sends to its peers.
    """

    n_seats: int
    cpu_ms_per_s: float
    bytes_per_s: float


async def measure_url(name: str, session: aiohttp.ClientSession, url: str) -> Cost:
    """Measure requests to a URL, sent one after another."""
    for _ in range(N_WARM_UP):
        async with session.get(url) as response:
            await response.read()
    latencies_ms: list[float] = []
    cpu_s = time.process_time()
    for _ in range(N_REQUESTS):
        start_s = time.perf_counter()
        async with session.get(url) as response:
            await response.read()
            assert response.status == 200, response.status
        latencies_ms.append((time.perf_counter() - start_s) * MS_PER_S)
    cpu_ms = (time.process_time() - cpu_s) * MS_PER_S / N_REQUESTS
    return Cost(name, quantile(latencies_ms, 0.5), quantile(latencies_ms, 0.99), cpu_ms)


async def serve_handler(
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]], address: str
) -> web.AppRunner:
    """Start an aiohttp server with a single handler and no access log."""
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def measure_all() -> list[Cost]:
    """Measure each kind of request, then the idle process.

    The rows are direct requests, the pass-through proxy, the daemon, the server with a
    constant response, look-ups at the daemon, and the process without requests.
    """
    deployment = Deployment(DOCUMENT)
    await deployment.start()
    await deployment.wait_ready()
    backend: BackendStandIn = next(iter(deployment.backends.values()))
    backend.service_s = 0.0
    backend.n_slots = 100
    entry = deployment.entries()[0]
    pass_through_address = free_address()
    forwarding_session = aiohttp.ClientSession()

    async def pass_through(request: web.Request) -> web.Response:
        url = f"http://{backend.address}{request.raw_path}"
        async with forwarding_session.request(request.method, url) as response:
            return web.Response(status=response.status, body=await response.read())

    async def respond_constant(request: web.Request) -> web.Response:
        return web.Response(body=b'{"pool": "shop"}', content_type="application/json")

    runner = await serve_handler(pass_through, pass_through_address)
    constant_address = free_address()
    constant_runner = await serve_handler(respond_constant, constant_address)
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        costs = [
            await measure_url("direct", session, f"http://{backend.address}/look"),
            await measure_url(
                "pass-through", session, f"http://{pass_through_address}/look"
            ),
            await measure_url("rhubarbspan", session, f"http://{entry}/look"),
            await measure_url("fixed answer", session, f"http://{constant_address}/"),
            await measure_url(
                "look-up", session, f"http://{entry}/-/lookup?route=look"
            ),
        ]
    cpu_s = time.process_time()
    await asyncio.sleep(IDLE_S)
    idle_cpu_ms_per_s = (time.process_time() - cpu_s) / IDLE_S * MS_PER_S
    # This row has CPU time per second of idling, not per request.
    costs.append(Cost("idle, per second", 0.0, 0.0, idle_cpu_ms_per_s))
    await runner.cleanup()
    await constant_runner.cleanup()
    await forwarding_session.close()
    await deployment.stop()
    return costs


async def measure_idle(n_seats: int) -> IdleCost:
    """Measure daemons of one data centre without load."""
    data_centre = {**DOCUMENT["data_centre x"], "seats": str(n_seats)}
    deployment = Deployment({**DOCUMENT, "data_centre x": data_centre})
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(1.0)
    n_bytes = _bytes_sent(deployment)
    cpu_s = time.process_time()
    await asyncio.sleep(IDLE_S)
    cpu_ms = (time.process_time() - cpu_s) * MS_PER_S
    n_bytes = _bytes_sent(deployment) - n_bytes
    await deployment.stop()
    daemon_seconds = n_seats * IDLE_S
    return IdleCost(n_seats, cpu_ms / daemon_seconds, n_bytes / daemon_seconds)


def _bytes_sent(deployment: Deployment) -> int:
    worlds = [daemon.world for daemon in deployment.daemons.values()]
    return sum(world.counters["peer_bytes_sent", ""] for world in worlds)


async def measure_fleets() -> list[IdleCost]:
    """Measure idle fleets of each size in FLEET_SIZES."""
    return [await measure_idle(n_seats) for n_seats in FLEET_SIZES]


def main() -> None:
    """Measure everything and print both tables."""
    with logbook.NullHandler().applicationbound():
        costs = asyncio.run(measure_all())
    header = ["way", "p50 ms", "p99 ms", "CPU ms, all parties"]
    rows = [
        [cost.name, f"{cost.p50_ms:.2f}", f"{cost.p99_ms:.2f}", f"{cost.cpu_ms:.2f}"]
        for cost in costs
    ]
    sys.stdout.write(format_table(header, rows) + "\n\n")
    with logbook.NullHandler().applicationbound():
        fleets = asyncio.run(measure_fleets())
    header = ["idle daemons", "CPU ms/s each", "bytes/s sent each"]
    rows = [
        [str(cost.n_seats), f"{cost.cpu_ms_per_s:.1f}", f"{cost.bytes_per_s:.0f}"]
        for cost in fleets
    ]
    sys.stdout.write(format_table(header, rows) + "\n")


if __name__ == "__main__":
    main()
