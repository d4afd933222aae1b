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
from rhubarbspan.inputs import RequestArrived
from rhubarbspan.measure.workload import PROFILES, Workload, make_delay_function
from rhubarbspan.standins.virtual_fleet import VirtualFleet, start_fleet
from rhubarbspan.verdict import NotRun, Reason

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
