"""Load of a pool from the requests that the instances themselves have in flight."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from conftest import encoded_fields
from rhubarbspan.edge.instance import choose_policies
from rhubarbspan.inputs import (
    Input,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    ServerLoadReported,
    ServersListed,
)
from rhubarbspan.measure.scarcity import Scarcity, measure_scarcity
from rhubarbspan.peer_messages import DataCentreSummary, Heartbeat, InFlight
from rhubarbspan.platform.settings import PlatformSettings
from rhubarbspan.systems import membership, summaries
from rhubarbspan.systems.load_counts import SUMMARY_MAX_AGE_S, count_own
from rhubarbspan.systems.load_reports import estimate_others
from rhubarbspan.systems.placement import measure_utilisation
from rhubarbspan.systems.told_uses import USES_WINDOW_S
from rhubarbspan.tables.objects import server_digest
from rhubarbspan.tables.servers import ServerRow, Servers
from rhubarbspan.tick import run_tick
from rhubarbspan.wire.peer import decode_message, encode_message
from rhubarbspan.world import World
from test_placement import (
    N_SERVERS,
    START_S,
    arrive,
    listing,
    started,
)
from test_placement import world as world  # noqa: PLC0414

N_OTHER_SERVERS = 4
NOW_S = START_S + 3.0
MESSAGES: tuple[Heartbeat | DataCentreSummary, ...] = (
    Heartbeat("n-2", 1, 1, 1, False),
    DataCentreSummary("m-1", 1, "b-1", [], {}, True),
)
# A fleet with a region that has a tenth of the servers and a third of the callers.
SERVER_WEIGHTS = {
    "east-a": 0.25,
    "east-b": 0.25,
    "west-a": 0.2,
    "west-b": 0.2,
    "south-a": 0.05,
    "south-b": 0.05,
}
UNEQUAL_FLEET = Scarcity(
    n_instances=84,
    n_servers=372,
    load=2.6,
    duration_s=6.0,
    n_objects=800,
    popularity_exponent=1.0,
    server_weights=SERVER_WEIGHTS,
    do_reports_count_answered=True,
)
MAX_REGION_STEP = 0.075
# A pool of which fewer slots are in use has idle slots for each kind of request.
MAX_BUSY = 0.7


@pytest.fixture
def fleet_world(world: World) -> World:
    """Return the world of an instance of a fleet in three data centres.

    The servers of region a are idle but for one whose load was reported.
    """
    listings = [
        *(listing(number) for number in range(N_SERVERS)),
        *(listing(10 + number, "b-1") for number in range(N_OTHER_SERVERS)),
    ]
    peers = [
        PeerListing("n-1", "n-1", "n-1", "a-1"),
        PeerListing("n-2", "n-2", "n-2", "a-1"),
        PeerListing("n-3", "n-3", "n-3", "a-1"),
        PeerListing("m-1", "m-1", "m-1", "b-1"),
        PeerListing("k-1", "k-1", "k-1", "c-1"),
    ]
    inputs: list[Input] = [
        ServersListed("shop", listings),
        PeersListed(peers),
        ServerLoadReported("i-0", 2, 3, 2, 1.0),
    ]
    run_tick(world, START_S + 0.1, inputs)
    world.servers.never_used.clear()
    return world


def server(world: World, server_id: str) -> ServerRow:
    """Return the row of a server."""
    row = world.servers.get(server_id)
    assert row is not None
    return row


def tell(
    world: World,
    now_s: float,
    seat: str,
    in_flight: InFlight | None,
    data_centre: str = "a-1",
) -> None:
    """Deliver a heartbeat of a peer."""
    sequence = int(now_s * 1000)
    beat = Heartbeat(
        seat, 1, sequence, 1, False, data_centre=data_centre, in_flight=in_flight
    )
    run_tick(world, now_s, [PeerMessageReceived(beat)])


def tell_summary(
    world: World,
    now_s: float,
    data_centre: str,
    in_flight: InFlight | None,
    age_s: float = 0.0,
) -> None:
    """Deliver a summary of another data centre."""
    seat = {"b-1": "m-1", "c-1": "k-1"}[data_centre]
    summary = DataCentreSummary(
        seat, 1, data_centre, [], {}, True, age_s=age_s, in_flight=in_flight
    )
    run_tick(world, now_s, [PeerMessageReceived(summary)])


def utilisation(world: World, now_s: float, region: str = "") -> float:
    """Return the utilisation of the pool, or of its servers in one region."""
    regions = frozenset({region}) if region else None
    pool = world.configuration.pools["shop"]
    return measure_utilisation(world, now_s, pool, regions)


def others(world: World, now_s: float, server_id: str) -> float:
    """Return the estimate of the other instances' requests on a server."""
    utilisation(world, now_s)
    return estimate_others(world, server(world, server_id), now_s)


