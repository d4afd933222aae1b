"""Tests of what an instance learns from the store and its peers, over sockets."""

import asyncio
import contextlib
from dataclasses import replace

import pytest

from platform_site import (
    PlatformSite,
)
from rhubarbspan.standins.platform_deployment import (
    configuration_document,
    read_reply,
    server_record,
)
from rhubarbspan.standins.platform_store import Mode
from rhubarbspan.systems.share_ownership import DEMAND_STARTUP_S


@pytest.fixture
def site(deployed: PlatformSite) -> PlatformSite:
    """Return a running deployment with one instance and two servers."""
    return deployed


def test_new_configuration_and_withdrawn_key_are_in_force_soon(
    site: PlatformSite,
) -> None:
    tenants = [{"name": "ana", "apiKeys": ["new"], "ratePerS": 1000, "burst": 1000}]
    site.store.put("op/config", configuration_document(5, tenants=tenants))
    site.wait_for(
        lambda: site.instances[0].world.configuration.revision == 5, "in force"
    )
    assert site.send("/look/x").status == 401
    assert site.send("/look/x", X_Credential="new").status == 200
    site.store.put("op/config", configuration_document(4))
    site.store.put("op/config", b"{broken")
    site.store.put(
        "op/config", configuration_document(6, hosts=[{"host": "shop.example"}])
    )
    site.wait_for(
        lambda: site.instances[0].world.configuration.revision == 6, "in force"
    )
    assert site.send("/look/x").status == 404


def test_changed_settings_change_bounds_and_no_address(site: PlatformSite) -> None:
    instance = site.instances[0]
    before = instance.settings
    bounds = replace(before.bounds, grace_s=9.0, region_step=0.4)
    instance.apply_settings(
        replace(before, bounds=bounds, listen="127.0.0.1:1", name="x")
    )
    assert instance.settings == replace(before, bounds=bounds)
    assert instance.world.policies.serve_leaving_s > 5.0
    assert 0 < instance.world.policies.max_region_step < 0.4
    assert site.send("/look/x").status == 200


def test_requests_with_keys_are_refused_when_the_store_is_silent_for_long(
    site: PlatformSite,
) -> None:
    site.store.mode = Mode.SILENT
    site.run(asyncio.sleep(1.0))
    assert site.send("/look/x").status == 200
    # A withdrawn key must stop working within 5 s; without the store an instance
    # cannot tell which keys are withdrawn, so it must refuse all of them by then.
    site.run(asyncio.sleep(4.0))
    assert site.send("/look/x").status == 503
    assert site.send("/open/x").status == 200
    site.store.mode = Mode.SERVING


def test_leaving_server_gets_nothing_and_a_bad_record_names_none(
    site: PlatformSite,
) -> None:
    leaving, staying = site.servers
    site.store.put("servers/i-0", server_record(leaving, state="draining", sequence=2))
    for name, value in (
        ("i-5", b"\xff\xfe"),
        ("i-6", {"address": "nowhere"}),
        ("i-7", server_record(leaving, state="asleep")),
        ("i-8", {**server_record(leaving), "status": "ready"}),
        ("i-9", {**server_record(leaving), "address": 7}),
    ):
        site.store.put(f"servers/{name}", value)
    world = site.instances[0].world

    def is_leaving() -> bool:
        row = world.servers.get("i-0")
        return row is None or row.is_leaving

    site.wait_for(is_leaving, "the server is known to leave")
    for number in range(6):
        assert site.send(f"/look/{number}").status == 200
    assert not leaving.requests
    assert len(staying.requests) == 6
    assert {row.server_id for row in world.servers.rows()} <= {"i-0", "i-1"}


def test_evacuated_place_gets_nothing_until_it_is_taken_back(
    site: PlatformSite,
) -> None:
    world = site.instances[0].world
    site.store.put("op/evacuate/a-1", {})
    site.wait_for(lambda: "a-1" in world.evacuated, "the evacuation is known")
    assert site.send("/look/x").status == 503
    site.store.delete("op/evacuate/a-1")
    site.wait_for(lambda: not world.evacuated, "the evacuation is over")
    assert site.send("/look/x").status == 200


def test_history_that_is_gone_is_read_whole(site: PlatformSite) -> None:
    world = site.instances[0].world
    site.store.mode = Mode.BUSY
    site.run(asyncio.sleep(0.5))
    site.store.put("op/config", configuration_document(9))
    site.store.forget_history()
    site.store.mode = Mode.SERVING
    site.wait_for(lambda: world.configuration.revision == 9, "in force")


def test_lookups_name_ready_instances_only(site: PlatformSite) -> None:
    async def work() -> tuple[int, bytes, int]:
        first = site.instances[0]
        second = await site.add_instance("front-a-2")
        for _ in range(300):
            if all(len(i.world.peers.alive()) == 1 for i in site.instances):
                break
            await asyncio.sleep(0.01)
        status, body = await _get(
            second.settings.lookup_listen, "/api/resolve?zone=a-1&region=a"
        )
        assert first.settings.listen.encode() in body
        await asyncio.sleep(DEMAND_STARTUP_S)
        _, body = await _get(
            second.settings.lookup_listen, "/api/resolve?zone=a-1&region=a"
        )
        assert first.settings.listen.encode() in body
        assert second.settings.listen.encode() in body
        first.request_stop()
        await asyncio.sleep(1.0)
        _, body = await _get(
            second.settings.lookup_listen, "/api/resolve?zone=a-1&region=a"
        )
        assert first.settings.listen.encode() not in body
        ready, _ = await _get(first.settings.ready_listen, "/api/readiness")
        return status, body, ready

    status, body, ready = site.run(work())
    assert status == 200
    assert ready == 503


async def _get(address: str, target: str) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    )
    reply = await read_reply(reader)
    with contextlib.suppress(ConnectionError):
        writer.close()
    return reply.status, reply.body


def test_own_record_is_kept_and_written_again(site: PlatformSite) -> None:
    key = "rhubarbspan/instances/front-a-1"
    site.wait_for(lambda: key in site.store.items, "the record is written")
    lease = site.store.items[key].lease
    site.store.expire_lease(lease)
    site.wait_for(lambda: key in site.store.items, "the record is written again")
    assert site.store.items[key].lease != lease
