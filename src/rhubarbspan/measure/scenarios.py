"""The cases that are measured: steady load, noise, deaths, outages, planned work."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..checking import check_document
from ..document import Document
from ..edits import StartDrain, StartShift, apply_edit
from ..policies import Policies
from ..standins.virtual_fleet import RequestOutcome, VirtualFleet, start_fleet
from ..verdict import Answered, Failure, NotRun, Reason
from .oracle import Limit, central_bucket, over_admission, quantile
from .workload import PLACES, Place, Workload, by_account, delays

LOAD = 0.75
DURATION_S = 30.0
EVENT_AT_S = 8.0
SETTLE_S = 12.0
AFTER_DEATH_S = 60.0
SAMPLE_S = 0.25
OPERATOR_S = 5.0
OLD_SYSTEM_S = 0.2
OUTAGE_S = 600.0
OUTAGE_LOAD = 0.12
NOISE = 5.0
SEED = 20
MS_PER_S = 1000.0
PER_CENT = 100.0


@dataclass(slots=True)
class Figures:
    """What one run measured.

    Attributes:
        added_p50_ms: Median time beside the service time itself, of the answers to
            accounts inside their rate.
        quiet_p99_ms: Time from arrival to answer of accounts inside their rate.
        headroom: Part of the slots that stay free in the fullest region, in 99% of
            the samples.
        worst_served: Share answered of what a central bucket admits, for the
            worst-served account inside its rate.
        refused_inside: Share refused over rate of what a central bucket admits.
        over_admission: Requests beyond rate times length plus burst, at worst.
        drain_s: Time until what leaves runs nothing any more, -1 if nothing leaves.
    """

    scenario: str
    policy: str
    n_requests: int
    added_p50_ms: float
    added_p99_ms: float
    quiet_p99_ms: float
    headroom: float
    worst_served: float
    refused_inside: float
    over_admission: float
    drain_s: float
    n_not_run: int
    n_may_have_run: int
    n_run_twice: int


@dataclass(slots=True)
class Run:
    """A fleet under load, with what is sampled from it."""

    name: str
    place: Place
    document: Document
    fleet: VirtualFleet
    workload: Workload
    free_parts: list[float] = field(default_factory=list)
    drain_started_s: float = -1.0
    drain_ended_s: float = -1.0
    drained: list[str] = field(default_factory=list)


Event = Callable[[Run], None]


def _nothing(run: Run) -> None:
    return


def _kill_instance(run: Run) -> None:
    run.fleet.hosts[_busiest_seat(run)].is_stopped = True


def _busiest_seat(run: Run) -> str:
    return run.workload.configuration.seats()[0]


def _lose_region(run: Run) -> None:
    region = run.workload.configuration.regions()[1]
    for host in run.fleet.hosts.values():
        host.is_stopped = host.is_stopped or host.world.identity.region == region
    for server in run.fleet.servers.rows.values():
        if server.region == region:
            server.is_down = True
            run.fleet.servers.crash(server)


def _lose_region_for_good(run: Run) -> None:
    """Lose a region; the operator says so five seconds later."""
    _lose_region(run)
    region = run.workload.configuration.regions()[1]
    document = {
        title: {**body, "gone": "yes"} if body.get("region") == region else body
        for title, body in run.fleet.document.items()
    }
    run.fleet.schedule(OPERATOR_S, lambda: run.fleet.publish(document))


def _stop_store(run: Run) -> None:
    run.fleet.is_store_up = False


def _cut_region(run: Run) -> None:
    run.fleet.cut_regions = {run.workload.configuration.regions()[1]}


def _shift(run: Run) -> None:
    regions = run.workload.configuration.regions()
    pool = next(iter(run.workload.configuration.pools))
    _edit(run, StartShift("move", pool, regions[0], regions[1], 40.0, 10.0, 1.0))
    for server in run.fleet.servers.rows.values():
        if server.region == regions[1] and server.pool == pool:
            server.slowness = 2.0


def _drain(run: Run) -> None:
    """Drain a backend server, and stop an instance."""
    server = next(iter(run.fleet.servers.rows))
    _edit(run, StartDrain("backend_server", server))
    run.drained = [server]
    run.drain_started_s = run.fleet.now_s


def _old_system(run: Run) -> None:
    """Let another system use up to half of each server's slots, on and off."""
    for server in run.fleet.servers.rows.values():
        step = run.workload.rng.choice((-1, 0, 1))
        most = server.n_slots // 2
        server.n_foreign = max(0, min(most, server.n_foreign + step))
    run.fleet.schedule(OLD_SYSTEM_S, lambda: _old_system(run))


def _edit(run: Run, edit: StartDrain | StartShift) -> None:
    document = apply_edit(run.fleet.document, edit)
    assert not isinstance(document, Failure)
    run.fleet.publish(document)


SCENARIOS: dict[str, Event] = {
    "steady": _nothing,
    "noisy": _nothing,
    "killed": _kill_instance,
    "region_lost": _lose_region,
    "region_gone": _lose_region_for_good,
    "store_down": _stop_store,
    "region_cut": _cut_region,
    "shift": _shift,
    "drain": _drain,
    "old_system": _old_system,
}


