"""What servers say of themselves in responses, over sockets and in the tables."""

import asyncio
from dataclasses import replace
from functools import partial

import pytest

from platform_site import PlatformSite
from rhubarbspan.effects import SendPeerMessage
from rhubarbspan.inputs import (
    Input,
    PeerMessageReceived,
    ServerLeavingReported,
    ServersListed,
)
from rhubarbspan.peer_messages import Heartbeat
from rhubarbspan.standins.platform_deployment import server_record
from rhubarbspan.standins.platform_server import Fault, PlatformServerStandIn
from rhubarbspan.standins.platform_store import Mode
from rhubarbspan.systems.announcements import RETENTION_S
from rhubarbspan.tables.servers import ServerRow
from rhubarbspan.tick import run_tick
from rhubarbspan.wire.peer import decode_message, encode_message
from rhubarbspan.world import World
from test_object_sharing import make_world
from test_placement import N_SERVERS, START_S, arrive, finish, listing, started

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


@pytest.mark.parametrize(
    "fault", [Fault.SHED, Fault.ERROR, Fault.UNSIGNED, Fault.ENCODED]
)
def test_server_that_says_it_leaves_in_an_answer_not_passed_on_is_believed(
    site: PlatformSite, fault: Fault
) -> None:
    assert _look(site, "first") == 200
    (server,) = [s for s in site.servers if s.requests]
    server.is_leaving = True
    server.faults = [fault]
    _look(site, "second")
    assert _row(site, server).has_said_leaving


# A 421 is another server's, which has the address now; the other response belongs to
# an earlier request of the connection and may be any server's.
@pytest.mark.parametrize("fault", [Fault.MISDIRECTED, Fault.WRONG_ID])
def test_other_responses_do_not_put_a_server_out_of_use(
    site: PlatformSite, fault: Fault
) -> None:
    assert _look(site, "first") == 200
    (server,) = [s for s in site.servers if s.requests]
    server.is_leaving = True
    server.faults = [fault]
    site.send("/open/second", Cookie=COOKIE, X_Deadline_Milliseconds="300")
    assert not _row(site, server).has_said_leaving


def _list(world: World, now_s: float, *listings: object) -> None:
    run_tick(world, now_s, [ServersListed("shop", list(listings))])  # type: ignore


def _listings(**changes: object) -> list[object]:
    """Return the listings of all servers, with fields of the first one changed."""
    first = listing(0, **changes)  # type: ignore[arg-type]
    return [first, *(listing(number) for number in range(1, N_SERVERS))]


def _is_leaving(world: World, server_id: str = "i-0") -> bool:
    row = world.servers.get(server_id)
    assert row is not None
    return row.is_leaving


@pytest.fixture
def world() -> World:
    """Return the world of an instance to which the first server said it leaves."""
    created = make_world("n-1")
    run_tick(created, START_S + 2, [ServerLeavingReported("i-0", 1)])
    return created


def test_server_that_said_it_leaves_rejoins_after_live_listings(world: World) -> None:
    _list(world, START_S + 3, *_listings(is_leaving=True, sequence=2))
    for sequence in range(3, 12):
        _list(world, START_S + sequence, *_listings(sequence=sequence))
        assert _is_leaving(world)
    _list(world, START_S + 13, *_listings(incarnation=2))
    assert not _is_leaving(world)
    # The list of another reader is older.
    _list(world, START_S + 14, *_listings())
    assert _is_leaving(world)


def test_server_that_said_it_leaves_is_forgotten_while_its_record_lapsed(
    world: World,
) -> None:
    _list(world, START_S + 3, *_listings()[1:])
    assert world.servers.get("i-0") is None
    run_tick(world, START_S + RETENTION_S, [])
    _list(world, START_S + RETENTION_S, *_listings())
    assert _is_leaving(world)


def test_announcements_of_servers_that_left_are_kept_for_ever(world: World) -> None:
    run_tick(world, START_S + 10 * RETENTION_S, [])
    assert world.announcements.rows()
    _list(world, START_S + 10 * RETENTION_S + 1, *_listings()[1:])
    run_tick(world, START_S + 11 * RETENTION_S + 2, [])
    assert not world.announcements.rows()


def test_late_response_of_a_process_puts_its_successor_out_of_use(
    world: World,
) -> None:
    _list(world, START_S + 3, *_listings(incarnation=2))
    run_tick(world, START_S + 4, [ServerLeavingReported("i-0", 1)])
    assert not _is_leaving(world)


def test_peers_go_on_sending_to_a_server_that_said_it_leaves(world: World) -> None:
    peer, third = make_world("n-2"), make_world("n-3")
    for other, seat in ((world, "n-2"), (peer, "n-1")):
        beat = Heartbeat(seat, 1, 1, 1, False, peer_address=seat)
        run_tick(other, START_S + 2.1, [PeerMessageReceived(beat)])
    (attempt,) = started(arrive(peer, START_S + 2.2, 1, "17"))
    finish(peer, START_S + 2.4, attempt)
    run_tick(world, START_S + 2.4, [ServerLeavingReported(attempt.server_id, 1)])
    run_tick(peer, START_S + 3, _heartbeats(world, START_S + 3))
    assert _is_leaving(peer, attempt.server_id)
    (later,) = started(arrive(peer, START_S + 3.1, 2, "17", path="/order/x"))
    assert later.server_id != attempt.server_id
    # It passes on what it was told.
    run_tick(third, START_S + 4, _heartbeats(peer, START_S + 4))
    assert _is_leaving(third, attempt.server_id)


def _heartbeats(world: World, now_s: float) -> list[Input]:
    """Return the heartbeats that are due, as they arrive at the other side."""
    sent = [
        decode_message(encode_message(effect.message))
        for effect in run_tick(world, now_s, [])
        if isinstance(effect, SendPeerMessage) and isinstance(effect.message, Heartbeat)
    ]
    assert sent
    return [PeerMessageReceived(message) for message in sent]  # type: ignore[arg-type]
