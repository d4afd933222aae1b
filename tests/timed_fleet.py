"""A fleet in virtual time whose messages take as long as between real data centres.

Unlike the fleet of ``test_sums``, instances tick when something arrives or is due, and
several accounts are sent requests at once, by callers that keep connections.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from rhubarbspan.document import Document, Snapshot
from rhubarbspan.edge.instance import DEMAND_HALF_LIFE_S
from rhubarbspan.effects import FinishRequest, LogRequest, SendPeerMessage
from rhubarbspan.inputs import (
    ConfigurationReceived,
    Input,
    PeerMessageReceived,
    PeersListed,
    RequestArrived,
    RevisionConfirmed,
)
from rhubarbspan.inputs import PeerListing as Listing
from rhubarbspan.peer_messages import PeerMessage, TokenGrant, TokenRequest
from rhubarbspan.policies import DemandShares, ObjectPlacement, Policies
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import NotRun, Reason
from rhubarbspan.world import Identity, World, create_world

DATA_CENTRES = ("a-1", "a-2", "b-1", "b-2", "c-1", "c-2")
REGIONS = ("a", "b", "c")
OVERAGE = 0.1
SLACK = 20.0
WINDOW_S = 5.0
MAX_REGION_DELAY_S = 0.005
MIN_REGION_DELAY_S = 0.0005
OTHER_REGION_DELAY_S = 0.02
LOCAL_DELAY_S = 0.0003
CONFIRMATION_S = 1.0
LEASE_S = 6.0
OBJECTIVE_S = 0.5
TIMEOUT_S = 1.2
# Requests that a caller sends on one connection, on average.
N_PER_CONNECTION = 20
# Requests per second on one connection.
CONNECTION_RATE_PER_S = 2.0


def make_document(limits: dict[str, float]) -> Document:
    """Make a configuration with accounts and one route that needs a key."""
    document: Document = {
        f"data_centre {name}": {"region": name[0], "seats": "0"}
        for name in DATA_CENTRES
    }
    document["pool shop"] = {"slots_per_server": "2"}
    document["route look"] = {
        "pool": "shop",
        "path_prefix": "/look/",
        "kind": "idempotent",
        "timeout_s": str(TIMEOUT_S),
        "latency_objective_s": str(OBJECTIVE_S),
        "max_config_age_s": "3.5",
    }
    for account, rate_per_s in limits.items():
        document[f"client_account {account}"] = {
            "rate_per_s": str(rate_per_s),
            "burst": str(int(rate_per_s)),
            "key_hashes": key_hash(account),
        }
    return document


def key_hash(account: str) -> str:
    """Return the hash of an account's key."""
    return account.encode().hex().ljust(64, "0")


@dataclass(slots=True)
class Account:
    """An account's callers, each of which has one connection at a time.

    Attributes:
        demand_per_s: Rate at which its callers send requests.
        burst_phase_s: Offset of its bursts, in which it sends 1.7 times as much.
        seats: The instance that each caller is connected to.
        regions: The region that each caller is in.
        arrived_s: When requests arrived.
        admitted_s: When requests got their token.
        refused: When requests that were refused over the rate arrived and ended, with
            the Retry-After.
        waited_s: How long each admitted request waited for its token.
    """

    name: str
    limit_per_s: float
    demand_per_s: float
    burst_phase_s: float = 0.0
    seats: list[str] = field(default_factory=list)
    regions: list[str] = field(default_factory=list)
    arrived_s: list[float] = field(default_factory=list)
    admitted_s: list[float] = field(default_factory=list)
    refused: list[tuple[float, float, float]] = field(default_factory=list)
    waited_s: list[float] = field(default_factory=list)

    def bound(self) -> float:
        """Return the most requests that a window may have."""
        in_window = self.limit_per_s * WINDOW_S + int(self.limit_per_s)
        return in_window * (1 + OVERAGE) + SLACK

    def max_in_a_window(self) -> int:
        """Return the largest number of requests admitted in any window."""
        times: deque[float] = deque()
        n_most = 0
        for time_s in sorted(self.admitted_s):
            times.append(time_s)
            while times[0] < time_s - WINDOW_S:
                times.popleft()
            n_most = max(n_most, len(times))
        return n_most

    def n_by_one_bucket(self, from_s: float) -> int:
        """Count the requests from a time on that one bucket for all would admit."""
        n_tokens = float(int(self.limit_per_s))
        last_s, n_admitted = 0.0, 0
        for time_s in self.arrived_s:
            gained = (time_s - last_s) * self.limit_per_s
            n_tokens = min(float(int(self.limit_per_s)), n_tokens + gained)
            last_s = time_s
            if n_tokens >= 1:
                n_tokens -= 1
                n_admitted += time_s >= from_s
        return n_admitted

    def refused_inside(self, from_s: float) -> float:
        """Return the fraction refused that one bucket for all would have admitted."""
        n_ideal = self.n_by_one_bucket(from_s)
        n_refused = sum(1 for arrived_s, _, _ in self.refused if arrived_s >= from_s)
        n_over = sum(1 for time_s in self.arrived_s if time_s >= from_s) - n_ideal
        return max(0, n_refused - n_over) / max(1, n_ideal)


