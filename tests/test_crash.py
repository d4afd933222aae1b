"""Requests that crash the backend servers that run them.

A request that crashes its server and is sent again crashes one server after another,
unless the instances tell each other about the crashes. Requests that merely ran on the
same server must not be quarantined for it.
"""

import random
from collections.abc import Callable

import pytest

from rhubarbspan.checking import check_document
from rhubarbspan.document import Document
from rhubarbspan.effects import Effect, FinishRequest
from rhubarbspan.inputs import (
    AttemptEnded,
    Completed,
    ConnectionLost,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
)
from rhubarbspan.measure.workload import PROFILES, Workload, make_delay_function
from rhubarbspan.peer_messages import Heartbeat, SuspectNotice
from rhubarbspan.standins.virtual_fleet import VirtualFleet, start_fleet
from rhubarbspan.systems.intake import fingerprint_of
from rhubarbspan.systems.quarantine import is_quarantined
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import NotRun, Reason
from rhubarbspan.world import World

MakeWorld = Callable[..., World]
NOW_S = 110.0
MAX_CRASHES = 3
CRASHING_DIGEST = "culprit"


def resend(fleet: VirtualFleet, seats: list[str], gap_s: float, n_sends: int) -> None:
    """Send the crashing request `n_sends` times, to the instances in turn."""
    account, section = next(
        (title.partition(" ")[2], options)
        for title, options in fleet.document.items()
        if "key_hashes" in options
    )
    route = next(
        options
        for options in fleet.document.values()
        if options.get("kind") == "idempotent"
    )

    def send(seat: str) -> Callable[[], object]:
        arrived = RequestArrived(
            0, route["path_prefix"], section["key_hashes"], "", CRASHING_DIGEST
        )
        return lambda: fleet.send(seat, arrived, account, 0.05)

    for number in range(n_sends):
        fleet.schedule(1.0 + number * gap_s, send(seats[number % len(seats)]))


