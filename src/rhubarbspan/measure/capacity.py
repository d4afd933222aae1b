"""Measures how CPU time, bytes and memory grow with size, for the capacity page.

Functions named x_cost return CPU time in microseconds; x_bytes and x_memory return
bytes.
"""

import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..checking import check_document
from ..configuration import find_data_centre
from ..document import Change, Document, Snapshot
from ..edge.server import LookupBody
from ..inputs import (
    ConfigurationReceived,
    Input,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    ProbeSucceeded,
    RequestArrived,
    ServerListing,
    ServersListed,
)
from ..peer_messages import AccountDemand, Heartbeat, PoolLoad
from ..policies import Policies
from ..report.text import format_table
from ..tick import run_tick
from ..wire.peer import decode_message, encode_message
from ..world import Identity, World, create_world

N_REPEATS = 9
MICROSECONDS = 1e6
NOW_S = 1000.0
SEED = 4


@dataclass(slots=True)
class Slope:
    """A cost measured at several sizes and the straight line fitted to it.

    Attributes:
        per_item: Cost of one more item: the slope of the line.
        fixed: Cost at size zero: the intercept of the line.
        max_relative_error: Largest distance from the line, as a fraction of the cost.
    """

    name: str
    unit: str
    sizes: list[int]
    costs: list[float] = field(default_factory=list)
    per_item: float = 0.0
    fixed: float = 0.0
    max_relative_error: float = 0.0


def fit_line(slope: Slope) -> Slope:
    """Fit a line by least squares.

    Example:
        >>> fitted = fit_line(Slope("x", "us", [1, 2, 3], [3.0, 5.0, 7.0]))
        >>> round(fitted.per_item, 3), round(fitted.fixed, 3)
        (2.0, 1.0)
    """
    n = len(slope.sizes)
    mean_x = sum(slope.sizes) / n
    mean_y = sum(slope.costs) / n
    sum_squares = sum((x - mean_x) ** 2 for x in slope.sizes)
    points = zip(slope.sizes, slope.costs, strict=True)
    sum_products = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope.per_item = sum_products / sum_squares
    slope.fixed = mean_y - slope.per_item * mean_x
    slope.max_relative_error = max(
        abs(slope.fixed + slope.per_item * x - y) / y
        for x, y in zip(slope.sizes, slope.costs, strict=True)
    )
    return slope


def time_call(action: Callable[[], object]) -> float:
    """Return the least CPU time of N_REPEATS calls, in microseconds."""
    best = float("inf")
    for _ in range(N_REPEATS):
        start_s = time.process_time()
        action()
        best = min(best, time.process_time() - start_s)
    return best * MICROSECONDS


def measure_sizes(
    name: str, unit: str, sizes: list[int], cost: Callable[[int], float]
) -> Slope:
    """Measure a cost at each size and fit a line."""
    return fit_line(Slope(name, unit, sizes, [cost(size) for size in sizes]))


def make_document(
    n_data_centres: int, n_pools: int, n_accounts: int, n_blocks: int
) -> Document:
    """Return a configuration of a given size."""
    document: Document = {}
    rng = random.Random(SEED)
    n_blocks_each = n_blocks // max(1, n_data_centres)
    for data_centre in range(n_data_centres):
        blocks = [
            f"10.{data_centre % 256}.{number // 256 % 256}.{number % 256}/32"
            if data_centre < 256
            else ""
            for number in range(n_blocks_each)
        ]
        document[f"data_centre dc{data_centre}"] = {
            "region": f"r{data_centre % max(1, n_data_centres // 4)}",
            "client_blocks": ", ".join(blocks),
        }
    for pool in range(n_pools):
        document[f"pool p{pool}"] = {}
        document[f"route r{pool}"] = {
            "pool": f"p{pool}",
            "path_prefix": f"/r{pool}",
            "kind": "idempotent",
            "open": "yes",
        }
    for account in range(n_accounts):
        document[f"client_account a{account}"] = {
            "rate_per_s": "10",
            "burst": "20",
            "key_hashes": f"{rng.getrandbits(256):064x}",
        }
    return document


