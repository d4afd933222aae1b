"""Tests of a planned stop as decided in one world."""

from collections.abc import Callable

from rhubarbspan.document import Document
from rhubarbspan.effects import Exit, LogRequest
from rhubarbspan.inputs import AttemptEnded, Completed, RequestArrived, StopRequested
from rhubarbspan.policies import Policies
from rhubarbspan.tick import run_tick
from rhubarbspan.world import World

MakeWorld = Callable[..., World]
NOW_S = 110.0
KEY = "a" * 64
POLICIES = Policies(serve_leaving_s=4.4, finish_leaving_s=5.5)


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
