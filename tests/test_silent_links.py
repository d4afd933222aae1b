"""Tests of limits while connections between instances are silent, cut or paused."""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from rhubarbspan.document import Snapshot
from rhubarbspan.inputs import ConfigurationReceived
from rhubarbspan.tick import run_tick
from test_fleet_size import DATA_CENTRES, _bound
from test_sums import OVERAGE, STEP_S, WINDOW_S, Fleet, _poisson, document

LENGTH_S = 40.0
CALM_S = 5.0
LEASE_S = 6.0
# One level, and two levels with two or three instances in each data centre.
LAYOUTS = {"one": (7, 6), "pairs": (10, 5), "two": (27, 9)}


@dataclass(slots=True)
class Troubles:
    """Troubles that begin at random and end after a while, several at a time.

    Attributes:
        ends_s: When each ends: a silent way, or a seat that is cut off or paused.
        left_s: Since when a seat has not renewed its lease.
    """

    fleet: Fleet
    rng: random.Random
    per_s: float
    ends_s: dict[tuple[str, str], float] = field(default_factory=dict)
    left_s: dict[str, float] = field(default_factory=dict)

    def advance(self, now_s: float) -> None:
        """End what is due and begin what the draw says."""
        fleet = self.fleet
        for key in [k for k, end_s in self.ends_s.items() if end_s <= now_s]:
            del self.ends_s[key]
        if now_s > CALM_S and self.rng.random() < self.per_s * STEP_S:
            self._begin(now_s)
        fleet.silent = set(self.ends_s)
        fleet.cut = {seat for kind, seat in self.ends_s if kind == "cut"}
        fleet.paused = {seat for kind, seat in self.ends_s if kind == "pause"}
        for seat in fleet.worlds:
            if seat in fleet.cut | fleet.paused:
                self.left_s.setdefault(seat, now_s)
            else:
                self.left_s.pop(seat, None)
        fleet.unlisted = {
            s for s, at_s in self.left_s.items() if now_s - at_s > LEASE_S
        }
        fleet.is_list_due = round(now_s / STEP_S) % 10 == 0

    def _begin(self, now_s: float) -> None:
        rng = self.rng
        seats = list(self.fleet.worlds)
        seat = rng.choice(seats)
        others = [name for name in seats if name != seat]
        some = rng.sample(others, rng.randint(1, len(others)))
        until_s = now_s + rng.uniform(0.5, 14.0)
        kind = rng.choice(["from", "to", "both", "both", "cut", "pause"])
        for other in some if kind in ("from", "both") else []:
            self.ends_s[seat, other] = until_s
        for other in some if kind in ("to", "both") else []:
            self.ends_s[other, seat] = until_s
        if kind in ("cut", "pause"):
            self.ends_s[kind, seat] = until_s


@dataclass(slots=True)
class Demand:
    """Demand of an account, whose callers move every few seconds."""

    rng: random.Random
    per_s: float
    weights: list[float] = field(default_factory=list)
    until_s: float = 0.0

    def draw(self, now_s: float, seats: list[str]) -> dict[str, int]:
        """Draw the requests of one step."""
        if now_s < 3.0:
            return {}
        if now_s >= self.until_s:
            power = self.rng.choice([0.0, 1.0, 4.0])
            self.weights = [self.rng.random() ** power for _ in seats]
            self.until_s = now_s + self.rng.uniform(3.0, 8.0)
        demands = dict.fromkeys(seats, 0)
        for _ in range(_poisson(self.rng, self.per_s * STEP_S)):
            demands[self.rng.choices(seats, self.weights)[0]] += 1
        return demands


def refilled_in_a_window(fleet: Fleet, rates: deque[float]) -> float:
    """Add the present sum of the refill rates, and return its sum over the window."""
    total = 0.0
    for seat, world in fleet.worlds.items():
        bucket = world.buckets.get("ana")
        if bucket is not None and bucket.shares and seat not in fleet.paused:
            total += bucket.own_rate_per_s
    rates.append(total)
    if len(rates) > WINDOW_S / STEP_S:
        rates.popleft()
    return sum(rates) * STEP_S


