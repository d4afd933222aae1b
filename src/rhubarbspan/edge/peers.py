"""Exchanges messages with other instances over long-lived gRPC streams."""

import asyncio
from collections.abc import AsyncIterator

import grpc
import grpc.aio

from ..effects import SendPeerMessage
from ..inputs import PeerMessageReceived
from ..metering import N_PIECES_PER_TURN, StreamMeter
from ..record_checks import without_unusable
from ..verdict import Failure
from ..wire.peer import (
    MAX_MESSAGE_BYTES,
    N_MAX_MESSAGES_PER_FRAME,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
)
from .failures import FailureLog, own_cancellation_only
from .ticker import Ticker

SERVICE = "rhubarbspan.Peer"
METHOD = "Send"
RECONNECT_DELAY_S = 0.5
N_MAX_QUEUED_MESSAGES = 1000
# Frames are closed at this size, which leaves room for one more message of any size
# that is sent.
MAX_JOINED_BYTES = MAX_MESSAGE_BYTES // 4
MAX_SENT_BYTES = MAX_MESSAGE_BYTES // 2
# A connection is probed when nothing was received for the idle time, and closed when
# the probe is not acknowledged within the time-out. Their sum is well below the time
# for which the demand of a silent peer counts.
KEEPALIVE_IDLE_MS = 2000
KEEPALIVE_TIMEOUT_MS = 1500
OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.keepalive_time_ms", KEEPALIVE_IDLE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    # Probes without an acknowledgement would end the connection after a minute.
    ("grpc.http2.ping_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    # A stream sends in one direction only, so that probes often go without data.
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.max_ping_strikes", 0),
    # A new channel must not take over the connection of a silent one.
    ("grpc.use_local_subchannel_pool", 1),
]


class PeerStream:
    """The stream of messages to one instance; messages may be lost."""

    __slots__ = ("address", "_failures", "_queue", "_task")

    def __init__(self, address: str, failures: FailureLog) -> None:
        self.address = address
        self._failures = failures
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(N_MAX_QUEUED_MESSAGES)
        self._task = asyncio.create_task(self._run())

    def send(self, data: bytes) -> bool:
        """Queue a message; return False if the queue is full."""
        try:
            self._queue.put_nowait(data)
        except asyncio.QueueFull:
            return False
        return True

    async def close(self) -> None:
        """End the stream."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                await own_cancellation_only(self._run_channel())
            except Exception:
                self._failures.report_error("stream to an instance")
            self._drop_queued()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_channel(self) -> None:
        async with grpc.aio.insecure_channel(self.address, options=OPTIONS) as channel:
            send = channel.stream_unary(f"/{SERVICE}/{METHOD}")
            while True:
                try:
                    await send(self._frames())
                except grpc.aio.AioRpcError:
                    self._drop_queued()
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def _frames(self) -> AsyncIterator[bytes]:
        """Yield frames, each with the messages queued by then, up to a size."""
        while True:
            messages = [await self._queue.get()]
            n_bytes = len(messages[0])
            while (
                not self._queue.empty()
                and n_bytes < MAX_JOINED_BYTES
                and len(messages) < N_MAX_MESSAGES_PER_FRAME
            ):
                messages.append(self._queue.get_nowait())
                n_bytes += len(messages[-1])
            yield encode_frame(messages)

    def _drop_queued(self) -> None:
        # Messages from before a lost connection are outdated.
        while not self._queue.empty():
            self._queue.get_nowait()


class PeerTransport:
    """Sends messages to other instances and receives theirs."""

    __slots__ = (
        "_ticker",
        "_failures",
        "_server",
        "_streams",
        "_closing",
        "n_bytes_sent",
    )

    def __init__(self, ticker: Ticker) -> None:
        self._ticker = ticker
        self._failures = FailureLog(ticker.world.count, ticker.now_s)
        self._server: grpc.aio.Server | None = None
        self._streams: dict[str, PeerStream] = {}
        # The event loop keeps no reference to its tasks.
        self._closing: set[asyncio.Task[None]] = set()
        self.n_bytes_sent = 0

    async def start(self, address: str) -> Failure | None:
        """Listen for other instances."""
        server = grpc.aio.server(options=OPTIONS)
        handler = grpc.stream_unary_rpc_method_handler(self._receive)
        generic = grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler})
        server.add_generic_rpc_handlers((generic,))
        try:
            server.add_insecure_port(address)
        except RuntimeError as error:
            return Failure("listen", f"cannot listen on {address}: {error}")
        await server.start()
        self._server = server
        return None

    async def stop(self) -> None:
        """Close all streams."""
        for stream in self._streams.values():
            await stream.close()
        await asyncio.gather(*self._closing, return_exceptions=True)
        if self._server is not None:
            await self._server.stop(None)

    def send(self, effect: SendPeerMessage) -> None:
        """Send a message to an instance if its address is known."""
        row = self._ticker.world.peers.get(effect.seat)
        if row is None or not row.peer_address:
            return
        stream = self._streams.get(effect.seat)
        if stream is not None and stream.address != row.peer_address:
            self.close_link(effect.seat)
            stream = None
        if stream is None:
            stream = PeerStream(row.peer_address, self._failures)
            self._streams[effect.seat] = stream
        data = encode_message(effect.message)
        self.n_bytes_sent += len(data)
        world = self._ticker.world
        world.count("peer_messages_sent", type(effect.message).__name__)
        world.count("peer_bytes_sent", "", len(data))
        if len(data) > MAX_SENT_BYTES or not stream.send(data):
            world.count("peer_messages_dropped")

    def close_link(self, seat: str) -> None:
        """Close the stream to an instance; the next message opens a new one."""
        stream = self._streams.pop(seat, None)
        if stream is not None:
            closing = asyncio.get_running_loop().create_task(stream.close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)

    async def _receive(
        self, frames: AsyncIterator[bytes], context: grpc.aio.ServicerContext
    ) -> bytes:
        """Read the messages of one instance, at a bounded pace."""
        sender = context.peer()
        meter = StreamMeter(self._ticker.now_s())
        async for frame in frames:
            messages = decode_frame(frame)
            if isinstance(messages, Failure):
                self._report_malformed(sender, messages)
                await self._pace(sender, meter, len(frame))
                continue
            for position, data in enumerate(messages, 1):
                self._handle_message(sender, data)
                is_turn_over = position % N_PIECES_PER_TURN == 0
                await self._pace(sender, meter, len(data), is_turn_over)
        return b""

    async def _pace(
        self, sender: str, meter: StreamMeter, n_bytes: int, is_turn_over: bool = True
    ) -> None:
        """Wait while a sender is ahead of the pace, or let others run for a turn."""
        meter.record(n_bytes, self._ticker.now_s())
        delay_s = meter.delay_s()
        if delay_s > 0:
            self._ticker.world.count("peer_messages_held_back")
            self._failures.report_pace(f"messages of the instance at {sender}")
        if delay_s > 0 or is_turn_over:
            await asyncio.sleep(delay_s)

    def _report_malformed(self, sender: str, failure: Failure) -> None:
        self._ticker.world.count("peer_messages_malformed")
        self._failures.report_entry(f"message of {sender}", failure.reason)

    def _handle_message(self, sender: str, data: bytes) -> None:
        message = decode_message(data)
        if isinstance(message, Failure):
            self._report_malformed(sender, message)
            return
        self._ticker.inputs.on_next(PeerMessageReceived(without_unusable(message)))
