"""Measures how requests are served while slots are scarce, in virtual time.

Many instances share servers of three slots and nine queue places, whose machines are
slowed for short times. A server that has recently handled a request's object takes a
third of the time of a cold one. Callers return once after a refusal.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..document import Document
from ..inputs import RequestArrived
from ..policies import DemandShares, ObjectPlacement, Policies
from ..standins.virtual_fleet import RequestOutcome, VirtualFleet, start_fleet
from ..standins.virtual_servers import VirtualServer
from ..verdict import Answered, NotRun, Reason

N_SLOTS = 3
N_QUEUE_PLACES = 9
N_OBJECTS_KEPT = 12
N_OBJECTS = 400
POPULARITY_EXPONENT = 0.7
N_ACCOUNTS = 12
# Fraction of the requests that come from the first account.
LARGE_ACCOUNT_FRACTION = 0.3
ROUTE_TIMEOUT_S = 1.2
SAME_DATA_CENTRE_DELAY_S = 0.0003
SAME_REGION_DELAY_S = 0.0005
OTHER_REGION_DELAY_S = 0.020
SLOWNESS = 2.5
SLOW_S = 0.6
SLOW_FRACTION = 0.15
DURATION_S = 10.0
DRAIN_S = 5.0
# The first seconds, in which servers become warm, are not counted.
WARM_UP_S = 4.0
# Fraction of the load in those seconds.
WARM_UP_FRACTION = 0.4
SAMPLE_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
DEAD_AFTER_S = 1.6
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        service_s: Service time on a cold server.
        value: Value of a response within the objective.
        late_value: Value of a later response.
    """

    name: str
    is_idempotent: bool
    rate_per_s: float
    service_s: float
    objective_s: float
    timeout_s: float
    value: float
    late_value: float
    priority: int


KINDS = (
    Kind("look-up", True, 506.0, 0.6, 0.479, 3.592, 1.4, 0.11, 0),
    Kind("registration", False, 234.0, 0.8, 0.593, 4.743, 1.5, 0.3, 1),
    Kind("upload", False, 78.9, 0.72, 1.234, 4.936, 0.75, 0.23, 2),
)
DATA_CENTRES = {
    "east-a": "east",
    "east-b": "east",
    "west-a": "west",
    "west-b": "west",
    "south-a": "south",
    "south-b": "south",
}
POLICIES = Policies(
    limits=DemandShares(),
    choice=ObjectPlacement(),
    heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
    dead_after_s=DEAD_AFTER_S,
    is_retry_budget_shared=False,
    do_sheds_use_retry_budget=True,
    retries_per_request=0.12,
    n_max_retries=36.0,
)


@dataclass(frozen=True, slots=True)
class Scarcity:
    """Size and load of a simulated deployment.

    Attributes:
        load: Factor by which the rates of all kinds are multiplied.
        slow_fraction: Fraction of the servers that are slowed at any time.
        n_objects: Objects of each kind of request.
        n_load_figures: Figures of the servers' load reports, 0 for no reports.
        server_weights: Fraction of the servers in each data centre, None if equal.
        caller_weights: Fraction of the callers in each data centre, None if equal.
        popularity_exponent: Popularity of an object falls with this power of its rank.
        do_reports_count_answered: Whether the load report in a response counts the
            request that it answers.
    """

    n_instances: int = 35
    n_servers: int = 104
    load: float = 1.0
    duration_s: float = DURATION_S
    slow_fraction: float = SLOW_FRACTION
    n_objects: int = N_OBJECTS
    n_load_figures: int = 4
    seed: int = 5
    server_weights: dict[str, float] | None = None
    caller_weights: dict[str, float] | None = None
    popularity_exponent: float = POPULARITY_EXPONENT
    do_reports_count_answered: bool = False


