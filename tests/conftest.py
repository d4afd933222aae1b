"""Shared fixtures: example configurations, worlds and running deployments."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import msgspec
import pytest

from edge_site import Site, site_document
from entry_process import N_SERVERS, SETTLE_S, TIMEOUT_S, Entry, RunEntry
from platform_site import PlatformSite, close_loop
from process_fleet import ProcessFleet
from rhubarbspan.document import Document, Snapshot
from rhubarbspan.inputs import (
    ConfigurationReceived,
    Input,
    ServerListing,
    ServersListed,
)
from rhubarbspan.peer_messages import PeerMessage
from rhubarbspan.policies import Policies
from rhubarbspan.standins.deployment import Deployment
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.ini import read_document
from rhubarbspan.wire.peer import encode_message
from rhubarbspan.world import Identity, World, create_world

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
EXAMPLES = Path(__file__).parent.parent / "examples"
START_S = 100.0

MakeWorld = Callable[..., World]
RunFleet = Callable[[Callable[[ProcessFleet], Awaitable[None]], int], None]
# Service time of the servers of a fleet of processes.
FLEET_SERVICE_S = 2.4
N_FLEET_SERVERS = 30


def encoded_fields(message: PeerMessage, before: str) -> bytes:
    """Encode a message as versions did that end before a field."""
    names = [field.name for field in dataclasses.fields(message)]
    encoded = encode_message(message)
    values = msgspec.msgpack.decode(encoded[1:])
    assert len(values) == len(names)
    return encoded[:1] + msgspec.msgpack.encode(values[: names.index(before)])


def known_red() -> list[str]:
    """List the tests in KNOWN-RED.txt, which fail because of known faults."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix("test: ") for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests in KNOWN-RED.txt as expected failures, and no others."""
    names = set(known_red())
    for item in items:
        if item.nodeid in names:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the expected failures, and which of them pass now."""
    passing = {report.nodeid for report in terminalreporter.stats.get("xpassed", [])}
    for name in known_red():
        state = "passes now" if name in passing else "known red"
        terminalreporter.write_line(f"{state}: {name}")


def load_example(name: str) -> Document:
    """Read an example configuration."""
    document = read_document((EXAMPLES / f"{name}.ini").read_text(), name)
    assert not isinstance(document, Failure)
    return document


@pytest.fixture
def parrilla() -> Document:
    """Return the configuration of Parrilla Fundida."""
    return load_example("parrilla")


@pytest.fixture
def tamarind() -> Document:
    """Return the configuration of Tamarind Label Works."""
    return load_example("tamarind")


@pytest.fixture
def single() -> Document:
    """Return a configuration with one seat, one pool and three routes."""
    return single_document()


@pytest.fixture
def make_world() -> MakeWorld:
    """Return the function `build_world`."""
    return build_world


def _listings(pool: str, data_centre: str, n_servers: int) -> list[ServerListing]:
    return [
        ServerListing(
            f"{pool}-{number}", pool, f"127.0.0.1:{100 + number}", data_centre
        )
        for number in range(n_servers)
    ]


def single_document() -> Document:
    """Make a configuration with one seat, one pool and three routes."""
    common = {"pool": "shop", "timeout_s": "5"}
    return {
        "route look": {**common, "path_prefix": "/look", "kind": "idempotent"},
        "route order": {**common, "path_prefix": "/order", "kind": "at_most_once"},
        "route open": {
            **common,
            "path_prefix": "/open",
            "kind": "idempotent",
            "open": "yes",
        },
        "pool shop": {"slots_per_server": "2", "max_queued": "4", "ramp_s": "0"},
        "client_account ana": {
            "rate_per_s": "10",
            "burst": "20",
            "key_hashes": "a" * 64,
        },
        "data_centre x": {"region": "r", "seats": "1", "client_blocks": "10.0.0.0/8"},
    }


def build_world(
    document: Document,
    n_servers: int = 1,
    seat: str = "x-1",
    policies: Policies | None = None,
) -> World:
    """Make a world that has a configuration, servers and its owned shares.

    It runs for 6 s of simulated time, so that the seat refills its own shares.
    """
    data_centre = seat.rpartition("-")[0]
    region = document[f"data_centre {data_centre}"]["region"]
    identity = Identity(seat, data_centre, region, 1, "127.0.0.1:1", "127.0.0.1:2")
    world = create_world(identity, START_S, policies or Policies(), 1)
    snapshot = Snapshot(1, document, 1)
    inputs: list[Input] = [ConfigurationReceived(snapshot, [], True)]
    for title in document:
        kind, _, pool = title.partition(" ")
        if kind == "pool":
            inputs.append(ServersListed(pool, _listings(pool, data_centre, n_servers)))
    run_tick(world, START_S, inputs)
    for number in range(1, 13):
        run_tick(world, START_S + number * 0.5, [])
    return world


@pytest.fixture(scope="module")
def site() -> Iterator[Site]:
    """Run a deployment with two daemons and two backend servers."""
    loop = asyncio.new_event_loop()
    deployment = Deployment(site_document())
    running = Site(deployment, loop)
    running.run(deployment.start())
    assert running.run(deployment.wait_ready())
    running.run(asyncio.sleep(1.0))
    yield running
    running.run(deployment.stop())
    close_loop(loop)


@pytest.fixture(autouse=True)
def reset_faults(request: pytest.FixtureRequest) -> Iterator[None]:
    """Clear the faults of all stand-ins after each test.

    The site is shared by the tests of a module. A fault or an ejection that one
    test leaves behind would fail the next.
    """
    has_site = "site" in request.fixturenames
    site = request.getfixturevalue("site") if has_site else None
    yield
    if not isinstance(site, Site):
        return
    for backend in site.deployment.backends.values():
        backend.faults.truncate_after = -1
        backend.faults.crash_on = b""
        backend.faults.error_status = 0
        backend.service_s = 0.02
    for daemon in site.deployment.daemons.values():
        for row in daemon.world.servers.rows():
            row.ejected_until_s = row.failure_rate = 0.0
    faults = site.deployment.store.faults
    faults.is_down = faults.is_garbage = False
    faults.n_lost_responses = 0


@pytest.fixture
def deployed() -> Iterator[PlatformSite]:
    """Return a running deployment with one instance and two servers."""
    loop = asyncio.new_event_loop()
    running = PlatformSite(loop)
    loop.run_until_complete(running.start())
    running.wait_for(lambda: _serves(running), "the instance serves")
    yield running
    loop.run_until_complete(running.stop())
    close_loop(loop)


def _serves(site: PlatformSite) -> bool:
    world = site.instances[0].world
    bucket = world.buckets.get("ana")
    has_tokens = bucket is not None and bucket.n_tokens > 100
    return bool(world.configuration.revision and world.servers.rows() and has_tokens)


@pytest.fixture
def run_fleet(tmp_path: Path) -> RunFleet:
    """Return a function that runs a test with processes and ends them afterwards."""

    def run(work: Callable[[ProcessFleet], Awaitable[None]], n_instances: int) -> None:
        times_s = [FLEET_SERVICE_S] * N_FLEET_SERVERS
        asyncio.run(run_in_fleet(tmp_path, work, n_instances, times_s))

    return run


async def run_in_fleet(
    folder: Path,
    work: Callable[[ProcessFleet], Awaitable[None]],
    n_instances: int,
    service_times_s: list[float],
) -> None:
    """Run work with processes and a server for each service time, and end them."""
    fleet = ProcessFleet(folder, random.Random(1))
    try:
        await fleet.start(n_instances, service_times_s)
        await asyncio.sleep(1.0)
        await work(fleet)
    finally:
        await fleet.close()


@pytest.fixture
def run_entry(tmp_path: Path) -> RunEntry:
    """Return a function that runs a test with a daemon and ends it afterwards.

    Options of the function are limits on what callers may send.
    """

    def run(work: Callable[[Entry], Awaitable[None]], **limits: str) -> None:
        run_in_process(tmp_path, work, limits, {})

    return run


def run_in_process(
    folder: Path,
    work: Callable[[Entry], Awaitable[None]],
    caller_limits: dict[str, str],
    machine_limits: dict[str, int],
) -> None:
    """Run work with a daemon in a process of its own, and end it."""
    document = site_document()
    document["limits callers"] = caller_limits
    for name in ("look", "order", "put", "open"):
        document[f"route {name}"]["timeout_s"] = f"{TIMEOUT_S:g}"

    async def run_and_close() -> None:
        deployment = Deployment(document, N_SERVERS)
        entry = Entry(folder, deployment, machine_limits=machine_limits)
        try:
            await entry.start()
            await asyncio.sleep(SETTLE_S)
            await work(entry)
        finally:
            await entry.close()

    asyncio.run(run_and_close())
