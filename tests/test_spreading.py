"""Tests of the limit on how fast traffic moves between regions."""

import heapq
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from rhubarbspan.document import Document, Snapshot
from rhubarbspan.edge.instance import REGION_STEP_FRACTION
from rhubarbspan.effects import StartAttempt
from rhubarbspan.inputs import (
    AttemptEnded,
    Completed,
    ConfigurationReceived,
    Input,
    RequestArrived,
    ServerListing,
    ServersListed,
)
from rhubarbspan.policies import DemandShares, ObjectPlacement, Policies
from rhubarbspan.systems.region_share import stays_home
from rhubarbspan.tables.objects import object_digest
from rhubarbspan.tick import run_tick
from rhubarbspan.world import Identity, World, create_world
from test_sums import Fleet

# Largest fraction of a region's requests that may change their region per window.
MAX_MOVED_FRACTION = 0.15
STEP = REGION_STEP_FRACTION * MAX_MOVED_FRACTION
WINDOW_S = 2.0
START_S = 100.0
TICK_S = 0.01
WARM_S = 0.2
COLD_S = 0.6
N_OBJECTS = 400
DATA_CENTRES = {"a-1": "a", "b-1": "b", "c-1": "c"}


def document() -> Document:
    """Make a configuration with one pool in three regions.

    The route "home" is restricted to region b.
    """
    common = {
        "pool": "shop",
        "timeout_s": "4",
        "kind": "idempotent",
        "open": "yes",
        "latency_objective_s": "0.6",
        "affinity": "yes",
    }
    data_centres = {
        f"data_centre {name}": {"region": region, "seats": "0"}
        for name, region in DATA_CENTRES.items()
    }
    return {
        **data_centres,
        "pool shop": {"slots_per_server": "3"},
        "route look": {**common, "path_prefix": "/look/"},
        "route home": {**common, "path_prefix": "/home/", "regions": "b"},
    }


def listings(n_local: int = 10) -> list[ServerListing]:
    """List many small servers in region a and two large ones in each other region."""
    counts = {"a-1": n_local, "b-1": 2, "c-1": 2}
    return [
        ServerListing(
            f"{data_centre}-{number}",
            "shop",
            f"127.0.0.1:{7000 + number}",
            data_centre,
            n_slots=2 if data_centre == "a-1" else 24,
            incarnation=1,
            sequence=1,
        )
        for data_centre, n_servers in counts.items()
        for number in range(n_servers)
    ]


@dataclass(slots=True)
class Simulation:
    """An instance in region a whose servers respond in virtual time.

    Attributes:
        sent: When each request was sent, and to which region.
    """

    world: World
    now_s: float = START_S
    n_requests: int = 0
    sent: list[tuple[float, str]] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(5))
    in_flight: list[tuple[float, int, int]] = field(default_factory=list)

    def run(self, rate_per_s: float, length_s: float, path: str = "/look/x") -> None:
        """Let requests arrive at a constant rate, each for a random object."""
        end_s = self.now_s + length_s
        n_due = 0.0
        while self.now_s < end_s:
            self.now_s += TICK_S
            n_due += rate_per_s * TICK_S
            inputs: list[Input] = []
            while self.in_flight and self.in_flight[0][0] <= self.now_s:
                _, request_id, attempt_id = heapq.heappop(self.in_flight)
                inputs.append(AttemptEnded(request_id, attempt_id, Completed(200)))
            while n_due >= 1:
                n_due -= 1
                self.n_requests += 1
                number = self.n_requests
                key = str(self.rng.randrange(N_OBJECTS))
                inputs.append(
                    RequestArrived(number, path, timeout_s=4.0, object_key=key)
                )
            for effect in run_tick(self.world, self.now_s, inputs):
                if isinstance(effect, StartAttempt):
                    self._start_attempt(effect)

    def _start_attempt(self, effect: StartAttempt) -> None:
        row = self.world.requests.get(effect.request_id)
        server = self.world.servers.get(effect.server_id)
        assert row is not None
        assert server is not None
        self.sent.append((self.now_s, server.region))
        duration_s = WARM_S if row.was_warm else COLD_S
        ended = (self.now_s + duration_s, effect.request_id, effect.attempt_id)
        heapq.heappush(self.in_flight, ended)

    def max_moved_fraction(self, from_s: float) -> float:
        """Return the largest fraction that changed regions between two windows."""
        largest = 0.0
        time_s = from_s
        while time_s + WINDOW_S <= self.now_s:
            before = self._regions(time_s - WINDOW_S, time_s)
            after = self._regions(time_s, time_s + WINDOW_S)
            regions = set(before) | set(after)
            moved = [
                abs(after[r] / after.total() - before[r] / before.total())
                for r in regions
            ]
            largest = max(largest, sum(moved) / 2)
            time_s += 0.25
        return largest

    def _regions(self, from_s: float, until_s: float) -> Counter[str]:
        return Counter(r for at_s, r in self.sent if from_s <= at_s < until_s)


