"""Tests of settings that change while an instance runs."""

import asyncio
import json
import os
import signal
from collections.abc import Callable
from dataclasses import fields, replace
from pathlib import Path

import logbook
import pytest

from conftest import RunFleet, build_world
from platform_site import PlatformSite
from process_fleet import InstanceProcess, ProcessFleet
from rhubarbspan.document import Document, Snapshot
from rhubarbspan.edge import instance as instance_module
from rhubarbspan.edge.instance import MAX_AGE_FRACTION, Instance
from rhubarbspan.effects import Effects, FinishRequest, SendPeerMessage
from rhubarbspan.inputs import (
    AttemptEnded,
    ConfigurationReceived,
    ConnectFailed,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    PoliciesChanged,
    RequestArrived,
    ServerListing,
    ServersListed,
    Shed,
    StopRequested,
)
from rhubarbspan.peer_messages import ConfigurationDelivery, ConfigurationRequest
from rhubarbspan.platform.settings import START_FIELDS, Bounds, PlatformSettings
from rhubarbspan.policies import DemandShares, InstanceAge, Policies
from rhubarbspan.standins.platform_deployment import (
    KEY,
    read_reply,
    request_bytes,
    send_request,
    server_record,
)
from rhubarbspan.standins.platform_server import PlatformServerStandIn
from rhubarbspan.standins.platform_store import Mode
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import NotRun, Reason, Verdict
from rhubarbspan.world import World

KEY_HASH = "a" * 64
# Worlds are built at 100 s, when their configuration is confirmed, and run for 6 s.
NOW_S = 106.5
LONG_S, SHORT_S = 10.0, 5.0
GUEST_KEY = "secret-guest"
SHORT_LEAVING_S = 0.6


def make_aged_world(
    document: Document, max_age_s: float, n_servers: int = 1, **policies: float
) -> World:
    """Return a world whose configuration was confirmed 6.5 s before ``NOW_S``."""
    age = InstanceAge(max_age_s)
    return build_world(
        document, n_servers, policies=Policies(config_age=age, **policies)
    )


def change_bound(world: World, now_s: float, max_age_s: float) -> Effects:
    """Change the bound on the configuration's age."""
    age = InstanceAge(max_age_s)
    world.policies = replace(world.policies, config_age=age)
    return run_tick(world, now_s, [PoliciesChanged()])


def verdict_of(effects: Effects, request_id: int) -> Verdict | None:
    """Return the verdict on a request that was finished, or None."""
    for effect in effects:
        if isinstance(effect, FinishRequest) and effect.request_id == request_id:
            return effect.verdict
    return None


def ask(world: World, now_s: float, request_id: int, path: str = "/look/a") -> Effects:
    """Have a request arrive."""
    return run_tick(world, now_s, [RequestArrived(request_id, path, KEY_HASH)])


STALE = NotRun(Reason.STALE_CONFIGURATION)


# A withdrawn key ran for as long as the bound of before had allowed.
def test_changed_bound_on_the_configurations_age_holds_for_the_next_request(
    single: Document,
) -> None:
    world = make_aged_world(single, LONG_S)
    assert verdict_of(ask(world, NOW_S, 1), 1) is None
    for number, (bound_s, verdict) in enumerate(
        [(SHORT_S, STALE), (SHORT_S - 1, STALE), (LONG_S, None), (LONG_S + 5, None)]
    ):
        now_s = NOW_S + 0.1 * (number + 1)
        change_bound(world, now_s, bound_s)
        assert verdict_of(ask(world, now_s, number + 2), number + 2) == verdict
    change_bound(world, NOW_S + 0.6, SHORT_S)
    assert verdict_of(ask(world, NOW_S + 0.6, 9, "/open/a"), 9) is None