# Reports came from busy servers, and their mean counted for idle ones.
def test_load_of_a_pool_is_what_the_instances_have_in_flight(
    fleet_world: World,
) -> None:
    tell(fleet_world, NOW_S, "n-2", {"shop": {"a": 2, "b": 1}})
    tell(fleet_world, NOW_S, "n-3", {"shop": {"a": 1}})
    tell_summary(fleet_world, NOW_S, "b-1", {"shop": {"a": 3, "b": 7}})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(6 / N_SERVERS)
    assert others(fleet_world, NOW_S, "i-10") == pytest.approx(8 / N_OTHER_SERVERS)
    n_slots = 2 * (N_SERVERS + N_OTHER_SERVERS)
    assert utilisation(fleet_world, NOW_S) == pytest.approx(14 / n_slots)
    assert utilisation(fleet_world, NOW_S, "a") == pytest.approx(6 / (2 * N_SERVERS))
    assert utilisation(fleet_world, NOW_S, "b") == pytest.approx(
        8 / (2 * N_OTHER_SERVERS)
    )


def test_fresh_report_of_a_server_counts_more_than_the_counts(
    fleet_world: World,
) -> None:
    tell(fleet_world, NOW_S, "n-2", {"shop": {"a": 6}})
    tell_summary(fleet_world, NOW_S, "b-1", {})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    # The other two instances of the data centre are silent.
    run_tick(fleet_world, NOW_S, [ServerLoadReported("i-1", 2, 3, 2, 1.0)])
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(5.0)
    assert others(fleet_world, NOW_S + 0.5, "i-1") == pytest.approx(3.0)
    assert others(fleet_world, NOW_S + 1.0, "i-1") == pytest.approx(1.0)


def test_own_requests_are_told_by_region_and_not_counted_twice(
    fleet_world: World,
) -> None:
    tell(fleet_world, NOW_S, "n-2", {})
    tell_summary(fleet_world, NOW_S, "b-1", {})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    before = utilisation(fleet_world, NOW_S)
    (attempt,) = started(arrive(fleet_world, NOW_S + 0.2, 1, "17"))
    region = server(fleet_world, attempt.server_id).region
    assert count_own(fleet_world) == {"shop": {region: 1}}
    after = utilisation(fleet_world, NOW_S + 0.4)
    assert after - before == pytest.approx(1 / (2 * (N_SERVERS + N_OTHER_SERVERS)))


def test_silent_peer_is_no_longer_counted(fleet_world: World) -> None:
    tell(fleet_world, NOW_S, "n-2", {"shop": {"a": 6}})
    tell(fleet_world, NOW_S, "n-3", {"shop": {"a": 6}})
    tell_summary(fleet_world, NOW_S, "b-1", {})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(2.0)
    later_s = NOW_S + 2 * fleet_world.policies.dead_after_s
    tell(fleet_world, later_s, "n-2", {"shop": {"a": 6}})
    tell_summary(fleet_world, later_s, "b-1", {})
    tell_summary(fleet_world, later_s, "c-1", {})
    assert others(fleet_world, later_s, "i-1") == pytest.approx(1.0)


# Servers of popular objects got more requests than they could queue: as many counted
# for them as for servers that hardly any request goes to.
def test_server_that_others_use_more_counts_as_busier(fleet_world: World) -> None:
    uses = {server_digest("i-1"): [1] * 12}
    beat = Heartbeat(
        "n-2",
        1,
        1,
        1,
        False,
        data_centre="a-1",
        handled=uses,
        in_flight={"shop": {"a": 9}},
    )
    run_tick(fleet_world, NOW_S, [PeerMessageReceived(beat)])
    tell_summary(fleet_world, NOW_S, "b-1", {})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(9 * 13 / 18)
    assert others(fleet_world, NOW_S, "i-2") == pytest.approx(9 * 1 / 18)
    assert utilisation(fleet_world, NOW_S, "a") == pytest.approx(9 / (2 * N_SERVERS))
    later_s = NOW_S + 10 * USES_WINDOW_S
    tell(fleet_world, later_s, "n-2", {"shop": {"a": 9}})
    tell_summary(fleet_world, later_s, "b-1", {})
    tell_summary(fleet_world, later_s, "c-1", {})
    assert others(fleet_world, later_s, "i-1") == pytest.approx(9 / N_SERVERS, rel=0.01)


