"""Sends attempts to backend servers over pooled connections and reads the responses."""

import asyncio
import socket
from dataclasses import dataclass, field

import h11
import logbook

from ..effects import AbortAttempt, StartAttempt
from ..inputs import (
    Aborted,
    AttemptEnded,
    Completed,
    ConnectFailed,
    ConnectionLost,
    Misdirected,
    Outcome,
    ServerLeavingReported,
    ServerLoadReported,
    ServerPauseReported,
    Shed,
    TimedOut,
)
from ..metering import (
    N_MAX_HEADER_LINES,
    N_MAX_INTERIM_RESPONSES,
    PieceMeter,
)
from ..platform.headers import (
    MISDIRECTED,
    SERVICE_UNAVAILABLE,
    Headers,
    ResponseFields,
    forwarded_request_headers,
    parse_response_headers,
)
from ..systems.memory_budget import may_read_ahead
from .channel import Channel
from .parsing import TooManyPiecesError, next_event
from .streaming import SUCCESS_STATUSES, send_body, stream_and_receive
from .ticker import Ticker
from .transfer import ServerResponse, Transfer, Transfers

LOG = logbook.Logger("rhubarbspan.upstream")
# A response up to this size is read completely before its first byte is sent to the
# caller, so that a truncated response is detected before any of it is forwarded.
BUFFERED_RESPONSE_BYTES = 1_048_576
# The same while memory is short: the caller sees that a response was truncated by its
# length or framing alone.
TIGHT_RESPONSE_BYTES = 65_536
# Shorter responses are not counted as held: servers run few requests at a time.
UNCOUNTED_RESPONSE_BYTES = 16_384
# Several times the longest round trip between regions.
CONNECT_TIMEOUT_S = 0.45
# Idle connections are closed before the server closes them. A request that is not
# idempotent is sent on a recently used connection only, since the server is less
# likely to close that one while the request is on its way.
MAX_IDLE_S = 8.0
MAX_IDLE_NON_IDEMPOTENT_S = 2.0
KEEPALIVE_MARGIN_S = 1.0
N_MAX_IDLE_PER_SERVER = 16
# Responses to other requests that an attempt skips before it fails, and the bytes that
# it reads of their bodies.
N_MAX_UNSOLICITED_RESPONSES = 2
UNSOLICITED_BODY_BYTES = 1_048_576
# A connection is no longer reused after this many refusals, each of which the server
# might send once more.
N_MAX_REFUSALS_PER_CONNECTION = 16
# The body of a refusal is read up to these bounds, so that the connection can be used
# again.
REFUSAL_BODY_BYTES = 65_536
REFUSAL_BODY_S = 0.05
NOT_RUN_STATUSES = (408, 421, 429, 503)


class BadResponseError(Exception):
    """The bytes aren't a complete, valid response to this request."""


@dataclass(slots=True)
class Connection:
    """A connection to a server.

    Attributes:
        last_used_s: When it was opened or last became idle.
        max_idle_s: How long it may stay idle before it is no longer reused.
        refused_ids: Identifiers of the requests that the server refused on it. A second
            copy of such a refusal cannot be told from a refusal of the same request
            that is sent again, so those requests use another connection.
    """

    channel: Channel
    address: str
    last_used_s: float
    max_idle_s: float = MAX_IDLE_S
    refused_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Exchange:
    """The HTTP exchange of one attempt on a connection.

    Attributes:
        parser: State of the HTTP protocol.
        meter: Pieces that were received.
        is_sent: Whether the server may have received any byte.
        is_server_leaving: Whether the server said so in its response.
        n_unsolicited_responses: Responses to other requests that were skipped.
        n_interim_responses: Interim responses (status 1xx) that were skipped.
    """

    parser: h11.Connection
    request: h11.Request
    meter: PieceMeter
    is_sent: bool = False
    is_server_leaving: bool = False
    n_unsolicited_responses: int = 0
    n_interim_responses: int = 0


