"""Tests of the streams between instances on loopback sockets that go silent."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from rhubarbspan.clock import read_clock_s
from rhubarbspan.edge.peers import (
    KEEPALIVE_IDLE_MS,
    KEEPALIVE_TIMEOUT_MS,
    RECONNECT_DELAY_S,
    PeerTransport,
)
from rhubarbspan.edge.ticker import Ticker
from rhubarbspan.effects import SendPeerMessage
from rhubarbspan.inputs import PeerMessageReceived
from rhubarbspan.peer_messages import ConfigurationRequest
from rhubarbspan.policies import Policies
from rhubarbspan.standins.deployment import free_address
from rhubarbspan.systems.confirmations import DEMAND_RETENTION_S
from rhubarbspan.tables.peers import PeerRow
from rhubarbspan.world import Identity, create_world

pytestmark = pytest.mark.xdist_group("edge")

POLL_S = 0.05
MS_PER_S = 1000.0


@dataclass(slots=True)
class Relay:
    """Passes on connections until it swallows, without a reset, what comes on them."""

    target: str
    n_connections: int = 0
    silenced: set[int] = field(default_factory=set)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on one connection in both directions."""
        self.n_connections += 1
        number = self.n_connections
        host, _, port = self.target.rpartition(":")
        onward_reader, onward_writer = await asyncio.open_connection(host, int(port))
        self.writers += [writer, onward_writer]
        await asyncio.gather(
            self._pass_on(number, reader, onward_writer),
            self._pass_on(number, onward_reader, writer),
            return_exceptions=True,
        )

    async def _pass_on(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            if number not in self.silenced:
                writer.write(data)
        if number not in self.silenced:
            writer.close()

    async def close(self) -> None:
        """End all connections."""
        for writer in self.writers:
            writer.close()
        closing = [writer.wait_closed() for writer in self.writers]
        await asyncio.gather(*closing, return_exceptions=True)

    def go_silent(self) -> None:
        """Swallow what comes on the connections that are open now."""
        self.silenced.update(range(1, self.n_connections + 1))


@dataclass(slots=True)
class Link:
    """Two transports with a relay between them, and the messages that arrived."""

    sender: PeerTransport
    relay: Relay
    received: list[int]
    n_sent: int = 0

    async def wait_for_delivery(self, within_s: float) -> bool:
        """Send messages until one of them arrives, or for a time."""
        first = self.n_sent + 1
        for _ in range(round(within_s / POLL_S)):
            self.n_sent += 1
            message = ConfigurationRequest("a", 1, self.n_sent)
            self.sender.send(SendPeerMessage("b", message))
            await asyncio.sleep(POLL_S)
            if any(number >= first for number in self.received):
                return True
        return False


def _make_transport(seat: str) -> tuple[PeerTransport, Ticker]:
    identity = Identity(seat, "x", "r", 1, "", "")
    ticker = Ticker(create_world(identity, 0.0, Policies(), 1), read_clock_s)
    return PeerTransport(ticker), ticker


async def _with_link(use: Callable[[Link], Awaitable[None]]) -> None:
    sender, ticker = _make_transport("a")
    receiver, receiving = _make_transport("b")
    received: list[int] = []

    def keep(item: object) -> None:
        match item:
            case PeerMessageReceived(ConfigurationRequest(revision=number)):
                received.append(number)

    receiving.inputs.subscribe(on_next=keep)
    address, relayed = free_address(), free_address()
    assert await receiver.start(address) is None
    relay = Relay(address)
    host, _, port = relayed.rpartition(":")
    server = await asyncio.start_server(relay.handle, host, int(port))
    ticker.world.peers.add(PeerRow("b", "x", "r", peer_address=relayed))
    try:
        await use(Link(sender, relay, received))
    finally:
        await sender.stop()
        await receiver.stop()
        server.close()
        await relay.close()


def test_link_that_is_reopened_delivers_again_at_once() -> None:
    async def use(link: Link) -> None:
        assert await link.wait_for_delivery(5.0)
        link.relay.go_silent()
        assert not await link.wait_for_delivery(0.5)
        link.sender.close_link("b")
        assert await link.wait_for_delivery(1.0)
        assert link.relay.n_connections == 2

    asyncio.run(_with_link(use))


def test_probes_replace_a_silent_link_that_nobody_reopens() -> None:
    noticed_s = (KEEPALIVE_IDLE_MS + KEEPALIVE_TIMEOUT_MS) / MS_PER_S
    within_s = noticed_s + RECONNECT_DELAY_S + 1.0
    assert within_s < DEMAND_RETENTION_S

    async def use(link: Link) -> None:
        assert await link.wait_for_delivery(5.0)
        link.relay.go_silent()
        assert await link.wait_for_delivery(within_s)

    asyncio.run(_with_link(use))


# Only one side sends messages on a stream, so that the other sees probes without data.
def test_quiet_link_is_kept() -> None:
    async def use(link: Link) -> None:
        assert await link.wait_for_delivery(5.0)
        await asyncio.sleep(4 * KEEPALIVE_IDLE_MS / MS_PER_S)
        assert await link.wait_for_delivery(0.5)
        assert link.relay.n_connections == 1

    asyncio.run(_with_link(use))