# A server that started again has none of the requests that it got before, and no longer
# is warm for their objects.
def test_uses_of_a_server_are_forgotten_when_it_starts_again(
    fleet_world: World,
) -> None:
    uses = {server_digest("i-1"): [1] * 12}
    beat = Heartbeat("n-2", 1, 1, 1, False, data_centre="a-1", handled=uses)
    run_tick(fleet_world, NOW_S, [PeerMessageReceived(beat)])
    listings = [listing(number) for number in range(N_SERVERS)]
    listings[1] = listing(1, incarnation=2)
    run_tick(fleet_world, NOW_S, [ServersListed("shop", listings)])
    tell(fleet_world, NOW_S + 0.1, "n-2", {"shop": {"a": 9}})
    tell_summary(fleet_world, NOW_S, "b-1", {})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(9 / N_SERVERS)


# An instance of an earlier version would count as idle during a rollout.
def test_peer_that_tells_no_counts_counts_as_the_mean_of_the_others(
    fleet_world: World,
) -> None:
    tell(fleet_world, NOW_S, "n-2", {"shop": {"a": 6}})
    tell(fleet_world, NOW_S, "n-3", None)
    tell_summary(fleet_world, NOW_S, "b-1", {})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    # The instance itself has none in flight, the peer 6: the third counts as 3.
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(9 / N_SERVERS)


def test_data_centre_whose_summaries_are_missing_counts_as_the_mean_of_the_others(
    fleet_world: World,
) -> None:
    tell(fleet_world, NOW_S, "n-2", {})
    tell_summary(fleet_world, NOW_S, "b-1", {"shop": {"a": 6}})
    tell_summary(fleet_world, NOW_S, "c-1", {"shop": {"a": 12}})
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(3.0)
    later_s = NOW_S + SUMMARY_MAX_AGE_S + 0.1
    tell(fleet_world, later_s, "n-2", {})
    tell_summary(fleet_world, later_s, "b-1", {"shop": {"a": 6}})
    assert others(fleet_world, later_s, "i-1") == pytest.approx(2.0)


def test_data_centre_that_is_cut_off_counts_its_own_requests(
    fleet_world: World,
) -> None:
    tell(fleet_world, NOW_S, "n-2", {"shop": {"a": 3}})
    tell_summary(fleet_world, NOW_S, "b-1", {"shop": {"a": 12}})
    tell_summary(fleet_world, NOW_S, "c-1", {"shop": {"a": 12}})
    later_s = NOW_S + SUMMARY_MAX_AGE_S + 0.1
    tell(fleet_world, later_s, "n-2", {"shop": {"a": 3}})
    # Each of the two data centres that are not heard counts as the own one.
    assert others(fleet_world, later_s, "i-1") == pytest.approx(9 / N_SERVERS)


# The last counts of a heartbeat were used for as long as summaries told that its sender
# was alive: once a fleet has grown to two levels, without end.
def test_counts_of_an_instance_that_sends_no_more_heartbeats_are_not_used(
    fleet_world: World,
) -> None:
    tell(fleet_world, NOW_S, "m-1", {"shop": {"b": 8}}, "b-1")
    for n_seconds in range(1, 5):
        now_s = NOW_S + n_seconds
        tell(fleet_world, now_s, "n-2", {})
        tell(fleet_world, now_s, "n-3", {})
        tell_summary(fleet_world, now_s, "b-1", None)
        tell_summary(fleet_world, now_s, "c-1", {})
    assert others(fleet_world, now_s, "i-10") == 0.0


# A relay that has just started does not know yet that servers report their speed.
def test_relay_that_tells_no_counts_does_not_hide_those_of_the_other(
    fleet_world: World,
) -> None:
    tell_summary(fleet_world, NOW_S, "c-1", {})
    tell_summary(fleet_world, NOW_S, "b-1", {"shop": {"b": 8}})
    tell_summary(fleet_world, NOW_S + 0.5, "b-1", None)
    n_others = others(fleet_world, NOW_S + 0.5, "i-10")
    assert n_others == pytest.approx(8 / N_OTHER_SERVERS)


