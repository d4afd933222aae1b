"""Tests of fleets of any size: limits, membership, relays and readers of the store."""

import asyncio
import random
from dataclasses import replace

import pytest

from rhubarbspan.edge.entries import EntryReader
from rhubarbspan.edge.feed import Feed
from rhubarbspan.edge.mirror import Mirror
from rhubarbspan.effects import Effects, SendPeerMessage, StoreAccess
from rhubarbspan.inputs import (
    EvacuationsListed,
    PeerMessageReceived,
    PeersListed,
    PoliciesChanged,
    ServerListing,
    ServersListed,
    ServersUnchanged,
    StoreRead,
)
from rhubarbspan.inputs import PeerListing as Listing
from rhubarbspan.peer_messages import (
    DataCentreSummary,
    ServerHandover,
    StoreItem,
    StoreUpdate,
)
from rhubarbspan.systems.fleet_layout import is_relay, is_two_level
from rhubarbspan.systems.limit_keepers import choose_keeper
from rhubarbspan.tick import run_tick
from rhubarbspan.wire.peer import decode_message, encode_message
from rhubarbspan.world import World
from test_sums import (
    OVERAGE,
    SLACK,
    STEP_S,
    WINDOW_S,
    Fleet,
    _n_admitted_by_one_bucket,
    _poisson,
)

DATA_CENTRES = ("a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2", "c-3")
SIZES = [7, 30, 80]
LENGTH_S = 18.0
SETTLED_S = 8.0


def _bound(rate_per_s: float) -> float:
    return (rate_per_s * WINDOW_S + int(rate_per_s)) * (1 + OVERAGE) + SLACK


def simulate(
    fleet: Fleet, demand_per_s: float, seed: int, disturb: float = 0.0
) -> None:
    """Run a fleet with Poisson arrivals at some of its instances.

    Args:
        fleet: The fleet.
        demand_per_s: Requests per second over all instances, from 3 s on.
        seed: Seed of the arrivals and disturbances.
        disturb: Probability per second that an instance is cut off or paused.
    """
    rng = random.Random(seed)
    seats = list(fleet.worlds)
    until_s: dict[str, float] = {}
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = step * STEP_S
        demands: dict[str, int] = dict.fromkeys(seats, 0)
        if now_s >= 3:
            for _ in range(_poisson(rng, demand_per_s * STEP_S)):
                demands[rng.choice(seats)] += 1
        for seat in [s for s, end_s in until_s.items() if end_s <= now_s]:
            del until_s[seat]
            fleet.cut.discard(seat)
            fleet.paused.discard(seat)
        if now_s > 4 and rng.random() < disturb * STEP_S:
            seat = rng.choice(seats)
            rng.choice([fleet.cut, fleet.paused]).add(seat)
            until_s[seat] = now_s + rng.uniform(0.5, 4)
        fleet.tick(now_s, demands)


@pytest.mark.parametrize("n_instances", SIZES)
@pytest.mark.parametrize("rate_per_s", [5.0, 40.0, 200.0])
def test_requests_inside_a_limit_are_served_at_any_size(
    n_instances: int, rate_per_s: float
) -> None:
    fleet = Fleet(n_instances, rate_per_s, DATA_CENTRES)
    simulate(fleet, 0.6 * rate_per_s, seed=1)
    arrived_s = [t for t in fleet.arrived_s if t > SETTLED_S]
    n_admitted = len([t for t in fleet.admitted_s if t > SETTLED_S])
    assert n_admitted >= 0.95 * _n_admitted_by_one_bucket(arrived_s, rate_per_s)
    assert fleet.max_admitted_in_a_window() <= _bound(rate_per_s)


