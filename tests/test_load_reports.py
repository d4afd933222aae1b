"""Load reports with the speed of machines: their use, their age, and told ones."""

import random

import pytest

from conftest import encoded_fields
from rhubarbspan.configuration import Pool
from rhubarbspan.document import Snapshot
from rhubarbspan.effects import SendPeerMessage
from rhubarbspan.inputs import (
    AttemptEnded,
    Completed,
    ConfigurationReceived,
    Input,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    ServerLoadReported,
    ServersListed,
    Shed,
)
from rhubarbspan.measure.scarcity import Scarcity, measure_scarcity
from rhubarbspan.peer_messages import Heartbeat
from rhubarbspan.systems.load_reports import (
    LOAD_REPORT_MAX_AGE_S,
    estimate_others,
)
from rhubarbspan.systems.placement import measure_utilisation
from rhubarbspan.systems.slowdowns import (
    INITIAL_REMAINING_S,
    MAX_SLOWDOWN_AGE_S,
    MIN_SLOWDOWN_AGE_S,
    current_slowdown,
    record_slowdown,
    slowdown_max_age_s,
)
from rhubarbspan.tables.objects import object_digest, server_digest
from rhubarbspan.tables.servers import ServerRow
from rhubarbspan.tick import run_tick
from rhubarbspan.wire.peer import decode_message, encode_message
from rhubarbspan.world import Identity, World, create_world
from test_placement import (
    N_SERVERS,
    START_S,
    WARM_S,
    arrive,
    finish,
    site_document,
    started,
)
from test_placement import listing as make_listing
from test_placement import world as world  # noqa: PLC0414


def server(world: World, server_id: str) -> ServerRow:
    """Return the row of a server."""
    row = world.servers.get(server_id)
    assert row is not None
    return row


def pool_of(world: World) -> Pool:
    """Return the pool of all servers."""
    return world.configuration.pools["shop"]


@pytest.fixture
def peer(world: World) -> World:
    """Return the world of another instance of the same data centre."""
    identity = Identity("n-2", "a-1", "a", 2, "n-2", "n-2")
    created = create_world(identity, START_S, world.policies, 2)
    received = ConfigurationReceived(Snapshot(1, site_document()), [], True)
    listings = [make_listing(number) for number in range(N_SERVERS)]
    run_tick(created, START_S, [received, ServersListed("shop", listings)])
    peers = [PeerListing(f"n-{n}", f"n-{n}", f"n-{n}", "a-1") for n in (1, 2)]
    run_tick(created, START_S, [PeersListed(peers)])
    run_tick(world, START_S, [PeersListed(peers)])
    return created


def heartbeat_of(world: World, now_s: float) -> Heartbeat:
    """Run a tick in which a heartbeat is due and return it."""
    messages = [
        effect.message
        for effect in run_tick(world, now_s, [])
        if isinstance(effect, SendPeerMessage)
    ]
    return next(m for m in messages if isinstance(m, Heartbeat))


# A slowed server looked as fast as another, so that requests were late on it.
def test_slowed_server_is_left_for_another_warm_one_and_used_again_later(
    world: World,
) -> None:
    key = object_digest("look", "17")
    for number in (0, 1):
        world.objects.record_handled("shop", f"i-{number}", key, START_S)
    for number, (slowed, other) in enumerate((("i-0", "i-1"), ("i-1", "i-0"))):
        now_s = START_S + 2 + number
        slow = ServerLoadReported(slowed, 0, 0, 2, 2.5)
        usual = ServerLoadReported(other, 0, 0, 2, 1.0)
        run_tick(world, now_s, [slow, usual])
        (attempt,) = started(arrive(world, now_s, number, "17"))
        assert attempt.server_id == other
        finish(world, now_s + 0.2, attempt)


def test_slowdown_and_load_count_less_with_their_age(world: World) -> None:
    run_tick(world, START_S + 2, [ServerLoadReported("i-0", 2, 2, 2, 2.5)])
    row = server(world, "i-0")
    slowdowns = [
        current_slowdown(world, row, START_S + 2 + fraction * 2 * INITIAL_REMAINING_S)
        for fraction in (0.0, 0.5, 1.0)
    ]
    assert slowdowns == pytest.approx([2.5, 1.75, 1.0])
    later_s = START_S + 2 + LOAD_REPORT_MAX_AGE_S
    assert estimate_others(world, row, later_s) == 0.0