@dataclass(slots=True)
class Visit:
    """A caller's request, with its first try and perhaps a second one.

    Attributes:
        arrived_s: When the first try was sent.
        n_tries: Number of tries.
        ended_s: When the last try ended, -1 before.
    """

    kind: Kind
    data_centre: str
    account: str
    object_key: str
    arrived_s: float
    n_tries: int = 0
    ended_s: float = -1.0
    is_answered: bool = False
    is_refused: bool = False

    @property
    def took_s(self) -> float:
        """Return the time from the first try to the end of the last one."""
        return self.ended_s - self.arrived_s


@dataclass(slots=True)
class GroupFigures:
    """Results of a group of requests, by the outcome of the last try."""

    group: str
    n_requests: int = 0
    n_in_time: int = 0
    n_late: int = 0
    n_refused: int = 0
    n_failed: int = 0
    value: float = 0.0
    offered_value: float = 0.0

    @property
    def value_fraction(self) -> float:
        """Return the value of the responses divided by that of responses in time."""
        return self.value / self.offered_value

    @property
    def answered_fraction(self) -> float:
        """Return the fraction that was answered before the caller's timeout."""
        return (self.n_in_time + self.n_late) / self.n_requests

    def add(self, visit: Visit) -> None:
        """Count a request."""
        kind = visit.kind
        self.n_requests += 1
        self.offered_value += kind.value
        if visit.is_answered and visit.took_s <= kind.objective_s:
            self.n_in_time += 1
            self.value += kind.value
        elif visit.is_answered and visit.took_s <= kind.timeout_s:
            self.n_late += 1
            self.value += kind.late_value
        elif visit.is_refused:
            self.n_refused += 1
        else:
            self.n_failed += 1


@dataclass(slots=True)
class ScarcityFigures:
    """Results of one run.

    Attributes:
        groups: Results of all requests, by priority, by data centre and by account.
        rejected: Fraction of the sends that servers rejected as full.
        late_refusals: Fraction of all requests that were refused after more than half
            of their deadline.
        warm: Fraction of the attempts that went to a warm server.
        no_server: Fraction of all tries that were refused as no server was free.
        busy: Mean fraction of the slots in use.
    """

    policy: str
    n_servers: int
    load: float
    rejected: float
    late_refusals: float
    warm: float
    groups: list[GroupFigures]
    no_server: float = 0.0
    busy: float = 0.0

    def group(self, name: str) -> GroupFigures:
        """Return the results of one group."""
        return next(group for group in self.groups if group.group == name)


@dataclass(slots=True)
class ScarcityRun:
    """A fleet under load and its callers.

    Attributes:
        visits: Requests by number of the try.
        refused_shares: For each refusal, the fraction of the deadline that was used.
        started_s: When the load began.
        n_tries: Tries after the warm-up.
        n_no_server: Those that were refused as no server was free.
        busy_fractions: Fractions of the slots in use after the warm-up.
    """

    size: Scarcity
    fleet: VirtualFleet
    rng: random.Random
    all_visits: list[Visit] = field(default_factory=list)
    visits: dict[int, Visit] = field(default_factory=dict)
    refused_shares: list[float] = field(default_factory=list)
    started_s: float = 0.0
    n_tries: int = 0
    n_no_server: int = 0
    busy_fractions: list[float] = field(default_factory=list)


def make_document(n_instances: int) -> Document:
    """Make the configuration of a deployment."""
    names = list(DATA_CENTRES)
    seats = {name: 0 for name in names}
    for number in range(n_instances):
        seats[names[number % len(names)]] += 1
    document: Document = {
        f"data_centre {name}": {"region": region, "seats": str(seats[name])}
        for name, region in DATA_CENTRES.items()
    }
    document["pool shop"] = {"slots_per_server": str(N_SLOTS)}
    for kind in KINDS:
        document[f"route {kind.name}"] = {
            "pool": "shop",
            "path_prefix": f"/{kind.name}",
            "kind": "idempotent" if kind.is_idempotent else "non_idempotent",
            "timeout_s": str(ROUTE_TIMEOUT_S),
            "latency_objective_s": str(kind.objective_s),
            "priority": str(kind.priority),
            "attempts": "3",
            "affinity": "yes",
        }
    for number in range(N_ACCOUNTS):
        document[f"client_account c{number}"] = {
            "rate_per_s": "100000",
            "burst": "100000",
            "key_hashes": f"{number:064x}",
        }
    return document


