"""Tests that limits hold, and follow demand, while links between regions are lost."""

import random

import pytest

from lost_links import (
    LATE,
    LIMITS,
    LINKS,
    LOSSES,
    REGIONS,
    SMALL,
    STEADY,
    THREE_DATA_CENTRES,
    Case,
    Link,
    run_case,
)
from timed_fleet import Account, make_fleet

# Half of the limit is each region's fair part where both ask for more than it.
FAIR_PER_S = LIMITS[LATE] / 2
# Requests come by chance.
FAIR_FRACTION = 0.85
MAX_REFUSED_FRACTION = 0.02
# A small limit is kept by one data centre, and asked for by chance at three quarters.
MAX_SMALL_REFUSED_FRACTION = 0.2
# Chance, and the time until others take over what a lost data centre refilled.
KEPT_FRACTION = 0.7


def _reaches_store(region: str, case: Case) -> bool:
    """Return whether a region reaches the store, or one that does."""
    lost = {frozenset(link) for link in case.lost}
    reached = {case.store}
    for _ in REGIONS:
        reached |= {
            one
            for one in REGIONS
            for other in reached
            if frozenset((one, other)) not in lost
        }
    return region in reached


# QUOTA: an instance that lost a link and the store refilled its part, and the one at
# the other end took it over. Where both reached the store, the one that asked later got
# nothing for as long as the link was lost.
@pytest.mark.parametrize("store", REGIONS)
@pytest.mark.parametrize("lost", LOSSES, ids=str)
def test_limit_is_given_out_once_and_by_demand_while_links_are_lost(
    lost: tuple[Link, ...], store: str
) -> None:
    case = Case(3, lost, store)
    outcome = run_case(case)
    for account in LIMITS:
        assert outcome.excess[account] <= 0, (account, outcome.excess)
    for region in REGIONS:
        if _reaches_store(region, case):
            refused = outcome.refused_fraction(STEADY, region)
            assert refused <= MAX_REFUSED_FRACTION, region
    early, late = case.asking()
    if len(lost) == 1:
        for region in REGIONS:
            assert outcome.refused_fraction(SMALL, region) <= MAX_SMALL_REFUSED_FRACTION
        assert outcome.rate_per_s(LATE, early) >= FAIR_FRACTION * FAIR_PER_S
        assert outcome.rate_per_s(LATE, late) >= FAIR_FRACTION * FAIR_PER_S


# The same where relays exchange summaries.
@pytest.mark.parametrize("store", ["b", "c"])
def test_limit_is_given_out_once_and_by_demand_between_relays(store: str) -> None:
    outcome = run_case(Case(35, (LINKS[1],), store))
    for account in LIMITS:
        assert outcome.excess[account] <= 0, (account, outcome.excess)
    for region in REGIONS:
        refused = outcome.refused_fraction(STEADY, region)
        assert refused <= MAX_REFUSED_FRACTION, region
    for region in LINKS[1]:
        assert outcome.rate_per_s(LATE, region) >= FAIR_FRACTION * FAIR_PER_S


# Its list still has the lost instance, and nobody confirms in its place.
def test_instance_without_the_store_keeps_its_part_when_another_is_lost() -> None:
    account = Account("ana", 40.0, 40.0)
    fleet = make_fleet(3, [account], 1, THREE_DATA_CENTRES)
    rng = random.Random(1)

    def send() -> None:
        for seat in sorted(set(fleet.worlds) - fleet.cut):
            fleet.send(seat, "ana")
        fleet.schedule(fleet.now_s + rng.uniform(0.08, 0.12), send)

    fleet.schedule(4.0, send)
    fleet.run_until(10.0)
    fleet.storeless.add("n-0")
    fleet.run_until(13.0)
    fleet.cut.add("n-2")
    fleet.run_until(24.0)
    before = fleet.worlds["n-0"].counters["admitted", "ana"]
    fleet.run_until(40.0)
    admitted = fleet.worlds["n-0"].counters["admitted", "ana"] - before
    assert admitted >= KEPT_FRACTION * 10.0 * 16.0
    assert account.max_in_a_window() <= account.bound()