def report_phases(
    world: World, slowed_s: float, interval_s: float, n_phases: int
) -> None:
    """Report a server at an interval whose machine is slowed for a time, in turns."""
    row = server(world, "i-0")
    rng = random.Random(3)
    now_s = START_S + 2
    for _ in range(n_phases):
        begin_s = now_s + rng.uniform(0, interval_s)
        while now_s < begin_s + 3 * slowed_s:
            is_slowed = begin_s <= now_s < begin_s + slowed_s
            record_slowdown(world, row, 2.5 if is_slowed else 1.0, now_s)
            now_s += interval_s * rng.uniform(0.5, 1.5)


# The age was a constant of 0.6 s, measured on one deployment.
@pytest.mark.parametrize("slowed_s", [0.3, 0.6, 3.0])
def test_time_for_which_machines_stay_slowed_is_learned(
    world: World, slowed_s: float
) -> None:
    report_phases(world, slowed_s, 0.1, 200)
    learned_s = slowdown_max_age_s(world, "shop")
    # The reports cannot tell a fixed duration from a random one of the same mean.
    assert slowed_s <= learned_s <= 2.5 * slowed_s
    assert slowdown_max_age_s(world, "other") == 2 * INITIAL_REMAINING_S


def test_learned_time_has_bounds(world: World) -> None:
    report_phases(world, 0.02, 0.01, 400)
    assert slowdown_max_age_s(world, "shop") == MIN_SLOWDOWN_AGE_S
    row = server(world, "i-0")
    for number in range(3000):
        record_slowdown(world, row, 2.5, START_S + 1000 + number * 0.5)
    assert slowdown_max_age_s(world, "shop") == MAX_SLOWDOWN_AGE_S


def test_slots_of_slowed_servers_count_less_in_utilisation(world: World) -> None:
    loads: list[Input] = [
        ServerLoadReported(f"i-{number}", 1, 0, 2, 2.0) for number in range(N_SERVERS)
    ]
    run_tick(world, START_S + 2, loads)
    fraction = measure_utilisation(world, START_S + 2, pool_of(world), None)
    assert fraction == pytest.approx(1.0)


# Times measured on slowed machines made other servers look slow too.
def test_learned_times_refer_to_a_machine_at_its_usual_speed(world: World) -> None:
    for number in range(40):
        now_s = START_S + 2 + number
        (attempt,) = started(arrive(world, now_s, number, "17"))
        load = ServerLoadReported(attempt.server_id, 0, 0, 2, 2.0)
        run_tick(world, now_s, [load])
        row = world.requests.get(number)
        assert row is not None
        row.slowdown = 2.0
        end_s = now_s + 2 * WARM_S
        ended = AttemptEnded(attempt.request_id, attempt.attempt_id, Completed(200))
        run_tick(world, end_s, [load, ended])
    assert world.objects.service_times_of("look").warm_s == pytest.approx(WARM_S)


# Most reports of a server go to other instances: without them an instance sends to
# servers that are full, which reject the request.
def test_peer_leaves_a_server_whose_load_it_was_told(world: World, peer: World) -> None:
    now_s = START_S + 10
    run_tick(world, now_s - 0.01, [])
    run_tick(peer, now_s - 0.01, [])
    run_tick(world, now_s, [ServerLoadReported("i-0", 2, 9, 2, 1.5)])
    heartbeat = heartbeat_of(world, now_s + 0.3)
    assert list(heartbeat.server_loads) == [server_digest("i-0")]
    decoded = decode_message(encode_message(heartbeat))
    assert decoded == heartbeat
    run_tick(peer, now_s + 0.3, [PeerMessageReceived(heartbeat)])
    row = server(peer, "i-0")
    assert row.n_others == 11
    assert row.slowdown == 1.5
    assert row.others_reported_s == pytest.approx(now_s)
    # A load that has not changed is not told again at once.
    run_tick(world, now_s + 0.35, [ServerLoadReported("i-0", 2, 9, 2, 1.5)])
    assert not heartbeat_of(world, now_s + 0.6).server_loads


def test_server_that_rejects_without_a_report_is_told_as_full(
    world: World, peer: World
) -> None:
    run_tick(world, START_S + 2, [ServerLoadReported("i-1", 0, 0, 2, 1.0)])
    (attempt,) = started(arrive(world, START_S + 3, 1, "17"))
    run_tick(world, START_S + 3.01, [AttemptEnded(1, attempt.attempt_id, Shed())])
    heartbeat = heartbeat_of(world, START_S + 3.3)
    run_tick(peer, START_S + 3.3, [PeerMessageReceived(heartbeat)])
    assert server(peer, attempt.server_id).n_others == 5
    assert server(world, attempt.server_id).n_others == 5