def delay_s(sender: str, receiver: str) -> float:
    """Return the one-way delay between two data centres."""
    if sender == receiver:
        return SAME_DATA_CENTRE_DELAY_S
    is_same_region = DATA_CENTRES[sender] == DATA_CENTRES[receiver]
    return SAME_REGION_DELAY_S if is_same_region else OTHER_REGION_DELAY_S


def measure_scarcity(
    size: Scarcity, policy: str = "", policies: Policies = POLICIES
) -> ScarcityFigures:
    """Run a deployment under load and count how its requests were served."""
    return compute_figures(run_scarcity(size, policies), policy)


def run_scarcity(size: Scarcity, policies: Policies = POLICIES) -> ScarcityRun:
    """Run a deployment under load."""
    document = make_document(size.n_instances)
    fleet = start_fleet(
        document,
        size.seed,
        {"shop": size.n_servers},
        delay_s,
        policies,
        size.server_weights,
    )
    fleet.do_attempts_abort = True
    run = ScarcityRun(size, fleet, random.Random(size.seed))
    run.started_s = fleet.now_s
    fleet.schedule(WARM_UP_S, lambda: _sample_slots(run))
    fleet.on_finished = lambda outcome: _end_try(run, outcome)
    for server in fleet.servers.rows.values():
        server.n_queue_places = N_QUEUE_PLACES
        server.n_objects_kept = N_OBJECTS_KEPT
        server.n_load_figures = size.n_load_figures
        server.does_report_answered = size.do_reports_count_answered
        if size.slow_fraction:
            fleet.schedule(_usual_s(run), _make_slowing(run, server))
    for kind in KINDS:
        _schedule_arrivals(run, kind)
    fleet.run_for(size.duration_s + DRAIN_S)
    return run


def _sample_slots(run: ScarcityRun) -> None:
    """Record the fraction of the slots in use now, and again later."""
    if run.fleet.now_s > run.started_s + run.size.duration_s:
        return
    rows = run.fleet.servers.rows.values()
    n_slots = sum(row.n_slots for row in rows)
    run.busy_fractions.append(sum(row.n_used for row in rows) / n_slots)
    run.fleet.schedule(SAMPLE_INTERVAL_S, lambda: _sample_slots(run))


def _usual_s(run: ScarcityRun) -> float:
    """Draw how long a machine works at its usual speed."""
    fraction = run.size.slow_fraction
    return run.rng.expovariate(fraction / (SLOW_S * (1 - fraction)))


def _make_slowing(run: ScarcityRun, server: VirtualServer) -> Callable[[], None]:
    def end() -> None:
        server.slowness = 1.0
        run.fleet.schedule(_usual_s(run), start)

    def start() -> None:
        server.slowness = SLOWNESS
        run.fleet.schedule(SLOW_S, end)

    return start


def _schedule_arrivals(run: ScarcityRun, kind: Kind) -> None:
    names = list(DATA_CENTRES)
    callers = run.size.caller_weights or dict.fromkeys(names, 1.0)
    exponent = run.size.popularity_exponent
    weights = [(1 + rank) ** -exponent for rank in range(run.size.n_objects)]
    rate_per_s = kind.rate_per_s * run.size.load
    when_s = run.rng.expovariate(rate_per_s)
    objects = range(run.size.n_objects)
    while when_s < run.size.duration_s:
        if when_s < WARM_UP_S and run.rng.random() > WARM_UP_FRACTION:
            when_s += run.rng.expovariate(rate_per_s)
            continue
        is_large = run.rng.random() < LARGE_ACCOUNT_FRACTION
        account = 0 if is_large else run.rng.randrange(1, N_ACCOUNTS)
        (number,) = run.rng.choices(objects, weights)
        visit = Visit(
            kind,
            _choose_data_centre(run, callers),
            f"c{account}",
            f"{kind.name}-{number}",
            run.fleet.now_s + when_s,
        )
        run.fleet.schedule(when_s, _make_try(run, visit))
        run.all_visits.append(visit)
        when_s += run.rng.expovariate(rate_per_s)


