"""Tests of tickets, with which orders run at most once without the store."""

from collections.abc import Callable

import pytest

from rhubarbspan.document import Document
from rhubarbspan.inputs import (
    AttemptEnded,
    Completed,
    ConnectionLost,
    RequestArrived,
    Shed,
)
from rhubarbspan.policies import Policies
from rhubarbspan.systems.ticketing import (
    TicketUse,
    check_ticket,
    issue_tickets,
)
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict
from rhubarbspan.world import Identity, World, create_world
from test_requests import KEY, NOW_S, attempts, verdicts

MakeWorld = Callable[..., World]


def order(number: int, key: str) -> RequestArrived:
    """Make a request that must not be repeated, with a ticket as its key."""
    return RequestArrived(number, "/order", KEY, key)


def test_a_ticket_runs_once_without_the_store(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single)
    ticket = issue_tickets(world, 1)[0]
    effects = run_tick(world, NOW_S, [order(1, ticket)])
    assert len(attempts(effects)) == 1
    effects = run_tick(world, NOW_S, [order(2, ticket)])
    assert verdicts(effects) == [MayHaveRun(Reason.DUPLICATE)]
    effects = run_tick(world, NOW_S, [AttemptEnded(1, 1, Completed(200))])
    assert verdicts(effects) == [Answered(200)]
    effects = run_tick(world, NOW_S, [order(3, ticket)])
    assert verdicts(effects) == [MayHaveRun(Reason.DUPLICATE)]


def test_a_ticket_is_free_again_if_the_order_certainly_did_not_run(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single)
    ticket = issue_tickets(world, 1)[0]
    run_tick(world, NOW_S, [order(1, ticket)])
    run_tick(world, NOW_S, [AttemptEnded(1, 1, Shed())])
    effects = run_tick(world, NOW_S + 6.0, [])
    assert verdicts(effects) == [NotRun(Reason.DEADLINE)]
    effects = run_tick(world, NOW_S + 6.0, [order(2, ticket)])
    assert len(attempts(effects)) == 1


def test_a_lost_order_keeps_its_ticket(single: Document, make_world: MakeWorld) -> None:
    world = make_world(single)
    ticket = issue_tickets(world, 1)[0]
    run_tick(world, NOW_S, [order(1, ticket)])
    effects = run_tick(world, NOW_S, [AttemptEnded(1, 1, ConnectionLost())])
    assert verdicts(effects) == [MayHaveRun(Reason.CONNECTION_LOST)]
    effects = run_tick(world, NOW_S, [order(2, ticket)])
    assert verdicts(effects) == [MayHaveRun(Reason.DUPLICATE)]


@pytest.mark.parametrize(
    ("change", "verdict"),
    [
        (lambda t: t[:-1] + "g", NotRun(Reason.BAD_REQUEST)),
        (lambda t: t.replace(".1.", ".7."), MayHaveRun(Reason.TICKET_GONE)),
        (lambda t: t.replace("x-1", "y-1"), MayHaveRun(Reason.TICKET_GONE)),
    ],
)
def test_forged_and_foreign_tickets_do_not_run(
    single: Document,
    make_world: MakeWorld,
    change: Callable[[str], str],
    verdict: Verdict,
) -> None:
    world = make_world(single)
    ticket = change(issue_tickets(world, 1)[0])
    effects = run_tick(world, NOW_S, [order(1, ticket)])
    assert verdicts(effects) == [verdict]
    assert not attempts(effects)


def test_a_replacement_never_honours_its_predecessors_tickets() -> None:
    first = create_world(Identity("x-1", "x", "r", 1), 0.0, Policies(), 1)
    second = create_world(Identity("x-1", "x", "r", 2), 0.0, Policies(), 2)
    ticket = issue_tickets(first, 1)[0]
    issue_tickets(second, 5)
    assert check_ticket(first, ticket) is TicketUse.RUN
    assert check_ticket(second, ticket) is TicketUse.GONE
