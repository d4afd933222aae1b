"""Tests of messages between instances with values that cannot be right."""

import asyncio

import grpc.aio
import msgspec
import pytest

from conftest import build_world, single_document
from platform_site import PlatformSite
from rhubarbspan.edge.peers import METHOD, SERVICE
from rhubarbspan.inputs import PeerMessageReceived
from rhubarbspan.peer_messages import (
    DataCentreSummary,
    Heartbeat,
    KnownServer,
    MemberState,
    ServerHandover,
    StoreUpdate,
)
from rhubarbspan.record_checks import MAX_COLD_S, without_unusable
from rhubarbspan.systems.store_readers import MAX_PROMISE_S
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.peer import (
    MESSAGE_TYPES,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
)
from rhubarbspan.world import World

NOW_S = 200.0
DEEP = b"\x91" * 5000


@pytest.fixture
def world() -> World:
    """Return a world with one server."""
    return build_world(single_document(), 1)


def _receive(world: World, message: object) -> None:
    run_tick(world, NOW_S, [PeerMessageReceived(message)])  # type: ignore[arg-type]


def _encode(number: int, fields: list[object]) -> bytes:
    return bytes([number]) + msgspec.msgpack.encode(fields)


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -float("inf"), 1e300])
def test_number_that_cannot_be_computed_with_is_a_failure(value: float) -> None:
    summary = MESSAGE_TYPES.index(DataCentreSummary)
    own, member = ["y-1", 1, "y"], ["y-2", 1, value, 0.0, 1]
    assert isinstance(
        decode_message(_encode(summary, [*own, [member], {}, True])), Failure
    )
    demands = {"ana": value}
    assert isinstance(
        decode_message(_encode(summary, [*own, [], demands, True])), Failure
    )
    update = MESSAGE_TYPES.index(StoreUpdate)
    assert isinstance(
        decode_message(_encode(update, ["servers/", 0, 1, [], value])), Failure
    )


def test_deep_nesting_in_a_message_or_frame_is_a_failure() -> None:
    later_field = b"\x01\x94\xa0\x00\x00" + DEEP
    for data in (DEEP, b"\x00" + DEEP, later_field):
        assert isinstance(decode_message(data), Failure)
    assert isinstance(decode_frame(DEEP), Failure)


# The configuration would have counted as current for good.
def test_peer_cannot_confirm_a_configuration_for_the_time_to_come(
    world: World,
) -> None:
    heartbeat = Heartbeat(
        "y-1",
        5,
        1,
        world.configuration.revision,
        False,
        echoed_incarnation=world.identity.incarnation,
        echoed_sequence=max(world.heartbeats_sent_s),
        echo_age_s=1e9,
    )
    _receive(world, heartbeat)
    assert world.configuration_state.confirmed_s <= NOW_S


# An instance that relied on it never read the store again.
def test_reader_cannot_promise_a_reading_for_a_far_time(world: World) -> None:
    _receive(world, StoreUpdate("servers/", 0, 5, [], 1e12))
    assert world.store_updates_due_s["servers/"] <= NOW_S + MAX_PROMISE_S


# It would have counted as alive for good.
def test_summary_cannot_tell_of_the_time_to_come(world: World) -> None:
    member = MemberState("y-2", 1, 1.0, -1e9, 1)
    _receive(
        world, DataCentreSummary("y-1", 1, "y", [member], {}, True, 1.0, age_s=-1e9)
    )
    rows = {row.seat: row.last_heard_s for row in world.peers.rows()}
    assert rows == {"y-1": NOW_S, "y-2": NOW_S}


def test_server_counts_as_refusing_for_a_bounded_time(world: World) -> None:
    _receive(
        world, Heartbeat("y-1", 5, 1, 1, False, refusing_servers_s={"shop-0": 1e12})
    )
    row = world.servers.get("shop-0")
    assert row is not None
    assert row.cold_until_s <= NOW_S + MAX_COLD_S


@pytest.mark.parametrize(
    "server",
    [
        KnownServer("i-1", "shop", "host:80", "x", 3, 1, 0.0, 1),
        KnownServer("i-1", "shop", "10.0.0.1:" + "9" * 5000, "x", 3, 1, 0.0, 1),
        KnownServer("i-1\r\nA: b", "shop", "10.0.0.1:80", "x", 3, 1, 0.0, 1),
        KnownServer("i-1", "shop", "10.0.0.1:80", "x", 10**9, 1, 0.0, 1),
        KnownServer("i-1", "shop", "10.0.0.1:80", "x", 3, 2**64 - 1, 0.0, 1),
        KnownServer("i-1", "shop", "10.0.0.1:80", "x", 3, 1, 1e12, 1),
        KnownServer("i-1", "shop", "10.0.0.1:80", "x", 3, 1, 0.0, -1),
    ],
)
def test_unusable_server_of_a_handover_costs_no_other(server: KnownServer) -> None:
    usable = KnownServer("i-0", "shop", "10.0.0.1:80", "x", 3, 1, 0.0, 1)
    message = without_unusable(ServerHandover("y-1", 1, [server, usable], []))
    assert message == ServerHandover("y-1", 1, [usable], [])


def test_messages_after_odd_ones_arrive(deployed: PlatformSite) -> None:
    site = deployed
    (instance,) = site.instances
    beat = Heartbeat(
        "y-1", 5, 1, 1, False, address="h:1", peer_address="127.0.0.1:\u00b2"
    )
    usable = Heartbeat(
        "y-2", 5, 1, 1, False, address="127.0.0.1:1", peer_address="127.0.0.1:2"
    )
    odd = [b"", b"\xff", b"\x00" + DEEP, b"\x01\x94\xa0\x00\x00" + DEEP]
    frames = [
        b"\xc1",
        DEEP,
        encode_frame([*odd, encode_message(beat)]),
        encode_frame([encode_message(usable)]),
    ]

    async def work() -> None:
        address = instance.settings.peer_listen
        async with grpc.aio.insecure_channel(address) as channel:
            call = channel.stream_unary(f"/{SERVICE}/{METHOD}")()
            for frame in frames:
                await call.write(frame)
            await call.done_writing()
            await asyncio.wait_for(call, 5)

    site.run(work())
    site.wait_for(lambda: instance.world.peers.get("y-2"), "the last one arrives")
    rows = {
        row.seat: (row.address, row.peer_address) for row in instance.world.peers.rows()
    }
    assert rows == {"y-1": ("", ""), "y-2": ("127.0.0.1:1", "127.0.0.1:2")}
    assert instance.world.counters["peer_messages_malformed", ""] == 2 + len(odd)