@pytest.mark.parametrize("n_instances", SIZES)
@pytest.mark.parametrize("rate_per_s", [5.0, 40.0])
def test_limit_holds_at_any_size_however_much_is_asked(
    n_instances: int, rate_per_s: float
) -> None:
    fleet = Fleet(n_instances, rate_per_s, DATA_CENTRES)
    simulate(fleet, 4 * rate_per_s, seed=2)
    assert fleet.max_admitted_in_a_window() <= _bound(rate_per_s)
    n_served = len([t for t in fleet.admitted_s if t > SETTLED_S])
    assert n_served >= 0.8 * rate_per_s * (LENGTH_S - SETTLED_S)


@pytest.mark.parametrize("seed", range(6))
def test_limit_holds_while_instances_are_cut_off_and_paused(seed: int) -> None:
    rate_per_s = random.Random(seed).choice([5.0, 20.0, 60.0])
    fleet = Fleet(30, rate_per_s, DATA_CENTRES)
    simulate(fleet, 4 * rate_per_s, seed, disturb=1.5)
    assert fleet.max_admitted_in_a_window() <= _bound(rate_per_s)


@pytest.mark.parametrize("n_instances", [30, 80])
def test_messages_between_data_centres_do_not_grow_with_the_fleet(
    n_instances: int,
) -> None:
    fleet = Fleet(n_instances, 40.0, DATA_CENTRES)
    assert all(is_two_level(world) for world in fleet.worlds.values())
    for step in range(int(LENGTH_S / STEP_S)):
        if step * STEP_S == 3.0:
            fleet.n_messages = 0
        fleet.tick(step * STEP_S, {"n-3": step % 2, "n-12": step % 3 == 0})
    n_ways = len(DATA_CENTRES) * (len(DATA_CENTRES) - 1)
    # Two relays a data centre, each second a summary and a heartbeat to each other one.
    assert 0 < fleet.n_messages <= 2 * 2 * n_ways * (LENGTH_S - 3.0)
    for world in fleet.worlds.values():
        assert len(world.peers.alive()) == n_instances - 1


def test_small_fleet_keeps_one_level() -> None:
    assert not any(
        is_two_level(world)
        for world in Fleet(7, 40.0, DATA_CENTRES[:6]).worlds.values()
    )


def test_loss_of_both_relays_of_a_data_centre_is_noticed_and_replaced() -> None:
    fleet = Fleet(45, 40.0, DATA_CENTRES)
    for step in range(100):
        fleet.tick(step * STEP_S, {})
    relays = {
        seat
        for seat, world in fleet.worlds.items()
        if world.identity.data_centre == "b-1" and is_relay(world)
    }
    assert len(relays) == 2
    fleet.cut = relays
    for step in range(100, 260):
        fleet.tick(step * STEP_S, {})
    for seat, world in fleet.worlds.items():
        if seat not in relays:
            assert {row.seat for row in world.peers.alive()} == set(fleet.worlds) - {
                seat,
                *relays,
            }


def _update(after: int, revision: int, *items: StoreItem) -> StoreUpdate:
    return StoreUpdate("servers/", after, revision, list(items), 2.0)


def _local_worlds(fleet: Fleet, data_centre: str) -> list[World]:
    return [
        world
        for world in fleet.worlds.values()
        if world.identity.data_centre == data_centre
    ]


def test_one_instance_of_a_data_centre_reads_and_others_take_over() -> None:
    fleet = Fleet(36, 40.0, DATA_CENTRES)
    for step in range(60):
        fleet.tick(step * STEP_S, {})
    now_s = 60 * STEP_S
    reader, *others = sorted(
        _local_worlds(fleet, "c-2"), key=lambda world: world.identity.seat
    )
    effects = run_tick(reader, now_s, [StoreRead(_update(0, 7))])
    receivers = {
        effect.seat
        for effect in effects
        if isinstance(effect, SendPeerMessage)
        and isinstance(effect.message, StoreUpdate)
    }
    assert receivers == {world.identity.seat for world in others}
    for step in range(40):
        fleet.tick(now_s + step * STEP_S, {})
        if step % 10 == 0:
            for world in others:
                received = PeerMessageReceived(_update(0, 7))
                run_tick(world, now_s + step * STEP_S, [received])
    assert reader.store_access is StoreAccess.READER
    accesses = [world.store_access for world in others]
    follower = StoreAccess.FOLLOWER
    assert accesses == [StoreAccess.BACKUP, follower, follower]
    # Nothing more is passed on: each begins to read by itself, one after the other.
    last_s = now_s + 30 * STEP_S
    for step in range(40, 120):
        fleet.tick(now_s + step * STEP_S, {})
        if all(world.store_access is StoreAccess.READER for world in others):
            break
    assert now_s + step * STEP_S - last_s < 2.0 + 1.7