def make_world(document: Document, n_servers: int = 4) -> World:
    """Return a world with a configuration in force and servers listed."""
    identity = Identity("dc0-1", "dc0", "r0", 1, "127.0.0.1:1", "127.0.0.1:2")
    world = create_world(identity, NOW_S, Policies(), SEED)
    inputs: list[Input] = [ConfigurationReceived(Snapshot(1, document, 1), [], True)]
    for title in document:
        kind, _, pool = title.partition(" ")
        if kind == "pool":
            rows = [
                ServerListing(f"{pool}-{n}", pool, "127.0.0.1:3", "dc0")
                for n in range(n_servers)
            ]
            inputs.append(ServersListed(pool, rows))
    run_tick(world, NOW_S, inputs)
    for number in range(1, 9):
        run_tick(world, NOW_S + number / 4, [])
    return world


def make_heartbeat(
    seat: str, sequence: int, n_pools: int, n_accounts: int
) -> Heartbeat:
    """Return a heartbeat of a given size."""
    return Heartbeat(
        seat,
        1,
        sequence,
        1,
        False,
        1.0,
        [PoolLoad(f"p{n}", 1, 0, 30, 0, 10.0) for n in range(n_pools)],
        [AccountDemand(f"a{n}", 5.0, False) for n in range(n_accounts)],
    )


def lookup_cost(n_blocks: int) -> float:
    """Return the CPU time of one look-up, without the HTTP server.

    A look-up finds the data centre of a client block and encodes the answer.
    """
    configuration, _ = check_document(make_document(90, 1, 0, n_blocks))
    world = make_world(make_document(2, 1, 0, 0))
    answer = next(iter(world.answers.answers.values()))
    body = LookupBody("p0", "r0", 3.0, answer.targets, [], "127.0.0.1:1")

    def work() -> None:
        for _ in range(1000):
            find_data_centre(configuration, "10.3.0.9")
            msgspec.json.encode(body)

    return time_call(work) / 1000


def check_cost(n_blocks: int) -> float:
    """Return the CPU time of checking a whole document."""
    document = make_document(90, 10, 100, n_blocks)
    return time_call(lambda: check_document(document))


def change_cost(n_blocks: int) -> float:
    """Return the CPU time of putting a change of one account in force."""
    document = make_document(90, 10, 100, n_blocks)
    world = make_world(document, 1)
    changes = iter(range(2, 100))

    def work() -> None:
        revision = next(changes)
        section = {**document["client_account a0"], "rate_per_s": str(revision)}
        change = Change(revision, "x", "c", {"client_account a0": section})
        run_tick(world, NOW_S + revision, [ConfigurationReceived(None, [change])])

    return time_call(work)


def change_bytes(n_sections: int) -> float:
    """Return the encoded size of a change of some sections."""
    section = {"rate_per_s": "10", "burst": "20", "key_hashes": "a" * 64}
    replaced = {f"client_account account-{n}": section for n in range(n_sections)}
    return float(len(msgspec.json.encode(Change(9, "operator", "c" * 32, replaced))))


def heartbeat_bytes(n_accounts: int) -> float:
    """Return the encoded size of a heartbeat with some accounts that have demand."""
    return float(len(encode_message(make_heartbeat("dc0-1", 1, 2, n_accounts))))


def heartbeat_cost(n_peers: int) -> float:
    """Return the CPU time to receive a heartbeat of each peer and send one to each."""
    world = make_world(make_document(8, 2, 8, 0))
    peers = [PeerListing(f"dc1-{n}", "a:1", "a:2", "dc1") for n in range(n_peers)]
    run_tick(world, NOW_S + 3, [PeersListed(peers)])
    rounds = iter(range(1, 1000))

    def work() -> None:
        number = next(rounds)
        inputs: list[Input] = []
        for peer in peers:
            data = encode_message(make_heartbeat(peer.seat, number, 2, 8))
            message = decode_message(data)
            assert isinstance(message, Heartbeat)
            inputs.append(PeerMessageReceived(message))
        run_tick(world, NOW_S + 3 + number * 0.25, inputs)

    return time_call(work)


def tick_cost(n_servers: int) -> float:
    """Return the CPU time of an idle tick with some servers."""
    world = make_world(make_document(2, 1, 8, 0), n_servers)

    def work() -> None:
        for _ in range(1000):
            run_tick(world, NOW_S + 2.1, [])

    return time_call(work) / 1000