def simulate(
    layout: str, rate_per_s: float, seed: int, troubles_per_s: float
) -> tuple[Fleet, float]:
    """Return a fleet after a series of troubles, and what it refilled in a window."""
    n_instances, n_data_centres = LAYOUTS[layout]
    fleet = Fleet(n_instances, rate_per_s, DATA_CENTRES[:n_data_centres])
    rng = random.Random(seed)
    troubles = Troubles(fleet, rng, troubles_per_s)
    demand = Demand(rng, 4 * rate_per_s)
    seats = list(fleet.worlds)
    rates: deque[float] = deque()
    most = 0.0
    for step in range(int(LENGTH_S / STEP_S)):
        now_s = step * STEP_S
        troubles.advance(now_s)
        fleet.tick(now_s, demand.draw(now_s, seats))
        if now_s > CALM_S:
            most = max(most, refilled_in_a_window(fleet, rates))
    return fleet, most


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("layout", ["one", "pairs", "two"])
def test_limit_holds_through_silences_cuts_and_pauses(layout: str, seed: int) -> None:
    rate_per_s = [40.0, 120.0][seed % 2]
    fleet, n_refilled = simulate(layout, rate_per_s, seed, troubles_per_s=1.0)
    assert fleet.max_admitted_in_a_window() <= _bound(rate_per_s)
    assert n_refilled <= rate_per_s * WINDOW_S * (1 + OVERAGE)


@pytest.mark.parametrize("seed", range(4))
def test_small_limit_holds_through_silences_cuts_and_pauses(seed: int) -> None:
    fleet, _ = simulate("one", 5.0, seed, troubles_per_s=1.0)
    assert fleet.max_admitted_in_a_window() <= _bound(5.0)


def run_with_silence(
    fleet: Fleet, silent: set[tuple[str, str]], until_s: float
) -> list[float]:
    """Run a fleet whose ways go silent at 6 s; return the sums of the rates.

    The first instance has nearly all the demand until then, and the last one after.
    """
    seats = list(fleet.worlds)
    rng = random.Random(4)
    rates: deque[float] = deque()
    sums = []
    for step in range(int(until_s / STEP_S)):
        now_s = step * STEP_S
        fleet.is_list_due = step % 10 == 0
        fleet.silent = silent if now_s >= 6.0 else set()
        n_requests = _poisson(rng, 100.0 * STEP_S) if now_s > 3.0 else 0
        busy = seats[0] if now_s < 6.0 else seats[-1]
        fleet.tick(now_s, {**dict.fromkeys(seats, step % 3 == 0), busy: n_requests})
        refilled_in_a_window(fleet, rates)
        sums.append(rates[-1])
    return sums


def all_ways(n_instances: int) -> set[tuple[str, str]]:
    """Return the ways between all instances."""
    seats = [f"n-{number}" for number in range(n_instances)]
    return {(a, b) for a in seats for b in seats if a != b}


# The silent instances stay on the platform's list for all the time.
@pytest.mark.parametrize("case", ["all", "last hears nobody", "nobody hears last"])
def test_share_of_a_silent_instance_is_not_taken_over_while_it_is_listed(
    case: str,
) -> None:
    last = "n-6"
    ways = {
        "all": all_ways(7),
        "last hears nobody": {way for way in all_ways(7) if way[1] == last},
        "nobody hears last": {way for way in all_ways(7) if way[0] == last},
    }[case]
    fleet = Fleet(7, 40.0, DATA_CENTRES[:6])
    sums = run_with_silence(fleet, ways, 26.0)
    assert max(sums[int(8.0 / STEP_S) :]) <= 1.05 * 40.0
    assert fleet.max_admitted_in_a_window() <= _bound(40.0)