@pytest.mark.parametrize("state_of", ["token", "slot"])
def test_lowered_bound_refuses_at_once_what_waits_for(
    single: Document, state_of: str
) -> None:
    single["client_account ana"] |= {"burst": "1", "rate_per_s": "2"}
    n_servers = 0 if state_of == "slot" else 1
    world = make_aged_world(single, LONG_S, n_servers)
    arrived = [RequestArrived(1, "/open/a"), RequestArrived(2, "/look/a", KEY_HASH)]
    if state_of == "token":
        arrived.append(RequestArrived(3, "/look/b", KEY_HASH))
    effects = run_tick(world, NOW_S, [*arrived])
    waits = len(arrived)
    assert verdict_of(effects, waits) is None
    effects = change_bound(world, NOW_S + 0.01, SHORT_S)
    assert verdict_of(effects, waits) == STALE
    assert verdict_of(effects, 1) is None


def test_lowered_bound_leaves_what_arrived_while_the_configuration_was_young(
    single: Document,
) -> None:
    world = make_aged_world(single, LONG_S, n_servers=0)
    ask(world, 104.0, 1)
    assert verdict_of(change_bound(world, NOW_S, SHORT_S), 1) is None


def test_confirmation_since_the_arrival_lets_what_waits_run(single: Document) -> None:
    world = make_aged_world(single, LONG_S, n_servers=0)
    ask(world, NOW_S, 1)
    confirmed = ConfigurationReceived(Snapshot(1, single, 1), [], True, NOW_S)
    run_tick(world, NOW_S + 0.1, [confirmed])
    assert verdict_of(change_bound(world, NOW_S + 0.2, SHORT_S), 1) is None


@pytest.mark.parametrize("outcome", [Shed(), ConnectFailed()])
def test_request_that_comes_back_after_the_bound_was_lowered_is_not_sent_again(
    single: Document, outcome: Shed | ConnectFailed
) -> None:
    world = make_aged_world(single, LONG_S, n_servers=2)
    ask(world, NOW_S, 1)
    assert verdict_of(change_bound(world, NOW_S + 0.1, SHORT_S), 1) is None
    effects = run_tick(world, NOW_S + 0.2, [AttemptEnded(1, 1, outcome)])
    assert isinstance(verdict_of(effects, 1), NotRun)


def test_bound_that_changes_with_the_stop_holds_for_the_stop(single: Document) -> None:
    world = make_aged_world(single, LONG_S, serve_leaving_s=4.0, finish_leaving_s=9.0)
    run_tick(world, NOW_S - 0.1, [])
    world.policies = replace(world.policies, config_age=InstanceAge(SHORT_S))
    run_tick(world, NOW_S, [PoliciesChanged(), StopRequested()])
    assert verdict_of(ask(world, NOW_S + 0.1, 1), 1) == STALE
    change_bound(world, NOW_S + 0.2, LONG_S)
    assert verdict_of(ask(world, NOW_S + 0.3, 2), 2) is None


def test_configuration_of_a_peer_with_other_settings_brings_no_bound(
    single: Document,
) -> None:
    """Peers of earlier versions tell their bound in the document."""
    for told_s, own_s, verdict in ((LONG_S, SHORT_S, STALE), (SHORT_S, LONG_S, None)):
        world = make_aged_world(single, own_s)
        sections = {
            title: {**section, "max_config_age_s": str(told_s)}
            if title.startswith("route ")
            else section
            for title, section in single.items()
        }
        delivery = ConfigurationDelivery("x-2", 1, Snapshot(2, sections, 1), [])
        run_tick(world, NOW_S, [PeerMessageReceived(delivery)])
        assert world.configuration.revision == 2
        assert verdict_of(ask(world, NOW_S + 0.1, 1), 1) == verdict