# DRAIN: with the reader, the backup and the next one cut off from the store, the three
# others began to read, heard each other, and all relied on each other's promise.
def test_of_instances_that_take_over_together_the_first_reads_on() -> None:
    fleet = Fleet(36, 40.0, DATA_CENTRES)
    for step in range(60):
        fleet.tick(step * STEP_S, {})
    worlds = sorted(_local_worlds(fleet, "c-2"), key=lambda row: row.identity.seat)
    seats = [world.identity.seat for world in worlds]
    n_reading = []
    read_s: dict[str, float] = {}
    for step in range(60, 400):
        now_s = step * STEP_S
        fleet.tick(now_s, {})
        # The first two cannot reach the store, and pass nothing on.
        able = [world for world in worlds[2:] if is_reader(world)]
        n_reading.append(len(able))
        for world in able:
            if now_s - read_s.get(world.identity.seat, -1e9) >= 1.6:
                read_s[world.identity.seat] = now_s
                effects = run_tick(world, now_s, [StoreRead(_update(0, 7))])
                deliver(fleet, now_s, effects)
    first_step = next(step for step, n in enumerate(n_reading) if n)
    assert all(n_reading[first_step:])
    # Once they know of each other, one of them is enough.
    assert set(n_reading[-100:]) == {1}
    assert is_reader(worlds[2])
    assert [is_reader(world) for world in worlds[3:]] == [False] * len(seats[3:])
    # One that comes before is relied on again.
    run_tick(worlds[0], now_s, [StoreRead(_update(0, 8))])
    earlier = _update(0, 8)
    earlier.seat = seats[0]
    run_tick(worlds[2], now_s, [PeerMessageReceived(earlier)])
    for step in range(400, 420):
        fleet.tick(step * STEP_S, {})
    assert not is_reader(worlds[2])


# DRAIN: an instance whose bound on leaving servers was lowered went on with the pauses
# of a reader whose settings had not changed.
@pytest.mark.parametrize("is_lowered_early", [True, False])
def test_reader_that_pauses_longer_than_the_own_bound_allows_is_not_relied_on(
    is_lowered_early: bool,
) -> None:
    fleet = Fleet(36, 40.0, DATA_CENTRES)
    for step in range(60):
        fleet.tick(step * STEP_S, {})
    worlds = sorted(_local_worlds(fleet, "c-2"), key=lambda row: row.identity.seat)
    reader, lowered, *others = worlds[0], worlds[3], worlds[1], *worlds[4:]
    now_s = 60 * STEP_S
    update = StoreUpdate("servers/", 0, 7, [], 9.0, seat=reader.identity.seat)

    def lower(at_s: float) -> None:
        promises = {"servers/": 2.0}
        lowered.policies = replace(lowered.policies, max_promises_s=promises)
        run_tick(lowered, at_s, [PoliciesChanged()])

    # What the others hear of another prefix is as frequent as they ask for.
    other = StoreUpdate("op/", 0, 7, [], 60.0, seat=reader.identity.seat)
    deliver(fleet, now_s, run_tick(reader, now_s, [StoreRead(other)]))
    if is_lowered_early:
        lower(now_s)
    deliver(fleet, now_s, run_tick(reader, now_s, [StoreRead(update)]))
    for step in range(60, 64):
        fleet.tick(step * STEP_S, {})
    if not is_lowered_early:
        assert not is_reader(lowered)
        lower(64 * STEP_S)
    n_steps = int((2.0 + 1.5) / STEP_S)
    for step in range(64, 64 + n_steps):
        fleet.tick(step * STEP_S, {})
    assert is_reader(lowered)
    assert not any(is_reader(world) for world in others)
    # It reads on while the reader does, and relies on one that pauses as it would.
    now_s = (64 + n_steps) * STEP_S
    deliver(fleet, now_s, run_tick(reader, now_s, [StoreRead(update)]))
    fleet.tick(now_s, {})
    assert is_reader(lowered)
    sooner = StoreUpdate("servers/", 0, 7, [], 2.0, seat=reader.identity.seat)
    deliver(fleet, now_s, run_tick(reader, now_s, [StoreRead(sooner)]))
    for step in range(64 + n_steps, 64 + n_steps + 20):
        fleet.tick(step * STEP_S, {})
    assert not is_reader(lowered)