def measure(
    name: str, document: Document, scenario: str, policy: str, policies: Policies
) -> Figures:
    """Run one scenario under one set of policies."""
    place = PLACES[name]
    run = _prepare(place, document, scenario, policies)
    durations_s = {"store_down": OUTAGE_S, "killed": EVENT_AT_S + AFTER_DEATH_S}
    duration_s = durations_s.get(scenario, DURATION_S)
    run.workload.start(run.fleet, duration_s)
    run.fleet.schedule(EVENT_AT_S, lambda: SCENARIOS[scenario](run))
    _sample(run, run.fleet.now_s + duration_s)
    run.fleet.run_for(duration_s + SETTLE_S)
    return _summarise(run, scenario, policy)


def _prepare(
    place: Place, document: Document, scenario: str, policies: Policies
) -> Run:
    configuration, _ = check_document(document)
    delay_s = delays(place, document)
    fleet = start_fleet(document, SEED, place.n_servers, delay_s, policies)
    load = OUTAGE_LOAD if scenario == "store_down" else LOAD
    workload = Workload(place, configuration, random.Random(SEED), load)
    workload.uses_tickets = policies.has_tickets
    if scenario == "noisy":
        noisy = list(configuration.client_accounts)[1]
        workload.factors[noisy] = NOISE
    return Run(scenario, place, document, fleet, workload)


def _sample(run: Run, end_s: float) -> None:
    """Note the free part of the fullest region, and when drained servers are idle."""
    used: dict[str, int] = {}
    slots: dict[str, int] = {}
    for server in run.fleet.servers.rows.values():
        if not server.is_down:
            used[server.region] = used.get(server.region, 0) + server.n_used
            slots[server.region] = slots.get(server.region, 0) + server.n_slots
    run.free_parts.append(min(1 - used[region] / slots[region] for region in slots))
    if run.drained and run.drain_ended_s < 0:
        rows = run.fleet.servers.rows
        is_idle = not any(rows[name].running for name in run.drained)
        is_told = run.fleet.now_s > run.drain_started_s + 1.0
        if is_idle and is_told:
            run.drain_ended_s = run.fleet.now_s
    if run.fleet.now_s < end_s:
        run.fleet.schedule(SAMPLE_S, lambda: _sample(run, end_s))


def _summarise(run: Run, scenario: str, policy: str) -> Figures:
    outcomes = run.fleet.outcomes
    added = [
        (outcome.ended_s - outcome.arrived_s - outcome.service_s) * MS_PER_S
        for outcome in outcomes
        if isinstance(outcome.verdict, Answered) and _is_quiet(run, outcome.account)
    ]
    quiet = [
        (outcome.ended_s - outcome.arrived_s) * MS_PER_S
        for outcome in outcomes
        if isinstance(outcome.verdict, Answered) and _is_quiet(run, outcome.account)
    ]
    served, n_inside, n_central, excess = _limits(run)
    drain_s = -1.0
    if run.drained:
        drain_s = run.drain_ended_s - run.drain_started_s
    names = [type(outcome.verdict).__name__ for outcome in outcomes]
    return Figures(
        scenario,
        policy,
        len(outcomes),
        quantile(added, 0.5),
        quantile(added, 0.99),
        quantile(quiet, 0.99),
        quantile(run.free_parts, 0.01),
        min(served) if served else 0.0,
        n_inside / max(1, n_central),
        excess,
        drain_s,
        names.count("NotRun"),
        names.count("MayHaveRun"),
        sum(n > 1 for n in run.fleet.servers.runs.values()),
    )


def _limits(run: Run) -> tuple[list[float], int, int, float]:
    """Compare admissions with central buckets that see the same arrivals."""
    served: list[float] = []
    n_inside = 0
    n_central = 0
    excess = 0.0
    first_s = run.fleet.outcomes[0].arrived_s
    counted_from_s = first_s + EVENT_AT_S if run.name == "killed" else first_s
    for name, outcomes in by_account(run.fleet.outcomes).items():
        account = run.workload.configuration.client_accounts[name]
        limit = Limit(account.rate_per_s, account.burst)
        admitted = central_bucket(limit, [outcome.arrived_s for outcome in outcomes])
        inside = [
            outcome
            for outcome, is_in in zip(outcomes, admitted, strict=True)
            if is_in and outcome.arrived_s >= counted_from_s
        ]
        excess = max(excess, over_admission(limit, run.fleet.admitted_s.get(name, [])))
        if _is_quiet(run, name) and inside:
            n_central += len(inside)
            n_inside += sum(_is_over_rate(outcome) for outcome in inside)
            n_answered = sum(
                isinstance(outcome.verdict, Answered) for outcome in inside
            )
            served.append(n_answered / len(inside))
    return served, n_inside, n_central, excess


def _is_quiet(run: Run, account: str) -> bool:
    """Tell whether an account stays inside its rate on average."""
    return run.workload.factors.get(account, 1.0) <= 1.0


def _is_over_rate(outcome: RequestOutcome) -> bool:
    return outcome.verdict == NotRun(Reason.OVER_RATE)