def test_instance_of_an_earlier_version_gets_the_bound_in_force_with_the_document(
    single: Document,
) -> None:
    world = make_aged_world(single, LONG_S)
    change_bound(world, NOW_S, SHORT_S)
    request = ConfigurationRequest("x-2", 1, 0)
    effects = run_tick(world, NOW_S + 0.1, [PeerMessageReceived(request)])
    (sent,) = [effect for effect in effects if isinstance(effect, SendPeerMessage)]
    assert isinstance(sent.message, ConfigurationDelivery)
    assert sent.message.snapshot is not None
    document = sent.message.snapshot.document
    assert document["route look"]["max_config_age_s"] == str(SHORT_S)
    assert "max_config_age_s" not in document["route open"]
    assert "max_config_age_s" not in world.configuration_state.snapshot.document


def set_bounds(site: PlatformSite, **bounds: float) -> None:
    """Change bounds in the settings of the first instance."""
    instance = site.instances[0]
    changed = replace(instance.settings.bounds, **bounds)
    instance.apply_settings(replace(instance.settings, bounds=changed))


def test_bound_that_changes_while_the_store_is_away_holds_on_open_connections(
    deployed: PlatformSite,
) -> None:
    async def work() -> list[int]:
        reader, writer = await deployed.connect()
        statuses = []

        async def send() -> None:
            writer.write(request_bytes("/look/x"))
            statuses.append((await read_reply(reader)).status)

        deployed.store.mode = Mode.BUSY
        await send()
        await asyncio.sleep(2.5)
        for revocation_s in (2.0, 10.0, 1.0, 10.0):
            set_bounds(deployed, revocation_s=revocation_s)
            await send()
        deployed.store.mode = Mode.SERVING
        set_bounds(deployed, revocation_s=2.0)
        await asyncio.sleep(1.0)
        await send()
        writer.close()
        return statuses

    assert deployed.run(work()) == [200, 503, 200, 503, 200, 200]


async def status_with(
    instance: InstanceProcess, request_id: str, key: str = KEY
) -> int:
    """Send a look-up with a key and return its status."""
    fields = {"X_Request_Id": request_id, "X_Credential": key}
    address = instance.addresses["front"]
    return (await send_request(address, "/look/x", **fields)).status


@pytest.mark.parametrize("has_signal", [True, False])
def test_key_that_is_withdrawn_behind_an_outage_stops_working_by_the_bound_in_the_file(
    run_fleet: RunFleet, has_signal: bool
) -> None:
    async def work(fleet: ProcessFleet) -> None:
        loop = asyncio.get_running_loop()
        instance = fleet.instances[0]
        for server in fleet.deployment.servers:
            server.service_s = 0.02

        async def change(revocation_s: float) -> None:
            fleet.change_bound(instance, revocation_s)
            if has_signal:
                instance.send_signal(signal.SIGHUP)
            # Longer than the file is left unread.
            await asyncio.sleep(0.3 if has_signal else 1.5)

        await change(LONG_S)
        fleet.write_keys(2, [GUEST_KEY])
        await asyncio.sleep(2.5)
        await change(SHORT_S)
        assert await status_with(instance, "before", GUEST_KEY) == 200
        fleet.deployment.store.mode = Mode.BUSY
        fleet.write_keys(3, [])
        withdrawn_s = loop.time()
        sent_s: dict[str, float] = {}
        while loop.time() < withdrawn_s + SHORT_S + 1.0:
            name = f"guest-{len(sent_s)}"
            sent_s[name] = loop.time()
            await status_with(instance, name, GUEST_KEY)
            await asyncio.sleep(0.1)
        late = [name for name, s in sent_s.items() if s > withdrawn_s + SHORT_S]
        assert late
        assert not [name for name in late if fleet.runs_of(name)]
        assert await status_with(instance, "sound-1") == 503
        await change(4 * LONG_S)
        assert await status_with(instance, "sound-2") == 200
        await change(SHORT_S)
        assert await status_with(instance, "sound-3") == 503

    run_fleet(work, 1)


