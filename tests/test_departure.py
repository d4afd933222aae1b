"""Tests of a planned stop as decided in one world."""

from collections.abc import Callable

from rhubarbspan.document import Document
from rhubarbspan.effects import Exit, FinishRequest, LogRequest
from rhubarbspan.inputs import (
    AttemptEnded,
    Completed,
    RequestArrived,
    Shed,
    StopRequested,
)
from rhubarbspan.policies import Policies
from rhubarbspan.systems.departure import LEAVING_RETRY_S
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import NotRun, Reason
from rhubarbspan.world import World

MakeWorld = Callable[..., World]
NOW_S = 110.0
KEY = "a" * 64
# The route has a timeout of 5 s.
POLICIES = Policies(serve_leaving_s=4.4, finish_leaving_s=5.5)
SHORT_POLICIES = Policies(serve_leaving_s=3.0, finish_leaving_s=4.0)


def test_request_that_the_grace_period_cuts_has_a_log_line(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single, policies=POLICIES)
    arrived = RequestArrived(1, "/look/a", KEY, caller_request_id="r1")
    run_tick(world, NOW_S, [arrived, StopRequested()])
    effects = run_tick(world, NOW_S + 5.5, [])
    lines = [effect for effect in effects if isinstance(effect, LogRequest)]
    assert [(line.event, line.request) for line in lines] == [("unfinished", "r1")]
    assert lines[0].fields["reason"] == "still running"
    assert world.counters["unfinished", "running"] == 1
    later = run_tick(world, NOW_S + 5.6, [])
    assert not [effect for effect in later if isinstance(effect, LogRequest)]
    ended = run_tick(world, NOW_S + 5.7, [AttemptEnded(1, 1, Completed(200))])
    assert any(isinstance(effect, Exit) for effect in ended)


def test_request_that_could_outlast_the_grace_period_is_refused_at_once(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single, policies=POLICIES)
    run_tick(world, NOW_S, [StopRequested()])
    arrived = [
        RequestArrived(1, "/look/a", KEY),
        RequestArrived(2, "/look/b", KEY, timeout_s=3.0),
    ]
    effects = run_tick(world, NOW_S + 1.0, [*arrived])
    ended = [effect for effect in effects if isinstance(effect, FinishRequest)]
    assert [(end.request_id, end.verdict) for end in ended] == [
        (1, NotRun(Reason.LEAVING))
    ]
    assert ended[0].retry_after_s > 0
    assert world.requests.get(2) is not None
    late = RequestArrived(3, "/look/c", KEY, timeout_s=0.1)
    effects = run_tick(world, NOW_S + 4.5, [late])
    assert FinishRequest(3, NotRun(Reason.LEAVING), LEAVING_RETRY_S) in effects


def test_waiting_request_that_could_outlast_the_grace_period_is_refused(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single, n_servers=0, policies=SHORT_POLICIES)
    arrived = [
        RequestArrived(1, "/look/a", KEY),
        RequestArrived(2, "/look/b", KEY, timeout_s=3.0),
    ]
    run_tick(world, NOW_S, [*arrived])
    effects = run_tick(world, NOW_S + 0.5, [StopRequested()])
    ended = [effect for effect in effects if isinstance(effect, FinishRequest)]
    assert ended == [FinishRequest(1, NotRun(Reason.LEAVING), LEAVING_RETRY_S)]


def test_request_that_a_server_sheds_late_in_the_stop_is_not_sent_again(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single, n_servers=2, policies=SHORT_POLICIES)
    run_tick(world, NOW_S, [RequestArrived(1, "/look/a", KEY)])
    run_tick(world, NOW_S + 0.5, [StopRequested()])
    effects = run_tick(world, NOW_S + 2.0, [AttemptEnded(1, 1, Shed())])
    ended = [effect for effect in effects if isinstance(effect, FinishRequest)]
    assert ended == [FinishRequest(1, NotRun(Reason.SHED), LEAVING_RETRY_S)]
