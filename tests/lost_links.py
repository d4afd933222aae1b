"""Loses links between regions in virtual time, and reports what limits gave out.

By hand: ``python tests/lost_links.py --sizes 3 7 35``. Each of three regions has one or
two data centres; the store is in one of them. The links that a case names are lost for
26 s, with the way to the store if that led over them. Four accounts are asked for:

- ``late``: one region asks for 1.5 times the limit from the start, another one, at the
  other end of the first lost link, from the loss on;
- ``steady``: each region asks for a quarter of the limit all the time;
- ``small``: the same for a limit that one data centre keeps whole;
- ``greedy``: each region asks for twice such a limit.
"""

import argparse
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from itertools import combinations

from rhubarbspan.report.text import format_table
from timed_fleet import DATA_CENTRES, REGIONS, Account, TimedFleet, make_fleet

BEGIN_S = 4.0
CUT_S = 10.0
MAX_AGE_S = 3.5
SETTLED_S = 18.0
RESTORED_S = 36.0
END_S = 44.0
LATE, STEADY, SMALL, GREEDY = "late", "steady", "small", "greedy"
LIMITS = {LATE: 40.0, STEADY: 60.0, SMALL: 4.0, GREEDY: 4.0}
LATE_FACTOR = 1.5
STEADY_FRACTION = 0.25
GREEDY_FACTOR = 2.0
# The first data centre of each region.
THREE_DATA_CENTRES = DATA_CENTRES[::2]
N_PER_REGION = 2
Link = tuple[str, str]
LINKS: tuple[Link, ...] = tuple(combinations(REGIONS, 2))
LOSSES: tuple[tuple[Link, ...], ...] = (
    *((link,) for link in LINKS),
    *combinations(LINKS, 2),
)


@dataclass(slots=True)
class Case:
    """One run.

    Attributes:
        lost: The links that are lost.
        store: The region of the store.
        max_age_s: Age of the configuration from which on keys are refused.
    """

    n_instances: int
    lost: tuple[Link, ...]
    store: str
    seed: int = 1
    max_age_s: float = MAX_AGE_S

    def asking(self) -> Link:
        """Return the region that asks from the start, and that from the loss on."""
        if not self.lost:
            return REGIONS[0], REGIONS[1]
        return self.lost[0]

    def name(self) -> str:
        """Return the lost links as a text."""
        return " ".join("-".join(link) for link in self.lost) or "none"


@dataclass(slots=True)
class Outcome:
    """What a run gave out.

    Attributes:
        excess: Most requests admitted in a window over what the limits allow, by
            account; negative if it stays below.
        asked: Requests while the links are lost, from ``SETTLED_S`` on, by account and
            region.
        admitted: Those that were admitted.
    """

    excess: dict[str, float] = field(default_factory=dict)
    asked: Counter[tuple[str, str]] = field(default_factory=Counter)
    admitted: Counter[tuple[str, str]] = field(default_factory=Counter)

    def rate_per_s(self, account: str, region: str) -> float:
        """Return the rate of a region's requests that were admitted."""
        return self.admitted[account, region] / (RESTORED_S - SETTLED_S)

    def refused_fraction(self, account: str, region: str) -> float:
        """Return the fraction of a region's requests that were refused."""
        n_asked = self.asked[account, region]
        return 1.0 - self.admitted[account, region] / max(1, n_asked)


