"""Tests of single requests that pass through all systems of one world."""

from collections.abc import Callable

import pytest

from rhubarbspan.document import Document
from rhubarbspan.effects import Effect, FinishRequest, StartAttempt, WriteClaim
from rhubarbspan.inputs import (
    AttemptEnded,
    CallerDisconnected,
    ClaimResult,
    ClaimSettled,
    Completed,
    ConnectFailed,
    ConnectionLost,
    Misdirected,
    Outcome,
    RequestArrived,
    Shed,
    TimedOut,
)
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict
from rhubarbspan.world import World

MakeWorld = Callable[..., World]
NOW_S = 110.0
KEY = "a" * 64


def verdicts(effects: list[Effect]) -> list[Verdict]:
    """List the verdicts of finished requests among effects."""
    return [e.verdict for e in effects if isinstance(e, FinishRequest)]


def attempts(effects: list[Effect]) -> list[StartAttempt]:
    """List the started attempts among effects."""
    return [e for e in effects if isinstance(e, StartAttempt)]


def test_request_reaches_a_server_and_its_answer_ends_it(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single)
    effects = run_tick(world, NOW_S, [RequestArrived(1, "/look/a", KEY)])
    assert [a.server_id for a in attempts(effects)] == ["shop-0"]
    ended = AttemptEnded(1, 1, Completed(200))
    assert verdicts(run_tick(world, NOW_S + 0.1, [ended])) == [Answered(200)]
    assert len(world.requests) == 0


@pytest.mark.parametrize(
    ("arrived", "reason"),
    [
        (RequestArrived(1, "/none", KEY), Reason.UNKNOWN_ROUTE),
        (RequestArrived(1, "/look", ""), Reason.BAD_KEY),
        (RequestArrived(1, "/look", "b" * 64), Reason.BAD_KEY),
        (RequestArrived(1, "/order", KEY), Reason.KEY_MISSING),
    ],
)
def test_bad_requests_are_refused_as_not_run(
    single: Document, make_world: MakeWorld, arrived: RequestArrived, reason: Reason
) -> None:
    effects = run_tick(make_world(single), NOW_S, [arrived])
    assert verdicts(effects) == [NotRun(reason)]
    assert not attempts(effects)


@pytest.mark.parametrize(
    ("path", "outcome", "is_retried", "verdict"),
    [
        ("/look", ConnectFailed(), True, None),
        ("/look", Shed(), True, None),
        ("/look", ConnectionLost(), True, None),
        ("/look", ConnectionLost(True), False, MayHaveRun(Reason.TRUNCATED)),
        ("/look", TimedOut(), False, MayHaveRun(Reason.DEADLINE)),
        ("/order", ConnectFailed(), True, None),
        ("/order", Shed(), True, None),
        ("/order", ConnectionLost(), False, MayHaveRun(Reason.CONNECTION_LOST)),
        ("/order", TimedOut(), False, MayHaveRun(Reason.DEADLINE)),
    ],
)
def test_a_request_is_repeated_only_if_that_is_safe(
    single: Document,
    make_world: MakeWorld,
    path: str,
    outcome: Outcome,
    is_retried: bool,
    verdict: Verdict | None,
) -> None:
    world = make_world(single, n_servers=2)
    effects = run_tick(world, NOW_S, [RequestArrived(1, path, KEY, "k")])
    if path == "/order":
        assert not attempts(effects)
        settled = ClaimSettled(1, ClaimResult.OURS)
        effects = run_tick(world, NOW_S, [settled])
    first = attempts(effects)[0]
    effects = run_tick(world, NOW_S + 0.1, [AttemptEnded(1, 1, outcome)])
    # A request whose connection was lost is retried after a short delay.
    effects += run_tick(world, NOW_S + 0.25, [])
    assert [a.server_id != first.server_id for a in attempts(effects)] == [True] * (
        is_retried
    )
    assert verdicts(effects) == ([verdict] if verdict else [])


# A server that refused each request with a body without end was never judged for it.
@pytest.mark.parametrize("is_broken", [False, True])
def test_refusal_without_end_counts_as_a_failure_of_its_server(
    single: Document, make_world: MakeWorld, is_broken: bool
) -> None:
    world = make_world(single, n_servers=2)
    effects = run_tick(world, NOW_S, [RequestArrived(1, "/look", KEY)])
    (first,) = attempts(effects)
    ended = AttemptEnded(1, first.attempt_id, Shed(is_broken))
    (second,) = attempts(run_tick(world, NOW_S + 0.1, [ended]))
    assert second.server_id != first.server_id
    server = world.servers.get(first.server_id)
    assert server is not None
    assert (server.failure_rate > 0.0) == is_broken


