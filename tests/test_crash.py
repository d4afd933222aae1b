"""Requests that crash the backend servers that run them."""

import random
from collections.abc import Callable

import pytest

from rhubarbspan.checking import check_document
from rhubarbspan.document import Document
from rhubarbspan.inputs import RequestArrived
from rhubarbspan.measure.workload import PROFILES, Workload, make_delay_function
from rhubarbspan.standins.virtual_fleet import VirtualFleet, start_fleet
from rhubarbspan.verdict import NotRun, Reason

MAX_DEATHS = 3
CULPRIT = "culprit"


def resend(fleet: VirtualFleet, seats: list[str], gap_s: float, n_sends: int) -> None:
    """Send one request again and again, to one instance after another."""
    account, section = next(
        (t.partition(" ")[2], b) for t, b in fleet.document.items() if "key_hashes" in b
    )
    route = next(b for b in fleet.document.values() if b.get("kind") == "idempotent")

    def send(seat: str) -> Callable[[], object]:
        arrived = RequestArrived(
            0, route["path_prefix"], section["key_hashes"], "", CULPRIT
        )
        return lambda: fleet.send(seat, arrived, account, 0.05)

    for number in range(n_sends):
        fleet.later(1.0 + number * gap_s, send(seats[number % len(seats)]))


@pytest.mark.parametrize("gap_s", [0.05, 0.3, 1.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_crashing_request_kills_few_servers_and_no_innocent_is_quarantined(
    parrilla: Document, gap_s: float, seed: int
) -> None:
    profile = PROFILES["parrilla"]
    fleet = start_fleet(
        parrilla, seed, profile.n_servers, make_delay_function(profile, parrilla)
    )
    fleet.servers.crash_digest = CULPRIT
    configuration, _ = check_document(parrilla)
    load = Workload(profile, configuration, random.Random(seed), 0.3)
    load.start(fleet, 16.0)
    seats = configuration.seats()
    random.Random(seed).shuffle(seats)
    resend(fleet, seats, gap_s, 14)
    fleet.run_for(20.0)
    assert 1 <= fleet.servers.n_deaths <= MAX_DEATHS
    innocent = [
        fate
        for fate in fleet.fates
        if fate.verdict == NotRun(Reason.QUARANTINED)
        and fate.arrived.body_digest != CULPRIT
    ]
    assert not innocent
    last = fleet.fates[-1]
    assert last.verdict is not None
    if gap_s:
        refused = [f for f in fleet.fates if f.arrived.body_digest == CULPRIT][-1]
        assert refused.verdict == NotRun(Reason.QUARANTINED)


def test_copies_sent_to_all_instances_at_once_kill_few_servers(
    parrilla: Document,
) -> None:
    profile = PROFILES["parrilla"]
    fleet = start_fleet(
        parrilla, 1, profile.n_servers, make_delay_function(profile, parrilla)
    )
    fleet.servers.crash_digest = CULPRIT
    resend(fleet, list(fleet.hosts), 0.0, 14)
    fleet.run_for(10.0)
    assert 1 <= fleet.servers.n_deaths <= MAX_DEATHS