@dataclass(slots=True)
class IdleConnections:
    """Idle connections by address, the most recently used last."""

    rows: dict[str, list[Connection]] = field(default_factory=dict)


class Upstream:
    """Sends attempts to backend servers and reports their outcomes."""

    __slots__ = ("_ticker", "_transfers", "_idle", "_loop")

    def __init__(self, ticker: Ticker, transfers: Transfers) -> None:
        self._ticker = ticker
        self._transfers = transfers
        self._idle = IdleConnections()
        self._loop = asyncio.get_running_loop()

    def start(self, effect: StartAttempt) -> None:
        """Start an attempt in the background."""
        transfer = self._transfers.rows.get(effect.request_id)
        if transfer is None:
            self._report(effect, Aborted())
            return
        if transfer.is_body_consumed:
            LOG.error("{}: the body of a request is gone", effect.server_id)
            self._report(effect, Aborted(), True)
            return
        transfer.attempt_id = effect.attempt_id
        transfer.response = None
        transfer.attempt = asyncio.create_task(self._run(transfer, effect))

    def abort(self, effect: AbortAttempt) -> None:
        """Cancel an attempt and close its connection."""
        transfer = self._transfers.rows.get(effect.request_id)
        if transfer is None or transfer.attempt is None:
            return
        if transfer.attempt_id == effect.attempt_id:
            transfer.attempt.cancel()

    async def close(self) -> None:
        """Close all idle connections."""
        for rows in self._idle.rows.values():
            for connection in rows:
                connection.channel.abort()

    def _report(
        self, effect: StartAttempt, outcome: Outcome, is_body_consumed: bool = False
    ) -> None:
        ended = AttemptEnded(
            effect.request_id, effect.attempt_id, outcome, is_body_consumed
        )
        self._ticker.inputs.on_next(ended)

    async def _run(self, transfer: Transfer, effect: StartAttempt) -> None:
        try:
            outcome = await self._attempt(transfer, effect)
        except asyncio.CancelledError:
            outcome = Aborted()
        except Exception:
            # Unexpected errors also need an outcome, so that the request always ends.
            LOG.exception("an attempt failed with an unexpected error")
            outcome = ConnectionLost(transfer.has_response_started)
        self._report(effect, outcome, transfer.is_body_consumed)

    async def _attempt(self, transfer: Transfer, effect: StartAttempt) -> Outcome:
        deadline_s = self._loop.time() + effect.timeout_s
        connection = await self._connect(effect, transfer.caller_request_id, deadline_s)
        if isinstance(connection, ConnectFailed):
            return connection
        is_reusable = False
        try:
            async with asyncio.timeout_at(deadline_s):
                outcome, is_reusable = await self._exchange(
                    transfer, effect, connection, deadline_s
                )
                return outcome
        except TimeoutError:
            return TimedOut(transfer.has_response_started)
        except (ConnectionError, BadResponseError, h11.ProtocolError) as error:
            LOG.debug("{}: {}", effect.server_id, error)
            is_server_up = not connection.channel.is_ended
            return ConnectionLost(transfer.has_response_started, is_server_up)
        finally:
            if is_reusable:
                self._release(connection)
            else:
                connection.channel.abort()

    async def _connect(
        self, effect: StartAttempt, caller_request_id: str, deadline_s: float
    ) -> Connection | ConnectFailed:
        idle = self._pop_idle(effect, caller_request_id)
        if idle is not None:
            return idle
        timeout_s = min(CONNECT_TIMEOUT_S, deadline_s - self._loop.time())
        try:
            async with asyncio.timeout(timeout_s):
                channel = await self._open_channel(effect.address)
        except (OSError, TimeoutError) as error:
            return ConnectFailed(isinstance(error, ConnectionRefusedError))
        self._ticker.world.count("connections_opened")
        return Connection(channel, effect.address, self._loop.time())

    async def _open_channel(self, address: str) -> Channel:
        """Connect to an address, which needs no look-up of a name.

        Raises:
            OSError: If the connection fails.
        """
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            await self._loop.sock_connect(sock, (host, int(port)))
        except BaseException:
            sock.close()
            raise
        _, channel = await self._loop.create_connection(self._make_channel, sock=sock)
        return channel

    def _make_channel(self) -> Channel:
        memory = self._ticker.world.memory
        return Channel(memory, memory.servers)

    def _pop_idle(
        self, effect: StartAttempt, caller_request_id: str
    ) -> Connection | None:
        """Remove and return the most recently used idle connection.

        Connections that have been idle for too long are closed; one that is only too
        old for a request that is not idempotent stays for others. A request without an
        identifier gets a new connection, on which no response can be another's.

        Returns:
            A connection, or None if there is none that may be reused.
        """
        rows = self._idle.rows.get(effect.address, [])
        now_s = self._loop.time()
        while rows and caller_request_id:
            connection = rows[-1]
            idle_s = now_s - connection.last_used_s
            is_usable = idle_s < connection.max_idle_s
            is_too_old = (
                not effect.is_idempotent and idle_s >= MAX_IDLE_NON_IDEMPOTENT_S
            )
            if is_usable and is_too_old:
                # Those before it have been idle for longer.
                _close_outdated(rows, now_s)
                return None
            rows.pop()
            connection.channel.on_change = None
            if (
                is_usable
                and not connection.channel.is_ended
                and caller_request_id not in connection.refused_ids
            ):
                return connection
            connection.channel.abort()
        return None

    def _release(self, connection: Connection) -> None:
        rows = self._idle.rows.setdefault(connection.address, [])
        if connection.channel.has_unread or connection.channel.is_ended:
            connection.channel.abort()
            return
        connection.channel.release()
        connection.last_used_s = self._loop.time()

        def discard(channel: Channel) -> None:
            # An idle connection that receives bytes or its end can't be reused.
            if connection in rows:
                rows.remove(connection)
            channel.on_change = None
            channel.abort()

        connection.channel.on_change = discard
        rows.append(connection)
        if len(rows) > N_MAX_IDLE_PER_SERVER:
            rows[0].channel.abort()

    def _report_announcements(
        self, effect: StartAttempt, head: h11.Response, fields: ResponseFields
    ) -> None:
        """Report what the server says of itself in the head of its response."""
        inputs = self._ticker.inputs
        server_id, incarnation = effect.server_id, effect.incarnation
        if fields.load is not None:
            is_refusal = head.status_code == SERVICE_UNAVAILABLE
            load = ServerLoadReported(
                server_id, *fields.load, fields.slowdown, is_refusal
            )
            inputs.on_next(load)
        if fields.is_leaving:
            inputs.on_next(ServerLeavingReported(server_id, incarnation))
            self._close_idle(effect.address)
        if head.status_code != SERVICE_UNAVAILABLE:
            return
        if fields.retry_after_s < 0:
            self._ticker.world.count("malformed_retry_after")
        elif fields.retry_after_s > 0:
            pause_s = fields.retry_after_s
            inputs.on_next(ServerPauseReported(server_id, incarnation, pause_s))

    def _close_idle(self, address: str) -> None:
        for connection in self._idle.rows.pop(address, []):
            _close(connection)

    async def _exchange(
        self,
        transfer: Transfer,
        effect: StartAttempt,
        connection: Connection,
        deadline_s: float,
    ) -> tuple[Outcome, bool]:
        channel = connection.channel
        exchange = _create_exchange(transfer, effect, deadline_s, self._loop.time())
        parser = exchange.parser
        head = parser.send(exchange.request) or b""
        if transfer.is_body_complete:
            parts = [head]
            if transfer.body:
                parts.append(parser.send(h11.Data(transfer.body)) or b"")
            parts.append(parser.send(h11.EndOfMessage()) or b"")
            channel.write_parts(parts)
            outcome = await self._receive(transfer, effect, connection, exchange)
        else:
            channel.write(head)
            transfer.is_body_consumed = True
            outcome = await stream_and_receive(
                send_body(transfer, channel, parser),
                self._receive(transfer, effect, connection, exchange),
                deadline_s,
            )
        is_reusable = (
            _is_reusable(exchange)
            and not channel.has_unread
            and bool(transfer.caller_request_id)
            and not exchange.is_server_leaving
            and len(connection.refused_ids) < N_MAX_REFUSALS_PER_CONNECTION
        )
        return outcome, is_reusable

    async def _receive(
        self,
        transfer: Transfer,
        effect: StartAttempt,
        connection: Connection,
        exchange: Exchange,
    ) -> Outcome:
        head, headers, fields = await _read_head(transfer, connection.channel, exchange)
        is_misdirected = head.status_code == MISDIRECTED
        if not is_misdirected:
            self._report_announcements(effect, head, fields)
        if fields.keep_alive_s is not None:
            max_idle_s = max(0.0, fields.keep_alive_s - KEEPALIVE_MARGIN_S)
            connection.max_idle_s = min(MAX_IDLE_S, max_idle_s)
        exchange.is_server_leaving = fields.is_leaving
        if fields.is_not_run or is_misdirected:
            # Its head decides the outcome, whatever the body does.
            connection.refused_ids.add(transfer.caller_request_id)
            is_broken = await _skip_refusal_body(connection.channel, exchange)
            return Misdirected() if is_misdirected else Shed(is_broken)
        _check_response(head, fields)
        answer = ServerResponse(head.status_code, headers, b"")
        answer.body = await self._read_body(
            transfer, connection.channel, exchange, answer
        )
        if not transfer.has_response_started:
            transfer.response = answer
        return Completed(head.status_code)

    async def _read_body(
        self,
        transfer: Transfer,
        channel: Channel,
        exchange: Exchange,
        head: ServerResponse,
    ) -> bytes:
        """Return the body, or forward it in chunks if it is long.

        Args:
            transfer: The request.
            channel: The connection to the server.
            exchange: The exchange on it.
            head: The response without its body.
        """
        body = bytearray()
        while True:
            event = await next_event(channel, exchange.parser, exchange.meter)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise BadResponseError("the response is truncated")
            if transfer.has_response_started:
                await transfer.send_chunk(bytes(event.data))
                continue
            body += event.data
            if len(body) <= UNCOUNTED_RESPONSE_BYTES:
                continue
            memory = self._ticker.world.memory
            transfer.hold_response(memory, len(body) - transfer.n_response_bytes)
            n_max_bytes = BUFFERED_RESPONSE_BYTES
            if not may_read_ahead(memory):
                n_max_bytes = TIGHT_RESPONSE_BYTES
            if len(body) > n_max_bytes:
                transfer.has_response_started = True
                response = ServerResponse(head.status, head.headers, bytes(body))
                body.clear()
                await transfer.start_response(response)
                transfer.release_response(memory)


