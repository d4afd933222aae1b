"""The HTTP server for callers: look-ups, requests, status and metrics."""

import asyncio
from dataclasses import dataclass

import logbook
import msgspec
import xxhash
from aiohttp import web

from ..bodies import (
    LINGERING_BYTES,
    LINGERING_CLOSE_S,
    CostlyBodyError,
    MalformedBodyError,
    read_pieces,
)
from ..configuration import find_data_centre
from ..effects import FinishRequest
from ..inputs import CallerDisconnected, RequestArrived
from ..report.burn import summarise_history
from ..report.metrics import render_metrics
from ..report.status import describe_status
from ..systems.memory_budget import RETRY_S, reserve_body
from ..systems.ticketing import issue_tickets
from ..tables.answers import TargetRow
from ..tables.memory import Held, HoldingRow, Phase
from ..verdict import Answered, MayHaveRun, NotRun, Reason
from ..wire.http import (
    IDEMPOTENCY_HEADER,
    MAX_IDEMPOTENCY_KEY_LENGTH,
    read_key_hash,
    read_timeout_s,
    verdict_headers,
    verdict_status,
)
from .acceptor import RECEIVED_BYTES, Acceptor
from .exchange import Exchange, Exchanges
from .ticker import Ticker

LOG = logbook.Logger("rhubarbspan.server")
MAX_BUFFERED_BODY_BYTES = 65_536
# The library stops reading a connection at twice this much.
READ_BUFFER_BYTES = 16_384
# What it may hold of a body that is streamed.
STREAMED_BYTES = 2 * READ_BUFFER_BYTES + RECEIVED_BYTES
BODY_TIMEOUT_S = 10.0
MAX_FIELD_BYTES = 16_384
MAX_TICKETS = 20
KEEPALIVE_TIMEOUT_S = 60.0
# The library does not tell when a connection that it closes has sent all its bytes.
UNSENT_POLL_S = 0.02


@dataclass(slots=True)
class LookupBody:
    """The JSON body of an answer to a look-up.

    Attributes:
        targets: Instances to use, preferred ones first, with their weights.
        lifetime_s: How long the caller may cache the answer.
        tickets: Idempotency keys that are valid at ``ticket_address`` only.
    """

    pool: str
    region: str
    lifetime_s: float
    targets: list[TargetRow]
    tickets: list[str]
    ticket_address: str


@dataclass(slots=True)
class ReceivedRequest:
    """A request whose head was read, and its body if short.

    Attributes:
        body: The complete body if it is short, otherwise None.
    """

    arrived: RequestArrived
    body: bytes | None


