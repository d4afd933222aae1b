"""What instances tell each other of the servers that they use, and learn from it."""

import pytest

from rhubarbspan.document import Snapshot
from rhubarbspan.effects import SendPeerMessage
from rhubarbspan.inputs import (
    ConfigurationReceived,
    Input,
    PeerMessageReceived,
    RequestArrived,
    ServersListed,
)
from rhubarbspan.peer_messages import DataCentreSummary, Heartbeat
from rhubarbspan.policies import DemandShares, ObjectPlacement, Policies
from rhubarbspan.systems.fleet_layout import local_rank
from rhubarbspan.systems.object_sharing import (
    apply_responses,
    apply_uses,
    record_response,
)
from rhubarbspan.tables.objects import (
    N_ASSUMED_PER_SERVER,
    N_TRACKED_PER_SERVER,
    object_digest,
    server_digest,
)
from rhubarbspan.tables.servers import ServerRow
from rhubarbspan.tick import run_tick
from rhubarbspan.world import Identity, World, create_world
from test_fleet_size import DATA_CENTRES
from test_placement import (
    COLD_S,
    N_SERVERS,
    START_S,
    WARM_S,
    arrive,
    finish,
    listing,
    set_service_times,
    site_document,
    started,
)
from test_sums import STEP_S, Fleet

N_KEPT = 6


def make_world(seat: str, data_centre: str = "a-1") -> World:
    """Return the world of one instance with servers of known service times."""
    policies = Policies(
        limits=DemandShares(),
        choice=ObjectPlacement(),
        heartbeat_interval_s=0.5,
        dead_after_s=1.6,
    )
    identity = Identity(seat, data_centre, data_centre[0], 1, "x", seat)
    world = create_world(identity, START_S, policies, 1)
    listings = [listing(number) for number in range(N_SERVERS)]
    received = ConfigurationReceived(Snapshot(1, site_document()), [], True)
    run_tick(world, START_S, [received, ServersListed("shop", listings)])
    world.servers.never_used.clear()
    set_service_times(world)
    return world


@pytest.fixture
def pair() -> tuple[World, World]:
    """Return two instances of a data centre that know of each other."""
    first, second = make_world("n-1"), make_world("n-2")
    exchange([first, second], START_S + 1.0)
    return first, second


def exchange(worlds: list[World], now_s: float) -> None:
    """Deliver the heartbeats that are due of each instance to the others."""
    beats = [Heartbeat(w.identity.seat, 1, 1, 1, False) for w in worlds]
    sent: list[tuple[World, Input]] = []
    for world, beat in zip(worlds, beats, strict=True):
        beat.data_centre = world.identity.data_centre
        beat.peer_address = world.identity.seat
        effects = run_tick(world, now_s, [])
        messages = [e.message for e in effects if isinstance(e, SendPeerMessage)]
        found = [m for m in messages if isinstance(m, Heartbeat)] or [beat]
        sent.append((world, PeerMessageReceived(found[0])))
    for world, received in sent:
        for other in worlds:
            if other is not world:
                run_tick(other, now_s, [received])


# Each of many instances sends few of the requests for an object. Without the others'
# uses nearly every request would be placed as if no server were warm.
def test_instance_uses_the_server_that_a_peer_made_warm(
    pair: tuple[World, World],
) -> None:
    first, second = pair
    (attempt,) = started(arrive(first, START_S + 1.1, 1, "17"))
    exchange([first, second], START_S + 2.5)
    (other,) = started(arrive(second, START_S + 2.6, 1, "17"))
    row = second.requests.get(1)
    assert row is not None
    assert other.server_id == attempt.server_id
    assert row.was_warm


def test_uses_are_told_once(pair: tuple[World, World]) -> None:
    first, _ = pair
    arrive(first, START_S + 1.1, 1, "17")
    told = []
    for step in range(8):
        for effect in run_tick(first, START_S + 1.2 + 0.5 * step, []):
            if isinstance(effect, SendPeerMessage):
                assert isinstance(effect.message, Heartbeat)
                told += [
                    key for keys in effect.message.handled.values() for key in keys
                ]
    assert told == [object_digest("look", "17")]


def test_uses_of_unknown_servers_and_impossible_responses_are_ignored(
    pair: tuple[World, World],
) -> None:
    world, _ = pair
    apply_uses(world, START_S + 2, {12345: [1, 2]}, is_local=True)
    assert not world.objects.unsent_local
    wrong = [0, N_TRACKED_PER_SERVER + 1, -N_TRACKED_PER_SERVER - 1, 10**9]
    apply_responses(world, {"shop": wrong}, is_local=True)
    assert world.objects.memory_of("shop").n_objects == N_ASSUMED_PER_SERVER