@pytest.mark.parametrize(
    ("outcome", "verdict"),
    [
        (Shed(), NotRun(Reason.SHED)),
        (Misdirected(), NotRun(Reason.SHED)),
        (ConnectFailed(), NotRun(Reason.CONNECT_FAILED)),
        (ConnectionLost(), MayHaveRun(Reason.CONNECTION_LOST)),
        (TimedOut(), MayHaveRun(Reason.DEADLINE)),
    ],
)
def test_request_whose_body_was_streamed_is_never_sent_again(
    single: Document, make_world: MakeWorld, outcome: Outcome, verdict: Verdict
) -> None:
    world = make_world(single, n_servers=2)
    run_tick(world, NOW_S, [RequestArrived(1, "/look", KEY, is_replayable=False)])
    ended = AttemptEnded(1, 1, outcome, is_body_consumed=True)
    effects = run_tick(world, NOW_S + 0.1, [ended])
    (finished,) = [e for e in effects if isinstance(e, FinishRequest)]
    assert finished.verdict == verdict
    assert (finished.retry_after_s > 0) == isinstance(verdict, NotRun)
    assert not attempts(effects + run_tick(world, NOW_S + 0.25, []))


@pytest.mark.parametrize(
    ("result", "verdict"),
    [
        (ClaimResult.TAKEN, MayHaveRun(Reason.DUPLICATE)),
        (ClaimResult.UNKNOWN, NotRun(Reason.CLAIM_UNKNOWN)),
        (ClaimResult.NOT_WRITTEN, NotRun(Reason.CLAIM_UNKNOWN)),
    ],
)
def test_no_proof_of_the_claim_no_attempt(
    single: Document, make_world: MakeWorld, result: ClaimResult, verdict: Verdict
) -> None:
    world = make_world(single)
    run_tick(world, NOW_S, [RequestArrived(1, "/order", KEY, "k")])
    effects = run_tick(world, NOW_S, [ClaimSettled(1, result)])
    assert verdicts(effects) == [verdict]
    assert not attempts(effects)


@pytest.mark.parametrize("path", ["/look", "/order"])
def test_request_whose_caller_left_at_once_is_not_sent(
    single: Document, make_world: MakeWorld, path: str
) -> None:
    world = make_world(single)
    # The inputs of a tick are handled by type, so that their order does not count.
    arrived = RequestArrived(1, path, KEY, "k")
    effects = run_tick(world, NOW_S, [arrived, CallerDisconnected(1)])
    assert verdicts(effects) == [NotRun(Reason.CANCELLED)]
    assert not attempts(effects)
    assert not [e for e in effects if isinstance(e, WriteClaim)]
    assert len(world.requests) == 0


def test_resend_while_the_first_runs_is_not_run_twice(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single)
    run_tick(world, NOW_S, [RequestArrived(1, "/order", KEY, "k")])
    effects = run_tick(world, NOW_S, [RequestArrived(2, "/order", KEY, "k")])
    assert verdicts(effects) == [MayHaveRun(Reason.DUPLICATE)]


def test_resend_after_an_unclear_claim_uses_the_same_nonce(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single)
    nonces = []
    for number in (1, 2):
        arrived = RequestArrived(number, "/order", KEY, "k")
        effects = run_tick(world, NOW_S + number, [arrived])
        nonces += [e.nonce for e in effects if isinstance(e, WriteClaim)]
        run_tick(world, NOW_S + number, [ClaimSettled(number, ClaimResult.UNKNOWN)])
    assert len(nonces) == 2
    assert nonces[0] == nonces[1]


def test_queue_is_bounded_and_fair_between_accounts(
    single: Document, make_world: MakeWorld
) -> None:
    other = {"rate_per_s": "10", "burst": "20", "key_hashes": "c" * 64}
    world = make_world({**single, "client_account bo": other})
    flood = [RequestArrived(number, "/look", KEY) for number in range(1, 8)]
    effects = run_tick(world, NOW_S, [*flood, RequestArrived(9, "/look", "c" * 64)])
    refused = [e.request_id for e in effects if isinstance(e, FinishRequest)]
    assert [a.request_id for a in attempts(effects)] == [1, 9]
    assert refused == [7, 6]
    effects = run_tick(world, NOW_S + 0.1, [AttemptEnded(9, 1, Completed(200))])
    assert [a.request_id for a in attempts(effects)] == [2]


def test_request_that_waits_too_long_is_refused_as_not_run(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single)
    flood = [RequestArrived(number, "/look", KEY) for number in range(1, 4)]
    run_tick(world, NOW_S, flood)
    assert world.deadlines.next_s() is not None
    effects = run_tick(world, NOW_S + 5.0, [])
    assert verdicts(effects) == [NotRun(Reason.DEADLINE)]
