"""Tests of long-lived tasks: an unexpected error costs little, and is told."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import logbook
import pytest

from conftest import build_world, single_document
from edge_site import Site, edit, wait_revision
from platform_site import PlatformSite
from rhubarbspan.edge import catalog as catalog_module
from rhubarbspan.edge import failures as failures_module
from rhubarbspan.edge import instance as instance_module
from rhubarbspan.edge import peers as peers_module
from rhubarbspan.edge import probing as probing_module
from rhubarbspan.edge.failures import FailureLog
from rhubarbspan.edge.peers import MAX_JOINED_BYTES, MAX_SENT_BYTES, PeerStream
from rhubarbspan.edge.publisher import FULL_READ_PUBLISH_S
from rhubarbspan.edge.signals import STOP_SIGNALS, StopSignal
from rhubarbspan.edge.ticker import Ticker
from rhubarbspan.edits import GrantKey
from rhubarbspan.effects import (
    Effect,
    Effects,
    LogChange,
    LogLevel,
    SendPeerMessage,
)
from rhubarbspan.inputs import (
    ConfigurationReceived,
    EvacuationsListed,
    Input,
    ServersListed,
    StopRequested,
)
from rhubarbspan.peer_messages import StoreItem, StoreUpdate
from rhubarbspan.platform.settings import read_platform_settings
from rhubarbspan.platform.store import PlatformStore
from rhubarbspan.standins.platform_store import Mode
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Failure
from rhubarbspan.wire import consul
from rhubarbspan.wire.http import hash_key
from rhubarbspan.wire.peer import decode_frame
from rhubarbspan.world import World

TIMEOUT_S = 8.0
DRAIN_S = 2.5


def failing_first(n_errors: int, function: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that raises an unexpected error in its first calls."""
    n_calls = 0

    def call(*arguments: Any, **options: Any) -> Any:
        nonlocal n_calls
        n_calls += 1
        if n_calls <= n_errors:
            raise ZeroDivisionError
        return function(*arguments, **options)

    return call


# The requests that the same tick started were lost with it.
def test_effect_that_fails_costs_no_other_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    effects = [LogChange(LogLevel.INFO, text) for text in ("one", "odd", "two")]
    monkeypatch.setattr(
        "rhubarbspan.edge.ticker.run_tick", lambda world, now_s, inputs: effects
    )
    seen: list[str] = []

    def execute(effect: Effect) -> None:
        assert isinstance(effect, LogChange)
        if effect.text == "odd":
            raise ZeroDivisionError
        seen.append(effect.text)

    async def work() -> Ticker:
        ticker = Ticker(build_world(single_document()), lambda: 200.0)
        ticker.effects.subscribe(on_next=execute)
        for _ in range(2):
            ticker.start()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        ticker.stop()
        return ticker

    with logbook.TestHandler() as log:
        ticker = asyncio.run(work())
    assert seen == ["one", "two"] * ticker.n_ticks
    assert ticker.world.counters["task_failures", "effect LogChange"] > 0
    (line,) = [row for row in log.records if "effect LogChange" in row.message]
    assert "ZeroDivisionError" in line.formatted_exception