class CallerServer:
    """Serves callers' look-ups and requests, status, history, health and metrics."""

    __slots__ = ("_ticker", "_exchanges", "_runner", "_acceptor")

    def __init__(self, ticker: Ticker, exchanges: Exchanges) -> None:
        self._ticker = ticker
        self._exchanges = exchanges
        self._runner: web.AppRunner | None = None
        self._acceptor = Acceptor(ticker)

    async def start(self, host: str, port: int) -> None:
        """Listen for callers."""
        application = web.Application(middlewares=[self._acceptor.note_request])
        application.router.add_get("/-/lookup", self._look_up)
        application.router.add_get("/-/status", self._status)
        application.router.add_get("/-/history", self._history)
        application.router.add_get("/-/health", self._health)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_route("*", "/{path:.*}", self._proxy)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_field_size=MAX_FIELD_BYTES,
            # The rest of a body is read by the handlers, up to a bound.
            lingering_time=0.0,
            shutdown_timeout=KEEPALIVE_TIMEOUT_S,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        await self._runner.setup()
        assert self._runner.server is not None
        self._acceptor.start(self._runner.server, host, port)

    async def stop(self) -> None:
        """Stop listening and wait until the responses in progress are sent.

        A request whose body is still arriving is waited for as long as the grace period
        allows.
        """
        if self._runner is None or self._runner.server is None:
            return
        await self._acceptor.stop()
        connections = self._runner.server.connections
        transports = [row.transport for row in connections if row.transport is not None]
        timeout_s = KEEPALIVE_TIMEOUT_S
        departure = self._ticker.world.departure
        if departure is not None:
            timeout_s = max(0.0, departure.finish_until_s - self._ticker.now_s())
        try:
            async with asyncio.timeout(timeout_s):
                await self._runner.cleanup()
                while any(row.get_write_buffer_size() for row in transports):
                    await asyncio.sleep(UNSENT_POLL_S)
        except TimeoutError:
            self._ticker.world.count("connections_cut")
            LOG.warning("connections cut at the stop: their requests did not end")

    async def _look_up(self, request: web.Request) -> web.Response:
        world = self._ticker.world
        route = world.configuration.routes.get(request.query.get("route", ""))
        if route is None:
            return _error(404, "unknown route")
        block = request.query.get("block", request.remote or "")
        data_centre = find_data_centre(world.configuration, block)
        if data_centre is None and "block" in request.query:
            return _error(400, "the block is no IP network, or in no data centre")
        region = world.identity.region
        if data_centre is not None:
            region = world.configuration.region_of(data_centre)
        answer = world.answers.answers.get((route.pool, region))
        if answer is None or not answer.targets:
            return _error(503, "no instance is known")
        requested = request.query.get("tickets", "0")
        if not requested.isdigit() or int(requested) > MAX_TICKETS:
            return _error(400, f"tickets: 0 to {MAX_TICKETS}")
        tickets = issue_tickets(world, int(requested)) if requested != "0" else []
        world.count("lookups")
        body = LookupBody(
            answer.pool,
            answer.region,
            answer.lifetime_s,
            answer.targets,
            tickets,
            world.identity.address,
        )
        headers = {"Cache-Control": f"max-age={int(answer.lifetime_s)}"}
        return _json(body, headers)

    async def _status(self, request: web.Request) -> web.Response:
        return _json(describe_status(self._ticker.world, self._ticker.now_s()))

    async def _history(self, request: web.Request) -> web.Response:
        return _json(summarise_history(self._ticker.world, self._ticker.now_s()))

    async def _health(self, request: web.Request) -> web.Response:
        world = self._ticker.world
        is_ready = world.configuration.revision > 0
        is_leaving = world.departure is not None
        text = "leaving" if is_leaving else "ready" if is_ready else "starting"
        return web.Response(status=200 if text == "ready" else 503, text=text)

    async def _metrics(self, request: web.Request) -> web.Response:
        body = render_metrics(
            self._ticker.world, self._ticker.n_ticks, self._ticker.now_s()
        )
        return web.Response(body=body, content_type="text/plain", charset="utf-8")

    async def _proxy(self, request: web.Request) -> web.StreamResponse:
        """Serve a request, if there is room for its body."""
        memory = self._ticker.world.memory
        row = HoldingRow(request.remote or "", self._ticker.now_s())
        length = request.content_length
        n_bytes = STREAMED_BYTES if length is None else min(length, STREAMED_BYTES)
        if not request.can_read_body:
            n_bytes = 0
        transport = request.transport
        try:
            if n_bytes and not reserve_body(memory, row, n_bytes, is_new=True):
                return await self._refuse(request)
            self._acceptor.enter(transport, Phase.RUNNING)
            return await self._serve(request)
        finally:
            memory.hold(row, Held.BODY, -row.n_bytes[Held.BODY])
            self._acceptor.enter(transport, Phase.IDLE)

    async def _refuse(self, request: web.Request) -> web.StreamResponse:
        """Refuse a request because there is no room for its body."""
        world = self._ticker.world
        world.count("not_run", Reason.MEMORY_SHORT.value)
        retry_after_s = RETRY_S * (0.5 + world.rng.random())
        refused = FinishRequest(0, NotRun(Reason.MEMORY_SHORT), retry_after_s)
        return await _send_early(request, _refusal(refused))

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self._exchanges.n_requests += 1
        request_id = self._exchanges.n_requests
        received = await self._receive(request, request_id)
        if isinstance(received, NotRun):
            self._ticker.world.count("not_run", received.reason.value)
            refusal = _refusal(FinishRequest(request_id, received))
            return await _send_early(request, refusal)
        decision_made = asyncio.get_running_loop().create_future()
        exchange = Exchange(request_id, request, received.body, decision_made)
        self._exchanges.rows[request_id] = exchange
        try:
            self._ticker.inputs.on_next(received.arrived)
            decision = await exchange.decision_made
        except asyncio.CancelledError:
            exchange.is_caller_disconnected = True
            self._ticker.inputs.on_next(CallerDisconnected(request_id))
            raise
        response = _complete_response(exchange, decision)
        return await _send_early(request, response)

    async def _receive(
        self, request: web.Request, request_id: int
    ) -> ReceivedRequest | NotRun:
        """Read the head of a request, and the body if it is short."""
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        timeout_s = read_timeout_s(request.headers)
        if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or timeout_s is None:
            return NotRun(Reason.BAD_REQUEST)
        length = request.content_length
        if not request.can_read_body:
            length = 0
        limits = self._ticker.world.configuration.caller_limits
        if length is not None and length > limits.n_body_bytes:
            return NotRun(Reason.BODY_TOO_LARGE)
        body: bytes | None = None
        if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
            try:
                async with asyncio.timeout(BODY_TIMEOUT_S):
                    body = await request.read()
            except (TimeoutError, ConnectionError, web.HTTPException):
                return NotRun(Reason.BAD_REQUEST)
        head = f"{request.method} {request.raw_path} {length}\n".encode()
        arrived = RequestArrived(
            request_id,
            request.path,
            read_key_hash(request.headers),
            key,
            xxhash.xxh64_hexdigest(head + (body or b"")),
            body is not None,
            -1 if length is None else length,
            timeout_s,
        )
        return ReceivedRequest(arrived, body)

    def finish_request(self, effect: FinishRequest) -> None:
        """Hand the final decision on a request to its exchange."""
        exchange = self._exchanges.rows.pop(effect.request_id, None)
        if exchange is not None and not exchange.decision_made.done():
            exchange.decision_made.set_result(effect)


