"""Fuzzes entries and messages of others, up to the tick that takes them up.

Whatever they are, no tick fails, each message that it sends can be encoded, and a
request still reaches the healthy server.
"""

import dataclasses
import json
import os
from collections.abc import Callable
from typing import Any, get_args, get_origin, get_type_hints

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from conftest import build_world, single_document
from rhubarbspan.edge.feed import Feed
from rhubarbspan.edge.instance import choose_policies
from rhubarbspan.edge.mirror import Mirror
from rhubarbspan.effects import Effects, SendPeerMessage, StartAttempt
from rhubarbspan.inputs import Input, PeerMessageReceived, RequestArrived
from rhubarbspan.peer_messages import StoreItem, StoreUpdate
from rhubarbspan.platform.settings import PlatformSettings
from rhubarbspan.record_checks import is_identifier, is_ip_and_port, without_unusable
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.peer import (
    MESSAGE_TYPES,
    decode_frame,
    decode_message,
    encode_message,
)
from rhubarbspan.world import World

N_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "60"))
HEALTHY = "shop-0"
OWN_SEAT = "x-1"
NOW_S = 200.0
Steps = Callable[[float], None]


def fuzz_settings(n_examples: int = N_EXAMPLES) -> settings:
    """Return settings; the seed is fixed unless FUZZ_EXAMPLES is set."""
    return settings(
        max_examples=n_examples,
        deadline=None,
        derandomize="FUZZ_EXAMPLES" not in os.environ,
        database=None,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )


PLATFORM = PlatformSettings(
    OWN_SEAT, "x", "r", {"x": "r"}, *["127.0.0.1:1"] * 4, "127.0.0.1:2"
)

SERVER_RECORD = {
    "address": "127.0.0.1:80",
    "instanceInfo": {"service": "shop", "version": "v", "zone": "x", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "coldRemainingS": 0.0},
    "born": 17,
}
INSTANCE_RECORD = {
    "address": "127.0.0.1:3",
    "peer_address": "127.0.0.1:4",
    "data_centre": "x",
    "is_leaving": False,
}
MANIFEST = {
    "version": 7,
    "services": [{"name": "shop", "connectionLimit": 9, "coldStartS": 3}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "ratePerS": 5, "burst": 2.5}],
    "hosts": [
        {"host": "h", "paths": [{"name": "o", "prefix": "/open/", "service": "shop"}]}
    ],
    "limits": {"headerBytes": 4096},
}
ODD_TEXTS = [
    "",
    "shop",
    "nowhere",
    "draining",
    "a\r\nb: c",
    "\u00e9\u4e16",
    "\x00",
    "localhost:80",
    "127.0.0.1",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:\u00b2",
    "[::1]:80",
    "-inf",
    "x" * 100_000,
]
ODD_NUMBERS = [0, -1, 1, 10**9, 2**63, 2**64, 10**30, -(10**30), 1e300, -1e300, 0.5]
# Texts that json.dumps cannot produce; the mark is replaced by them.
MARK = "\uffff"
ODD_JSON = [
    b"[" * 2000,
    b"[" * 2000 + b"]" * 2000,
    b'{"a":' * 1500,
    b"9" * 5000,
    b"-" + b"9" * 5000,
    b"1e400",
    b"NaN",
    b"-Infinity",
    b'"\xff\xfe"',
    b'"\\ud800"',
    b"\x00",
    b"",
]
odd_values = st.one_of(
    st.sampled_from(ODD_TEXTS),
    st.sampled_from(ODD_NUMBERS),
    st.sampled_from([None, True, False, [], {}, [[]], {"a": {}}, MARK, MARK]),
    st.text(max_size=20),
    st.floats(),
    st.integers(),
)