def is_reader(world: World) -> bool:
    """Return whether an instance reads the store itself."""
    return world.store_access is StoreAccess.READER


def deliver(fleet: Fleet, now_s: float, effects: Effects) -> None:
    """Deliver readings that are passed on at once."""
    for effect in effects:
        if not isinstance(effect, SendPeerMessage):
            continue
        update = decode_message(encode_message(effect.message))
        if isinstance(update, StoreUpdate):
            received = PeerMessageReceived(update)
            run_tick(fleet.worlds[effect.seat], now_s, [received])


@pytest.fixture
def feed() -> Feed:
    """Return a feed whose store is not asked."""
    fleet = Fleet(1)

    class Inputs:
        def __init__(self) -> None:
            self.items: list[object] = []

        def on_next(self, item: object) -> None:
            self.items.append(item)

    class Ticker:
        world = fleet.worlds["n-0"]
        inputs = Inputs()
        time_s = 0.0

        def now_s(self) -> float:
            return self.time_s

    made = Feed(Ticker(), None, None)  # type: ignore[arg-type]
    made._mirrors["servers/"] = Mirror("servers/", 1.0)
    return made


def test_updates_apply_in_any_order_and_a_gap_is_read_anew(feed: Feed) -> None:
    mirror = feed._mirrors["servers/"]
    feed.apply_update(_update(0, 10, StoreItem("servers/a", b"1")))
    feed.apply_update(_update(10, 20, StoreItem("servers/a", b"2")))
    assert (mirror.revision, mirror.values) == (20, {"servers/a": b"2"})
    # Older ones, also complete ones, change nothing.
    feed.apply_update(_update(0, 15, StoreItem("servers/a", b"old")))
    feed.apply_update(_update(5, 18, StoreItem("servers/a", b"old")))
    assert mirror.values == {"servers/a": b"2"}
    feed.apply_update(_update(15, 25, StoreItem("servers/a", None, True)))
    assert (mirror.revision, mirror.values) == (25, {})
    assert not mirror.may_read.is_set()
    feed.apply_update(_update(30, 31, StoreItem("servers/b", b"1")))
    assert mirror.revision == 0
    assert mirror.may_read.is_set()


def test_reader_waits_until_it_may_read(feed: Feed) -> None:
    mirror = feed._mirrors["servers/"]
    mirror.revision = 5
    feed.set_access(StoreAccess.FOLLOWER)
    assert not mirror.may_read.is_set()
    feed.set_access(StoreAccess.BACKUP)
    assert mirror.may_read.is_set()
    asyncio.run(asyncio.wait_for(mirror.may_read.wait(), 1))


def _in_data_centre(fleet: Fleet, data_centre: str) -> set[str]:
    return {
        seat
        for seat, world in fleet.worlds.items()
        if world.identity.data_centre == data_centre
    }


