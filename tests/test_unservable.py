"""Requests that no server can take are refused at once, with a true Retry-After."""

from collections.abc import Callable

import pytest

from rhubarbspan.document import Snapshot
from rhubarbspan.effects import FinishRequest
from rhubarbspan.inputs import (
    AttemptEnded,
    ConfigurationReceived,
    ConnectFailed,
    EvacuationsListed,
    Input,
    RequestArrived,
    ServerLeavingReported,
    ServerPauseReported,
    ServersListed,
)
from rhubarbspan.systems.availability import (
    RETRY_AFTER_S,
    RETURN_SPREAD_FRACTION,
    return_delay_s,
)
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import NotRun, Reason
from rhubarbspan.world import Identity, World, create_world
from test_object_sharing import make_world
from test_placement import (
    N_SERVERS,
    START_S,
    arrive,
    finished,
    listing,
    site_document,
    started,
)

PAUSE_S = 3.0
# A fifth of the route's objective.
LONGEST_WAIT_S = 0.1
NOW_S = START_S + 2.0
SERVERS = [f"i-{number}" for number in range(N_SERVERS)]


@pytest.fixture
def world() -> World:
    """Return the world of an instance with six servers of known service times."""
    return make_world("n-1")


def _pause_all(world: World, now_s: float, pause_s: float) -> None:
    run_tick(world, now_s, [ServerPauseReported(name, 1, pause_s) for name in SERVERS])


def _list_as_leaving() -> list[Input]:
    rows = [listing(number, is_leaving=True) for number in range(N_SERVERS)]
    return [ServersListed("shop", rows)]


def _list_none() -> list[Input]:
    return [ServersListed("shop", [])]


def _say_leaving() -> list[Input]:
    return [ServerLeavingReported(name, 1) for name in SERVERS]


def _evacuate() -> list[Input]:
    return [EvacuationsListed(frozenset({"a-1"}))]


def _ask_for_pauses() -> list[Input]:
    return [ServerPauseReported(name, 1, PAUSE_S) for name in SERVERS]


@pytest.mark.parametrize(
    "make_inputs",
    [_list_as_leaving, _list_none, _say_leaving, _evacuate, _ask_for_pauses],
)
def test_request_that_no_server_can_take_waits_in_the_queue(
    world: World, make_inputs: Callable[[], list[Input]]
) -> None:
    run_tick(world, NOW_S, make_inputs())
    (refusal,) = finished(arrive(world, NOW_S + 0.1, 1, "17"))
    assert refusal.verdict == NotRun(Reason.NO_SERVER)
    # The caller returns no sooner than after a wait in the queue.
    assert refusal.retry_after_s > 0.5 * RETRY_AFTER_S + LONGEST_WAIT_S


def test_queued_requests_wait_on_when_the_last_server_leaves(world: World) -> None:
    _pause_all(world, NOW_S, 0.05)
    assert not finished(arrive(world, NOW_S + 0.01, 1, "17"))
    (refusal,) = finished(run_tick(world, NOW_S + 0.02, _say_leaving()))
    assert isinstance(refusal.verdict, NotRun)


def test_request_with_homes_waits_while_none_of_their_servers_is_usable(
    world: World,
) -> None:
    (refusal,) = finished(arrive(world, NOW_S, 1, "17", path="/home/x"))
    assert refusal.verdict == NotRun(Reason.NO_SERVER)
    assert started(arrive(world, NOW_S, 2, "17"))


def test_request_waits_after_it_has_tried_all_servers(world: World) -> None:
    run_tick(world, NOW_S, [ServersListed("shop", [listing(0)])])
    world.queues.queue_of("shop").retry_budget = 5.0
    (attempt,) = started(arrive(world, NOW_S, 1, "17"))
    ended = AttemptEnded(1, attempt.attempt_id, ConnectFailed())
    (refusal,) = finished(run_tick(world, NOW_S + 0.1, [ended]))
    assert refusal.verdict == NotRun(Reason.CONNECT_FAILED)


def test_request_is_refused_before_the_first_list_of_servers_is_read() -> None:
    policies = make_world("n-1").policies
    world = create_world(Identity("n-2", "a-1", "a", 1), START_S, policies, 1)
    received = ConfigurationReceived(Snapshot(1, site_document()), [], True)
    run_tick(world, START_S, [received])
    assert not finished(arrive(world, START_S + 0.1, 1, "17"))
    listed = ServersListed("shop", [listing(0)])
    assert started(run_tick(world, START_S + 0.12, [listed]))


def _refuse(world: World, now_s: float, number: int, path: str) -> FinishRequest:
    (refusal,) = finished(arrive(world, now_s, number, "17", path=path))
    return refusal


def test_callers_are_told_to_return_before_any_server_is_usable(world: World) -> None:
    _pause_all(world, NOW_S, PAUSE_S)
    run_tick(world, NOW_S, [ServerPauseReported("i-0", 1, 2 * PAUSE_S)])
    delays_s = [
        _refuse(world, NOW_S + 1.0, number, "/look/x").retry_after_s
        for number in range(50)
    ]
    remaining_s = PAUSE_S - 1.0
    assert min(delays_s) >= remaining_s
    assert max(delays_s) < (1 + RETURN_SPREAD_FRACTION) * remaining_s
    # They return spread over the time.
    assert max(delays_s) - min(delays_s) > 0.1


def test_timeout_too_short_to_be_told_from_none_ends_the_tick(world: World) -> None:
    _pause_all(world, NOW_S, PAUSE_S)
    arrived = RequestArrived(1, "/look/x", timeout_s=1e-15)
    (refusal,) = finished(run_tick(world, NOW_S, [arrived]))
    assert refusal.retry_after_s >= PAUSE_S


def test_less_urgent_callers_are_told_to_return_before_urgent_ones(
    world: World,
) -> None:
    _pause_all(world, NOW_S, PAUSE_S)
    urgent_s = [
        _refuse(world, NOW_S, number, "/order/x").retry_after_s for number in range(30)
    ]
    other_s = [
        _refuse(world, NOW_S, number, "/look/x").retry_after_s
        for number in range(30, 60)
    ]
    assert max(urgent_s) <= min(other_s)


def test_callers_that_waited_longest_are_told_to_return_last(world: World) -> None:
    assert started(arrive(world, NOW_S, 1, "17"))
    _pause_all(world, NOW_S, 10.0)
    row = world.requests.get(1)
    assert row is not None

    def longest_s(now_s: float) -> float:
        pause_s = NOW_S + 10.0 - now_s
        return max(return_delay_s(world, now_s, row) - pause_s for _ in range(50))

    assert longest_s(row.deadline_s - 0.1) < longest_s(NOW_S + 0.1) - RETRY_AFTER_S
