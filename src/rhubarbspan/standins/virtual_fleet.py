"""A simulation of several instances in virtual time and the messages between them."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..checking import check_document
from ..document import Document, Snapshot
from ..effects import (
    AbortAttempt,
    Effect,
    Exit,
    FinishRequest,
    SendPeerMessage,
    StartAttempt,
    WriteClaim,
)
from ..inputs import (
    Aborted,
    AttemptEnded,
    ClaimResult,
    ClaimSettled,
    Completed,
    ConfigurationReceived,
    ConnectFailed,
    Input,
    Outcome,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    ProbeSucceeded,
    RequestArrived,
    RevisionConfirmed,
    ServerListing,
    ServerLoadReported,
    ServersListed,
)
from ..policies import Policies
from ..tick import run_tick
from ..verdict import Verdict
from ..world import Identity, World, create_world
from .virtual_servers import ServerTask, VirtualServer, VirtualServers

POLL_S = 1.0
STORE_DELAY_S = 0.005
CLAIM_TIMEOUT_S = 2.0
WARM_UP_S = 8.0
CLOCK_DRIFT = 0.0005
MAX_CLOCK_OFFSET_S = 500.0


@dataclass(slots=True)
class Host:
    """An instance: its world, its clock and whether it is running.

    Attributes:
        clock_offset_s: Offset of the instance's clock from virtual time.
        clock_rate: Seconds of the instance's clock per second of virtual time.
        pending: Inputs for the next tick.
        next_tick_s: Virtual time of the next scheduled tick.
    """

    world: World
    clock_offset_s: float
    clock_rate: float
    is_paused: bool = False
    is_stopped: bool = False
    pending: list[Input] = field(default_factory=list)
    next_tick_s: float = -1.0

    def local_s(self, now_s: float) -> float:
        """Return the time of the instance's clock at a virtual time."""
        return now_s * self.clock_rate + self.clock_offset_s


@dataclass(slots=True)
class RequestOutcome:
    """A request and its outcome; the verdict is None while the request is open."""

    seat: str
    account: str
    arrived: RequestArrived
    arrived_s: float
    service_s: float
    ended_s: float = 0.0
    verdict: Verdict | None = None
    retry_after_s: float = 0.0


