"""Measures scenarios: steady load, noise, crashes, outages and planned changes."""

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
from .workload import (
    PROFILES,
    DeploymentProfile,
    Workload,
    group_by_account,
    make_delay_function,
)

LOAD_FRACTION = 0.75
DURATION_S = 30.0
EVENT_AT_S = 8.0
SETTLE_S = 12.0
AFTER_KILL_S = 60.0
SAMPLE_INTERVAL_S = 0.25
OPERATOR_DELAY_S = 5.0
FOREIGN_LOAD_INTERVAL_S = 0.2
OUTAGE_S = 600.0
OUTAGE_LOAD_FRACTION = 0.12
NOISY_DEMAND_FACTOR = 5.0
SEED = 20
MS_PER_S = 1000.0
PER_CENT = 100.0


@dataclass(slots=True)
class Figures:
    """Results of one scenario under one set of policies.

    Attributes:
        added_p50_ms: Median response time less service time, of answered requests of
            accounts within their rate.
        added_p99_ms: 99th percentile of the same.
        quiet_p99_ms: 99th percentile of the response time, service time included, of
            answered requests of accounts within their rate.
        headroom: Fraction of the slots that is free in the region with the
            smallest such fraction, reached or exceeded in 99% of the samples.
        worst_served: Fraction answered of the requests that a central bucket admits,
            for the worst-served account within its rate.
        refused_inside: Fraction refused as over rate of the requests that a central
            bucket admits, over all accounts within their rate.
        over_admission: Largest number of requests admitted beyond rate times length
            plus burst, over all intervals and accounts.
        drain_s: Time until drained servers run no request any more, -1 if none are
            drained.
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
class ScenarioRun:
    """A fleet under load, and the samples taken from it."""

    name: str
    profile: DeploymentProfile
    document: Document
    fleet: VirtualFleet
    workload: Workload
    free_slot_fractions: list[float] = field(default_factory=list)
    drain_started_s: float = -1.0
    drain_ended_s: float = -1.0
    drained_servers: list[str] = field(default_factory=list)


ScenarioEvent = Callable[[ScenarioRun], None]


def _no_event(run: ScenarioRun) -> None:
    return


def _kill_instance(run: ScenarioRun) -> None:
    run.fleet.hosts[_busiest_seat(run)].is_stopped = True


def _busiest_seat(run: ScenarioRun) -> str:
    return run.workload.configuration.seats()[0]


def _lose_region(run: ScenarioRun) -> None:
    region = run.workload.configuration.regions()[1]
    for host in run.fleet.hosts.values():
        host.is_stopped = host.is_stopped or host.world.identity.region == region
    for server in run.fleet.servers.rows.values():
        if server.region == region:
            server.is_down = True
            run.fleet.servers.crash(server)


def _decommission_lost_region(run: ScenarioRun) -> None:
    """Lose a region and mark it as gone in the configuration 5 s later."""
    _lose_region(run)
    region = run.workload.configuration.regions()[1]
    document = {
        title: {**body, "gone": "yes"} if body.get("region") == region else body
        for title, body in run.fleet.document.items()
    }
    run.fleet.schedule(OPERATOR_DELAY_S, lambda: run.fleet.publish(document))


def _stop_store(run: ScenarioRun) -> None:
    run.fleet.is_store_up = False


def _cut_region(run: ScenarioRun) -> None:
    run.fleet.cut_regions = {run.workload.configuration.regions()[1]}


def _shift(run: ScenarioRun) -> None:
    regions = run.workload.configuration.regions()
    pool = next(iter(run.workload.configuration.pools))
    _apply_edit(run, StartShift("move", pool, regions[0], regions[1], 40.0, 10.0, 1.0))
    for server in run.fleet.servers.rows.values():
        if server.region == regions[1] and server.pool == pool:
            server.slowness = 2.0


def _drain(run: ScenarioRun) -> None:
    """Drain a backend server."""
    server = next(iter(run.fleet.servers.rows))
    _apply_edit(run, StartDrain("backend_server", server))
    run.drained_servers = [server]
    run.drain_started_s = run.fleet.now_s


def _occupy_foreign_slots(run: ScenarioRun) -> None:
    """Let another system use a varying number of slots, up to half of each server's."""
    for server in run.fleet.servers.rows.values():
        step = run.workload.rng.choice((-1, 0, 1))
        max_foreign_slots = server.n_slots // 2
        server.n_foreign = max(0, min(max_foreign_slots, server.n_foreign + step))
    run.fleet.schedule(FOREIGN_LOAD_INTERVAL_S, lambda: _occupy_foreign_slots(run))


def _apply_edit(run: ScenarioRun, edit: StartDrain | StartShift) -> None:
    document = apply_edit(run.fleet.document, edit)
    assert not isinstance(document, Failure)
    run.fleet.publish(document)


SCENARIOS: dict[str, ScenarioEvent] = {
    "steady": _no_event,
    "noisy": _no_event,
    "killed": _kill_instance,
    "region_lost": _lose_region,
    "region_gone": _decommission_lost_region,
    "store_down": _stop_store,
    "region_cut": _cut_region,
    "shift": _shift,
    "drain": _drain,
    "old_system": _occupy_foreign_slots,
}


