"""Simulates instances on the platform in virtual time and checks their guarantees.

Five instances with the platform's policies exchange heartbeats, watch a store that has
outages, and send requests to servers that shed, lose connections and become cold. The
checks compare the operator's changes and their times with the attempts that reach the
servers.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from rhubarbspan.document import Document, Snapshot
from rhubarbspan.edge.instance import choose_policies
from rhubarbspan.effects import (
    AbortAttempt,
    FinishRequest,
    SendPeerMessage,
    StartAttempt,
)
from rhubarbspan.inputs import (
    Aborted,
    AttemptEnded,
    Completed,
    ConfigurationReceived,
    ConnectFailed,
    ConnectionLost,
    EvacuationsListed,
    Input,
    Outcome,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    RequestArrived,
    RevisionConfirmed,
    ServerListing,
    ServersListed,
    Shed,
    StoreRecovered,
)
from rhubarbspan.platform.settings import Bounds, PlatformSettings
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import NotRun
from rhubarbspan.world import Identity, World, create_world

TICK_S = 0.02
LENGTH_S = 32.0
START_S = 4.0
STORE_INTERVAL_S = 0.3
# An instance notices a broken watch and reads the store again well within this time.
STABLE_S = 3.0
COLD_RATE_PER_S = 5.0
COLD_S = 3.0
DOWN_S = 0.6
RETRY_WINDOW_S = 10.0
DATA_CENTRES = {"a-1": "a", "b-1": "b"}
N_INSTANCES = 5
N_SERVERS = 4
KEYS = {"ana": "a" * 64, "ben": "b" * 64}
BOUNDS = Bounds()


@dataclass(frozen=True, slots=True)
class Run:
    """An attempt that reached a server."""

    at_s: float
    seat: str
    server: str
    request_id: int
    arrived_s: float
    account: str
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class Outage:
    """A span of time in which some instances cannot reach the store."""

    seats: frozenset[str]
    from_s: float
    until_s: float


@dataclass(slots=True)
class Ending:
    """The scheduled end of an attempt, unless it is aborted before."""

    seat: str
    request_id: int
    attempt_id: int
    outcome: Outcome
    server: str = ""


@dataclass(slots=True)
class PlatformFleet:
    """Instances, servers, the store and the record that the checks read.

    Attributes:
        runs: Attempts that servers began to run.
        sheds: Attempts that servers shed.
        refused: When each request with the verdict "not run" was finished.
        disconnected_seats: Seats that have not reached the store since its outage.
        withdrawn_s: When the key of ``ben`` was withdrawn, or None.
        evacuated: For each data centre, the start and the end of its evacuation.
        cold: For each server, spans of time in which it was cold.
        violations: Guarantees that did not hold.
    """

    rng: random.Random
    now_s: float = 0.0
    revision: int = 1
    n_requests: int = 0
    worlds: dict[str, World] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    sheds: list[Run] = field(default_factory=list)
    arrivals_s: dict[int, float] = field(default_factory=dict)
    refused: dict[tuple[str, int], float] = field(default_factory=dict)
    outages: list[Outage] = field(default_factory=list)
    disconnected_seats: set[str] = field(default_factory=set)
    withdrawn_s: float | None = None
    evacuated: dict[str, tuple[float, float]] = field(default_factory=dict)
    cold: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    incarnations: Counter[str] = field(default_factory=Counter)
    endings: list[tuple[float, int, Ending]] = field(default_factory=list)
    messages: dict[str, list[PeerMessageReceived]] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def start(self) -> None:
        """Start all instances."""
        for number in range(N_INSTANCES):
            self.start_instance(f"n-{number}")

    def start_instance(self, seat: str) -> None:
        """Start an instance, or replace it by a new incarnation without state."""
        number = int(seat.partition("-")[2])
        data_centre = list(DATA_CENTRES)[number % len(DATA_CENTRES)]
        settings = PlatformSettings(
            seat,
            data_centre,
            DATA_CENTRES[data_centre],
            DATA_CENTRES,
            "",
            "",
            "",
            "",
            "",
            bounds=BOUNDS,
        )
        incarnation = int(self.now_s * 1000) + 1
        identity = Identity(
            seat, data_centre, DATA_CENTRES[data_centre], incarnation, seat, seat
        )
        policies = choose_policies(settings)
        seed = self.rng.randrange(1 << 30)
        self.worlds[seat] = create_world(identity, self.now_s, policies, seed)
        self.revisions[seat] = 0
        self.endings = [row for row in self.endings if row[2].seat != seat]
        heapq.heapify(self.endings)

    def document(self) -> Document:
        """Return the operator's current configuration."""
        common = {
            "pool": "shop",
            "timeout_s": "3",
            "latency_objective_s": "0.5",
            "affinity": "yes",
            "attempts": "2",
            "max_config_age_s": str(0.95 * BOUNDS.revocation_s),
        }
        ben = "" if self.withdrawn_s is not None else KEYS["ben"]
        data_centres = {
            f"data_centre {name}": {"region": region, "seats": "0"}
            for name, region in DATA_CENTRES.items()
        }
        account = {"rate_per_s": "1000", "burst": "1000"}
        return {
            **data_centres,
            "pool shop": {"cold_rate_per_s": str(COLD_RATE_PER_S), "ramp_s": "3"},
            "client_account ana": {**account, "key_hashes": KEYS["ana"]},
            "client_account ben": {**account, "key_hashes": ben},
            "route look": {**common, "path_prefix": "/look/", "kind": "idempotent"},
            "route order": {
                **common,
                "path_prefix": "/order/",
                "kind": "non_idempotent",
            },
        }

    def run(self) -> None:
        """Run the simulation to its end."""
        while self.now_s < LENGTH_S:
            self.tick()

    def tick(self) -> None:
        """Advance the time, draw arrivals and run one tick of each instance."""
        self.now_s += TICK_S
        inbound: dict[str, list[Input]] = {seat: [] for seat in self.worlds}
        for seat, received in self.messages.items():
            inbound[seat] += received
        self.messages = {}
        while self.endings and self.endings[0][0] <= self.now_s:
            ending = heapq.heappop(self.endings)[2]
            ended = AttemptEnded(ending.request_id, ending.attempt_id, ending.outcome)
            inbound[ending.seat].append(ended)
        for seat, inputs in inbound.items():
            inputs += self._read_store(seat)
            inputs += self._draw_arrivals()
            for effect in run_tick(self.worlds[seat], self.now_s, inputs):
                self._apply_effect(seat, effect)
            self._check_revision(seat)

    def _draw_arrivals(self) -> list[Input]:
        if self.now_s < START_S or self.rng.random() > 0.2:
            return []
        self.n_requests += 1
        self.arrivals_s[self.n_requests] = self.now_s
        path = self.rng.choice(["/look/x", "/look/x", "/order/x"])
        arrived = RequestArrived(
            self.n_requests,
            path,
            KEYS[self.rng.choice(list(KEYS))],
            timeout_s=3.0,
            object_key=str(self.rng.randrange(30)),
            body_digest=str(self.n_requests),
        )
        return [arrived]

    def is_cut_off(self, seat: str, from_s: float, until_s: float) -> bool:
        """Return whether an instance could not reach the store in a span of time."""
        return any(
            seat in outage.seats and outage.from_s < until_s and from_s < outage.until_s
            for outage in self.outages
        )

    def _read_store(self, seat: str) -> list[Input]:
        """Return what an instance reads from the store; instances take turns."""
        if self.is_cut_off(seat, self.now_s, self.now_s + 1e-6):
            self.disconnected_seats.add(seat)
            return []
        offset = int(seat.partition("-")[2]) * 3
        if (round(self.now_s / TICK_S) + offset) % round(STORE_INTERVAL_S / TICK_S):
            return []
        world = self.worlds[seat]
        inputs: list[Input] = []
        if seat in self.disconnected_seats:
            self.disconnected_seats.discard(seat)
            inputs.append(StoreRecovered())
        if world.configuration_state.snapshot.revision == self.revision:
            inputs.append(RevisionConfirmed(self.revision, self.now_s))
        else:
            snapshot = Snapshot(self.revision, self.document())
            inputs.append(ConfigurationReceived(snapshot, [], True, self.now_s))
        data_centres = {
            evacuated_name
            for evacuated_name, (from_s, until_s) in self.evacuated.items()
            if from_s <= self.now_s < until_s
        }
        listed = [
            PeerListing(name, name, name, row.identity.data_centre)
            for name, row in self.worlds.items()
        ]
        return [
            *inputs,
            EvacuationsListed(frozenset(data_centres)),
            ServersListed("shop", self._listings()),
            PeersListed(listed),
        ]

    def _listings(self) -> list[ServerListing]:
        rows = []
        for data_centre in DATA_CENTRES:
            for number in range(N_SERVERS):
                name = f"{data_centre}-{number}"
                spans = self.cold.get(name, [])
                remaining_s = max(
                    (until_s - self.now_s for _, until_s in spans), default=0
                )
                rows.append(
                    ServerListing(
                        name,
                        "shop",
                        name,
                        data_centre,
                        n_slots=4,
                        incarnation=1 + self.incarnations[name],
                        cold_s=max(0.0, remaining_s),
                        sequence=round(self.now_s / TICK_S),
                    )
                )
        return rows

    def restart_servers(self, data_centre: str) -> None:
        """Restart all servers of a data centre; requests in flight there are lost."""
        up_s = self.now_s + DOWN_S
        for number in range(N_SERVERS):
            name = f"{data_centre}-{number}"
            self.incarnations[name] += 1
            self.cold.setdefault(name, []).append((up_s, up_s + COLD_S))
        for _, _, ending in self.endings:
            if ending.server.startswith(data_centre):
                ending.outcome = ConnectionLost()

    def _apply_effect(self, seat: str, effect: object) -> None:
        match effect:
            case SendPeerMessage(seat=target, message=message):
                self.messages.setdefault(target, []).append(
                    PeerMessageReceived(message)
                )
            case StartAttempt():
                self._start_attempt(seat, effect)
            case AbortAttempt(request_id=request_id, attempt_id=attempt_id):
                aborted = Ending(seat, request_id, attempt_id, Aborted())
                self._end_at(self.now_s + TICK_S, aborted)
            case FinishRequest(request_id=request_id, verdict=NotRun()):
                self.refused[seat, request_id] = self.now_s

    def _start_attempt(self, seat: str, effect: StartAttempt) -> None:
        run = Run(
            self.now_s,
            seat,
            effect.server_id,
            effect.request_id,
            self.arrivals_s[effect.request_id],
            effect.account,
            effect.is_idempotent,
        )
        spans = self.cold.get(effect.server_id, [])
        if any(up_s - DOWN_S <= self.now_s < up_s for up_s, _ in spans):
            refused = Ending(
                seat,
                effect.request_id,
                effect.attempt_id,
                ConnectFailed(is_refused=True),
                effect.server_id,
            )
            self._end_at(self.now_s + TICK_S, refused)
            return
        draw = self.rng.random()
        outcome: Outcome = Completed(200)
        if draw < 0.05:
            outcome = Shed()
            self.sheds.append(run)
        else:
            self.runs.append(run)
        if 0.05 <= draw < 0.09:
            outcome = ConnectionLost()
        duration_s = 0.01 if draw < 0.05 else 0.1 + 0.3 * self.rng.random()
        ending = Ending(
            seat, effect.request_id, effect.attempt_id, outcome, effect.server_id
        )
        self._end_at(self.now_s + duration_s, ending)

    def _end_at(self, at_s: float, ending: Ending) -> None:
        self.n_requests += 1
        heapq.heappush(self.endings, (at_s, self.n_requests, ending))

    def _check_revision(self, seat: str) -> None:
        revision = self.worlds[seat].configuration.revision
        if revision < self.revisions[seat]:
            self.violations.append(f"{seat} went back to revision {revision}")
        self.revisions[seat] = revision

    def check(self) -> list[str]:
        """Return all guarantees that did not hold."""
        self._check_keys()
        self._check_evacuations()
        self._check_cold()
        self._check_at_most_once()
        self._check_retries()
        return self.violations

    def _check_keys(self) -> None:
        if self.withdrawn_s is None:
            return
        end_s = self.withdrawn_s + BOUNDS.revocation_s
        late = [r for r in self.runs if r.account == "ben" and r.arrived_s > end_s]
        if late:
            self.violations.append(f"a withdrawn key worked at {late[0]}")

    def _check_evacuations(self) -> None:
        for data_centre, (from_s, until_s) in self.evacuated.items():
            due_s = from_s + BOUNDS.evacuation_s
            for run in [*self.runs, *self.sheds]:
                is_due = (
                    run.server.startswith(data_centre) and due_s < run.at_s < until_s
                )
                if is_due and not self.is_cut_off(
                    run.seat, run.at_s - STABLE_S, run.at_s
                ):
                    self.violations.append(f"{data_centre} was evacuated: {run}")

    def _check_cold(self) -> None:
        bound = COLD_RATE_PER_S * BOUNDS.cold_overage + BOUNDS.cold_slack
        for server, spans in self.cold.items():
            rows = [*self.runs, *self.sheds]
            times = sorted(r.at_s for r in rows if r.server == server)
            for from_s, until_s in spans:
                inside = [t for t in times if from_s <= t < until_s]
                for start_s in inside:
                    n_sent = sum(start_s <= t < start_s + 1.0 for t in inside)
                    if n_sent > bound:
                        text = f"{n_sent} requests at cold {server} from {start_s:.2f}"
                        self.violations.append(text)

    def _check_at_most_once(self) -> None:
        n_runs = Counter((r.seat, r.request_id) for r in self.runs)
        for run in self.runs:
            key = (run.seat, run.request_id)
            if not run.is_idempotent and n_runs[key] > 1:
                self.violations.append(f"ran {n_runs[key]} times: {run}")
            if key in self.refused and not run.is_idempotent:
                self.violations.append(f"refused as not run, but ran: {run}")

    def _check_retries(self) -> None:
        rows = sorted([*self.runs, *self.sheds], key=lambda run: run.at_s)
        seen: set[tuple[str, int]] = set()
        repeats = []
        for run in rows:
            key = (run.seat, run.request_id)
            if key in seen:
                repeats.append(run.at_s)
            seen.add(key)
        arrivals = sorted(self.arrivals_s.values())
        for start_s in repeats:
            end_s = start_s + RETRY_WINDOW_S
            n_repeats = sum(start_s <= t < end_s for t in repeats)
            n_arrivals = sum(start_s <= t < end_s for t in arrivals)
            if n_repeats > BOUNDS.retry_ratio * n_arrivals + BOUNDS.retry_slack:
                self.violations.append(f"{n_repeats} repeats from {start_s:.2f}")
