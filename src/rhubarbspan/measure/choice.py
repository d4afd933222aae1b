"""Compares the choice of servers with one ideal central queue for all servers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..checking import check_document
from ..configuration import Configuration
from ..document import Document
from ..inputs import RequestArrived
from ..policies import Policies
from ..standins.virtual_fleet import VirtualFleet, start_fleet
from ..verdict import Answered
from .oracle import central_queue, quantile
from .workload import PROFILES, make_delay_function

DURATION_S = 20.0
DRAIN_S = 10.0
UTILISATION = 0.8
SEED = 1
PATH = "/measured"
P99 = 0.99


@dataclass(slots=True)
class Job:
    """A request that occupies a slot during its service time."""

    arrived_s: float
    service_s: float
    seat: str


@dataclass(slots=True)
class ChoiceFigures:
    """Response times under one policy, and those of the ideal central queue."""

    deployment: str
    policy: str
    n_requests: int
    n_refused: int
    p99_s: float
    ideal_p99_s: float

    @property
    def ratio(self) -> float:
        """Return the measured 99th percentile divided by the ideal one."""
        return self.p99_s / self.ideal_p99_s


def measure_choice(
    name: str, document: Document, policy: str, policies: Policies
) -> ChoiceFigures:
    """Measure response times of the first pool at 80% utilisation.

    Requests arrive evenly over the regions.
    """
    profile = PROFILES[name]
    configuration, _ = check_document(document)
    pool = next(iter(configuration.pools.values()))
    route = {
        "pool": pool.name,
        "path_prefix": PATH,
        "kind": "idempotent",
        "open": "yes",
    }
    document = {**document, "route measured": route}
    delay_s = make_delay_function(profile, document)
    fleet = start_fleet(document, SEED, profile.n_servers, delay_s, policies)
    n_slots = profile.n_servers[pool.name] * pool.n_slots_per_server
    jobs = _draw_jobs(configuration, n_slots, profile.service_s[pool.name])
    for job in jobs:
        fleet.schedule(job.arrived_s, _make_sender(fleet, job))
    fleet.run_for(DURATION_S + DRAIN_S)
    response_times_s = [
        outcome.ended_s - outcome.arrived_s
        for outcome in fleet.outcomes
        if isinstance(outcome.verdict, Answered)
    ]
    ideal_times_s = central_queue(
        n_slots, [(job.arrived_s, job.service_s) for job in jobs]
    )
    return ChoiceFigures(
        name,
        policy,
        len(jobs),
        len(jobs) - len(response_times_s),
        quantile(response_times_s, P99),
        quantile(ideal_times_s, P99),
    )


def _draw_jobs(configuration: Configuration, n_slots: int, mean_s: float) -> list[Job]:
    rng = random.Random(SEED)
    seats_by_region: dict[str, list[str]] = {}
    for seat in configuration.seats():
        region = configuration.region_of(seat.rpartition("-")[0])
        seats_by_region.setdefault(region, []).append(seat)
    regions = list(seats_by_region)
    rate_per_s = UTILISATION * n_slots / mean_s
    jobs: list[Job] = []
    when_s = rng.expovariate(rate_per_s)
    while when_s < DURATION_S:
        seat = rng.choice(seats_by_region[rng.choice(regions)])
        jobs.append(Job(when_s, rng.expovariate(1.0 / mean_s), seat))
        when_s += rng.expovariate(rate_per_s)
    return jobs


def _make_sender(fleet: VirtualFleet, job: Job) -> Callable[[], None]:
    def send() -> None:
        fleet.send(job.seat, RequestArrived(0, PATH), "", job.service_s)

    return send