def test_share_of_the_bound_leaves_room_for_clock_error(deployed: PlatformSite) -> None:
    set_bounds(deployed, revocation_s=7.0)
    age = deployed.instances[0].world.policies.config_age
    assert age == InstanceAge(MAX_AGE_FRACTION * 7.0)


# Sound keys were refused between two confirmations, 23 of 60 by a bound of 2 s, though
# the store confirmed the configuration all the while.
@pytest.mark.parametrize("revocation_s", [3.0, 2.0, 1.0])
def test_keys_work_under_a_low_bound_while_the_store_can_be_read(
    deployed: PlatformSite, revocation_s: float
) -> None:
    async def work() -> list[int]:
        set_bounds(deployed, revocation_s=revocation_s)
        # The watch that was waiting ends.
        await asyncio.sleep(2.0)
        statuses = []
        for number in range(40):
            statuses.append((await deployed.ask(f"/look/{number}")).status)
            await asyncio.sleep(0.1)
        return statuses

    assert set(deployed.run(work())) == {200}


# Orders reached leaving servers for as long as the pause of before allowed.
def test_lowered_bound_on_leaving_servers_ends_the_pause_before_the_next_reading(
    deployed: PlatformSite,
) -> None:
    world = deployed.instances[0].world

    async def wait_until(condition: Callable[[], bool]) -> float:
        begun_s = deployed.loop.time()
        while not condition():
            await asyncio.sleep(0.01)
            assert deployed.loop.time() - begun_s < 5.0
        return deployed.loop.time() - begun_s

    async def lower_and_leave(server: PlatformServerStandIn) -> None:
        row = world.servers.get(server.server_id)
        assert row is not None
        set_bounds(deployed, leaving_s=20.0)
        # The pause begins once a change has been read.
        key = f"servers/{server.server_id}"
        deployed.store.put(key, server_record(server, sequence=2))
        await wait_until(lambda: row.sequence == 2)
        set_bounds(deployed, leaving_s=10.0)
        set_bounds(deployed, leaving_s=SHORT_LEAVING_S)
        leaving = server_record(server, state="draining", sequence=3)
        deployed.store.put(key, leaving)
        assert await wait_until(lambda: row.is_leaving) < SHORT_LEAVING_S

    async def work() -> None:
        for server in deployed.servers:
            await lower_and_leave(server)

    deployed.run(work())


# Servers of a data centre that was added to the settings were in no region, and those
# that moved in the old one, until the operator's next revision.
def test_changed_regions_hold_without_a_revision_and_whatever_a_peer_delivers(
    single: Document,
) -> None:
    single["route open"]["regions"] = "new"
    policies = Policies(regions={"x": "r"})
    world = build_world(single, policies=policies)
    added = ServersListed("shop", [ServerListing("s-1", "shop", "127.0.0.1:7", "y")])
    run_tick(world, NOW_S, [added, PeersListed([PeerListing("y-1", "", "", "y")])])
    assert region_of_server(world) == ""
    for number, region in enumerate(("s", "new")):
        regions = {"x": "r", "y": region}
        world.policies = replace(world.policies, regions=regions)
        run_tick(world, NOW_S + 0.1 + number, [PoliciesChanged()])
        assert region_of_server(world) == region
        peer = world.peers.get("y-1")
        assert peer is not None
        assert peer.region == region
        assert world.configuration.revision == 1
    other = {**single, "data_centre y": {"region": "s"}}
    delivery = ConfigurationDelivery("x-2", 1, Snapshot(2, other, 1), [])
    run_tick(world, NOW_S + 2.0, [PeerMessageReceived(delivery)])
    assert world.configuration.revision == 2
    assert region_of_server(world) == "new"
    assert verdict_of(ask(world, NOW_S + 2.1, 1, "/open/a"), 1) is None


def region_of_server(world: World) -> str:
    """Return the region of the server in the added data centre."""
    row = world.servers.get("s-1")
    assert row is not None
    assert row in world.servers.in_region("shop", row.region)
    assert world.configuration.region_of("y") in (row.region, "")
    return row.region