def make_simulation(step: float) -> Simulation:
    """Make an instance that has measured its servers' service times."""
    policies = Policies(
        limits=DemandShares(), choice=ObjectPlacement(), max_region_step=step
    )
    world = create_world(Identity("n-1", "a-1", "a", 1), START_S, policies, 1)
    received = ConfigurationReceived(Snapshot(1, document()), [], True)
    run_tick(world, START_S, [received, ServersListed("shop", listings())])
    world.servers.never_used.clear()
    for name in ("look", "home", "shop"):
        row = world.objects.service_times_of(name)
        row.warm_s, row.cold_s = WARM_S, COLD_S
    return Simulation(world)


@pytest.fixture
def simulation() -> Iterator[Simulation]:
    """Return an instance that limits how much traffic moves at a time."""
    yield make_simulation(STEP)


def test_surge_moves_no_more_than_the_bound_to_other_regions(
    simulation: Simulation,
) -> None:
    unbounded = make_simulation(1.0)
    for each in (simulation, unbounded):
        each.run(25.0, 8.0)
        each.run(120.0, 8.0)
    assert unbounded.max_moved_fraction(START_S + WINDOW_S) > MAX_MOVED_FRACTION
    assert simulation.max_moved_fraction(START_S + WINDOW_S) <= MAX_MOVED_FRACTION


def test_servers_that_are_lost_move_their_requests_at_once(
    simulation: Simulation,
) -> None:
    simulation.run(40.0, 6.0)
    run_tick(
        simulation.world, simulation.now_s, [ServersListed("shop", listings(n_local=1))]
    )
    lost_s = simulation.now_s
    simulation.run(40.0, 2.0)
    sent = simulation._regions(lost_s, simulation.now_s)
    assert sent["b"] + sent["c"] >= 0.5 * sent.total()
    assert sent.total() >= 0.9 * 80


def test_requests_bound_to_a_region_are_not_held(simulation: Simulation) -> None:
    simulation.run(40.0, 6.0)
    start_s = simulation.now_s
    simulation.run(30.0, 2.1, "/home/x")
    sent = simulation._regions(start_s, simulation.now_s)
    assert sent["b"] >= 59


# A region with a fifth of another's servers and the same callers would fill its servers
# while those of the other region are idle.
@pytest.mark.parametrize(("n_servers", "expected"), [(2, 0.34), (5, 0.75), (20, 1.0)])
def test_region_keeps_as_many_objects_as_fit_its_servers(
    n_servers: int, expected: float
) -> None:
    world = Fleet(9, data_centres=("a-1", "b-1", "c-1")).worlds["n-0"]
    listings = [
        ServerListing(f"{name}{n}", "shop", f"x:{n}", f"{name}-1", n_slots=3)
        for name, n_of_region in (("a", n_servers), ("b", 10), ("c", 10))
        for n in range(n_of_region)
    ]
    run_tick(world, 1.0, [ServersListed("shop", listings)])
    pool = world.configuration.pools["shop"]
    n_home = sum(
        stays_home(world, 1.0, pool, object_digest("look", str(number)))
        for number in range(1000)
    )
    # 1.25 times an equal part of the requests for each slot, a third for each region.
    assert n_home / 1000 == pytest.approx(expected, abs=0.05)


def test_region_without_instances_takes_no_objects_from_others() -> None:
    world = Fleet(3, data_centres=("a-1",)).worlds["n-0"]
    listings = [
        ServerListing(f"{name}{n}", "shop", f"x:{n}", f"{name}-1", n_slots=3)
        for name in ("a", "b")
        for n in range(4)
    ]
    run_tick(world, 1.0, [ServersListed("shop", listings)])
    pool = world.configuration.pools["shop"]
    assert stays_home(world, 1.0, pool, (1 << 32) - 1)