def _close(connection: Connection) -> None:
    """Close an idle connection."""
    connection.channel.on_change = None
    connection.channel.abort()


def _close_outdated(rows: list[Connection], now_s: float) -> None:
    """Close the connections at the front that have been idle for too long."""
    while rows and now_s - rows[0].last_used_s >= rows[0].max_idle_s:
        _close(rows.pop(0))


def _create_exchange(
    transfer: Transfer, effect: StartAttempt, deadline_s: float, now_s: float
) -> Exchange:
    headers = forwarded_request_headers(
        transfer.headers, deadline_s - now_s, effect.server_id, effect.account
    )
    if not transfer.is_body_complete:
        lengths = [v for n, v in transfer.headers if n == b"content-length"]
        if lengths:
            headers.append((b"content-length", lengths[0]))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
    elif transfer.body or transfer.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"content-length", str(len(transfer.body)).encode()))
    request = h11.Request(
        method=transfer.method, target=transfer.target, headers=headers
    )
    return Exchange(h11.Connection(h11.CLIENT), request, PieceMeter(now_s))


async def _read_head(
    transfer: Transfer, channel: Channel, exchange: Exchange
) -> tuple[h11.Response, Headers, ResponseFields]:
    """Return the head of the response to this request; skip responses to others."""
    while True:
        event = await next_event(channel, exchange.parser, exchange.meter)
        if isinstance(event, h11.InformationalResponse):
            exchange.n_interim_responses += 1
            if exchange.n_interim_responses > N_MAX_INTERIM_RESPONSES:
                raise BadResponseError("too many interim responses")
            continue
        if not isinstance(event, h11.Response):
            raise BadResponseError("no response to this request")
        if len(event.headers) > N_MAX_HEADER_LINES:
            raise BadResponseError("too many header lines")
        headers = list(event.headers)
        fields = parse_response_headers(headers)
        if fields.caller_request_id == transfer.caller_request_id:
            return event, headers, fields
        if not fields.caller_request_id:
            # It may be a copy of any earlier response, even of a refusal.
            raise BadResponseError("the response does not say whose it is")
        await _skip_unsolicited_response(channel, exchange)