@dataclass(slots=True)
class MessageFaults:
    """Faults of the network between instances.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is sent once more.
        delay: Probability that a message is delayed beyond the usual delay.
        max_extra_delay_s: Longest additional delay of a delayed message.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0
    max_extra_delay_s: float = 5.0


@dataclass(slots=True)
class VirtualFleet:
    """Instances, servers and a store, simulated in virtual time.

    Attributes:
        delay_s: One-way delay between two data centres.
        cut_regions: Regions that can reach neither another region nor the store.
        do_attempts_abort: Whether attempts end when their instance aborts them. The
            server goes on running the request, but drops one that still waits.
        on_finished: Called with each request that an instance has finished.
        outcomes: All requests, in order of arrival.
        admitted_s: Times at which requests of each account were admitted.
        messages: Number of messages sent between instances, by type.
    """

    document: Document
    rng: random.Random
    delay_s: Callable[[str, str], float]
    policies: Policies
    servers: VirtualServers
    message_faults: MessageFaults = field(default_factory=MessageFaults)
    cut_regions: set[str] = field(default_factory=set)
    is_store_up: bool = True
    do_attempts_abort: bool = False
    on_finished: Callable[[RequestOutcome], None] = lambda outcome: None
    revision: int = 1
    seats_revision: int = 1
    now_s: float = 1000.0
    hosts: dict[str, Host] = field(default_factory=dict)
    claims: dict[str, str] = field(default_factory=dict)
    outcomes: list[RequestOutcome] = field(default_factory=list)
    admitted_s: dict[str, list[float]] = field(default_factory=dict)
    messages: Counter[str] = field(default_factory=Counter)
    _unfinished: dict[tuple[str, int, int], RequestOutcome] = field(
        default_factory=dict
    )
    _tasks: dict[tuple[str, int, int], tuple[VirtualServer, ServerTask]] = field(
        default_factory=dict
    )
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _n_events: int = 0

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self._n_events += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._n_events, action))

    def run_for(self, duration_s: float) -> None:
        """Run all actions that are due within a duration, and advance the time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def add_host(self, seat: str, incarnation: int = 1) -> Host:
        """Start an instance on a seat and stop the one that held the seat before."""
        data_centre = seat.rpartition("-")[0]
        region = self.document[f"data_centre {data_centre}"]["region"]
        offset_s = self.rng.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
        rate = 1 + self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        identity = Identity(seat, data_centre, region, incarnation, seat, seat)
        local_s = self.now_s * rate + offset_s
        world = create_world(identity, local_s, self.policies, incarnation)
        if seat in self.hosts:
            self.hosts[seat].is_stopped = True
        host = Host(world, offset_s, rate)
        self.hosts[seat] = host
        self._poll(host)
        return host

    def replace_host(self, seat: str) -> Host:
        """Stop an instance and start its next incarnation on the same seat."""
        return self.add_host(seat, self.hosts[seat].world.identity.incarnation + 1)

    def resume(self, host: Host) -> None:
        """Resume a paused instance, which handles its pending inputs."""
        host.is_paused = False
        self._tick(host)

    def publish(self, document: Document) -> None:
        """Publish a configuration in the store."""
        data_centres = {
            t: b for t, b in document.items() if t.startswith("data_centre")
        }
        self.revision += 1
        if any(
            self.document.get(title) != body for title, body in data_centres.items()
        ):
            self.seats_revision = self.revision
        self.document = document

    def send(
        self, seat: str, arrived: RequestArrived, account: str, service_s: float
    ) -> RequestOutcome:
        """Send a request to an instance; a stopped one never responds."""
        outcome = RequestOutcome(seat, account, arrived, self.now_s, service_s)
        self.outcomes.append(outcome)
        host = self.hosts[seat]
        if not host.is_stopped:
            arrived.request_id = len(self.outcomes)
            self._unfinished[self._outcome_key(host, arrived.request_id)] = outcome
            self._deliver_inputs(host, [arrived])
        return outcome

    def _outcome_key(self, host: Host, request_id: int) -> tuple[str, int, int]:
        own_identity = host.world.identity
        return own_identity.seat, own_identity.incarnation, request_id

    def _reaches(self, a: str, b: str) -> bool:
        return a == b or not {a, b} & self.cut_regions

    def _reaches_store(self, region: str) -> bool:
        first = next(b["region"] for b in self.document.values() if "region" in b)
        return self.is_store_up and self._reaches(region, first)

    def _poll(self, host: Host) -> None:
        """Read the store and its listings, and probe the servers of the own region."""
        if host.is_stopped:
            return
        self.schedule(POLL_S, lambda: self._poll(host))
        region = host.world.identity.region
        inputs: list[Input] = []
        if self._reaches_store(region):
            found = Snapshot(self.revision, self.document, self.seats_revision)
            if host.world.configuration.revision < self.revision:
                inputs.append(ConfigurationReceived(found, [], True))
            inputs += [RevisionConfirmed(self.revision), *self._listings()]
        for row in self.servers.rows.values():
            if row.region == region and not row.is_down:
                probed = ProbeSucceeded(
                    row.server_id, row.n_used, True, str(row.generation)
                )
                inputs.append(probed)
        self._deliver_inputs(host, inputs)

    def _listings(self) -> list[Input]:
        peers = [
            PeerListing(seat, seat, seat, host.world.identity.data_centre)
            for seat, host in self.hosts.items()
            if not host.is_stopped
        ]
        by_pool: dict[str, list[ServerListing]] = {}
        for row in self.servers.rows.values():
            listing = ServerListing(
                row.server_id, row.pool, "", row.data_centre, row.is_leaving
            )
            by_pool.setdefault(row.pool, []).append(listing)
        listed = [ServersListed(pool, rows) for pool, rows in by_pool.items()]
        return [PeersListed(peers), *listed]

    def _deliver_inputs(self, host: Host, inputs: list[Input]) -> None:
        host.pending += inputs
        self._tick(host)

    def _tick(self, host: Host) -> None:
        if host.is_paused or host.is_stopped:
            return
        inputs, host.pending = host.pending, []
        counters = host.world.counters
        accounts = list(host.world.configuration.client_accounts)
        before = {account: counters["admitted", account] for account in accounts}
        effects = run_tick(host.world, host.local_s(self.now_s), inputs)
        for account in accounts:
            n_new = counters["admitted", account] - before[account]
            if n_new:
                times = self.admitted_s.setdefault(account, [])
                times.extend([self.now_s] * n_new)
        for effect in effects:
            self._apply_effect(host, effect)
        self._arm_deadline(host)

    def _arm_deadline(self, host: Host) -> None:
        next_s = host.world.deadlines.next_s()
        if next_s is None or host.is_stopped:
            return
        deadline_s = (next_s - host.clock_offset_s) / host.clock_rate + 1e-6
        if not self.now_s < host.next_tick_s <= deadline_s:
            host.next_tick_s = max(deadline_s, self.now_s)
            self.schedule(host.next_tick_s - self.now_s, lambda: self._tick(host))

    def _apply_effect(self, host: Host, effect: Effect) -> None:
        match effect:
            case SendPeerMessage():
                self._send_peer_message(host, effect)
            case StartAttempt():
                self._start_attempt(host, effect)
            case AbortAttempt():
                self._abort_attempt(host, effect)
            case WriteClaim():
                self._write_claim(host, effect)
            case FinishRequest(request_id=number, verdict=verdict, retry_after_s=wait):
                outcome = self._unfinished.pop(self._outcome_key(host, number))
                outcome.ended_s = self.now_s
                outcome.verdict = verdict
                outcome.retry_after_s = wait
                self.on_finished(outcome)
                self._tasks.pop(self._outcome_key(host, number), None)
            case Exit():
                host.is_stopped = True
            case _:
                pass

    def _send_peer_message(self, host: Host, effect: SendPeerMessage) -> None:
        target = self.hosts.get(effect.seat)
        if target is None or target.is_stopped:
            return
        sender = host.world.identity
        receiver = target.world.identity
        if not self._reaches(sender.region, receiver.region):
            return
        self.messages[type(effect.message).__name__] += 1
        n_copies = int(self.rng.random() >= self.message_faults.loss)
        n_copies += self.rng.random() < self.message_faults.duplication
        received: list[Input] = [PeerMessageReceived(effect.message)]
        for _ in range(n_copies):
            delay_s = self.delay_s(sender.data_centre, receiver.data_centre)
            if self.rng.random() < self.message_faults.delay:
                delay_s += self.rng.uniform(0.0, self.message_faults.max_extra_delay_s)
            self.schedule(delay_s, lambda: self._deliver_inputs(target, received))

    def _start_attempt(self, host: Host, effect: StartAttempt) -> None:
        server = self.servers.rows[effect.server_id]
        sender = host.world.identity
        delay_s = self.delay_s(sender.data_centre, server.data_centre)
        outcome = self._unfinished[self._outcome_key(host, effect.request_id)]

        def report(attempt_outcome: Outcome) -> None:
            ended = AttemptEnded(effect.request_id, effect.attempt_id, attempt_outcome)
            is_answered = isinstance(attempt_outcome, Completed)
            inputs = [*_load_report(server, is_answered), ended]
            self.schedule(delay_s, lambda: self._deliver_inputs(host, inputs))

        if not self._reaches(sender.region, server.region):
            report(ConnectFailed())
            return
        arrived = outcome.arrived
        task = ServerTask(
            arrived.idempotency_key,
            arrived.body_digest,
            outcome.service_s,
            report,
            arrived.object_key,
        )
        if self.do_attempts_abort:
            self._tasks[self._outcome_key(host, effect.request_id)] = server, task
        self.schedule(
            delay_s,
            lambda: self.servers.receive_task(effect.server_id, task, self.now_s),
        )

    def _abort_attempt(self, host: Host, effect: AbortAttempt) -> None:
        found = self._tasks.get(self._outcome_key(host, effect.request_id))
        if found is None:
            return
        server, task = found
        task.report = lambda outcome: None
        if task in server.waiting:
            server.waiting.remove(task)
        ended = AttemptEnded(effect.request_id, effect.attempt_id, Aborted())
        self.schedule(0.0, lambda: self._deliver_inputs(host, [ended]))

    def _write_claim(self, host: Host, effect: WriteClaim) -> None:
        sender = host.world.identity
        result = ClaimResult.UNKNOWN
        wait_s = CLAIM_TIMEOUT_S
        if self._reaches_store(sender.region):
            owner = self.claims.setdefault(effect.key, effect.nonce)
            is_own_claim = owner == effect.nonce
            result = ClaimResult.OURS if is_own_claim else ClaimResult.TAKEN
            wait_s = 2 * STORE_DELAY_S
        settled = ClaimSettled(effect.request_id, result)
        self.schedule(wait_s, lambda: self._deliver_inputs(host, [settled]))