# Nothing was sent to that instance any more.
@pytest.mark.parametrize("name", ["encode_frame", "grpc.aio.insecure_channel"])
def test_stream_to_an_instance_goes_on_after_an_unexpected_error(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    site = deployed
    target = f"{peers_module.__name__}.{name}"
    function: Any = peers_module
    for part in name.split("."):
        function = getattr(function, part)
    monkeypatch.setattr(target, failing_first(2, function))
    site.run(site.add_instance("front-a-2"))
    for here, there in ((0, "front-a-2"), (1, "front-a-1")):
        world = site.instances[here].world
        site.wait_for(
            lambda world=world, there=there: (
                (row := world.peers.get(there)) is not None and row.is_alive
            ),
            "both hear each other",
        )


# One megabytes large took all messages of its frame with it.
def test_large_message_costs_no_other() -> None:
    async def work() -> list[int]:
        stream = PeerStream("127.0.0.1:1", FailureLog(lambda name, label: None, float))
        await stream.close()
        small, large = b"s" * 1000, b"l" * MAX_SENT_BYTES
        for data in [small, large, small, *[small] * 900]:
            assert stream.send(data)
        sizes, n_messages, frames = [], 0, stream._frames()
        while n_messages < 903:
            frame = await anext(frames)
            messages = decode_frame(frame)
            assert not isinstance(messages, Failure)
            n_messages += len(messages)
            sizes.append(len(frame))
        return sizes

    sizes = asyncio.run(work())
    assert len(sizes) > 1
    assert max(sizes) < MAX_JOINED_BYTES + MAX_SENT_BYTES + 10_000
    assert max(sizes) < peers_module.MAX_MESSAGE_BYTES


def test_message_that_is_too_large_to_receive_is_not_sent(
    deployed: PlatformSite,
) -> None:
    site = deployed
    site.run(site.add_instance("front-a-2"))
    first = site.instances[0]
    site.wait_for(lambda: first.world.peers.get("front-a-2"), "it is known")
    item = StoreItem("servers/i-9", b"x" * (MAX_SENT_BYTES + 1))
    update = StoreUpdate("servers/", 0, 1, [item], 1.0)
    n_before = first.world.counters["peer_messages_dropped", ""]

    async def work() -> None:
        first._peers.send(SendPeerMessage("front-a-2", update))

    site.run(work())
    assert first.world.counters["peer_messages_dropped", ""] == n_before + 1


# The record was gone once its lease ended.
def test_registration_goes_on_after_an_unexpected_error(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = deployed
    renew = failing_first(1, PlatformStore.renew_lease)
    monkeypatch.setattr(PlatformStore, "renew_lease", renew)
    (instance,) = site.instances

    async def work() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not instance.world.counters["task_failures", "registration"]:
                await asyncio.sleep(0.05)
            n_renewals = site.store.n_calls.get("kv-keep", 0)
            while site.store.n_calls.get("kv-keep", 0) == n_renewals:
                await asyncio.sleep(0.05)

    site.run(work())
    assert "rhubarbspan/instances/front-a-1" in site.store.items


# SIGHUP and changes of the file had no effect any more.
def test_settings_are_watched_after_an_unexpected_error(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    site = deployed
    (instance,) = site.instances
    n_loads = 0

    def load(path: str) -> Failure:
        nonlocal n_loads
        n_loads += 1
        if n_loads == 1:
            raise ZeroDivisionError
        return Failure("settings", "not valid")

    monkeypatch.setattr(instance_module, "_load_settings", load)
    monkeypatch.setattr(instance_module, "SETTINGS_POLL_INTERVAL_S", 0.05)
    monkeypatch.setattr(failures_module, "ERROR_DELAY_S", 0.05)

    async def work() -> None:
        reload = asyncio.Event()
        watcher = asyncio.create_task(
            instance_module._watch_settings(str(tmp_path / "f"), instance, reload)
        )
        for _ in range(2):
            n_before = n_loads
            reload.set()
            await asyncio.sleep(0.3)
            assert n_loads > n_before
        watcher.cancel()

    site.run(work())
    assert instance.world.counters["task_failures", "watch of the settings"] == 1


def stop_by_signal(site: PlatformSite) -> None:
    """Send this process a SIGTERM that stops the site's instance."""
    (instance,) = site.instances

    async def work() -> None:
        stop = StopSignal(instance.ticker.now_s)
        stop.install()
        task = asyncio.create_task(instance_module._stop_on_signal("", instance, stop))
        signal.raise_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while instance.world.departure is None:
                    await asyncio.sleep(0.05)
        finally:
            task.cancel()
            for number in STOP_SIGNALS:
                asyncio.get_running_loop().remove_signal_handler(number)

    site.run(work())


# The signal had no effect, so that the SIGKILL cut the requests in progress.
def test_stop_is_requested_though_reading_the_settings_fails(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    def load(path: str) -> Failure:
        raise ZeroDivisionError

    monkeypatch.setattr(instance_module, "_load_settings", load)
    stop_by_signal(deployed)


def fail_first_tick_with(
    monkeypatch: pytest.MonkeyPatch, is_meant: Callable[[Input], bool]
) -> None:
    """Have the first tick fail in which an instance gets an input of a kind."""
    failed: set[str] = set()

    def run(world: World, now_s: float, inputs: list[Input]) -> Effects:
        seat = world.identity.seat
        if seat not in failed and any(is_meant(row) for row in inputs):
            failed.add(seat)
            raise ZeroDivisionError
        return run_tick(world, now_s, inputs)

    monkeypatch.setattr("rhubarbspan.edge.ticker.run_tick", run)


def is_leaving_list(row: Input) -> bool:
    """Return whether an input lists a server as leaving."""
    return isinstance(row, ServersListed) and any(s.is_leaving for s in row.servers)


# The request to stop was lost with the tick, and the SIGKILL cut what was in progress.
def test_stop_is_requested_again_after_a_tick_that_failed(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    fail_first_tick_with(monkeypatch, lambda row: isinstance(row, StopRequested))
    monkeypatch.setattr(
        instance_module, "_load_settings", lambda path: Failure("settings", "none")
    )
    stop_by_signal(deployed)


# DRAIN: a list was lost with the tick, and the next one came only with a change.
def test_draining_server_is_heard_of_after_a_tick_that_failed(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = deployed
    leaving = site.servers[0]
    # Past the time for which a copy is published also without changes.
    site.run(asyncio.sleep(FULL_READ_PUBLISH_S + 1.0))
    fail_first_tick_with(monkeypatch, is_leaving_list)
    site.deployment.drain(leaving)
    site.run(asyncio.sleep(DRAIN_S))
    assert site.instances[0].world.counters["tick_failures", ""] == 1
    n_before = len(leaving.requests)
    for count in range(20):
        assert site.send(f"/order/{count}", "POST", b"b").status == 200
    assert len(leaving.requests) == n_before


# EVAC: the copy in hand was not told again, since the store had gone just then.
def test_evacuation_is_heard_of_after_a_tick_that_failed_as_the_store_went_away(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = deployed

    def goes_away(row: Input) -> bool:
        is_meant = isinstance(row, EvacuationsListed) and "b-1" in row.data_centres
        if is_meant:
            site.store.mode = Mode.BUSY
        return is_meant

    fail_first_tick_with(monkeypatch, goes_away)
    site.store.put("op/evacuate/b-1", b"")
    site.run(asyncio.sleep(DRAIN_S))
    world = site.instances[0].world
    assert world.counters["tick_failures", ""] == 1
    assert site.store.mode is Mode.BUSY
    assert "b-1" in world.evacuated


# The wait for the next change of the configuration takes up to 30 s.
def test_configuration_is_read_again_after_a_tick_that_failed(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    fail_first_tick_with(
        monkeypatch, lambda row: isinstance(row, ConfigurationReceived)
    )

    async def work() -> None:
        revision = await edit(site, GrantKey("bo", hash_key("after a failed tick")))
        await wait_revision(site, revision, TIMEOUT_S)

    site.run(work())
    worlds = [daemon.world for daemon in site.deployment.daemons.values()]
    assert [world.counters["tick_failures", ""] for world in worlds] == [1, 1]


@pytest.mark.parametrize(
    "text",
    ["a: " + "[" * 3000, "a: 2001-99-99", "a: " + "9" * 5000],
    ids=["nesting", "date", "digits"],
)
def test_settings_that_cannot_be_read_are_a_failure(text: str) -> None:
    failure = read_platform_settings(text, "f.yaml")
    assert isinstance(failure, Failure)


@pytest.mark.parametrize(
    ("name", "task"),
    [
        ("catalog.read_stored", "watch of the configuration"),
        ("catalog.to_peer_listing", "polling of lists"),
        ("probing.Prober._servers_to_probe", "probing"),
    ],
)
def test_tasks_of_a_daemon_go_on_after_an_unexpected_error(
    site: Site, monkeypatch: pytest.MonkeyPatch, name: str, task: str
) -> None:
    module, _, path = name.partition(".")
    function: Any = {"catalog": catalog_module, "probing": probing_module}[module]
    for part in path.split("."):
        function = getattr(function, part)
    call = failing_first(1, function)
    n_calls = 0

    def count(*arguments: Any) -> Any:
        nonlocal n_calls
        n_calls += 1
        return call(*arguments)

    monkeypatch.setattr(f"rhubarbspan.edge.{name}", count)

    async def work() -> None:
        # Ends the reads that wait for a change of the configuration.
        for number in range(3):
            await edit(site, GrantKey("bo", hash_key(f"{name} {number}")))
            await asyncio.sleep(0.7)
        async with asyncio.timeout(TIMEOUT_S):
            while n_calls < 2 * len(site.deployment.daemons) + 1:
                await asyncio.sleep(0.05)

    worlds = [daemon.world for daemon in site.deployment.daemons.values()]
    site.run(work())
    assert sum(world.counters["task_failures", task] for world in worlds) == 1


def test_deep_nesting_of_the_catalog_is_a_failure() -> None:
    deep = b'[{"x":' + b"[" * 2000
    decoders: list[Callable[[bytes], object]] = [
        consul.decode_entries,
        consul.decode_services,
        consul.decode_session,
        consul.decode_transaction_errors,
    ]
    for decode in decoders:
        assert isinstance(decode(deep if decode in decoders[:2] else deep[1:]), Failure)
