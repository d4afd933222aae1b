"""Sends attempts to backend servers and streams their answers to callers."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

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
    answer_headers,
    forward_headers,
    verdict_headers,
)
from .exchange import CallerLostError, Exchange, Exchanges, LinkPace, stream_body
from .ticker import Ticker

BUFFER_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
SHED_STATUS = 503


class BackendClient:
    """Carries out attempts over pooled connections."""

    __slots__ = ("_ticker", "_exchanges", "_session", "_paces")

    def __init__(
        self, ticker: Ticker, exchanges: Exchanges, n_connections_per_server: int
    ) -> None:
        self._ticker = ticker
        self._exchanges = exchanges
        self._paces: dict[tuple[str, str], LinkPace] = {}
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=n_connections_per_server,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        # Whether a request may be sent again is decided by the systems only; the
        # library would otherwise repeat some methods by itself.
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
        """Cancel an attempt; its connection is closed, not used again."""
        exchange = self._exchanges.rows.get(effect.request_id)
        if exchange is None or exchange.attempt is None:
            return
        if exchange.attempt_id == effect.attempt_id:
            exchange.attempt.cancel()

    def _report(self, effect: StartAttempt, outcome: Outcome) -> None:
        ended = AttemptEnded(effect.request_id, effect.attempt_id, outcome)
        self._ticker.inputs.on_next(ended)

    async def _run(self, exchange: Exchange, effect: StartAttempt) -> None:
        try:
            outcome = await self._attempt(exchange, effect)
        except asyncio.CancelledError:
            outcome = Aborted()
        self._report(effect, outcome)

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
        except (aiohttp.ClientError, CallerLostError, OSError, ValueError):
            is_spent = exchange.body is None and exchange.is_body_begun
            return ConnectionLost(exchange.response is not None, is_spent)

    async def _exchange_bytes(
        self, exchange: Exchange, effect: StartAttempt
    ) -> Outcome:
        request = exchange.request
        headers = CIMultiDict(forward_headers(request.headers.items()))
        headers[DEADLINE_HEADER] = str(int(effect.timeout_s * MS_PER_S))
        pace_out = self._pace(effect.link, "out")
        body = await self._body(exchange, pace_out)
        async with self._session.request(
            request.method,
            f"http://{effect.address}{request.raw_path}",
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        ) as answer:
            if answer.status == SHED_STATUS and SHED_HEADER in answer.headers:
                is_spent = exchange.body is None and exchange.is_body_begun
                await answer.read()
                return ConnectionLost(False, True) if is_spent else Shed()
            return await self._pass_on(exchange, answer, effect)

    async def _body(
        self, exchange: Exchange, pace: LinkPace | None
    ) -> bytes | AsyncIterator[bytes] | None:
        if exchange.body is None:
            return stream_body(exchange, pace)
        if pace is not None:
            await pace.wait_for(len(exchange.body))
        return exchange.body or None

    def _pace(self, link: str, direction: str) -> LinkPace | None:
        if not link:
            return None
        share = link_share_bytes_per_s(self._ticker.world, link)
        pace = self._paces.setdefault((link, direction), LinkPace(share))
        pace.bytes_per_s = max(1.0, share)
        return pace

    async def _pass_on(
        self, exchange: Exchange, answer: aiohttp.ClientResponse, effect: StartAttempt
    ) -> Outcome:
        """Pass the answer on: whole if it is short, as a stream otherwise."""
        pace = self._pace(effect.link, "in")
        content = answer.content
        head = bytearray()
        while len(head) < BUFFER_BYTES:
            chunk = await content.readany()
            if not chunk:
                break
            head += chunk
        is_whole = content.at_eof()
        response = web.StreamResponse(
            status=answer.status, headers=verdict_headers(Answered(answer.status))
        )
        for name, value in answer_headers(answer.headers.items()):
            response.headers.add(name, value)
        if is_whole:
            response.content_length = len(head)
        elif answer.content_length is not None:
            response.content_length = answer.content_length
        if pace is not None:
            await pace.wait_for(len(head))
        exchange.response = response
        await _to_caller(exchange, response, bytes(head))
        while not is_whole:
            chunk = await content.readany()
            if not chunk:
                break
            if pace is not None:
                await pace.wait_for(len(chunk))
            await _to_caller(exchange, response, chunk)
        if not exchange.is_caller_gone:
            await response.write_eof()
        return Completed(answer.status)


async def _to_caller(
    exchange: Exchange, response: web.StreamResponse, chunk: bytes
) -> None:
    """Write to the caller; if it is gone, the backend server's work goes on."""
    if exchange.is_caller_gone:
        return
    try:
        if not response.prepared:
            await response.prepare(exchange.request)
        if chunk:
            await response.write(chunk)
    except (ConnectionError, RuntimeError):
        exchange.is_caller_gone = True
