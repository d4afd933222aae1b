"""Measures the processor time of an instance in a large fleet, in virtual time.

All instances of the fleet run their decisions and exchange encoded messages; only the
sockets are left out. Each phase gives the processor time of an instance for a second:
without requests, with requests, and with requests most of which exceed their limit.
"""

import argparse
import cProfile
import heapq
import pstats
import random
import sys
import time
from dataclasses import dataclass, field

from ..document import Document, Snapshot
from ..edge.instance import choose_policies
from ..effects import FinishRequest, LogRequest, SendPeerMessage, StartAttempt
from ..inputs import (
    AttemptEnded,
    Completed,
    ConfigurationReceived,
    EvacuationsListed,
    Input,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    RequestArrived,
    RevisionConfirmed,
    ServerListing,
    ServerLoadReported,
    ServersListed,
    Shed,
)
from ..platform.settings import PlatformSettings
from ..report.text import format_table
from ..tick import run_tick
from ..verdict import Failure, NotRun
from ..wire.peer import decode_message, encode_message
from ..world import Identity, World, create_world

DATA_CENTRES = {
    "a-1": "a",
    "a-2": "a",
    "b-1": "b",
    "b-2": "b",
    "c-1": "c",
    "c-2": "c",
}
# Requests per second of an instance, service time and pool by route.
ROUTES = {"look": (6.5, 0.6, "p0"), "send": (2.2, 0.8, "p1"), "view": (3.3, 0.3, "p2")}
N_ACCOUNTS = 84
N_SLOTS = 3
N_MAX_WAITING = 3
SERVERS_PER_INSTANCE = 2.2
OBJECTS_PER_INSTANCE = 20
# Factor of the warm service time on the cold one.
WARM_FACTOR = 0.35
ACCOUNT_LIMIT_FACTOR = 1.6
# Requests per second of an instance for one account that has used up its limit.
EXCESS_PER_S = 40.0
LOCAL_DELAY_S = 0.0054
REGION_DELAY_S = 0.02
LISTING_INTERVAL_S = 0.72
CONFIRMATION_INTERVAL_S = 1.6
PEERS_INTERVAL_S = 6.0
WARM_UP_S = 6.0
# Lengths of the warm-up and of each phase in a fleet of this size or larger.
N_LARGE_FLEET = 200
LARGE_WARM_UP_S = 3.0
PHASE_S = 4.0
LARGE_PHASE_S = 1.0
MS_PER_S = 1000.0
SEED = 4
N_LINES_OF_PROFILE = 45


@dataclass(slots=True)
class Cost:
    """Processor time in one phase, and what was done in it.

    Attributes:
        decisions_s: Time in ``run_tick``.
        codec_s: Time to encode and decode messages between instances.
    """

    name: str
    length_s: float
    decisions_s: float = 0.0
    codec_s: float = 0.0
    n_ticks: int = 0
    n_messages: int = 0
    n_requests: int = 0
    n_refused: int = 0