# Retries that were saved under the old bound could all be made under the new one.
def test_lowered_bound_on_retries_holds_for_those_saved_before(
    single: Document,
) -> None:
    policies = Policies(n_max_retries=20.0, retries_per_request=20.0)
    world = build_world(single, n_servers=2, policies=policies)
    ask(world, NOW_S, 1)
    world.policies = replace(world.policies, n_max_retries=0.0)
    effects = run_tick(world, NOW_S + 0.1, [AttemptEnded(1, 1, ConnectFailed())])
    assert verdict_of(effects, 1) == NotRun(Reason.CONNECT_FAILED)


# An account's burst followed a changed bound only with the next heartbeat.
def test_changed_slack_of_limits_is_divided_at_once(single: Document) -> None:
    policies = Policies(
        limits=DemandShares(), burst_slack=4.0, limit_window_s=5.0, limit_overage=0.1
    )
    single["client_account ana"] |= {"rate_per_s": "100", "burst": "100"}
    world = build_world(single, policies=policies)
    run_tick(world, NOW_S, [])
    world.demand_fractions["ana"] = 0.5
    bursts = []
    for number, slack in enumerate((0.0, 40.0, 4.0)):
        world.policies = replace(policies, burst_slack=slack, limit_overage=0.0)
        run_tick(world, NOW_S + 0.01 * (number + 1), [PoliciesChanged()])
        bucket = world.buckets.get("ana")
        assert bucket is not None
        bursts.append(bucket.own_burst)
    assert bursts == pytest.approx([50.0, 80.0, 53.0])


# Two values of each field of the settings that holds at once when it changes.
CHANGES: dict[str, tuple[object, object]] = {
    "regions": ({"a-1": "a"}, {"a-1": "a", "b-1": "b", "c-1": "c"}),
    "lease_min_s": (7.0, 20.0),
    "memory_bytes": (300 << 20, 900 << 20),
    "n_descriptors": (1_000, 4_000),
    "held_bytes": (1 << 20, 9 << 20),
}
CHANGED_BOUNDS: dict[str, tuple[float, float]] = {
    "leaving_s": (1.0, 20.0),
    "grace_s": (3.0, 20.0),
    "revocation_s": (2.0, 20.0),
    "lookup_lifetime_s": (0.6, 1.1),
    "retry_ratio": (0.0, 0.9),
    "retry_slack": (0.0, 200.0),
    "cold_overage": (1.0, 3.0),
    "cold_slack": (0.0, 30.0),
    "region_step": (0.01, 0.9),
    "limit_window_s": (1.0, 20.0),
    "limit_overage": (0.0, 0.9),
    "limit_slack": (0.0, 90.0),
}
# Fields that nothing in the product depends on.
WITHOUT_EFFECT = {"report_interval_s", "evacuation_s", "address_reuse_s"}


def figures_in_force(instance: Instance) -> list[object]:
    """Return all that an instance has derived from its settings."""
    world, memory = instance.world, instance.world.memory
    return [
        world.policies,
        memory.limit_bytes,
        memory.n_max_connections,
        instance._store.max_body_bytes,
        instance._lookups._lifetime_s,
        instance._registration._settings.lease_min_s,
        instance._feed._publisher.settings.regions,
    ]


async def figures_after_start(settings: PlatformSettings) -> list[object]:
    """Return the figures of an instance that starts with these settings."""
    started = Instance(settings)
    await started._store.close()
    return figures_in_force(started)


def test_each_field_of_the_settings_is_listed() -> None:
    names = {field.name for field in fields(PlatformSettings)} - {"bounds"}
    names |= {field.name for field in fields(Bounds)}
    listed = [*CHANGES, *CHANGED_BOUNDS, *START_FIELDS, *WITHOUT_EFFECT]
    assert sorted(listed) == sorted(names)


