"""Tests of the stated targets of decisions, in virtual time with fixed seeds."""

import pytest

from conftest import load_example
from rhubarbspan.measure.choice import measure_choice
from rhubarbspan.measure.scenarios import Figures, measure
from rhubarbspan.policies import OwnedSlots, Policies, PooledShares, StaticShares

DEPLOYMENTS = ("parrilla", "tamarind")
POOLED = Policies(PooledShares(), OwnedSlots())
STATIC = Policies(StaticShares(), OwnedSlots())


def figures(deployment: str, scenario: str, policies: Policies = POOLED) -> Figures:
    """Measure one scenario."""
    document = load_example(deployment)
    return measure(deployment, document, scenario, "", policies)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_few_requests_inside_the_rate_are_refused(deployment: str) -> None:
    pooled = figures(deployment, "steady")
    static = figures(deployment, "steady", STATIC)
    assert pooled.over_admission == 0.0
    assert pooled.refused_inside < 0.001
    assert pooled.refused_inside * 10 <= static.refused_inside


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_few_requests_are_refused_after_the_death_of_an_instance(
    deployment: str,
) -> None:
    killed = figures(deployment, "killed")
    assert killed.over_admission == 0.0
    assert killed.refused_inside < 0.01


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_a_noisy_account_does_not_hurt_the_others(deployment: str) -> None:
    calm = figures(deployment, "steady")
    noisy = figures(deployment, "noisy")
    assert noisy.over_admission == 0.0
    assert noisy.worst_served >= 0.99
    assert noisy.quiet_p99_ms <= 1.5 * calm.quiet_p99_ms


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_choice_of_servers_is_near_one_ideal_queue(deployment: str) -> None:
    measured = measure_choice(deployment, load_example(deployment), "", POOLED)
    assert measured.n_refused == 0
    assert measured.ratio <= 1.2


@pytest.mark.parametrize("scenario", ["region_cut", "region_lost", "shift", "drain"])
def test_no_account_gets_too_much_and_nothing_runs_twice(scenario: str) -> None:
    measured = figures("parrilla", scenario)
    assert measured.over_admission == 0.0
    assert measured.n_run_twice == 0