def _paths(tree: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    children = tree.items() if isinstance(tree, dict) else ()
    if isinstance(tree, list):
        children = enumerate(tree)
    return [path] + [p for key, value in children for p in _paths(value, (*path, key))]


def _with_value(tree: Any, path: tuple[Any, ...], value: Any) -> Any:
    if not path:
        return value
    copy = list(tree) if isinstance(tree, list) else dict(tree)
    copy[path[0]] = _with_value(copy[path[0]], path[1:], value)
    return copy


@st.composite
def odd_entries(draw: st.DrawFn, record: Any) -> bytes:
    """Draw a record with odd values, names twice, or bytes changed or cut off."""
    tree = record
    for _ in range(draw(st.integers(0, 3))):
        paths = _paths(tree)
        path = draw(st.sampled_from(paths))
        tree = _with_value(tree, path, draw(odd_values))
    data = json.dumps(tree, ensure_ascii=False).encode("utf-8", "surrogatepass")
    mark = json.dumps(MARK, ensure_ascii=False).encode()
    while mark in data:
        data = data.replace(mark, draw(st.sampled_from(ODD_JSON)), 1)
    match draw(st.sampled_from(["as it is", "as it is", "cut", "twice", "odd field"])):
        case "cut":
            return data[: draw(st.integers(0, len(data)))]
        case "twice":
            return data[:-1] + b"," + data[1:]
        case "odd field":
            odd = draw(st.sampled_from(ODD_JSON))
            return b'{"odd":' + odd + b"," + data[1:]
    return data


keys = st.one_of(
    st.sampled_from(
        ["", "i-1", f"{HEALTHY}/", "a/b", "\u00e9", "a b", "\n", "i" * 300]
    ),
    st.text(max_size=10),
)


class Recorder:
    """A ticker that keeps the inputs of a feed."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.items: list[Input] = []
        self.inputs = self

    def on_next(self, item: Input) -> None:
        """Keep an input."""
        self.items.append(item)

    def now_s(self) -> float:
        """Return the present time."""
        return NOW_S


def make_world() -> World:
    """Make a world with one healthy server and the platform's policies."""
    return build_world(single_document(), 1, OWN_SEAT, choose_policies(PLATFORM))


def send_request(world: World, now_s: float) -> Effects:
    """Run ticks like those of the next second, with one request to an open route."""
    effects = run_tick(world, now_s, [])
    effects += run_tick(world, now_s + 0.5, [])
    arrived = RequestArrived(77, "/open/x", timeout_s=2.0)
    effects += run_tick(world, now_s + 1.0, [arrived])
    return effects


def check_effects(effects: Effects) -> None:
    """Check that each effect can be carried out."""
    for effect in effects:
        match effect:
            case SendPeerMessage(message=message):
                decoded = decode_message(encode_message(message))
                assert not isinstance(decoded, Failure), decoded
            case StartAttempt(server_id=server_id, address=address):
                assert is_ip_and_port(address)
                assert is_identifier(server_id)


def attempts(effects: Effects) -> list[str]:
    """List the servers that get a request."""
    return [row.server_id for row in effects if isinstance(row, StartAttempt)]


def _publish(world: World, entries: dict[str, list[StoreItem]]) -> list[Input]:
    """Return what a feed publishes for complete copies of the prefixes."""
    ticker = Recorder(world)
    feed = Feed(ticker, None, PLATFORM)  # type: ignore[arg-type]
    for prefix, items in entries.items():
        mirror = feed._mirrors[prefix] = Mirror(prefix, 1.0)
        feed.apply_update(StoreUpdate(prefix, 0, 5, items, 1.0))
        assert mirror.revision == 5, "the feed has to read anew"
    assert not [name for name, _ in world.counters if name == "task_failures"]
    return ticker.items


healthy_item = StoreItem(f"servers/{HEALTHY}", json.dumps(SERVER_RECORD).encode())


@pytest.mark.parametrize("is_healthy_first", [True, False])
@fuzz_settings()
@given(
    servers=st.lists(st.tuples(keys, odd_entries(SERVER_RECORD)), max_size=4),
    instances=st.lists(st.tuples(keys, odd_entries(INSTANCE_RECORD)), max_size=3),
    operator=st.lists(keys, max_size=3),
    values=st.lists(st.one_of(st.none(), st.binary(max_size=9)), max_size=3),
)
def test_odd_entries_cost_themselves_alone(
    is_healthy_first: bool,
    servers: list[tuple[str, bytes]],
    instances: list[tuple[str, bytes]],
    operator: list[str],
    values: list[bytes | None],
) -> None:
    world = make_world()
    rows = [StoreItem(f"servers/{key}", value) for key, value in servers]
    rows += [StoreItem(f"servers/v{n}", value) for n, value in enumerate(values)]
    inputs = _publish(
        world,
        {
            "servers/": [healthy_item, *rows]
            if is_healthy_first
            else [*rows] + [healthy_item],
            "rhubarbspan/instances/": [
                StoreItem(f"rhubarbspan/instances/{key}", value)
                for key, value in instances
            ],
            "op/": [
                StoreItem(f"op/evacuate/{key}", b"\xff")
                for key in operator
                if key != "x"
            ],
        },
    )
    effects = run_tick(world, NOW_S, inputs)
    # Requests may also go to what is a usable server by its entry; it is taken away.
    effects += run_tick(world, NOW_S, _publish(world, {"servers/": [healthy_item]}))
    effects += send_request(world, NOW_S)
    check_effects(effects)
    assert attempts(effects) == [HEALTHY]


@fuzz_settings()
@given(value=odd_entries(MANIFEST))
def test_odd_configuration_fails_no_tick(value: bytes) -> None:
    world = make_world()
    inputs = _publish(
        world,
        {"servers/": [healthy_item], "op/": [StoreItem("op/config", value)]},
    )
    effects = run_tick(world, NOW_S, inputs)
    effects += send_request(world, NOW_S)
    check_effects(effects)
    if world.configuration.revision == 1:
        assert attempts(effects) == [HEALTHY]


names = st.sampled_from(
    ["", OWN_SEAT, "x-2", "y-1", "x", "y", "shop", "ana", HEALTHY, *ODD_TEXTS[:11]]
)
numbers = st.one_of(
    st.integers(0, 3),
    st.integers(-(2**63), 2**64 - 1),
    st.sampled_from([-1, 2**31, 2**63, 2**64 - 1]),
)
fractions = st.one_of(
    st.floats(0, 9),
    st.floats(),
    st.sampled_from([float("nan"), float("inf"), -1e14, 1e14, 1e300, 9]),
)


def fields_of(hint: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for values of a type, as the encoding represents them."""
    simple = {str: names, int: numbers, float: fractions, bool: st.booleans()}
    if hint in simple:
        return simple[hint]
    if hint is bytes:
        return odd_entries(SERVER_RECORD)
    if dataclasses.is_dataclass(hint):
        hints = get_type_hints(hint)
        rows = [fields_of(hints[item.name]) for item in dataclasses.fields(hint)]
        return st.tuples(*rows).map(list)
    arguments = [fields_of(item) for item in get_args(hint) if item is not type(None)]
    if get_origin(hint) is list:
        return st.lists(arguments[0], max_size=3)
    if get_origin(hint) is dict:
        return st.dictionaries(arguments[0], arguments[1], max_size=3)
    return st.one_of(st.none(), *arguments)


@st.composite
def peer_data(draw: st.DrawFn) -> bytes:
    """Draw an encoded message, at times with a field of another type or cut off."""
    number = draw(st.integers(0, len(MESSAGE_TYPES) - 1))
    row = draw(fields_of(MESSAGE_TYPES[number]))
    data = bytes([number])
    match draw(st.sampled_from(["as it is"] * 6 + ["odd", "cut", "deep", "long"])):
        case "odd":
            row[draw(st.integers(0, len(row) - 1))] = draw(
                st.sampled_from([None, "", b"\xff", [], {}, -1, 1e300])
            )
        case "cut":
            data += msgspec.msgpack.encode(row)
            return data[: draw(st.integers(0, len(data)))]
        case "deep":
            return data + b"\x91" * 5000
        case "long":
            # A field that this version does not know.
            fields = b"".join(msgspec.msgpack.encode(item) for item in row)
            head = b"\xdc" + (len(row) + 1).to_bytes(2, "big")
            return data + head + fields + b"\x91" * 3000 + b"\x90"
    return data + msgspec.msgpack.encode(row)


@fuzz_settings(4 * N_EXAMPLES)
@given(data=st.lists(peer_data(), min_size=1, max_size=6))
def test_odd_messages_of_peers_fail_no_tick(data: list[bytes]) -> None:
    world = make_world()
    revision = world.configuration.revision
    effects: Effects = []
    for item in data:
        message = decode_message(item)
        if isinstance(message, Failure):
            assert message.reason
            continue
        received = PeerMessageReceived(without_unusable(message))
        effects += run_tick(world, NOW_S, [received])
    effects += run_tick(world, NOW_S, _publish(world, {"servers/": [healthy_item]}))
    effects += send_request(world, NOW_S)
    check_effects(effects)
    if world.configuration.revision == revision:
        assert attempts(effects) == [HEALTHY]


# A starting instance takes servers over only if it knows none.
@fuzz_settings()
@given(data=st.lists(peer_data(), min_size=1, max_size=3))
def test_odd_messages_fail_no_tick_of_an_instance_without_servers(
    data: list[bytes],
) -> None:
    world = make_world()
    for row in world.servers.rows():
        world.servers.remove(row)
    world.servers_listed_s = -1e9
    effects: Effects = []
    for item in data:
        message = decode_message(item)
        if not isinstance(message, Failure):
            received = PeerMessageReceived(without_unusable(message))
            effects += run_tick(world, NOW_S, [received])
    effects += send_request(world, NOW_S)
    check_effects(effects)


@fuzz_settings()
@given(data=st.one_of(st.binary(max_size=50), st.just(b"\x91" * 5000), peer_data()))
def test_odd_frame_is_a_failure_or_messages(data: bytes) -> None:
    frame = decode_frame(data)
    if isinstance(frame, Failure):
        assert frame.reason
    else:
        assert all(isinstance(item, bytes) for item in frame)