@pytest.mark.parametrize("mode", [Mode.SERVING, Mode.BUSY])
def test_changed_settings_are_in_force_as_after_a_start_with_them(
    deployed: PlatformSite, mode: Mode
) -> None:
    instance = deployed.instances[0]
    # With a longer grace period it does not bound the look-up answers.
    bounds = replace(instance.settings.bounds, grace_s=9.0)
    before = replace(instance.settings, bounds=bounds)

    def changed(name: str, value: object) -> PlatformSettings:
        if name in CHANGED_BOUNDS:
            return replace(before, bounds=replace(before.bounds, **{name: value}))
        return replace(before, **{name: value})

    async def work() -> None:
        for name, (low, high) in [*CHANGES.items(), *CHANGED_BOUNDS.items()]:
            seen = []
            for value in (low, high, low, low, high):
                settings = changed(name, value)
                instance.apply_settings(settings)
                seen.append(figures_in_force(instance))
                assert seen[-1] == await figures_after_start(settings), name
            assert seen[0] == seen[2] == seen[3], name
            assert seen[0] != seen[1] == seen[4], name
            instance.apply_settings(before)
        assert figures_in_force(instance) == await figures_after_start(before)

    deployed.store.mode = mode
    deployed.run(work())
    deployed.store.mode = Mode.SERVING
    assert deployed.send("/look/x").status == 200


def test_fields_that_hold_from_the_next_start_are_named_in_the_log(
    deployed: PlatformSite,
) -> None:
    instance = deployed.instances[0]
    before = instance.settings
    with logbook.TestHandler() as handler:
        instance.apply_settings(replace(before, store="127.0.0.1:9", region="c"))
        assert handler.has_warning(
            "changed settings hold from the next start on: region; platform.address"
        )
        n_lines = len(handler.records)
        instance.apply_settings(before)
        assert len(handler.records) == n_lines
    assert instance.settings == before


# Changes that left the file's time as it was, or came while the process started, were
# never applied.
@pytest.mark.parametrize("has_changed_during_the_start", [True, False])
def test_change_of_the_file_is_noticed_by_its_text(
    deployed: PlatformSite,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    has_changed_during_the_start: bool,
) -> None:
    instance = deployed.instances[0]
    file = tmp_path / "settings.yaml"
    monkeypatch.setattr(instance_module, "SETTINGS_POLL_INTERVAL_S", 0.02)

    def write(revocation_s: float) -> None:
        file.write_text(settings_text(instance.settings, revocation_s))
        os.utime(file, ns=(1, 1))

    async def work() -> list[float]:
        if not has_changed_during_the_start:
            write(instance.settings.bounds.revocation_s)
        seen = []
        if has_changed_during_the_start:
            write(7.0)
        watch = instance_module._watch_settings(str(file), instance, asyncio.Event())
        watcher = asyncio.create_task(watch)
        for revocation_s in (7.0, 8.0, 7.0):
            if seen or not has_changed_during_the_start:
                write(revocation_s)
            await asyncio.sleep(0.3)
            seen.append(instance.settings.bounds.revocation_s)
        watcher.cancel()
        return seen

    assert deployed.run(work()) == [7.0, 8.0, 7.0]


def settings_text(settings: PlatformSettings, revocation_s: float) -> str:
    """Return the settings file of an instance, with a bound on withdrawn keys."""
    host, _, peer_port = settings.peer_listen.rpartition(":")
    return json.dumps(
        {
            "nodeName": settings.name,
            "zone": settings.data_centre,
            "region": settings.region,
            "zones": settings.regions,
            "ipAddress": host,
            "listenAddresses": {
                "front": settings.listen,
                "ready": settings.ready_listen,
                "directory": settings.lookup_listen,
            },
            "internalPortRange": [int(peer_port), int(peer_port)],
            "bounds": [f"revocationS={revocation_s}"],
            "platform": {"address": settings.store},
        }
    )