def _load_report(server: VirtualServer, is_answered: bool) -> list[Input]:
    """Return the load report in the head of a server's response, if it sends any."""
    if not server.n_load_figures:
        return []
    n_running = server.n_used + (is_answered and server.does_report_answered)
    n_waiting = len(server.waiting)
    slowdown = server.slowness if server.n_load_figures > 3 else None
    return [
        ServerLoadReported(
            server.server_id,
            n_running,
            n_waiting,
            server.n_slots,
            slowdown,
            not is_answered,
        )
    ]


def start_fleet(
    document: Document,
    seed: int,
    n_servers: dict[str, int],
    delay_s: Callable[[str, str], float],
    policies: Policies | None = None,
    server_weights: dict[str, float] | None = None,
) -> VirtualFleet:
    """Start a fleet with an instance on each seat and servers in the data centres.

    Args:
        document: The configuration.
        seed: Seed of all random draws.
        n_servers: Number of servers of each pool, spread over the data centres.
        delay_s: One-way delay between two data centres.
        policies: Policies of all instances, the usual ones if None.
        server_weights: Fraction of the servers in each data centre, equal ones if None.
    """
    rng = random.Random(seed)
    servers = VirtualServers(lambda delay_s, action: None)
    fleet = VirtualFleet(document, rng, delay_s, policies or Policies(), servers)
    servers.schedule = fleet.schedule
    configuration, _ = check_document(document)
    all_data_centres = list(configuration.data_centres.values())
    weights = server_weights or dict.fromkeys(configuration.data_centres, 1.0)
    for pool, n_total in n_servers.items():
        n_slots = configuration.pools[pool].n_slots_per_server
        n_placed = dict.fromkeys(weights, 0)
        for number in range(n_total):
            data_centre = min(
                all_data_centres,
                key=lambda row: (n_placed[row.name] + 0.5) / weights[row.name],
            )
            n_placed[data_centre.name] += 1
            name = f"{pool}-{data_centre.name}-{number}"
            servers.rows[name] = VirtualServer(
                name, pool, data_centre.name, data_centre.region, n_slots
            )
    for seat in configuration.seats():
        fleet.add_host(seat)
    fleet.run_for(WARM_UP_S)
    return fleet
