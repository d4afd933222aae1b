"""Tests of responses without end to the calls that an instance or a command makes."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import logbook
import pytest

from platform_site import PlatformSite
from rhubarbspan import fleet_client
from rhubarbspan.edge.store import HttpStore
from rhubarbspan.fleet_client import Target
from rhubarbspan.metering import N_FREE_PIECES, PieceMeter, StreamMeter
from rhubarbspan.platform.store import PlatformStore
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.peer import MAX_MESSAGE_BYTES

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * 65_536
TINY_CHUNKS = b"4\r\nabcd\r\n" * 4096
ENDLESS = {
    "body": (HEAD + b'\r\n{"items":[', FILLER),
    "chunks": (CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
    "tiny chunks": (CHUNKED, TINY_CHUNKS),
    "head": (HEAD + b"X-Filler: ", FILLER),
    "refusal": (b"HTTP/1.1 503 Busy\r\n\r\n", FILLER),
}
# What an HTTP library skips by itself.
SKIPPED = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "chunk extension": (CHUNKED + b"4;", FILLER),
}
MAX_BODY_BYTES = 2_000_000
# What the buffers of sockets and transports may hold besides.
BUFFERED_BYTES = 12_000_000
TIMEOUT_S = 8.0


@dataclass(slots=True)
class EndlessServer:
    """Answers each request with bytes that end only when the connection does.

    Attributes:
        start: The bytes that it sends first.
        repeated: The bytes that it sends over and over.
        most_bytes: The most that it has sent on one connection.
    """

    loop: asyncio.AbstractEventLoop
    start: bytes = b""
    repeated: bytes = b""
    most_bytes: int = 0
    address: str = ""
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def listen(self, port: int = 0) -> None:
        """Start to listen on loopback."""
        work = asyncio.start_server(self._serve, "127.0.0.1", port)
        self.server = self.loop.run_until_complete(work)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening, and end all responses."""
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()
        ended = asyncio.gather(*self.tasks, return_exceptions=True)
        self.loop.run_until_complete(ended)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        n_bytes = 0
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                n_bytes += len(self.repeated)
                self.most_bytes = max(self.most_bytes, n_bytes)
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_range(address: str) -> object:
    """Read a list of the platform's store."""
    store = PlatformStore(address, MAX_BODY_BYTES)
    try:
        return await store.read_range("servers/")
    finally:
        await store.close()


async def watch(address: str) -> object:
    """Watch the platform's store."""
    store = PlatformStore(address, MAX_BODY_BYTES)
    try:
        return await store.watch("servers/", 7, 1.6)
    finally:
        await store.close()


async def open_lease(address: str) -> object:
    """Open a lease in the platform's store."""
    store = PlatformStore(address, MAX_BODY_BYTES)
    try:
        return await store.open_lease(3.0)
    finally:
        await store.close()


async def read_key(address: str) -> object:
    """Read the store of the own interface."""
    store = HttpStore(address)
    try:
        return await store.read("rhubarbspan/head")
    finally:
        await store.close()


async def list_processes(address: str) -> object:
    """Read the list of processes of the own interface."""
    store = HttpStore(address)
    try:
        return await store.list_processes("shop")
    finally:
        await store.close()


async def fetch_status(address: str) -> object:
    """Ask an instance for its status, as the commands do."""
    status = await fleet_client.fetch_status([Target("x-1", "x", address)])
    return None if status.instances else Failure("none", "no status")


@pytest.fixture
def endless() -> Iterator[EndlessServer]:
    """Return a server whose responses have no end."""
    loop = asyncio.new_event_loop()
    server = EndlessServer(loop)
    server.listen()
    yield server
    server.close()
    loop.close()