# Peers were told one request too many of servers whose reports count the request that
# they answer, and slots seemed scarce.
def test_answered_request_is_not_told_as_load(world: World) -> None:
    run_tick(world, START_S + 2, [ServerLoadReported("i-0", 1, 0, 2, 1.0)])
    for number in range(3):
        now_s = START_S + 3 + number
        (attempt,) = started(arrive(world, now_s, number, "17"))
        load = ServerLoadReported(attempt.server_id, 2, 1, 2, 1.0)
        run_tick(world, now_s + 0.1, [load])
        assert server(world, attempt.server_id).n_others == 2
        assert world.servers.unsent_loads[attempt.server_id].n_all == 2
        finish(world, now_s + 0.2, attempt)


# The own request was taken off twice where reports leave out the one that they answer.
def test_answered_request_is_not_taken_off_twice(world: World) -> None:
    for number, n_running in enumerate((0, 2)):
        now_s = START_S + 3 + number
        (attempt,) = started(arrive(world, now_s, number, "17"))
        load = ServerLoadReported(attempt.server_id, n_running, 0, 2, 1.0)
        run_tick(world, now_s + 0.1, [load])
        assert server(world, attempt.server_id).n_others == n_running
        assert world.servers.unsent_loads[attempt.server_id].n_all == n_running
        finish(world, now_s + 0.2, attempt)


def test_few_servers_that_misreport_idleness_do_not_change_what_reports_count(
    world: World,
) -> None:
    reports = [3] * 40 + [0, 3]
    for number, n_running in enumerate(reports):
        now_s = START_S + 3 + number
        (attempt,) = started(arrive(world, now_s, number, "17"))
        load = ServerLoadReported(attempt.server_id, n_running, 0, 4, 1.0)
        run_tick(world, now_s + 0.1, [load])
        assert server(world, attempt.server_id).n_others == max(0, n_running - 1)
        finish(world, now_s + 0.2, attempt)


# A server does not count the request that it refuses.
def test_refused_request_is_not_taken_off_the_reported_load(world: World) -> None:
    run_tick(world, START_S + 2, [ServerLoadReported("i-1", 1, 0, 2, 1.0)])
    (attempt,) = started(arrive(world, START_S + 3, 1, "17"))
    load = ServerLoadReported(attempt.server_id, 2, 9, 2, 1.0, is_refusal=True)
    ended = AttemptEnded(1, attempt.attempt_id, Shed())
    run_tick(world, START_S + 3.01, [load, ended])
    assert server(world, attempt.server_id).n_others == 11


def test_servers_without_speed_are_not_told(world: World, peer: World) -> None:
    run_tick(world, START_S + 2, [ServerLoadReported("i-0", 2, 9, 2)])
    assert not heartbeat_of(world, START_S + 2.3).server_loads
    assert not world.servers.speed_pools
    (attempt,) = started(arrive(world, START_S + 3, 1, "17"))
    run_tick(world, START_S + 3.01, [AttemptEnded(1, attempt.attempt_id, Shed())])
    assert not world.servers.unsent_loads


def test_told_loads_that_are_implausible_or_older_are_ignored(world: World) -> None:
    run_tick(world, START_S + 2, [ServerLoadReported("i-0", 1, 0, 2, 1.0)])
    digest = server_digest("i-0")
    for figures in (
        [9.0, 1.0, 5.0],
        [-1.0, 1.0, -1.0],
        [1.0, 0.0, 0.0],
        [1.0, 1e9, 0.0],
        [1e12, 1.0, 0.0],
        [1.0, 1.0],
    ):
        loads = {digest: figures, 1: [1.0, 1.0, 0.0]}
        heartbeat = Heartbeat("a-1-9", 1, 1, 1, False, server_loads=loads)
        run_tick(world, START_S + 2.1, [PeerMessageReceived(heartbeat)])
        assert server(world, "i-0").n_others == 1
        assert server(world, "i-0").slowdown == 1.0


def test_heartbeat_of_an_earlier_version_tells_no_loads() -> None:
    beat = Heartbeat("a-1-9", 1, 1, 1, False)
    decoded = decode_message(encoded_fields(beat, before="server_loads"))
    assert isinstance(decoded, Heartbeat)
    assert decoded.server_loads == {}


# Servers of unknown load counted as idle, so that instances that share busy servers
# sent more than these can queue: 32% of the sends were rejected in this load, and 17%
# when loads were told but unknown ones counted as idle. The requirement is 3%.
def test_few_sends_are_rejected_while_many_instances_share_busy_servers() -> None:
    figures = measure_scarcity(Scarcity(load=1.3, duration_s=6.0))
    assert figures.rejected < 0.03