# Without the bound on withdrawn keys an instance that is cut off goes on serving.
def test_instance_without_a_way_to_anyone_gives_up_its_part_before_others_take_it() -> (
    None
):
    fleet = Fleet(7, 40.0, DATA_CENTRES[:6])
    unbounded = document(40.0)
    del unbounded["route look"]["max_config_age_s"]
    for world in fleet.worlds.values():
        received = ConfigurationReceived(Snapshot(2, unbounded), [], True)
        run_tick(world, 0.0, [received])
    rates: deque[float] = deque()
    for step in range(int(30.0 / STEP_S)):
        now_s = step * STEP_S
        fleet.cut = {"n-3"} if now_s >= 6.0 else set()
        fleet.unlisted = fleet.cut if now_s >= 12.0 else set()
        fleet.is_list_due = step % 10 == 0
        fleet.tick(now_s, dict.fromkeys(fleet.worlds, 1) if now_s > 3.0 else {})
        refilled_in_a_window(fleet, rates)
        if now_s > 9.0:
            assert rates[-1] <= 1.05 * 40.0
    assert fleet.max_admitted_in_a_window() <= _bound(40.0)
    others = [w for seat, w in fleet.worlds.items() if seat != "n-3"]
    others_per_s = sum(row.own_rate_per_s for w in others for row in w.buckets.rows())
    assert others_per_s >= 0.9 * 40.0
    # It still serves a little.
    bucket = fleet.worlds["n-3"].buckets.get("ana")
    assert bucket is not None
    assert 0 < bucket.own_rate_per_s < 0.05 * 40.0


def test_data_centre_that_summaries_miss_does_not_grow_its_share() -> None:
    n_instances = 40
    fleet = Fleet(n_instances, 120.0, DATA_CENTRES[:8])
    names = {s: world.identity.data_centre for s, world in fleet.worlds.items()}
    last = names[f"n-{n_instances - 1}"]
    ways = {
        way
        for way in all_ways(n_instances)
        if names[way[0]] == last and names[way[1]] != last
    }
    sums = run_with_silence(fleet, ways, 26.0)
    assert max(sums[int(11.0 / STEP_S) :]) <= 1.05 * 120.0
    assert fleet.max_admitted_in_a_window() <= _bound(120.0)


def test_silent_connection_is_ordered_anew_within_two_seconds() -> None:
    fleet = Fleet(7, 40.0, DATA_CENTRES[:6])
    silent = {("n-0", "n-1"), ("n-2", "n-3"), ("n-3", "n-2")}
    for step in range(int(8.6 / STEP_S)):
        fleet.silent = silent if step * STEP_S >= 6.0 else set()
        fleet.tick(step * STEP_S, {})
        if step * STEP_S < 6.0:
            assert not fleet.n_reopened
    assert silent <= set(fleet.n_reopened)
    # Of a way back that works, nobody can tell that it does.
    assert set(fleet.n_reopened) - silent <= {("n-1", "n-0")}


def test_connections_to_a_silent_instance_are_ordered_ever_more_seldom() -> None:
    fleet = Fleet(7, 40.0, DATA_CENTRES[:6])
    run_with_silence(fleet, {way for way in all_ways(7) if "n-3" in way}, 26.0)
    ways = {way for way in all_ways(7) if "n-3" in way}
    assert set(fleet.n_reopened) == ways
    assert max(fleet.n_reopened.values()) <= 4


def test_share_grows_again_once_the_connections_work() -> None:
    fleet = Fleet(6, 40.0, DATA_CENTRES[:6])
    run_with_silence(fleet, all_ways(6), 14.0)
    bucket = fleet.worlds["n-5"].buckets.get("ana")
    assert bucket is not None
    assert bucket.own_rate_per_s < 0.5 * 40.0
    fleet.silent = set()
    for step in range(int(14.0 / STEP_S), int(18.0 / STEP_S)):
        fleet.tick(step * STEP_S, {"n-5": 5})
    assert bucket.own_rate_per_s > 0.8 * 40.0


# Relays come first in the order of names, so that an added instance is soon one.
def test_relay_that_starts_reports_no_data_centre_as_unheard() -> None:
    fleet = Fleet(27, 40.0, DATA_CENTRES)
    for step in range(int(12.0 / STEP_S)):
        now_s = step * STEP_S
        fleet.is_list_due = step % 10 == 0
        if step == round(6.0 / STEP_S):
            fleet.restart("n-0", now_s)
        fleet.tick(now_s, dict.fromkeys(fleet.worlds, step % 20 == 0))
    for seat, world in fleet.worlds.items():
        for row in world.data_centres.rows.values():
            assert row.unheard_s < 0, (seat, row.name)