@pytest.mark.parametrize("gap_s", [0.05, 0.3, 1.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_crashing_request_kills_few_servers_and_no_innocent_is_quarantined(
    parrilla: Document, gap_s: float, seed: int
) -> None:
    profile = PROFILES["parrilla"]
    fleet = start_fleet(
        parrilla, seed, profile.n_servers, make_delay_function(profile, parrilla)
    )
    fleet.servers.crash_digest = CRASHING_DIGEST
    configuration, _ = check_document(parrilla)
    load = Workload(profile, configuration, random.Random(seed), 0.3)
    load.start(fleet, 16.0)
    seats = configuration.seats()
    random.Random(seed).shuffle(seats)
    resend(fleet, seats, gap_s, 14)
    fleet.run_for(20.0)
    assert 1 <= fleet.servers.n_crashes <= MAX_CRASHES
    innocent = [
        outcome
        for outcome in fleet.outcomes
        if outcome.verdict == NotRun(Reason.QUARANTINED)
        and outcome.arrived.body_digest != CRASHING_DIGEST
    ]
    assert not innocent
    last = fleet.outcomes[-1]
    assert last.verdict is not None
    if gap_s:
        refused = [
            crashing
            for crashing in fleet.outcomes
            if crashing.arrived.body_digest == CRASHING_DIGEST
        ][-1]
        assert refused.verdict == NotRun(Reason.QUARANTINED)


def test_copies_sent_to_all_instances_at_once_kill_few_servers(
    parrilla: Document,
) -> None:
    profile = PROFILES["parrilla"]
    fleet = start_fleet(
        parrilla, 1, profile.n_servers, make_delay_function(profile, parrilla)
    )
    fleet.servers.crash_digest = CRASHING_DIGEST
    resend(fleet, list(fleet.hosts), 0.0, 14)
    fleet.run_for(10.0)
    assert 1 <= fleet.servers.n_crashes <= MAX_CRASHES


def run_lookup(
    world: World, now_s: float, number: int, outcome: Outcome | None
) -> list[Effect]:
    """Send the suspect look-up, and end its attempt after 0.3 s if it gets one."""
    arrived = RequestArrived(number, "/look/x", "a" * 64, body_digest="suspect")
    effects = run_tick(world, now_s, [arrived])
    if outcome is not None:
        ended = AttemptEnded(number, 1, outcome)
        effects += run_tick(world, now_s + 0.3, [ended])
    return effects


def lose_answer(world: World, now_s: float, number: int, is_crash: bool) -> None:
    """Lose the answer to the suspect look-up on a server that runs another request.

    The server answers the other request afterwards unless it has crashed.
    """
    (server,) = [r for r in world.servers.rows() if r.ejected_until_s < now_s]
    other = RequestArrived(1000 + number, "/look/y", "a" * 64, body_digest=str(number))
    run_tick(world, now_s, [other])
    run_lookup(world, now_s + 0.1, number, None)
    assert set(server.running) == {number, 1000 + number}
    # The route's budget has no retry left, so that the look-up ends.
    world.queues.queue_of("shop").retry_budget = 0.0
    lost = [AttemptEnded(number, 1, ConnectionLost())]
    if is_crash:
        lost.append(AttemptEnded(1000 + number, 1, ConnectionLost()))
    run_tick(world, now_s + 0.2, lost)
    answered = AttemptEnded(1000 + number, 1, Completed(200))
    run_tick(world, now_s + 0.5, [answered])


@pytest.mark.parametrize("is_crash", [True, False])
def test_lost_answers_of_servers_that_did_not_crash_quarantine_nothing(
    single: Document, make_world: MakeWorld, is_crash: bool
) -> None:
    world = make_world(single, n_servers=2)
    for number, server in enumerate(world.servers.rows()):
        for row in world.servers.rows():
            row.ejected_until_s = -1e9 if row is server else 1e9
            row.n_scored_attempts = 0
        lose_answer(world, NOW_S + number, number + 1, is_crash)
    effects = run_lookup(world, NOW_S + 3, 9, None)
    verdicts = [e.verdict for e in effects if isinstance(e, FinishRequest)]
    assert verdicts == ([NotRun(Reason.QUARANTINED)] if is_crash else [])


@pytest.mark.parametrize(("n_losses", "is_refused"), [(2, False), (3, True)])
def test_request_that_has_run_well_is_quarantined_after_one_more_crash(
    single: Document, make_world: MakeWorld, n_losses: int, is_refused: bool
) -> None:
    world = make_world(single, n_servers=4)
    run_lookup(world, NOW_S, 1, Completed(200))
    rows = world.servers.rows()
    for number in range(n_losses):
        for row in rows:
            row.ejected_until_s = -1e9 if row is rows[number] else 1e9
        world.queues.queue_of("shop").retry_budget = 0.0
        run_lookup(world, NOW_S + 1 + number, 2 + number, ConnectionLost())
    effects = run_lookup(world, NOW_S + 9, 99, None)
    verdicts = [e.verdict for e in effects if isinstance(e, FinishRequest)]
    assert verdicts == ([NotRun(Reason.QUARANTINED)] if is_refused else [])


def test_quarantine_ends_when_a_peer_clears_the_request(
    single: Document, make_world: MakeWorld
) -> None:
    world = make_world(single, n_servers=2)
    arrived = RequestArrived(1, "/look/x", "a" * 64, body_digest="suspect")
    fingerprint = fingerprint_of(arrived, "ana")
    for cleared in ([], ["shop-1/"]):
        crashes = ["shop-0/", "shop-1/"]
        notice = SuspectNotice(fingerprint, crashes, [1, 1], cleared)
        heartbeat = Heartbeat("y-1", 1, 1, 1, False, suspects=[notice])
        run_tick(world, NOW_S, [PeerMessageReceived(heartbeat)])
        assert is_quarantined(world, NOW_S, fingerprint) == (not cleared)