def request_cost(n_servers: int) -> float:
    """Return the CPU time of a request on an open route until its attempt starts."""
    world = make_world(make_document(2, 1, 8, 0), n_servers)
    numbers = iter(range(1, 1_000_000))
    n_requests = min(50, n_servers)

    def work() -> None:
        for _ in range(n_requests):
            run_tick(world, NOW_S + 2.1, [RequestArrived(next(numbers), "/r0")])

    return time_call(work) / n_requests


def probe_cost(n_servers: int) -> float:
    """Return the CPU time of a tick with one probe result of each server."""
    world = make_world(make_document(2, 1, 0, 0), n_servers)
    inputs: list[Input] = [
        ProbeSucceeded(f"p0-{n}", 0, True, "g") for n in range(n_servers)
    ]
    return time_call(lambda: run_tick(world, NOW_S + 2.1, inputs))


def steering_cost(n_pools: int) -> float:
    """Return the CPU time of computing the look-up answers for 25 regions."""
    world = make_world(make_document(100, n_pools, 0, 0), 1)
    times = iter(range(3, 1000))
    return time_call(lambda: run_tick(world, NOW_S + next(times), []))


def memory_of(make: Callable[[], object]) -> float:
    """Return the bytes that a value occupies, as traced by tracemalloc."""
    tracemalloc.start()
    value = make()
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(n_bytes) if value is not None else 0.0


def block_memory(n_blocks: int) -> float:
    """Return the bytes of the typed configuration of some client blocks."""
    document = make_document(90, 1, 1, n_blocks)
    return memory_of(lambda: check_document(document)[0].blocks)


def server_memory(n_servers: int) -> float:
    """Return the bytes of a world with some servers."""
    document = make_document(2, 1, 0, 0)
    return memory_of(lambda: make_world(document, n_servers))


def account_memory(n_accounts: int) -> float:
    """Return the bytes of a world with some accounts and their token buckets."""
    document = make_document(2, 1, n_accounts, 0)
    return memory_of(lambda: make_world(document, 1))


def measure_all() -> list[Slope]:
    """Measure all slopes."""
    block_counts = [2_000, 8_000, 20_000]
    row_counts = [100, 400, 1600]
    cases: list[tuple[str, str, list[int], Callable[[int], float]]] = [
        ("look-up, by client blocks", "us", block_counts, lookup_cost),
        ("check of a document, by client blocks", "us", block_counts, check_cost),
        ("one change in force, by client blocks", "us", block_counts, change_cost),
        ("change, by sections", "bytes", [1, 10, 100], change_bytes),
        ("heartbeat, by busy accounts", "bytes", [0, 8, 64], heartbeat_bytes),
        ("heartbeats in and out, by peers", "us", [4, 8, 16], heartbeat_cost),
        ("idle tick, by servers", "us", [10, 100, 1000], tick_cost),
        ("request, by servers owned", "us", [10, 30, 100], request_cost),
        ("probe reports, by servers", "us", [10, 100, 1000], probe_cost),
        ("steering, by pools", "us", [1, 4, 16], steering_cost),
        ("memory, by client blocks", "bytes", block_counts, block_memory),
        ("memory, by servers", "bytes", row_counts, server_memory),
        ("memory, by accounts", "bytes", row_counts, account_memory),
    ]
    return [measure_sizes(*case) for case in cases]


def format_slopes(slopes: list[Slope]) -> str:
    """Return the slopes as a table."""
    header = ["what", "sizes", "measured", "per item", "fixed", "unit", "fit error %"]
    rows = [
        [
            slope.name,
            " ".join(str(size) for size in slope.sizes),
            " ".join(f"{cost:.4g}" for cost in slope.costs),
            f"{slope.per_item:.4g}",
            f"{slope.fixed:.4g}",
            slope.unit,
            f"{slope.max_relative_error * 100:.0f}",
        ]
        for slope in slopes
    ]
    return format_table(header, rows)


if __name__ == "__main__":
    sys.stdout.write(format_slopes(measure_all()) + "\n")