def _complete_response(
    exchange: Exchange, decision: FinishRequest
) -> web.StreamResponse:
    response = exchange.response
    match decision.verdict:
        case Answered() if response is not None:
            return response
        case _:
            pass
    if response is None or not response.prepared:
        if exchange.body_failure is not None:
            failed = MayHaveRun(exchange.body_failure)
            decision = FinishRequest(decision.request_id, failed)
        return _refusal(decision)
    # The response is incomplete: abort, so that the caller notices it.
    transport = exchange.request.transport
    if transport is not None:
        transport.abort()
    return response


async def _send_early(
    request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    """Send a response; if the request's body goes on, read some of it and close."""
    if request.content.is_eof() or request.transport is None:
        return response
    response.force_close()
    await response.prepare(request)
    await response.write_eof()
    n_bytes = 0
    try:
        async with asyncio.timeout(LINGERING_CLOSE_S):
            async for piece in read_pieces(request.content):
                n_bytes += len(piece)
                if n_bytes > LINGERING_BYTES:
                    break
    except (
        TimeoutError,
        ConnectionError,
        web.HTTPException,
        CostlyBodyError,
        MalformedBodyError,
    ) as error:
        LOG.debug("the rest of a body was not read: {}", type(error).__name__)
    return response


def _refusal(decision: FinishRequest) -> web.Response:
    verdict = decision.verdict
    if isinstance(verdict, Answered):
        verdict = MayHaveRun(Reason.CONNECTION_LOST)
    headers = verdict_headers(verdict)
    if decision.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, round(decision.retry_after_s)))
    return web.Response(
        status=verdict_status(verdict),
        headers=headers,
        text=f"{verdict.reason.value}\n",
    )


def _json(value: object, headers: dict[str, str] | None = None) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        content_type="application/json",
        headers=headers,
    )


def _error(status: int, text: str) -> web.Response:
    return web.json_response({"error": text}, status=status)