def _choose_data_centre(run: ScarcityRun, weights: dict[str, float]) -> str:
    if run.size.caller_weights is None:
        return run.rng.choice(list(weights))
    (name,) = run.rng.choices(list(weights), list(weights.values()))
    return name


def _make_try(run: ScarcityRun, visit: Visit) -> Callable[[], None]:
    """Return a function that sends a request to an instance of its data centre."""

    def send() -> None:
        visit.n_tries += 1
        seats = [
            seat
            for seat, host in run.fleet.hosts.items()
            if host.world.identity.data_centre == visit.data_centre
        ]
        remaining_s = visit.kind.timeout_s - (run.fleet.now_s - visit.arrived_s)
        number = len(run.fleet.outcomes) + 1
        run.visits[number] = visit
        arrived = RequestArrived(
            0,
            f"/{visit.kind.name}",
            f"{int(visit.account[1:]):064x}",
            body_digest=str(number),
            timeout_s=remaining_s,
            object_key=visit.object_key,
            caller_request_id=str(number),
        )
        seat = run.rng.choice(seats)
        run.fleet.send(seat, arrived, visit.account, visit.kind.service_s)

    return send


def _end_try(run: ScarcityRun, outcome: RequestOutcome) -> None:
    visit = run.visits[outcome.arrived.request_id]
    visit.ended_s = run.fleet.now_s
    if outcome.arrived_s >= run.started_s + WARM_UP_S:
        run.n_tries += 1
        run.n_no_server += outcome.verdict == NotRun(Reason.NO_SERVER)
    match outcome.verdict:
        case Answered():
            visit.is_answered = True
        case NotRun(reason=reason):
            limit_s = min(ROUTE_TIMEOUT_S, outcome.arrived.timeout_s)
            used_s = outcome.ended_s - outcome.arrived_s
            run.refused_shares.append(used_s / limit_s)
            visit.is_refused = True
            wait_s = outcome.retry_after_s
            is_in_time = visit.took_s + wait_s < visit.kind.timeout_s
            if visit.n_tries < 2 and is_in_time and reason is not Reason.OVER_RATE:
                run.fleet.schedule(wait_s, _make_try(run, visit))
        case _:
            visit.is_refused = False


def compute_figures(run: ScarcityRun, policy: str) -> ScarcityFigures:
    """Return the results of a run, without its first seconds."""
    groups: dict[str, GroupFigures] = {}
    first_s = run.all_visits[0].arrived_s if run.all_visits else 0.0
    n_counted = 0
    for visit in run.all_visits:
        if visit.arrived_s < first_s + WARM_UP_S:
            continue
        n_counted += 1
        for name in (
            "all",
            f"priority {visit.kind.priority}",
            visit.data_centre,
            f"account {visit.account}",
        ):
            groups.setdefault(name, GroupFigures(name)).add(visit)
    servers = run.fleet.servers
    counters = [host.world.counters for host in run.fleet.hosts.values()]
    n_attempts = sum(counter["attempts", "shop"] for counter in counters)
    n_warm = sum(counter["warm", kind.name] for counter in counters for kind in KINDS)
    return ScarcityFigures(
        policy,
        run.size.n_servers,
        run.size.load,
        servers.n_rejected / max(1, servers.n_received),
        sum(share > 0.5 for share in run.refused_shares) / max(1, len(run.all_visits)),
        n_warm / max(1, n_attempts),
        [groups[name] for name in sorted(groups)],
        run.n_no_server / max(1, run.n_tries),
        sum(run.busy_fractions) / max(1, len(run.busy_fractions)),
    )