@dataclass(slots=True)
class MeasuredFleet:
    """Instances whose decisions are timed, with servers that only take time.

    Attributes:
        events: Inputs in order of time, each for one instance; without an input, a
            deadline of the instance.
        ends_s: When the requests in progress at each server end.
        checksum: Digest of all effects, equal for equal decisions.
    """

    n_instances: int
    rng: random.Random
    worlds: dict[str, World] = field(default_factory=dict)
    events: list[tuple[float, int, str, Input | None]] = field(default_factory=list)
    ends_s: dict[str, list[float]] = field(default_factory=dict)
    servers: dict[str, ServerListing] = field(default_factory=dict)
    woken_s: dict[str, float] = field(default_factory=dict)
    cost: Cost = field(default_factory=lambda: Cost("warm-up", WARM_UP_S))
    profile: cProfile.Profile | None = None
    now_s: float = 0.0
    n_events: int = 0
    n_requests: int = 0
    checksum: int = 0

    def schedule(self, when_s: float, seat: str, item: Input | None) -> None:
        """Add an event."""
        self.n_events += 1
        heapq.heappush(self.events, (when_s, self.n_events, seat, item))

    def run_for(self, length_s: float) -> None:
        """Run all events of a span of time."""
        end_s = self.now_s + length_s
        while self.events and self.events[0][0] < end_s:
            when_s, _, seat, item = heapq.heappop(self.events)
            inputs = [] if item is None else [item]
            while self.events and self.events[0][:1] == (when_s,):
                if self.events[0][2] != seat:
                    break
                _, _, _, other = heapq.heappop(self.events)
                if other is not None:
                    inputs.append(other)
            self.now_s = when_s
            self._tick(seat, inputs)
        self.now_s = end_s

    def _tick(self, seat: str, inputs: list[Input]) -> None:
        world = self.worlds[seat]
        cost = self.cost
        cost.n_ticks += 1
        started_s = time.process_time()
        if self.profile is not None:
            self.profile.enable()
        effects = run_tick(world, self.now_s, inputs)
        if self.profile is not None:
            self.profile.disable()
        cost.decisions_s += time.process_time() - started_s
        for effect in effects:
            match effect:
                case SendPeerMessage():
                    self._deliver(world, effect)
                case StartAttempt():
                    self._run_attempt(world, effect)
                case FinishRequest(verdict=NotRun()):
                    cost.n_refused += 1
                case _:
                    pass
            if not isinstance(effect, LogRequest | SendPeerMessage):
                self.checksum = hash((self.checksum, seat, str(effect)))
        next_s = world.deadlines.next_s()
        if next_s is not None and next_s != self.woken_s.get(seat):
            self.woken_s[seat] = next_s
            self.schedule(max(next_s, self.now_s), seat, None)

    def _deliver(self, world: World, effect: SendPeerMessage) -> None:
        receiver = self.worlds.get(effect.seat)
        if receiver is None:
            return
        self.cost.n_messages += 1
        started_s = time.process_time()
        data = encode_message(effect.message)
        message = decode_message(data)
        self.cost.codec_s += time.process_time() - started_s
        assert not isinstance(message, Failure)
        self.checksum = hash((self.checksum, effect.seat, data))
        is_near = receiver.identity.region == world.identity.region
        delay_s = LOCAL_DELAY_S if is_near else REGION_DELAY_S
        received = PeerMessageReceived(message)
        self.schedule(self.now_s + delay_s, effect.seat, received)

    def _run_attempt(self, world: World, effect: StartAttempt) -> None:
        server_id, seat = effect.server_id, world.identity.seat
        row = world.requests.get(effect.request_id)
        assert row is not None
        ends_s = [end_s for end_s in self.ends_s[server_id] if end_s > self.now_s]
        is_full = len(ends_s) >= N_SLOTS + N_MAX_WAITING
        service_s = LOCAL_DELAY_S if is_full else ROUTES[row.route.name][1]
        if row.was_warm and not is_full:
            service_s *= WARM_FACTOR
        end_s = self.now_s + service_s
        n_waiting = max(0, len(ends_s) - N_SLOTS)
        load = ServerLoadReported(
            server_id, len(ends_s) - n_waiting, n_waiting, N_SLOTS
        )
        if not is_full:
            ends_s.append(end_s)
        self.ends_s[server_id] = ends_s
        outcome = Shed() if is_full else Completed(200)
        ended = AttemptEnded(effect.request_id, effect.attempt_id, outcome)
        self.schedule(end_s, seat, load)
        self.schedule(end_s, seat, ended)

    def list_servers(self, from_s: float, until_s: float) -> None:
        """Schedule the readings of the store for a span of time."""
        for number, seat in enumerate(self.worlds):
            offset_s = from_s + LISTING_INTERVAL_S * number / self.n_instances
            while offset_s < until_s:
                for pool in ("p0", "p1", "p2"):
                    rows = [row for row in self.servers.values() if row.pool == pool]
                    self.schedule(offset_s, seat, ServersListed(pool, rows))
                offset_s += LISTING_INTERVAL_S
            offset_s = from_s + CONFIRMATION_INTERVAL_S * number / self.n_instances
            while offset_s < until_s:
                self.schedule(offset_s, seat, EvacuationsListed(frozenset()))
                self.schedule(offset_s, seat, RevisionConfirmed(1, offset_s))
                offset_s += CONFIRMATION_INTERVAL_S

    def list_peers(self) -> None:
        """Schedule a reading of the list of instances."""
        peers = [
            PeerListing(seat, "y", "x", world.identity.data_centre)
            for seat, world in self.worlds.items()
        ]
        for seat in self.worlds:
            self.schedule(self.now_s, seat, PeersListed(peers))

    def send_requests(self, length_s: float, excess_per_s: float) -> None:
        """Schedule the requests of a span of time at all instances."""
        for seat in self.worlds:
            for route, (rate_per_s, _, _) in ROUTES.items():
                self._send(length_s, seat, route, rate_per_s, -1)
            if excess_per_s:
                self._send(length_s, seat, "look", excess_per_s, 0)

    def _send(
        self, length_s: float, seat: str, route: str, rate_per_s: float, account: int
    ) -> None:
        when_s = self.now_s + self.rng.expovariate(rate_per_s)
        n_objects = OBJECTS_PER_INSTANCE * self.n_instances
        while when_s < self.now_s + length_s:
            self.n_requests += 1
            self.cost.n_requests += 1
            number = account if account >= 0 else self.rng.randrange(1, N_ACCOUNTS)
            arrived = RequestArrived(
                self.n_requests,
                f"/{route}/x",
                f"{number:064x}",
                "",
                f"d{self.n_requests}",
                timeout_s=3.0,
                object_key=f"o{int(n_objects * self.rng.random() ** 2)}",
                caller_request_id=f"c{self.n_requests}",
            )
            self.schedule(when_s, seat, arrived)
            when_s += self.rng.expovariate(rate_per_s)


