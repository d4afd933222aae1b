"""Choice of a server by object, and the treatment of requests when slots are scarce."""

from collections import Counter
from collections.abc import Callable

import pytest

from rhubarbspan.document import Document, Snapshot
from rhubarbspan.effects import Effects, FinishRequest, StartAttempt
from rhubarbspan.inputs import (
    AttemptEnded,
    Completed,
    ConfigurationReceived,
    EvacuationsListed,
    Input,
    Misdirected,
    RequestArrived,
    ServerListing,
    ServerLoadReported,
    ServersListed,
    Shed,
    StoreRecovered,
    TimedOut,
)
from rhubarbspan.policies import DemandShares, ObjectPlacement, Policies
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import MayHaveRun, NotRun
from rhubarbspan.world import Identity, World, create_world

START_S = 100.0
N_SERVERS = 6
WARM_S = 0.2
COLD_S = 0.6

MakeWorld = Callable[..., World]


def site_document() -> Document:
    """Make a configuration with routes of two priorities and one bound to a region."""
    common = {
        "pool": "shop",
        "timeout_s": "4",
        "open": "yes",
        "attempts": "2",
        "latency_objective_s": "0.5",
        "affinity": "yes",
    }
    return {
        "data_centre a-1": {"region": "a", "seats": "0"},
        "data_centre b-1": {"region": "b", "seats": "0"},
        "pool shop": {"slots_per_server": "2", "cold_rate_per_s": "3"},
        "route look": {
            **common,
            "path_prefix": "/look/",
            "kind": "idempotent",
            "priority": "2",
        },
        "route order": {
            **common,
            "path_prefix": "/order/",
            "kind": "non_idempotent",
            "priority": "1",
        },
        "route home": {
            **common,
            "path_prefix": "/home/",
            "kind": "idempotent",
            "regions": "b",
        },
    }


def listing(number: int, data_centre: str = "a-1", **changes: object) -> ServerListing:
    """Make the listing of a server, with fields changed as given."""
    fields: dict[str, object] = {"n_slots": 2, "incarnation": 1, "sequence": 1}
    fields.update(changes)
    return ServerListing(  # type: ignore[arg-type]
        f"i-{number}", "shop", f"127.0.0.1:{7000 + number}", data_centre, **fields
    )


def set_service_times(world: World) -> None:
    """Set the warm and cold service times of all routes, as if measured before."""
    for route in ("look", "order", "home", "shop"):
        row = world.objects.service_times_of(route)
        row.warm_s, row.cold_s = WARM_S, COLD_S


@pytest.fixture
def world() -> World:
    """Return the world of an instance with six servers of known service times."""
    policies = Policies(limits=DemandShares(), choice=ObjectPlacement())
    created = create_world(Identity("n-1", "a-1", "a", 1), START_S, policies, 1)
    listings = [listing(number) for number in range(N_SERVERS)]
    received = ConfigurationReceived(Snapshot(1, site_document()), [], True)
    run_tick(created, START_S, [received, ServersListed("shop", listings)])
    created.servers.never_used.clear()
    set_service_times(created)
    return created


def arrive(
    world: World, now_s: float, number: int, key: str = "", **more: str
) -> Effects:
    """Run a tick in which one request arrives and return its effects."""
    path = more.get("path", "/look/x")
    arrived = RequestArrived(
        number, path, timeout_s=4.0, object_key=key, body_digest=str(number)
    )
    return run_tick(world, now_s, [arrived])


def started(effects: Effects) -> list[StartAttempt]:
    """List the attempts that the effects start."""
    return [effect for effect in effects if isinstance(effect, StartAttempt)]


def finished(effects: Effects) -> list[FinishRequest]:
    """List the requests that the effects finish."""
    return [effect for effect in effects if isinstance(effect, FinishRequest)]


def finish(world: World, now_s: float, attempt: StartAttempt) -> None:
    """Run a tick in which an attempt completes with status 200."""
    ended = AttemptEnded(attempt.request_id, attempt.attempt_id, Completed(200))
    run_tick(world, now_s, [ended])


def test_object_stays_on_the_server_that_knows_it(world: World) -> None:
    seen: Counter[str] = Counter()
    for number in range(20):
        now_s = START_S + 2 + number
        (attempt,) = started(arrive(world, now_s, number, "17"))
        seen[attempt.server_id] += 1
        finish(world, now_s + WARM_S, attempt)
    assert len(seen) == 1


def test_server_that_ran_an_order_does_not_know_the_object_for_look_ups(
    world: World,
) -> None:
    (order,) = started(arrive(world, START_S + 2, 1, "17", path="/order/x"))
    finish(world, START_S + 2.3, order)
    (look,) = started(arrive(world, START_S + 3, 2, "17"))
    row = world.requests.get(2)
    assert row is not None
    assert not row.was_warm
    finish(world, START_S + 3.3, look)
    (again,) = started(arrive(world, START_S + 4, 3, "17"))
    row = world.requests.get(3)
    assert row is not None
    assert row.was_warm
    # All routes send an object to the same server, which may know it from another
    # route's request.
    assert order.server_id == look.server_id == again.server_id