@pytest.mark.parametrize("cut_s", [(6.0, 9.0), (6.0, 30.0)])
def test_small_limit_is_served_on_while_its_keeper_is_cut_off(
    cut_s: tuple[float, float],
) -> None:
    rate_per_s = 5.0
    fleet = Fleet(36, rate_per_s, DATA_CENTRES)
    kept = _in_data_centre(fleet, choose_keeper("ana", DATA_CENTRES))
    rng = random.Random(5)
    seats = list(fleet.worlds)
    from_s, until_s = cut_s
    for step in range(int(30 / STEP_S)):
        now_s = step * STEP_S
        is_cut = from_s <= now_s < until_s
        if is_cut and not fleet.cut:
            # The messages between the cut-off instances are lost too, as if each had
            # lost its link.
            fleet.cut = set(kept)
        elif not is_cut:
            fleet.cut = set()
        if now_s > from_s + 6.0 and fleet.cut:
            fleet.unlist(kept)
        demands: dict[str, int] = dict.fromkeys(seats, 0)
        if now_s >= 3:
            for _ in range(_poisson(rng, 4 * rate_per_s * STEP_S)):
                demands[rng.choice(seats)] += 1
        fleet.tick(now_s, demands)
    assert fleet.max_admitted_in_a_window() <= _bound(rate_per_s)
    settled_s = from_s + 16.0
    n_served = len([t for t in fleet.admitted_s if t > settled_s])
    assert n_served >= 0.8 * rate_per_s * (30 - settled_s)
    # Before the keeper counts as gone, the others use their isolated shares.
    n_while_cut = len([t for t in fleet.admitted_s if from_s + 3 < t < from_s + 6.5])
    assert n_while_cut >= 4


@pytest.mark.parametrize("seed", range(4))
def test_small_limit_holds_while_data_centres_are_cut_off(seed: int) -> None:
    rate_per_s = 5.0
    fleet = Fleet(27, rate_per_s, DATA_CENTRES)
    rng = random.Random(seed)
    seats = list(fleet.worlds)
    ends_s: dict[str, float] = {}
    for step in range(int(30 / STEP_S)):
        now_s = step * STEP_S
        if now_s > 4 and rng.random() < 0.5 * STEP_S:
            ends_s[rng.choice(DATA_CENTRES)] = now_s + rng.uniform(1, 12)
        fleet.isolated = {name for name, end_s in ends_s.items() if end_s > now_s}
        demands: dict[str, int] = dict.fromkeys(seats, 0)
        if now_s >= 3:
            for _ in range(_poisson(rng, 4 * rate_per_s * STEP_S)):
                demands[rng.choice(seats)] += 1
        fleet.tick(now_s, demands)
    assert fleet.max_admitted_in_a_window() <= _bound(rate_per_s)


# Near the size at which the layout changes, instances with different lists of the fleet
# use different layouts for a while.
@pytest.mark.parametrize("n_instances", [7, 8])
def test_instances_with_different_layouts_hear_each_other(n_instances: int) -> None:
    rate_per_s = 60.0
    fleet = Fleet(n_instances, rate_per_s, DATA_CENTRES[:6])
    rng = random.Random(1)
    seats = list(fleet.worlds)
    for seat in seats[::2]:
        # These know of more instances, which have crashed but are still listed.
        crashed = [Listing(f"gone-{n}", "", "", DATA_CENTRES[n % 6]) for n in range(6)]
        listed = PeersListed([*fleet.listings(), *crashed])
        run_tick(fleet.worlds[seat], 0.0, [listed])
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = step * STEP_S
        demands = dict.fromkeys(seats, 0)
        if now_s >= 3:
            for _ in range(_poisson(rng, 4 * rate_per_s * STEP_S)):
                demands[rng.choice(seats)] += 1
        fleet.tick(now_s, demands)
    assert {is_two_level(world) for world in fleet.worlds.values()} == {True, False}
    silent = [text for _, text in fleet.changes if "is silent" in text]
    assert not silent
    for world in fleet.worlds.values():
        assert len(world.peers.alive()) == n_instances - 1
    assert fleet.max_admitted_in_a_window() <= _bound(rate_per_s)


