"""A stand-in for a backend server, over HTTP."""

import asyncio
import uuid
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import web

from ..wire.http import SHED_HEADER
from .listening import listen

MAX_BODY_BYTES = 1 << 30


@dataclass(slots=True)
class BackendFaults:
    """Faults that the server shows now.

    Attributes:
        is_misreporting: The health page always reports an idle server that accepts
            requests.
        is_draining: The health page reports that the server accepts no new requests.
        crash_on: A request whose path or body contains these bytes crashes the server.
        error_status: If not 0, respond to each request with this status at once.
        truncate_after: If not negative, abort each response after this many bytes.
    """

    is_misreporting: bool = False
    is_draining: bool = False
    crash_on: bytes = b""
    error_status: int = 0
    truncate_after: int = -1


@dataclass(slots=True)
class BackendStandIn:
    """A server with a number of slots, which counts the requests that it runs.

    Attributes:
        service_s: Service time of each request.
        cold_s: Extra time of each of the next ``n_cold`` requests.
        n_foreign: Slots in use by requests that come from other systems.
        runs: Number of completed runs by idempotency key.
        seen_headers: Lower-case names of all headers received so far.
    """

    n_slots: int = 3
    service_s: float = 0.02
    cold_s: float = 0.0
    n_cold: int = 0
    name: str = ""
    address: str = ""
    generation: str = field(default_factory=lambda: uuid.uuid4().hex)
    faults: BackendFaults = field(default_factory=BackendFaults)
    n_in_flight: int = 0
    n_foreign: int = 0
    n_started: int = 0
    n_shed: int = 0
    n_cancelled: int = 0
    n_crashes: int = 0
    max_in_flight: int = 0
    n_body_bytes: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    seen_headers: set[str] = field(default_factory=set)
    runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to listen; return the IP address and port."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get("/health", self._health)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self.runner, self.address = await listen(application, host, port)
        return self.address

    async def stop(self) -> None:
        """Stop listening and abort the requests that are running."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def _health(self, request: web.Request) -> web.Response:
        n_in_flight = self.n_in_flight + self.n_foreign
        return web.json_response(
            {
                "in_flight": 0 if self.faults.is_misreporting else n_in_flight,
                "accepting": self.faults.is_misreporting or not self.faults.is_draining,
                "generation": self.generation,
            }
        )

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.seen_headers.update(name.lower() for name in request.headers)
        if self.faults.error_status:
            return web.Response(status=self.faults.error_status)
        if self.n_in_flight + self.n_foreign >= self.n_slots:
            self.n_shed += 1
            return web.Response(status=503, headers={SHED_HEADER: "1"})
        self.n_started += 1
        self.n_in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.n_in_flight)
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            self.n_cancelled += 1
            raise
        finally:
            self.n_in_flight -= 1

    async def _run(self, request: web.Request) -> web.StreamResponse:
        n_bytes = 0
        last_bytes = request.path_qs.encode()
        async for chunk in request.content.iter_any():
            n_bytes += len(chunk)
            last_bytes = (last_bytes + chunk)[-4096:]
        self.n_body_bytes += n_bytes
        if self.faults.crash_on and self.faults.crash_on in last_bytes:
            await self._crash()
        if self.n_cold > 0:
            self.n_cold -= 1
            await asyncio.sleep(self.cold_s)
        wait_ms = int(request.query.get("wait_ms", "0"))
        await asyncio.sleep(self.service_s + wait_ms / 1000)
        key = request.headers.get("Idempotency-Key", "")
        if key:
            self.runs[key] += 1
        text = f"{self.name} {request.method} {request.path_qs} {n_bytes}\n"
        if self.faults.truncate_after >= 0:
            return await self._truncate(request, text.encode())
        size = int(request.query.get("size", "0"))
        return web.Response(text=text + "x" * size)

    async def _truncate(self, request: web.Request, body: bytes) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(body) + 1000
        await response.prepare(request)
        await response.write(body[: self.faults.truncate_after])
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _crash(self) -> None:
        """Break all connections as a crashed process does; start a new generation."""
        self.n_crashes += 1
        self.generation = uuid.uuid4().hex
        server = self.runner.server if self.runner else None
        for connection in list(server.connections) if server else []:
            if connection.transport is not None:
                connection.transport.abort()
        raise ConnectionResetError