@dataclass(slots=True)
class TimedFleet:
    """Instances in six data centres of three regions.

    Attributes:
        silent: Ways, each from one instance to another, on which messages are lost.
        cut: Instances that reach neither the other instances nor the store.
        storeless: Instances that don't reach the store. Their records are removed once
            their leases are over, and they keep the list that they have read last.
        paused: Instances that do nothing until they resume.
        loss: Probability that a message between data centres is lost.
        n_sent: Requests, by instance and account.
        n_messages: Messages that were sent, by type and whether between data centres.
        token_links: Pairs of instances of different data centres, of which the first
            sent the second a message about tokens.
        lines: The log lines of requests.
        on_refusal: Called when a request is refused over the rate.
    """

    worlds: dict[str, World]
    accounts: dict[str, Account]
    rng: random.Random
    document: Document
    now_s: float = 0.0
    silent: set[tuple[str, str]] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    storeless: set[str] = field(default_factory=set)
    paused: dict[str, list[Input]] = field(default_factory=dict)
    loss: float = 0.0
    n_sent: Counter[tuple[str, str]] = field(default_factory=Counter)
    n_messages: Counter[tuple[str, bool]] = field(default_factory=Counter)
    token_links: set[tuple[str, str]] = field(default_factory=set)
    lines: list[LogRequest] = field(default_factory=list)
    on_refusal: Callable[[str, str], None] | None = None
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _n_events: int = 0
    _ticks_s: dict[str, float] = field(default_factory=dict)
    _open: dict[int, tuple[str, float]] = field(default_factory=dict)
    _delays_s: dict[tuple[str, str], float] = field(default_factory=dict)
    _renewed_s: dict[str, float] = field(default_factory=dict)

    def schedule(self, when_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._n_events += 1
        heapq.heappush(self._events, (when_s, self._n_events, action))

    def run_until(self, end_s: float) -> None:
        """Run all actions that are due by a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def start(self) -> None:
        """Tell every instance of the configuration and the others when it starts."""
        for seat, world in self.worlds.items():
            self.schedule(world.started_s, lambda seat=seat: self._start(seat))

    def restart(self, seat: str) -> None:
        """Replace an instance by a new incarnation without state."""
        old = self.worlds[seat]
        incarnation = old.identity.incarnation + 1000
        identity = replace(old.identity, incarnation=incarnation)
        self.worlds[seat] = create_world(identity, self.now_s, old.policies, 1)
        self._start(seat)

    def pause(self, seat: str) -> None:
        """Let an instance do nothing; its sockets keep what arrives."""
        self.paused.setdefault(seat, [])

    def resume(self, seat: str) -> None:
        """Let a paused instance handle what arrived meanwhile."""
        self._tick(seat, self.paused.pop(seat, []))

    def _listings(self) -> list[Listing]:
        return [
            Listing(name, "y", "x", world.identity.data_centre)
            for name, world in self.worlds.items()
            if self.now_s - self._renewed_s.get(name, self.now_s) < LEASE_S
        ]

    def _start(self, seat: str) -> None:
        listings = self._listings()
        received = ConfigurationReceived(Snapshot(1, self.document), [], True)
        self._tick(seat, [received, PeersListed(listings)])
        incarnation = self.worlds[seat].identity.incarnation
        self._confirm(seat, incarnation)

    def _confirm(self, seat: str, incarnation: int) -> None:
        if self.worlds[seat].identity.incarnation != incarnation:
            return
        later_s = self.now_s + CONFIRMATION_S
        self.schedule(later_s, lambda: self._confirm(seat, incarnation))
        if seat in self.cut | self.storeless:
            self._renewed_s.setdefault(seat, self.now_s)
            return
        self._renewed_s.pop(seat, None)
        self._tick(seat, [RevisionConfirmed(1), PeersListed(self._listings())])

    def send(self, seat: str, account: str) -> None:
        """Send a request of an account to an instance."""
        number = self._n_events = self._n_events + 1
        row = self.accounts[account]
        row.arrived_s.append(self.now_s)
        self.n_sent[seat, account] += 1
        self._open[number] = (account, self.now_s)
        self._tick(seat, [RequestArrived(number, "/look/x", key_hash(account))])

    def receive(self, seat: str, message: PeerMessage) -> None:
        """Let a message arrive at an instance."""
        self._tick(seat, [PeerMessageReceived(message)])

    def _tick(self, seat: str, inputs: list[Input]) -> None:
        if seat in self.paused:
            self.paused[seat] += inputs
            return
        world = self.worlds[seat]
        before = {
            row.account: world.counters["admitted", row.account]
            for row in world.buckets.rows()
        }
        for effect in run_tick(world, self.now_s, inputs):
            match effect:
                case SendPeerMessage():
                    self._deliver(seat, effect)
                case FinishRequest(request_id=number, verdict=verdict):
                    self._finish(seat, number, verdict, effect.retry_after_s)
                case LogRequest():
                    self.lines.append(effect)
                case _:
                    pass
        for account, n_before in before.items():
            n_new = world.counters["admitted", account] - n_before
            if n_new:
                self.accounts[account].admitted_s += [self.now_s] * n_new
        self._arm(seat)

    def _finish(
        self, seat: str, number: int, verdict: object, retry_after_s: float
    ) -> None:
        account, arrived_s = self._open.pop(number)
        row = self.accounts[account]
        if isinstance(verdict, NotRun) and verdict.reason is Reason.OVER_RATE:
            row.refused.append((arrived_s, self.now_s, retry_after_s))
            if self.on_refusal is not None:
                self.on_refusal(seat, account)
        else:
            row.waited_s.append(self.now_s - arrived_s)

    def _arm(self, seat: str) -> None:
        world = self.worlds[seat]
        next_s = world.deadlines.next_s()
        if next_s is None or self._ticks_s.get(seat, -1.0) == next_s:
            return
        self._ticks_s[seat] = next_s

        def tick() -> None:
            if self.worlds[seat] is world and self._ticks_s.get(seat) == next_s:
                self._ticks_s.pop(seat)
                self._tick(seat, [])

        self.schedule(max(next_s, self.now_s + 1e-6), tick)

    def _deliver(self, seat: str, effect: SendPeerMessage) -> None:
        target = effect.seat
        if target not in self.worlds:
            return
        here = self.worlds[seat].identity.data_centre
        there = self.worlds[target].identity.data_centre
        self.n_messages[type(effect.message).__name__, here != there] += 1
        if here != there and isinstance(effect.message, TokenRequest | TokenGrant):
            self.token_links.add((seat, target))
        if (seat, target) in self.silent or self.cut & {seat, target}:
            return
        if here != there and self.rng.random() < self.loss:
            return
        received: Input = PeerMessageReceived(effect.message)
        when_s = self.now_s + self._delay_s(here, there)
        self.schedule(when_s, lambda: self._tick(target, [received]))

    def _delay_s(self, here: str, there: str) -> float:
        if here == there:
            return LOCAL_DELAY_S
        if here[0] != there[0]:
            return OTHER_REGION_DELAY_S
        pair = (min(here, there), max(here, there))
        if pair not in self._delays_s:
            delay_s = self.rng.uniform(MIN_REGION_DELAY_S, MAX_REGION_DELAY_S)
            self._delays_s[pair] = delay_s
        return self._delays_s[pair]

    def n_token_messages(self) -> int:
        """Count the messages about tokens between data centres."""
        names = (TokenRequest.__name__, TokenGrant.__name__)
        return sum(self.n_messages[name, True] for name in names)


def make_fleet(
    n_instances: int,
    accounts: list[Account],
    seed: int,
    data_centres: tuple[str, ...] = DATA_CENTRES,
) -> TimedFleet:
    """Make a fleet whose instances are spread evenly over data centres."""
    policies = Policies(
        limits=DemandShares(),
        choice=ObjectPlacement(),
        heartbeat_interval_s=0.5,
        dead_after_s=1.6,
        burst_slack=SLACK,
        limit_overage=OVERAGE,
        limit_window_s=WINDOW_S,
        demand_half_life_s=DEMAND_HALF_LIFE_S,
    )
    rng = random.Random(seed)
    worlds = {}
    for number in range(n_instances):
        data_centre = data_centres[number % len(data_centres)]
        seat = f"n-{number}"
        identity = Identity(seat, data_centre, data_centre[0], number + 1, "x", "y")
        # Heartbeats of real instances are not in step.
        started_s = rng.uniform(0, policies.heartbeat_interval_s)
        worlds[seat] = create_world(identity, started_s, policies, number)
    document = make_document({row.name: row.limit_per_s for row in accounts})
    by_name = {row.name: row for row in accounts}
    fleet = TimedFleet(worlds, by_name, rng, document)
    fleet.start()
    return fleet


@dataclass(slots=True)
class Callers:
    """Callers that choose an instance anew for each connection, move and send bursts.

    Attributes:
        greedy: Account that sends ``greed`` times its demand, or an empty string.
        moves_s: When a third of each account's callers move to a region, or back.
    """

    fleet: TimedFleet
    rng: random.Random
    from_s: float
    until_s: float
    greedy: str = ""
    greed: float = 7.5
    greedy_from_s: float = 0.0
    burst_factor: float = 1.7
    burst_s: float = 3.0
    burst_every_s: float = 9.0
    moves_s: tuple[tuple[float, str], ...] = ()

    def start(self) -> None:
        """Connect all callers, and schedule their requests and moves."""
        for account in self.fleet.accounts.values():
            n_callers = max(2, round(account.demand_per_s / CONNECTION_RATE_PER_S))
            account.regions = [self.rng.choice(REGIONS) for _ in range(n_callers)]
            account.seats = [self._choose_seat(name) for name in account.regions]
            account.burst_phase_s = self.rng.uniform(0, self.burst_every_s)
            self._send_next(account)
            homes = list(account.regions)
            for when_s, region in self.moves_s:
                self.fleet.schedule(when_s, self._mover(account, region, homes))

    def _mover(
        self, account: Account, region: str, homes: list[str]
    ) -> Callable[[], None]:
        def move() -> None:
            for caller in range(len(account.seats)):
                if region and self.rng.random() >= 1 / 3:
                    continue
                target = region or homes[caller]
                when_s = self.fleet.now_s + self.rng.random()
                self.fleet.schedule(when_s, self._connector(account, caller, target))

        return move

    def _connector(
        self, account: Account, caller: int, region: str
    ) -> Callable[[], None]:
        def connect() -> None:
            if account.regions[caller] != region:
                account.regions[caller] = region
                account.seats[caller] = self._choose_seat(region)

        return connect

    def _choose_seat(self, region: str) -> str:
        seats = [
            seat
            for seat, world in self.fleet.worlds.items()
            if world.identity.region == region
            and seat not in self.fleet.cut
            and seat not in self.fleet.paused
        ]
        return self.rng.choice(seats)

    def _send_next(self, account: Account) -> None:
        now_s = max(self.fleet.now_s, self.from_s)
        rate = account.demand_per_s
        if (now_s - account.burst_phase_s) % self.burst_every_s < self.burst_s:
            rate *= self.burst_factor
        if account.name == self.greedy and now_s >= self.greedy_from_s:
            rate = account.demand_per_s * self.greed
        when_s = now_s + self.rng.expovariate(rate)
        if when_s < self.until_s:
            self.fleet.schedule(when_s, lambda: self._send(account))

    def _send(self, account: Account) -> None:
        caller = self.rng.randrange(len(account.seats))
        seat = account.seats[caller]
        if seat in self.fleet.cut or seat in self.fleet.paused:
            seat = self._choose_seat(account.regions[caller])
            account.seats[caller] = seat
        if self.rng.random() < 1 / N_PER_CONNECTION:
            account.seats[caller] = self._choose_seat(account.regions[caller])
        self.fleet.send(seat, account.name)
        self._send_next(account)
