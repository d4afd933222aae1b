"""What servers say of themselves in responses, over sockets and in the tables."""

import asyncio
from dataclasses import replace
from functools import partial

import pytest

from platform_site import PlatformSite
from rhubarbspan.standins.platform_deployment import server_record
from rhubarbspan.standins.platform_server import PlatformServerStandIn
from rhubarbspan.standins.platform_store import Mode
from rhubarbspan.tables.servers import ServerRow

LEAVING_S = 0.3
# All requests are for one object, so that they go to one server while they can.
COOKIE = "X-Affinity-Key=17"


@pytest.fixture
def site(deployed: PlatformSite) -> PlatformSite:
    """Return a running deployment whose servers may leave soon."""
    instance = deployed.instances[0]
    settings = instance.settings
    bounds = replace(settings.bounds, leaving_s=LEAVING_S)
    instance.apply_settings(replace(settings, bounds=bounds))
    # Otherwise each server that was never used gets a request.
    instance.world.servers.never_used.clear()
    return deployed


def _look(site: PlatformSite, name: str) -> int:
    return site.send(f"/open/{name}", Cookie=COOKIE).status


def _row(site: PlatformSite, server: PlatformServerStandIn) -> ServerRow:
    row = site.instances[0].world.servers.get(server.server_id)
    assert row is not None
    return row


def _is_read(site: PlatformSite, server: PlatformServerStandIn, sequence: int) -> bool:
    return _row(site, server).sequence == sequence


def _hear_leaving(site: PlatformSite) -> PlatformServerStandIn:
    """Return the server that has said in its response that it leaves."""
    assert _look(site, "first") == 200
    (server,) = [s for s in site.servers if s.requests]
    server.is_leaving = True
    assert _look(site, "second") == 200
    assert len(server.requests) == 2
    return server


def _stay_silent(site: PlatformSite, server: PlatformServerStandIn) -> None:
    site.store.mode = Mode.SILENT


def _stay_ready(site: PlatformSite, server: PlatformServerStandIn) -> None:
    for sequence in (2, 3):
        record = server_record(server, sequence=sequence)
        site.store.put(f"servers/{server.server_id}", record)
        site.wait_for(partial(_is_read, site, server, sequence), "the record is read")


def _lapse(site: PlatformSite, server: PlatformServerStandIn) -> None:
    servers = site.instances[0].world.servers
    site.store.delete(f"servers/{server.server_id}")
    site.wait_for(lambda: servers.get(server.server_id) is None, "removed")
    site.store.put(f"servers/{server.server_id}", server_record(server))
    site.wait_for(lambda: servers.get(server.server_id), "listed again")


@pytest.mark.parametrize("change", [_stay_silent, _stay_ready, _lapse])
def test_requests_reach_a_server_that_said_it_leaves_while_the_list_says_ready(
    site: PlatformSite, change: object
) -> None:
    server = _hear_leaving(site)
    change(site, server)  # type: ignore[operator]
    site.run(asyncio.sleep(LEAVING_S))
    for number in range(4):
        assert _look(site, str(number)) == 200
    assert len(server.requests) == 2