def _document(n_instances: int) -> Document:
    document: Document = {
        f"data_centre {name}": {"region": region, "seats": "0"}
        for name, region in DATA_CENTRES.items()
    }
    rate_per_s = sum(rate for rate, _, _ in ROUTES.values()) * n_instances
    limit_per_s = ACCOUNT_LIMIT_FACTOR * rate_per_s / N_ACCOUNTS
    for number in range(N_ACCOUNTS):
        document[f"client_account a{number}"] = {
            "rate_per_s": f"{limit_per_s:.3f}",
            "burst": f"{limit_per_s:.0f}",
            "key_hashes": f"{number:064x}",
        }
    for number, (route, (_, _, pool)) in enumerate(ROUTES.items()):
        document[f"pool {pool}"] = {"slots_per_server": str(N_SLOTS)}
        document[f"route {route}"] = {
            "pool": pool,
            "path_prefix": f"/{route}/",
            "kind": "non_idempotent" if route == "send" else "idempotent",
            "timeout_s": "1.2",
            "latency_objective_s": "0.5",
            "priority": str(number),
            "max_config_age_s": "4.7",
        }
    return document


def start_fleet(n_instances: int) -> MeasuredFleet:
    """Start a fleet and let its instances find each other."""
    fleet = MeasuredFleet(n_instances, random.Random(SEED))
    policies = choose_policies(
        PlatformSettings("x", "a-1", "a", DATA_CENTRES, "", "", "", "", "")
    )
    names = list(DATA_CENTRES)
    n_servers = int(SERVERS_PER_INSTANCE * n_instances)
    for number in range(n_servers):
        # Two thirds of the servers are in the first pool.
        pool = ("p0", "p0", "p0", "p1", "p1", "p2")[number % 6]
        server = ServerListing(
            f"s-{number}", pool, "h:1", names[number // 6 % 6], False, 3, 1
        )
        fleet.servers[server.server_id] = server
        fleet.ends_s[server.server_id] = []
    document = _document(n_instances)
    for number in range(n_instances):
        data_centre = names[number % len(names)]
        identity = Identity(
            f"n-{number:03}", data_centre, DATA_CENTRES[data_centre], 1, "x", "y"
        )
        world = create_world(identity, 0.0, policies, number)
        fleet.worlds[identity.seat] = world
        received = ConfigurationReceived(Snapshot(1, document), [], True, 0.0)
        fleet.schedule(0.001 * number, identity.seat, received)
    fleet.list_peers()
    return fleet


def measure_phases(n_instances: int, is_profiled: bool = False) -> list[Cost]:
    """Measure the phases of a fleet, one after the other."""
    fleet = start_fleet(n_instances)
    is_large = n_instances >= N_LARGE_FLEET
    warm_up_s = LARGE_WARM_UP_S if is_large else WARM_UP_S
    length_s = LARGE_PHASE_S if is_large else PHASE_S
    fleet.list_servers(0.1, warm_up_s)
    if not is_large:
        fleet.send_requests(warm_up_s, 0.0)
    fleet.run_for(warm_up_s)
    costs: list[Cost] = []
    for name, is_loaded, excess_per_s in (
        ("settling", False, 0.0),
        ("idle", False, 0.0),
        ("requests", True, 0.0),
        ("excess", True, EXCESS_PER_S),
    ):
        fleet.cost = Cost(name, length_s)
        fleet.list_servers(fleet.now_s, fleet.now_s + length_s)
        if is_loaded:
            fleet.send_requests(length_s, excess_per_s)
        if is_profiled:
            fleet.profile = cProfile.Profile()
        fleet.run_for(length_s)
        if fleet.profile is not None and name != "settling":
            sys.stdout.write(f"--- {name}\n")
            stats = pstats.Stats(fleet.profile, stream=sys.stdout)
            stats.sort_stats("tottime").print_stats(N_LINES_OF_PROFILE)
        costs.append(fleet.cost)
    sys.stdout.write(f"checksum of the decisions: {fleet.checksum:x}\n")
    return costs[1:]


def format_costs(n_instances: int, costs: list[Cost]) -> str:
    """Return the costs of an instance as a table."""
    idle = costs[0]
    idle_per_s = idle.decisions_s / idle.length_s
    rows = []
    n_others, others_s = 0, idle_per_s
    for cost in costs:
        per_s = cost.decisions_s / cost.length_s
        n_more = cost.n_requests - n_others
        per_request = (per_s - others_s) * cost.length_s / max(1, n_more)
        n_others, others_s = cost.n_requests, per_s
        rows.append(
            [
                str(n_instances),
                cost.name,
                f"{MS_PER_S * per_s / n_instances:.2f}",
                f"{MS_PER_S * cost.codec_s / cost.length_s / n_instances:.2f}",
                f"{MS_PER_S * per_request:.3f}" if cost.n_requests else "",
                f"{cost.n_ticks / cost.length_s / n_instances:.0f}",
                f"{cost.n_messages / cost.length_s / n_instances:.0f}",
                str(cost.n_requests),
                str(cost.n_refused),
            ]
        )
    header = [
        "instances",
        "phase",
        "decisions ms/s",
        "codec ms/s",
        "ms per further request",
        "ticks/s",
        "messages/s",
        "requests",
        "refused",
    ]
    return format_table(header, rows)


def main() -> None:
    """Print the costs for the sizes that are given."""
    parser = argparse.ArgumentParser()
    parser.add_argument("sizes", nargs="*", type=int, default=[30, 84, 300])
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    for n_instances in arguments.sizes:
        costs = measure_phases(n_instances, arguments.profile)
        sys.stdout.write(format_costs(n_instances, costs) + "\n")


if __name__ == "__main__":
    main()