async def _skip_refusal_body(channel: Channel, exchange: Exchange) -> bool:
    """Read the body of a refusal up to a bound.

    If it does not end within it, the connection cannot be used again.

    Returns:
        Whether it was given up for its length or its pieces, and not for its pace.
    """
    n_bytes = 0
    try:
        async with asyncio.timeout(REFUSAL_BODY_S):
            while n_bytes <= REFUSAL_BODY_BYTES:
                event = await next_event(channel, exchange.parser, exchange.meter)
                if not isinstance(event, h11.Data):
                    return False
                n_bytes += len(event.data)
    except TooManyPiecesError as error:
        LOG.debug("the body of a refusal was given up: {}", error)
        return True
    except (TimeoutError, ConnectionError, h11.RemoteProtocolError) as error:
        LOG.debug("the body of a refusal did not end: {}", error)
        return False
    return True


async def _skip_unsolicited_response(channel: Channel, exchange: Exchange) -> None:
    """Read a response to another request to its end and prepare for the next one."""
    exchange.n_unsolicited_responses += 1
    parser = exchange.parser
    if (
        exchange.n_unsolicited_responses > N_MAX_UNSOLICITED_RESPONSES
        or parser.our_state is h11.SEND_BODY
    ):
        raise BadResponseError("the response belongs to another request")
    n_bytes = 0
    while True:
        event = await next_event(channel, parser, exchange.meter)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            raise BadResponseError("a response to another request is truncated")
        n_bytes += len(event.data)
        if n_bytes > UNSOLICITED_BODY_BYTES:
            raise BadResponseError("a response to another request is too long")
    rest, is_closed = parser.trailing_data
    if is_closed or parser.their_state is not h11.DONE:
        raise BadResponseError("connection ended after a response to another request")
    exchange.parser = h11.Connection(h11.CLIENT)
    host_headers = [(n, v) for n, v in exchange.request.headers if n == b"host"]
    # Advances the state of the new parser only; the request has been sent already, so
    # these bytes are discarded.
    exchange.parser.send(h11.Request(method=b"GET", target=b"/", headers=host_headers))
    exchange.parser.send(h11.EndOfMessage())
    if rest:
        exchange.parser.receive_data(rest)


def _check_response(head: h11.Response, fields: ResponseFields) -> None:
    """Check that a response may be forwarded to the caller.

    Raises:
        BadResponseError: If the body is encoded, or if a success or a status that
            promises that the request did not run is not signed by the server.
    """
    if fields.is_encoded:
        raise BadResponseError("the response body is encoded")
    if head.status_code in SUCCESS_STATUSES and not fields.is_signed:
        raise BadResponseError("an unsigned success status")
    if head.status_code in NOT_RUN_STATUSES and not fields.is_signed:
        raise BadResponseError("an unsigned status that promises no execution")


def _is_reusable(exchange: Exchange) -> bool:
    parser = exchange.parser
    is_complete = parser.our_state is h11.DONE and parser.their_state is h11.DONE
    return is_complete and not parser.trailing_data[0]