def test_instance_that_starts_in_an_outage_takes_over_the_servers_of_a_peer() -> None:
    fleet = Fleet(3)
    listings = [
        ServerListing("i-0", "shop", "x:1", "a-1", n_slots=2, incarnation=1),
        ServerListing("i-1", "shop", "x:2", "a-1", n_slots=2, incarnation=1),
        ServerListing("i-2", "shop", "x:3", "a-1", True, n_slots=2, incarnation=1),
        ServerListing("i-3", "shop", "x:4", "b-1", n_slots=2, incarnation=1),
    ]
    for seat in ("n-0", "n-1"):
        inputs = [
            EvacuationsListed(frozenset({"b-1"})),
            ServersListed("shop", listings),
        ]
        run_tick(fleet.worlds[seat], 0.0, inputs)
    world = fleet.worlds["n-2"]
    handovers = []
    for step in range(40):
        for item in fleet.in_transit("n-2"):
            if isinstance(item.message, ServerHandover):
                handovers.append(item)
        fleet.tick(step * STEP_S, {})
    # Neither the server that leaves nor that of the evacuated data centre.
    assert {row.server_id for row in world.servers.rows()} == {"i-0", "i-1"}
    assert {item.message.seat for item in handovers} == {"n-0"}
    assert world.evacuated == {"b-1"}
    # What the store lists goes before, also when a handover arrives late.
    run_tick(world, 2.1, [ServersListed("shop", listings[:1]), *handovers])
    assert {row.server_id for row in world.servers.rows()} == {"i-0"}


# Decoding all records at each reading took most of an instance's processor time where
# there are hundreds of servers.
def test_reading_without_changes_only_says_that_the_list_is_current(
    feed: Feed,
) -> None:
    decoded: list[str] = []

    def decode(key: str, value: bytes) -> ServerListing:
        decoded.append(key)
        return ServerListing(key, "shop", "x:1", "a-1")

    ticker = feed._ticker
    feed._publisher._servers = EntryReader(decode, feed._failures, ticker.world.count)
    items = [StoreItem(f"servers/{number}", b"1") for number in range(3)]
    feed.apply_update(_update(0, 10, *items))
    ticker.time_s = 6.0  # type: ignore[attr-defined]
    ticker.inputs.items.clear()  # type: ignore[attr-defined]
    feed.apply_update(_update(10, 12))
    assert ticker.inputs.items == [ServersUnchanged()]  # type: ignore[attr-defined]
    feed.apply_update(_update(12, 13, StoreItem("servers/1", b"2")))
    (listed,) = [
        item
        for item in ticker.inputs.items  # type: ignore[attr-defined]
        if isinstance(item, ServersListed)
    ]
    assert len(listed.servers) == 3
    assert sorted(decoded) == [
        "servers/0",
        "servers/1",
        "servers/1",
        "servers/2",
    ]


# Each instance would otherwise get each summary twice.
def test_second_relay_passes_summaries_on_only_when_the_first_does_not() -> None:
    fleet = Fleet(36, 40.0, DATA_CENTRES)
    n_summaries: dict[str, int] = dict.fromkeys(fleet.worlds, 0)

    def run(from_step: int, to_step: int) -> None:
        for step in range(from_step, to_step):
            for seat in fleet.worlds:
                n_summaries[seat] += sum(
                    isinstance(item.message, DataCentreSummary)
                    for item in fleet.in_transit(seat)
                )
            fleet.tick(step * STEP_S, {})

    run(0, 100)
    follower = sorted(_in_data_centre(fleet, "b-1"))[-1]
    n_summaries[follower] = 0
    run(100, 300)
    # One a second from each of the eight other data centres, for ten seconds.
    assert 70 <= n_summaries[follower] <= 90
    first = sorted(_in_data_centre(fleet, "b-1"))[0]
    fleet.cut = {first}
    run(300, 380)
    n_summaries[follower] = 0
    run(380, 480)
    assert n_summaries[follower] >= 35
    world = fleet.worlds[follower]
    assert {row.seat for row in world.peers.alive()} == set(fleet.worlds) - {
        first,
        follower,
    }
