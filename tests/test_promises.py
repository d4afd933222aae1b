"""Tests of the guarantees over all instances on the platform, under random faults.

Each seed draws outages of the store, restarts and the operator's changes. The last
tests plant a fault in the code to show that the checks catch it.
"""

import random

import pytest

from platform_fleet import LENGTH_S, N_INSTANCES, Outage, PlatformFleet
from rhubarbspan.effects import Effects
from rhubarbspan.systems import config_age, health, outcomes, placement
from rhubarbspan.tables.requests import RequestRow
from rhubarbspan.world import World

SEEDS = range(10)
DATA_CENTRES = ("a-1", "b-1")


def simulate(seed: int) -> PlatformFleet:
    """Simulate a fleet during outages, restarts and changes by the operator."""
    rng = random.Random(seed)
    fleet = PlatformFleet(rng)
    fleet.start()
    seats = list(fleet.worlds)
    for _ in range(2):
        n_affected = rng.choice([1, 2, N_INSTANCES])
        from_s = rng.uniform(5, 18)
        affected_seats = frozenset(rng.sample(seats, n_affected))
        fleet.outages.append(Outage(affected_seats, from_s, from_s + rng.uniform(2, 9)))
    withdraw_s = rng.uniform(7, 16)
    evacuate_s = rng.uniform(6, 14)
    data_centre = rng.choice(DATA_CENTRES)
    cold_s = [rng.uniform(6, 26) for _ in range(3)]
    restart_s = [rng.uniform(6, 26) for _ in range(3)]
    publish_s = [rng.uniform(5, 28) for _ in range(4)]
    while fleet.now_s < LENGTH_S:
        fleet.tick()
        now_s = fleet.now_s
        if fleet.withdrawn_s is None and now_s >= withdraw_s:
            fleet.withdrawn_s = now_s
            fleet.revision += rng.randint(1, 5)
        if not fleet.evacuated and now_s >= evacuate_s:
            fleet.evacuated[data_centre] = (now_s, now_s + 9.0)
        if cold_s and now_s >= min(cold_s):
            cold_s.remove(min(cold_s))
            fleet.restart_servers(rng.choice(DATA_CENTRES))
        if restart_s and now_s >= min(restart_s):
            restart_s.remove(min(restart_s))
            fleet.start_instance(rng.choice(seats))
        if publish_s and now_s >= min(publish_s):
            publish_s.remove(min(publish_s))
            fleet.revision += rng.randint(1, 5)
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_outages_restarts_and_changes(seed: int) -> None:
    fleet = simulate(seed)
    assert fleet.check() == []
    assert len(fleet.runs) > 0.5 * len(fleet.arrivals_s)


def _finds_violation(text: str) -> bool:
    """Return whether some seed reports a violation that contains a text."""
    return any(
        text in violation for seed in SEEDS for violation in simulate(seed).check()
    )


def test_check_catches_keys_that_outlive_their_withdrawal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_age, "config_age_s", lambda world, now_s: 0.0)
    assert _finds_violation("a withdrawn key worked")


def test_check_catches_evacuations_that_are_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(health, "_apply_evacuations", lambda *arguments: [])
    monkeypatch.setattr(health, "apply_record", lambda *arguments: [])
    assert _finds_violation("was evacuated")


def test_check_catches_cold_servers_that_get_too_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(placement, "_may_send_to_cold", lambda *arguments: True)
    assert _finds_violation("requests at cold")


def test_check_catches_orders_that_run_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    def retry(world: World, now_s: float, row: RequestRow, *more: object) -> Effects:
        outcomes.rejoin_queue(world, now_s, row)
        return []

    monkeypatch.setattr(outcomes, "fail_request", retry)
    assert _finds_violation("times")