def test_restarted_server_is_warm_for_nothing_that_was_told(
    pair: tuple[World, World],
) -> None:
    world, _ = pair
    key = object_digest("look", "17")
    apply_uses(world, START_S + 2, {server_digest("i-0"): [key]}, is_local=True)
    assert world.objects.is_warm("i-0", key)
    listings = [listing(n, incarnation=2) for n in range(N_SERVERS)]
    run_tick(world, START_S + 2.1, [ServersListed("shop", listings)])
    assert not world.objects.is_warm("i-0", key)


def test_number_of_objects_that_servers_keep_is_learned_by_all(
    pair: tuple[World, World],
) -> None:
    first, second = pair
    for _ in range(3):
        for depth in range(N_KEPT - 1, N_TRACKED_PER_SERVER):
            record_response(first, "shop", depth, depth < N_KEPT)
    exchange([first, second], START_S + 2.5)
    for world in (first, second):
        assert world.objects.memory_of("shop").n_objects == N_KEPT


def test_object_out_of_a_servers_memory_is_expected_cold(
    pair: tuple[World, World],
) -> None:
    world, _ = pair
    memory = world.objects.memory_of("shop")
    memory.n_objects = N_KEPT
    keys = [object_digest("look", str(number)) for number in range(N_KEPT + 1)]
    apply_uses(world, START_S + 2, {server_digest("i-0"): keys}, is_local=True)
    assert not world.objects.is_warm("i-0", keys[0])
    assert world.objects.is_warm("i-0", keys[1])
    assert not world.objects.is_warm_in_pool("shop", keys[0])


# A new object takes the place of another one in a server's memory: it goes where that
# one was last used longest ago, or where there is room.
def test_new_object_goes_where_it_evicts_nothing_that_is_in_use(
    pair: tuple[World, World],
) -> None:
    world, _ = pair
    world.objects.memory_of("shop").n_objects = N_KEPT
    for number in range(N_SERVERS - 1):
        keys = [object_digest("look", f"{number}/{k}") for k in range(N_KEPT)]
        digest = server_digest(f"i-{number}")
        apply_uses(world, START_S + 2, {digest: keys}, is_local=True)
    for number in range(N_KEPT):
        now_s = START_S + 2.1 + 0.5 * number
        (attempt,) = started(arrive(world, now_s, number, f"new-{number}"))
        assert attempt.server_id == f"i-{N_SERVERS - 1}"
        finish(world, now_s + WARM_S, attempt)


def test_upload_stays_in_its_data_centre_although_another_has_a_warm_server(
    pair: tuple[World, World],
) -> None:
    world, _ = pair
    listings = [listing(n, "a-2" if n else "a-1") for n in range(N_SERVERS)]
    run_tick(world, START_S + 2, [ServersListed("shop", listings)])
    world.servers.never_used.clear()
    keys = [object_digest("order", str(number)) for number in range(8)]
    apply_uses(world, START_S + 3, {server_digest("i-3"): keys}, is_local=True)
    for number in range(8):
        now_s = START_S + 3 + number
        arrived = RequestArrived(
            number,
            "/order/x",
            timeout_s=2.0,
            object_key=str(number),
            is_replayable=False,
            n_body_bytes=60_000,
        )
        (attempt,) = started(run_tick(world, now_s, [arrived]))
        assert attempt.server_id == "i-0"
        finish(world, now_s + COLD_S, attempt)


def test_uses_reach_all_data_centres_once_by_one_relay_each() -> None:
    fleet = Fleet(36, 40.0, DATA_CENTRES)
    for step in range(60):
        fleet.tick(step * STEP_S, {})
    for world in fleet.worlds.values():
        world.servers.add(ServerRow("i-0", "shop", "x", "a-1", "a"))
    key = object_digest("look", "17")
    use = (server_digest("i-0"), key)
    world = fleet.worlds["n-20"]
    world.objects.unsent.append(use)
    world.objects.unsent_local.append(use)
    n_told = dict.fromkeys(fleet.worlds, 0)
    received_s: dict[str, int] = {}
    for step in range(60, 160):
        for seat in fleet.worlds:
            for item in fleet.in_transit(seat):
                message = item.message
                if isinstance(message, Heartbeat | DataCentreSummary):
                    n_told[seat] += sum(key in k for k in message.handled.values())
                    if n_told[seat] and seat not in received_s:
                        received_s[seat] = step
        fleet.tick(step * STEP_S, {})
    others = set(fleet.worlds) - {"n-20"}
    assert {seat for seat in others if n_told[seat] == 1} == others
    assert max(received_s.values()) * STEP_S < 60 * STEP_S + 2.0
    relays = [w for w in fleet.worlds.values() if local_rank(w) == 0]
    assert len(relays) == len(DATA_CENTRES)