def run_case(case: Case) -> Outcome:
    """Run a fleet that loses links and gets them back."""
    accounts = [Account(name, limit, limit) for name, limit in LIMITS.items()]
    size = case.n_instances
    data_centres = THREE_DATA_CENTRES if size == len(REGIONS) else DATA_CENTRES
    fleet = make_fleet(size, accounts, case.seed, data_centres)
    fleet.document["route look"]["max_config_age_s"] = str(case.max_age_s)
    outcome = Outcome()
    early, late = case.asking()
    _ask(fleet, case.seed, LATE, early, LATE_FACTOR * LIMITS[LATE], BEGIN_S)
    _ask(fleet, case.seed, LATE, late, LATE_FACTOR * LIMITS[LATE], CUT_S)
    for region in REGIONS:
        for account in (STEADY, SMALL):
            rate_per_s = STEADY_FRACTION * LIMITS[account]
            _ask(fleet, case.seed, account, region, rate_per_s, BEGIN_S)
        _ask(fleet, case.seed, GREEDY, region, GREEDY_FACTOR * LIMITS[GREEDY], BEGIN_S)
    fleet.run_until(CUT_S)
    _lose(fleet, case)
    fleet.run_until(SETTLED_S)
    before_admitted, before_asked = _count(fleet)
    fleet.run_until(RESTORED_S)
    admitted, asked = _count(fleet)
    outcome.admitted = admitted - before_admitted
    outcome.asked = asked - before_asked
    fleet.silent.clear()
    fleet.storeless.clear()
    fleet.run_until(END_S)
    for account in accounts:
        outcome.excess[account.name] = account.max_in_a_window() - account.bound()
    return outcome


def _ask(
    fleet: TimedFleet,
    seed: int,
    account: str,
    region: str,
    rate_per_s: float,
    from_s: float,
) -> None:
    """Have callers of a region send requests to its instances at a rate."""
    # The same requests come whatever messages the instances exchange.
    rng = random.Random(f"{seed} {account} {region}")
    seats = [s for s, w in fleet.worlds.items() if w.identity.region == region]

    def send() -> None:
        fleet.send(rng.choice(seats), account)
        schedule(fleet.now_s)

    def schedule(now_s: float) -> None:
        when_s = now_s + rng.expovariate(rate_per_s)
        if when_s < END_S:
            fleet.schedule(when_s, send)

    schedule(from_s)


def _lose(fleet: TimedFleet, case: Case) -> None:
    """Lose the links of a case, and the way to the store where it leads over them."""
    lost = {frozenset(link) for link in case.lost}
    regions = {seat: world.identity.region for seat, world in fleet.worlds.items()}
    fleet.silent |= {
        (one, other)
        for one, here in regions.items()
        for other, there in regions.items()
        if frozenset((here, there)) in lost
    }
    fleet.storeless |= {
        seat
        for seat, region in regions.items()
        if frozenset((region, case.store)) in lost
    }


def _count(
    fleet: TimedFleet,
) -> tuple[Counter[tuple[str, str]], Counter[tuple[str, str]]]:
    """Count the admitted requests, and all, by account and region."""
    admitted: Counter[tuple[str, str]] = Counter()
    asked: Counter[tuple[str, str]] = Counter()
    for world in fleet.worlds.values():
        region = world.identity.region
        for account in LIMITS:
            admitted[account, region] += world.counters["admitted", account]
            asked[account, region] += fleet.n_sent[world.identity.seat, account]
    return admitted, asked


def describe(case: Case, outcome: Outcome) -> list[str]:
    """Return a row of the report."""
    early, late = case.asking()
    columns = [str(case.n_instances), case.name(), case.store]
    columns += [f"{outcome.excess[name]:.0f}" for name in LIMITS]
    columns += [f"{outcome.rate_per_s(LATE, name):.1f}" for name in (early, late)]
    for account in (STEADY, SMALL):
        columns += [f"{outcome.refused_fraction(account, r):.0%}" for r in REGIONS]
    return columns


HEADER = [
    "instances",
    "lost",
    "store",
    *(f"over {name}" for name in LIMITS),
    "early/s",
    "late/s",
    *(f"{name} {region}" for name in (STEADY, SMALL) for region in REGIONS),
]


def main() -> int:
    """Run the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 7])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--max-age-s", type=float, default=MAX_AGE_S)
    options = parser.parse_args()
    rows: list[list[str]] = []
    for size in options.sizes:
        for lost in ((), *LOSSES):
            for store in REGIONS if lost else REGIONS[:1]:
                case = Case(size, lost, store, options.seed, options.max_age_s)
                rows.append(describe(case, run_case(case)))
                print("\t".join(rows[-1]), file=sys.stderr, flush=True)
    print(format_table(HEADER, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