# Instances that ranked the servers of an object differently, such as by the order of
# the listing, would run it cold on several servers.
def test_instances_rank_the_servers_of_an_object_alike(world: World) -> None:
    other = create_world(
        Identity("n-2", "a-1", "a", 2), START_S, world.policies, seed=9
    )
    received = ConfigurationReceived(Snapshot(1, site_document()), [], True)
    listings = [listing(number) for number in reversed(range(N_SERVERS))]
    run_tick(other, START_S, [received, ServersListed("shop", listings)])
    other.servers.never_used.clear()
    for number in range(8):
        (mine,) = started(arrive(world, START_S + 2 + number, number, f"k{number}"))
        (theirs,) = started(arrive(other, START_S + 2 + number, number, f"k{number}"))
        assert mine.server_id == theirs.server_id
        finish(world, START_S + 2.5 + number, mine)
        finish(other, START_S + 2.5 + number, theirs)


# If the choice of servers depended on their number, the removal of one would move most
# objects to servers that are cold for them.
def test_removed_server_moves_only_its_own_objects(world: World) -> None:
    keys = [f"k{number}" for number in range(60)]

    def send_all(start_s: float) -> dict[str, str]:
        servers = {}
        for number, key in enumerate(keys):
            now_s = start_s + number
            (attempt,) = started(arrive(world, now_s, int(start_s) * 100 + number, key))
            servers[key] = attempt.server_id
            finish(world, now_s + 0.3, attempt)
        return servers

    before = send_all(200.0)
    listings = [listing(number) for number in range(1, N_SERVERS)]
    run_tick(world, 300.0, [ServersListed("shop", listings)])
    after = send_all(301.0)
    moved = [key for key in keys if before[key] != after[key]]
    assert moved
    assert all(before[key] == "i-0" for key in moved)


def _set_loads(world: World, now_s: float, n_others: int) -> None:
    loads: list[Input] = [
        ServerLoadReported(f"i-{number}", min(2, n_others), max(0, n_others - 2), 2)
        for number in range(N_SERVERS)
    ]
    run_tick(world, now_s, loads)


def test_no_server_learns_objects_while_slots_are_short(world: World) -> None:
    (first,) = started(arrive(world, START_S + 2, 1, "17"))
    finish(world, START_S + 2.3, first)
    _set_loads(world, START_S + 2.4, 2)
    (warm,) = started(arrive(world, START_S + 2.4, 2, "17"))
    assert warm.server_id == first.server_id
    assert not started(arrive(world, START_S + 2.4, 3, "unknown"))
    refused = finished(run_tick(world, START_S + 2.6, []))
    assert [type(effect.verdict) for effect in refused] == [NotRun]
    assert refused[0].retry_after_s > 0


def test_urgent_requests_wait_longer_while_slots_are_short(world: World) -> None:
    (first,) = started(arrive(world, START_S + 2, 1, "17"))
    finish(world, START_S + 2.1, first)
    (order,) = started(arrive(world, START_S + 2.1, 9, "17", path="/order/x"))
    finish(world, START_S + 2.3, order)
    _set_loads(world, START_S + 2.4, 4)
    assert not started(arrive(world, START_S + 2.4, 2, "17"))
    assert started(arrive(world, START_S + 2.4, 3, "17", path="/order/x"))


def test_route_without_measured_times_is_served_while_slots_are_short(
    world: World,
) -> None:
    world.objects.service_times.clear()
    _set_loads(world, START_S + 2.4, 2)
    assert started(arrive(world, START_S + 2.4, 2, ""))


def test_requests_with_homes_stay_there_or_are_refused(world: World) -> None:
    refused = finished(arrive(world, START_S + 2, 1, "17", path="/home/x"))
    refused += finished(run_tick(world, START_S + 3, []))
    assert [type(effect.verdict) for effect in refused] == [NotRun]
    listings = [listing(number) for number in range(N_SERVERS)]
    listings.append(listing(9, "b-1"))
    run_tick(world, START_S + 3, [ServersListed("shop", listings)])
    (attempt,) = started(arrive(world, START_S + 4, 2, "17", path="/home/x"))
    assert attempt.server_id == "i-9"


def test_cold_server_gets_no_more_than_the_instance_may_send(world: World) -> None:
    listings = [
        listing(number, sequence=2, cold_s=3.0, n_slots=50) for number in range(1)
    ]
    run_tick(world, START_S + 2, [ServersListed("shop", listings)])
    n_sent = sum(
        len(started(arrive(world, START_S + 2 + number * 0.01, number, "17")))
        for number in range(20)
    )
    assert n_sent == 3


def test_evacuated_servers_get_nothing_and_are_cold_when_taken_back(
    world: World,
) -> None:
    run_tick(world, START_S + 2, [EvacuationsListed(frozenset({"a-1"}))])
    assert not started(arrive(world, START_S + 2, 1, "17"))
    run_tick(world, START_S + 4, [EvacuationsListed(frozenset())])
    assert all(row.cold_until_s > START_S + 4 for row in world.servers.rows())
    assert started(arrive(world, START_S + 4, 2, "17"))