# Each pool's update counted the requests at the servers of all pools.
def test_cost_of_an_update_does_not_grow_with_the_servers_of_other_pools(
    fleet_world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    tell(fleet_world, NOW_S, "n-2", {"shop": {"a": 2}})
    monkeypatch.setattr(Servers, "rows", _refuse_rows)
    assert utilisation(fleet_world, NOW_S) > 0.0


def _refuse_rows(servers: Servers) -> list[ServerRow]:
    raise AssertionError("the servers of all pools were counted")


def test_older_summary_does_not_replace_a_newer_one(fleet_world: World) -> None:
    tell(fleet_world, NOW_S, "n-2", {})
    tell_summary(fleet_world, NOW_S, "c-1", {})
    tell_summary(fleet_world, NOW_S, "b-1", {"shop": {"a": 6}}, 0.1)
    tell_summary(fleet_world, NOW_S, "b-1", {"shop": {"a": 60}}, 0.5)
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx(1.0)


@pytest.mark.parametrize("n", [-1.0, 1e7, 6 * N_SERVERS])
def test_implausible_counts_are_ignored(fleet_world: World, n: float) -> None:
    tell(fleet_world, NOW_S, "n-2", {"shop": {"a": 6}})
    tell(fleet_world, NOW_S, "n-3", {"shop": {"a": n}})
    tell_summary(fleet_world, NOW_S, "b-1", {"shop": {"a": -6.0}})
    tell_summary(fleet_world, NOW_S, "c-1", {"shop": {"a": 3.0}})
    # The sender of implausible figures counts as the mean of the others.
    assert others(fleet_world, NOW_S, "i-1") == pytest.approx((9 + 6) / N_SERVERS)


def test_without_counts_the_mean_of_the_reports_applies(fleet_world: World) -> None:
    now_s = START_S + 0.2
    tell(fleet_world, now_s, "n-2", None)
    assert others(fleet_world, now_s, "i-1") == pytest.approx(5.0)
    assert not fleet_world.servers.counted_pools


def test_counts_do_not_matter_where_servers_report_no_speed(world: World) -> None:
    run_tick(world, NOW_S, [ServerLoadReported("i-0", 2, 3, 2)])
    tell(world, NOW_S, "n-2", {"shop": {"a": 6}})
    assert count_own(world) is None
    assert others(world, NOW_S, "i-1") == 0.0
    assert utilisation(world, NOW_S) == pytest.approx(5 / (2 * N_SERVERS))


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_of_an_earlier_version_tells_no_counts(
    message: Heartbeat | DataCentreSummary,
) -> None:
    told = replace(message, in_flight={"shop": {"a": 2, "b": 1}})
    assert decode_message(encode_message(told)) == told
    fields_before = encoded_fields(message, before="in_flight")
    assert decode_message(fields_before) == message


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_of_an_earlier_version_misses_nobody(
    message: Heartbeat | DataCentreSummary,
) -> None:
    told = replace(message, missed=["n-5"])
    assert decode_message(encode_message(told)) == told
    assert decode_message(encoded_fields(message, before="missed")) == message


def no_counts(world: World) -> None:
    """Tell no counts."""


def measure_unequal_fleet() -> tuple[float, float, float]:
    """Return the fractions refused without a server, of busy slots, and rejected."""
    settings = PlatformSettings("x", "a-1", "a", {"a-1": "a"}, "", "", "", "", "")
    # The regions of the fleet are those of its document.
    policies = replace(
        choose_policies(settings), max_region_step=MAX_REGION_STEP, regions=None
    )
    figures = measure_scarcity(UNEQUAL_FLEET, policies=policies)
    return figures.no_server, figures.busy, figures.rejected


# The mean of the reports counted for all servers, so that slots seemed scarce and
# requests were refused while half of them were idle.
def test_requests_are_not_refused_while_slots_are_idle() -> None:
    no_server, busy, rejected = measure_unequal_fleet()
    assert busy < MAX_BUSY
    assert no_server < 0.01
    assert rejected < 0.03


# Guards the test above: it must fail without the counts.
def test_requests_are_refused_while_slots_are_idle_without_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    nothing: Callable[[World], None] = no_counts
    monkeypatch.setattr(membership, "count_own", nothing)
    monkeypatch.setattr(summaries, "count_data_centre", nothing)
    no_server, busy, _ = measure_unequal_fleet()
    assert busy < MAX_BUSY
    assert no_server > 0.01
