"""Sends attempts to backend servers and streams their responses to callers."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from ..bodies import CostlyBodyError, read_pieces, skip_body
from ..client_session import open_session
from ..effects import AbortAttempt, StartAttempt
from ..inputs import (
    Aborted,
    AttemptEnded,
    Completed,
    ConnectFailed,
    ConnectionLost,
    Outcome,
    Shed,
    TimedOut,
)
from ..systems.shifting import link_share_bytes_per_s
from ..verdict import Answered
from ..wire.http import (
    DEADLINE_HEADER,
    MS_PER_S,
    SHED_HEADER,
    forwarded_request_headers,
    forwarded_response_headers,
    verdict_headers,
)
from .exchange import (
    BodyFailedError,
    Exchange,
    Exchanges,
    LinkPacer,
    stream_body,
)
from .ticker import Ticker

BUFFERED_RESPONSE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
SHED_STATUS = 503


class BackendClient:
    """Sends attempts over pooled connections and reports their outcomes."""

    __slots__ = ("_ticker", "_exchanges", "_session", "_pacers")

    def __init__(
        self, ticker: Ticker, exchanges: Exchanges, n_connections_per_server: int
    ) -> None:
        self._ticker = ticker
        self._exchanges = exchanges
        self._pacers: dict[tuple[str, str], LinkPacer] = {}
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=n_connections_per_server,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._session = open_session(connector, auto_decompress=False)
        # Only the systems decide about retries; by default, aiohttp retries requests
        # of some methods by itself.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def start(self, effect: StartAttempt) -> None:
        """Start an attempt in the background."""
        exchange = self._exchanges.rows.get(effect.request_id)
        if exchange is None:
            self._report(effect, Aborted())
            return
        exchange.attempt_id = effect.attempt_id
        exchange.attempt = asyncio.create_task(self._run(exchange, effect))

    def abort(self, effect: AbortAttempt) -> None:
        """Cancel an attempt and close its connection."""
        exchange = self._exchanges.rows.get(effect.request_id)
        if exchange is None or exchange.attempt is None:
            return
        if exchange.attempt_id == effect.attempt_id:
            exchange.attempt.cancel()

    def _report(
        self, effect: StartAttempt, outcome: Outcome, is_body_consumed: bool = False
    ) -> None:
        ended = AttemptEnded(
            effect.request_id, effect.attempt_id, outcome, is_body_consumed
        )
        self._ticker.inputs.on_next(ended)

    async def _run(self, exchange: Exchange, effect: StartAttempt) -> None:
        try:
            outcome = await self._attempt(exchange, effect)
        except asyncio.CancelledError:
            outcome = Aborted()
        self._report(effect, outcome, exchange.is_body_consumed)

    async def _attempt(self, exchange: Exchange, effect: StartAttempt) -> Outcome:
        try:
            async with asyncio.timeout(effect.timeout_s):
                return await self._exchange_bytes(exchange, effect)
        except aiohttp.ClientConnectorError:
            return ConnectFailed()
        except aiohttp.ConnectionTimeoutError:
            return ConnectFailed()
        except TimeoutError:
            return TimedOut(exchange.response is not None)
        except (
            aiohttp.ClientError,
            BodyFailedError,
            CostlyBodyError,
            OSError,
            ValueError,
        ):
            if exchange.body_failure is not None:
                # The server is not at fault.
                return Aborted()
            return ConnectionLost(exchange.response is not None)

    async def _exchange_bytes(
        self, exchange: Exchange, effect: StartAttempt
    ) -> Outcome:
        request = exchange.request
        headers = CIMultiDict(forwarded_request_headers(request.headers.items()))
        headers[DEADLINE_HEADER] = str(int(effect.timeout_s * MS_PER_S))
        pacer_out = self._link_pacer(effect.link, "out")
        body = await self._body(exchange, pacer_out)
        async with self._session.request(
            request.method,
            f"http://{effect.address}{request.raw_path}",
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        ) as server_response:
            if (
                server_response.status == SHED_STATUS
                and SHED_HEADER in server_response.headers
            ):
                return Shed(is_broken=await skip_body(server_response))
            return await self._forward_response(exchange, server_response, effect)

    async def _body(
        self, exchange: Exchange, pacer: LinkPacer | None
    ) -> bytes | AsyncIterator[bytes] | None:
        if exchange.body is None:
            limits = self._ticker.world.configuration.caller_limits
            return stream_body(exchange, pacer, limits.n_body_bytes)
        if pacer is not None:
            await pacer.wait_for(len(exchange.body))
        return exchange.body or None

    def _link_pacer(self, link: str, direction: str) -> LinkPacer | None:
        if not link:
            return None
        share = link_share_bytes_per_s(self._ticker.world, link)
        pacer = self._pacers.setdefault((link, direction), LinkPacer(share))
        pacer.bytes_per_s = max(1.0, share)
        return pacer

    async def _forward_response(
        self,
        exchange: Exchange,
        server_response: aiohttp.ClientResponse,
        effect: StartAttempt,
    ) -> Outcome:
        """Forward the response: completely if it is short, otherwise as a stream."""
        pacer = self._link_pacer(effect.link, "in")
        content = server_response.content
        buffered = bytearray()
        pieces = read_pieces(content)
        async for piece in pieces:
            buffered += piece
            if len(buffered) >= BUFFERED_RESPONSE_BYTES:
                break
        is_complete = content.at_eof()
        response = web.StreamResponse(
            status=server_response.status,
            headers=verdict_headers(Answered(server_response.status)),
        )
        for name, value in forwarded_response_headers(server_response.headers.items()):
            response.headers.add(name, value)
        if is_complete:
            response.content_length = len(buffered)
        elif server_response.content_length is not None:
            response.content_length = server_response.content_length
        if pacer is not None:
            await pacer.wait_for(len(buffered))
        exchange.response = response
        await _write_to_caller(exchange, response, bytes(buffered))
        async for piece in pieces:
            if pacer is not None:
                await pacer.wait_for(len(piece))
            await _write_to_caller(exchange, response, piece)
        if not exchange.is_caller_disconnected:
            await response.write_eof()
        return Completed(server_response.status)


async def _write_to_caller(
    exchange: Exchange, response: web.StreamResponse, chunk: bytes
) -> None:
    """Write to the caller; if it has disconnected, the response is still read."""
    if exchange.is_caller_disconnected:
        return
    try:
        if not response.prepared:
            await response.prepare(exchange.request)
        if chunk:
            await response.write(chunk)
    except (ConnectionError, RuntimeError):
        exchange.is_caller_disconnected = True