def measure(
    name: str, document: Document, scenario: str, policy: str, policies: Policies
) -> Figures:
    """Run one scenario under one set of policies."""
    profile = PROFILES[name]
    run = _prepare(profile, document, scenario, policies)
    durations_s = {"store_down": OUTAGE_S, "killed": EVENT_AT_S + AFTER_KILL_S}
    duration_s = durations_s.get(scenario, DURATION_S)
    run.workload.start(run.fleet, duration_s)
    run.fleet.schedule(EVENT_AT_S, lambda: SCENARIOS[scenario](run))
    _sample(run, run.fleet.now_s + duration_s)
    run.fleet.run_for(duration_s + SETTLE_S)
    return _compute_figures(run, scenario, policy)


def _prepare(
    profile: DeploymentProfile, document: Document, scenario: str, policies: Policies
) -> ScenarioRun:
    configuration, _ = check_document(document)
    delay_s = make_delay_function(profile, document)
    fleet = start_fleet(document, SEED, profile.n_servers, delay_s, policies)
    load_fraction = OUTAGE_LOAD_FRACTION if scenario == "store_down" else LOAD_FRACTION
    workload = Workload(profile, configuration, random.Random(SEED), load_fraction)
    workload.uses_tickets = policies.has_tickets
    if scenario == "noisy":
        noisy_account = list(configuration.client_accounts)[1]
        workload.demand_factors[noisy_account] = NOISY_DEMAND_FACTOR
    return ScenarioRun(scenario, profile, document, fleet, workload)


def _sample(run: ScenarioRun, end_s: float) -> None:
    """Record the least free fraction of any region and the end of a drain."""
    used_by_region: dict[str, int] = {}
    slots_by_region: dict[str, int] = {}
    for server in run.fleet.servers.rows.values():
        if not server.is_down:
            used_by_region[server.region] = (
                used_by_region.get(server.region, 0) + server.n_used
            )
            slots_by_region[server.region] = (
                slots_by_region.get(server.region, 0) + server.n_slots
            )
    run.free_slot_fractions.append(
        min(
            1 - used_by_region[region] / slots_by_region[region]
            for region in slots_by_region
        )
    )
    if run.drained_servers and run.drain_ended_s < 0:
        rows = run.fleet.servers.rows
        is_idle = not any(rows[name].running for name in run.drained_servers)
        is_drain_in_force = run.fleet.now_s > run.drain_started_s + 1.0
        if is_idle and is_drain_in_force:
            run.drain_ended_s = run.fleet.now_s
    if run.fleet.now_s < end_s:
        run.fleet.schedule(SAMPLE_INTERVAL_S, lambda: _sample(run, end_s))


def _compute_figures(run: ScenarioRun, scenario: str, policy: str) -> Figures:
    outcomes = run.fleet.outcomes
    added_times_ms = [
        (outcome.ended_s - outcome.arrived_s - outcome.service_s) * MS_PER_S
        for outcome in outcomes
        if isinstance(outcome.verdict, Answered)
        and _is_within_rate(run, outcome.account)
    ]
    response_times_ms = [
        (outcome.ended_s - outcome.arrived_s) * MS_PER_S
        for outcome in outcomes
        if isinstance(outcome.verdict, Answered)
        and _is_within_rate(run, outcome.account)
    ]
    served, n_inside, n_central, excess = _compare_with_central_buckets(run)
    drain_s = -1.0
    if run.drained_servers:
        drain_s = run.drain_ended_s - run.drain_started_s
    verdict_names = [type(outcome.verdict).__name__ for outcome in outcomes]
    return Figures(
        scenario,
        policy,
        len(outcomes),
        quantile(added_times_ms, 0.5),
        quantile(added_times_ms, 0.99),
        quantile(response_times_ms, 0.99),
        quantile(run.free_slot_fractions, 0.01),
        min(served) if served else 0.0,
        n_inside / max(1, n_central),
        excess,
        drain_s,
        verdict_names.count("NotRun"),
        verdict_names.count("MayHaveRun"),
        sum(n > 1 for n in run.fleet.servers.runs.values()),
    )


def _compare_with_central_buckets(
    run: ScenarioRun,
) -> tuple[list[float], int, int, float]:
    """Compare admissions with central buckets that see the same arrivals.

    Returns:
        For each account within its rate, the fraction answered of what its central
        bucket admits; the number of those requests that the fleet refused as over
        rate; the number that the central buckets admit; and the largest excess of
        any account over its limit, in requests.
    """
    served: list[float] = []
    n_inside = 0
    n_central = 0
    excess = 0.0
    first_s = run.fleet.outcomes[0].arrived_s
    counted_from_s = first_s + EVENT_AT_S if run.name == "killed" else first_s
    for name, outcomes in group_by_account(run.fleet.outcomes).items():
        account = run.workload.configuration.client_accounts[name]
        limit = Limit(account.rate_per_s, account.burst)
        admitted = central_bucket(limit, [outcome.arrived_s for outcome in outcomes])
        inside = [
            outcome
            for outcome, is_in in zip(outcomes, admitted, strict=True)
            if is_in and outcome.arrived_s >= counted_from_s
        ]
        excess = max(excess, over_admission(limit, run.fleet.admitted_s.get(name, [])))
        if _is_within_rate(run, name) and inside:
            n_central += len(inside)
            n_inside += sum(_is_rejected_over_rate(outcome) for outcome in inside)
            n_answered = sum(
                isinstance(outcome.verdict, Answered) for outcome in inside
            )
            served.append(n_answered / len(inside))
    return served, n_inside, n_central, excess


def _is_within_rate(run: ScenarioRun, account: str) -> bool:
    """Return whether an account stays within its rate on average."""
    return run.workload.demand_factors.get(account, 1.0) <= 1.0


def _is_rejected_over_rate(outcome: RequestOutcome) -> bool:
    return outcome.verdict == NotRun(Reason.OVER_RATE)