def test_server_that_joins_is_tried_with_a_request_that_may_repeat(
    world: World,
) -> None:
    (first,) = started(arrive(world, START_S + 2, 1, "17", path="/order/x"))
    finish(world, START_S + 2.3, first)
    listings = [listing(number) for number in range(N_SERVERS + 1)]
    run_tick(world, START_S + 3, [ServersListed("shop", listings)])
    (order,) = started(arrive(world, START_S + 3, 2, "17", path="/order/x"))
    assert order.server_id == first.server_id
    (look,) = started(arrive(world, START_S + 3, 3, "17"))
    assert look.server_id == f"i-{N_SERVERS}"
    assert not world.servers.never_used


def test_misdirected_server_gets_nothing_until_it_starts_again(world: World) -> None:
    (first,) = started(arrive(world, START_S + 2, 1, "17"))
    ended = AttemptEnded(first.request_id, first.attempt_id, Misdirected())
    world.queues.queue_of("shop").retry_budget = 5.0
    (second,) = started(run_tick(world, START_S + 2.1, [ended]))
    assert second.server_id != first.server_id
    row = world.servers.get(first.server_id)
    assert row is not None
    assert row.is_leaving
    number = int(first.server_id.removeprefix("i-"))
    listings = [listing(n) for n in range(N_SERVERS)]
    listings[number] = listing(number, incarnation=2)
    run_tick(world, START_S + 3, [ServersListed("shop", listings)])
    assert not row.is_leaving


def test_sheds_stay_within_the_retry_budget_and_the_refusal_is_true(
    world: World,
) -> None:
    policies = Policies(
        limits=DemandShares(), choice=ObjectPlacement(), do_sheds_use_retry_budget=True
    )
    world.policies = policies
    world.queues.queue_of("shop").retry_budget = 1.0
    (first,) = started(arrive(world, START_S + 2, 1, "17", path="/order/x"))
    ended = AttemptEnded(1, first.attempt_id, Shed())
    (second,) = started(run_tick(world, START_S + 2.01, [ended]))
    assert second.server_id != first.server_id
    effects = run_tick(
        world, START_S + 2.02, [AttemptEnded(1, second.attempt_id, Shed())]
    )
    assert not started(effects)
    assert isinstance(finished(effects)[0].verdict, NotRun)


# After an outage the store may have lost the records of servers that still run. If
# most are missing, the instance keeps the servers that it knows for a while.
def test_missing_servers_are_kept_only_after_an_outage_that_lapsed_most(
    world: World,
) -> None:
    few = [listing(number) for number in range(1, N_SERVERS)]
    run_tick(world, START_S + 2, [StoreRecovered(), ServersListed("shop", few)])
    assert world.servers.get("i-0") is None
    run_tick(world, START_S + 3, [StoreRecovered(), ServersListed("shop", [])])
    assert len(world.servers.rows()) == N_SERVERS - 1
    assert started(arrive(world, START_S + 3.1, 1, "17"))
    run_tick(world, START_S + 6, [ServersListed("shop", [])])
    assert all(row.is_leaving for row in world.servers.rows())


def test_large_upload_crosses_data_centres_rather_than_being_refused(
    world: World,
) -> None:
    listings = [listing(number, "b-1") for number in range(N_SERVERS)]
    run_tick(world, START_S + 2, [ServersListed("shop", listings)])
    world.servers.never_used.clear()
    arrived = RequestArrived(
        1,
        "/order/x",
        timeout_s=2.0,
        object_key="17",
        body_digest="",
        is_replayable=False,
        n_body_bytes=3_000_000,
    )
    assert started(run_tick(world, START_S + 3, [arrived]))


# The verdict waits for the end of the attempt, since the server may still run the
# order.
def test_order_that_times_out_is_uncertain(world: World) -> None:
    (attempt,) = started(arrive(world, START_S + 2, 1, "17", path="/order/x"))
    effects = run_tick(world, START_S + 6.1, [])
    assert not finished(effects)
    ended = AttemptEnded(1, attempt.attempt_id, TimedOut())
    (effect,) = finished(run_tick(world, START_S + 6.2, [ended]))
    assert isinstance(effect.verdict, MayHaveRun)


def test_slots_that_are_short_in_the_homes_only_count_for_requests_with_homes(
    world: World,
) -> None:
    listings = [listing(number) for number in range(N_SERVERS)]
    listings.append(listing(9, "b-1"))
    run_tick(world, START_S + 2, [ServersListed("shop", listings)])
    world.servers.never_used.clear()
    (first,) = started(arrive(world, START_S + 2, 1, "17", path="/home/x"))
    finish(world, START_S + 2.3, first)
    run_tick(world, START_S + 2.4, [ServerLoadReported("i-9", 2, 0, 2)])
    assert not started(arrive(world, START_S + 2.4, 2, "18", path="/home/x"))
    assert started(arrive(world, START_S + 2.4, 3, "18"))