# A machine kept all bytes, ran out of memory, and took other callers' requests along.
@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("call", [read_range, watch, open_lease])
def test_endless_response_of_the_platforms_store_is_given_up(
    endless: EndlessServer, kind: str, call: Callable[[str], Awaitable[object]]
) -> None:
    endless.start, endless.repeated = ENDLESS[kind]
    result = endless.loop.run_until_complete(call(endless.address))
    assert isinstance(result, Failure)
    assert endless.most_bytes < MAX_BODY_BYTES + BUFFERED_BYTES


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("call", [read_key, list_processes, fetch_status])
def test_endless_response_to_the_own_interface_is_given_up(
    endless: EndlessServer,
    monkeypatch: pytest.MonkeyPatch,
    kind: str,
    call: Callable[[str], Awaitable[object]],
) -> None:
    # The bound on a body is the default of the reading.
    monkeypatch.setattr("rhubarbspan.bodies.read_body.__defaults__", (MAX_BODY_BYTES,))
    endless.start, endless.repeated = ENDLESS[kind]
    result = endless.loop.run_until_complete(call(endless.address))
    assert isinstance(result, Failure)
    assert endless.most_bytes < MAX_BODY_BYTES + BUFFERED_BYTES


# The library read them until the deadline of the call, with the whole processor.
@pytest.mark.parametrize("kind", SKIPPED)
@pytest.mark.parametrize("call", [read_range, watch, read_key, list_processes])
def test_endless_response_that_a_library_skips_is_given_up(
    endless: EndlessServer, kind: str, call: Callable[[str], Awaitable[object]]
) -> None:
    endless.start, endless.repeated = SKIPPED[kind]
    result = endless.loop.run_until_complete(call(endless.address))
    assert isinstance(result, Failure)
    assert result.reason.endswith("ClientPayloadError")
    assert endless.most_bytes < MAX_BODY_BYTES + BUFFERED_BYTES


def test_store_is_heard_again_after_endless_responses(deployed: PlatformSite) -> None:
    site = deployed
    port = int(site.store.address.rpartition(":")[2])
    server = EndlessServer(site.loop, *ENDLESS["chunks"])
    log = logbook.TestHandler()
    with log.applicationbound():
        site.run(site.store.stop())
        server.listen(port)
        site.run(asyncio.sleep(4.0))
        server.close()
        texts = [row.message for row in log.records if "servers/" in row.message]
        assert 1 <= len(texts) <= 2, texts
        assert any("body longer than" in row.message for row in log.records)
    site.run(site.store.start(port))
    leaving = site.servers[0]
    site.deployment.drain(leaving)
    (instance,) = site.instances
    site.wait_for(
        lambda: instance.world.servers.get(leaving.server_id).is_leaving,
        "the draining server is heard of",
    )


@pytest.mark.parametrize("n_bytes", [1, 16, 80, 1024])
def test_pieces_at_a_human_pace_are_never_held_back(n_bytes: int) -> None:
    meter = PieceMeter(0.0)
    for number in range(100_000):
        meter.record(n_bytes)
        now_s = number / 100
        assert meter.delay_s(now_s) == 0.0
        assert not meter.is_excessive(now_s)


def test_small_pieces_are_slowed_down_and_tiny_ones_given_up() -> None:
    small, tiny = PieceMeter(0.0), PieceMeter(0.0)
    for _ in range(2 * N_FREE_PIECES):
        small.record(80)
        tiny.record(4)
    assert small.delay_s(0.0) > 1.0
    assert not small.is_excessive(0.0)
    assert tiny.is_excessive(0.0)


def test_large_pieces_are_not_slowed_down() -> None:
    meter = PieceMeter(0.0)
    for _ in range(100 * N_FREE_PIECES):
        meter.record(1024)
    assert meter.delay_s(0.0) == 0.0


def test_two_of_the_largest_messages_of_an_instance_do_not_delay_the_next() -> None:
    meter = StreamMeter(0.0)
    for _ in range(2):
        meter.record(MAX_MESSAGE_BYTES, 0.0)
    meter.record(100, 0.0)
    assert meter.delay_s() == 0.0


def test_stream_that_was_ahead_is_read_at_once_after_a_pause() -> None:
    meter = StreamMeter(0.0)
    for _ in range(3 * N_FREE_PIECES):
        meter.record(1, 0.0)
    assert 1.0 < meter.delay_s() < 5.0
    meter.record(1, 10.0)
    assert meter.delay_s() == 0.0
