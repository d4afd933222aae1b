"""What servers say of themselves in responses, over sockets and in the tables."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest

from platform_site import PlatformSite
from rhubarbspan.effects import SendPeerMessage
from rhubarbspan.inputs import (
    Input,
    PeerMessageReceived,
    ServerLeavingReported,
    ServerListing,
    ServerPauseReported,
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
    site: PlatformSite, change: Callable[[PlatformSite, PlatformServerStandIn], None]
) -> None:
    server = _hear_leaving(site)
    change(site, server)
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


def test_load_of_the_server_that_has_the_address_now_counts_as_the_other_ones(
    site: PlatformSite,
) -> None:
    for server in site.servers:
        server.faults = [Fault.MISDIRECTED]
    assert _look(site, "first") == 503
    assert all(_row(site, server).n_others == 0 for server in site.servers)


PAUSE_S = 2.0


@pytest.mark.parametrize(
    ("fault", "body"),
    [(Fault.SHED, b""), (Fault.SHED, b"x" * 1_500_000), (Fault.UNAVAILABLE, b"")],
    ids=["not-run", "streamed-body", "may-have-run"],
)
def test_servers_get_requests_within_the_pause_that_they_asked_for(
    site: PlatformSite, fault: Fault, body: bytes
) -> None:
    for server in site.servers:
        server.faults, server.retry_after = [fault], str(PAUSE_S)
    method = "POST" if body else "GET"
    for number in range(20):
        if any(server.faults for server in site.servers):
            site.send(f"/{'put' if body else 'look'}/{number}", method, body)
    asked_s = site.loop.time()
    n_runs = [len(server.requests) for server in site.servers]
    while site.loop.time() < asked_s + 0.4 * PAUSE_S:
        assert _look(site, "within") == 503
        site.run(asyncio.sleep(0.1))
    assert [len(server.requests) for server in site.servers] == n_runs
    site.run(asyncio.sleep(asked_s + PAUSE_S + 0.1 - site.loop.time()))
    assert _look(site, "after") == 200


def test_malformed_pause_is_taken_for_one(site: PlatformSite) -> None:
    for server in site.servers:
        server.faults, server.retry_after = [Fault.UNAVAILABLE], "soon"
    assert _look(site, "first") == 503
    world = site.instances[0].world
    assert world.counters["malformed_retry_after", ""] == 1
    assert not world.counters["server_pauses", ""]


def _list(world: World, now_s: float, *listings: ServerListing) -> None:
    run_tick(world, now_s, [ServersListed("shop", list(listings))])


def _listings(**changes: object) -> list[ServerListing]:
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


def _pause_all(world: World, now_s: float, pause_s: float) -> None:
    servers = [f"i-{number}" for number in range(N_SERVERS)]
    run_tick(world, now_s, [ServerPauseReported(name, 1, pause_s) for name in servers])


def test_pause_is_forgotten_while_a_record_lapsed_or_cut_short_by_a_shorter_one() -> (
    None
):
    world = make_world("n-1")
    _pause_all(world, START_S + 2, 5.0)
    _pause_all(world, START_S + 2, 0.2)
    _list(world, START_S + 3, *_listings()[1:])
    run_tick(world, START_S + 3.5, [])
    _list(world, START_S + 4, *_listings())
    assert not started(arrive(world, START_S + 6.9, 1, "17"))
    assert started(arrive(world, START_S + 7.1, 2, "17"))
    run_tick(world, START_S + 8, [])
    assert not world.announcements.rows()


def test_pause_of_a_process_holds_for_its_successor() -> None:
    world = make_world("n-1")
    _pause_all(world, START_S + 2, 5.0)
    _list(world, START_S + 3, *_listings(incarnation=2))
    (attempt,) = started(arrive(world, START_S + 3.1, 1, "17"))
    assert attempt.server_id == "i-0"


def test_queued_request_is_not_sent_when_the_pause_ends() -> None:
    world = make_world("n-1")
    _pause_all(world, START_S + 2, 0.05)
    assert not started(arrive(world, START_S + 2.01, 1, "17"))
    assert started(run_tick(world, START_S + 2.05, []))


def _heartbeats(world: World, now_s: float) -> list[Input]:
    """Return the heartbeats that are due, as they arrive at the other side."""
    sent = [
        decode_message(encode_message(effect.message))
        for effect in run_tick(world, now_s, [])
        if isinstance(effect, SendPeerMessage) and isinstance(effect.message, Heartbeat)
    ]
    assert sent
    return [PeerMessageReceived(message) for message in sent]  # type: ignore[arg-type]
