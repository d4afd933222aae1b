"""Tests of instances that are gone for good: nothing is kept or sent for them."""

import pytest

from conftest import MakeWorld
from platform_site import PlatformSite
from rhubarbspan.document import Document
from rhubarbspan.effects import Effects, SendPeerMessage
from rhubarbspan.inputs import PeerListing, PeerMessageReceived, PeersListed
from rhubarbspan.peer_messages import Heartbeat
from rhubarbspan.systems import membership
from rhubarbspan.systems.demand_fractions import DEMAND_RETENTION_S
from rhubarbspan.systems.membership import PEER_RETENTION_S
from rhubarbspan.tick import run_tick
from rhubarbspan.world import World

NOW_S = 200.0
STEP_S = 0.5


@pytest.fixture
def world(make_world: MakeWorld, single: Document) -> World:
    """Return a world with one seat."""
    return make_world(single)


def _listed(*seats: str, is_seed: bool = False) -> PeersListed:
    rows = [PeerListing(seat, f"{seat}:1", f"{seat}:2", "x") for seat in seats]
    return PeersListed(rows, is_seed)


def _heartbeat(
    seat: str, incarnation: int = 1, sequence: int = 1
) -> PeerMessageReceived:
    beat = Heartbeat(
        seat, incarnation, sequence, 1, False, address="a:1", peer_address="a:2"
    )
    return PeerMessageReceived(beat)


def _run(world: World, from_s: float, to_s: float) -> Effects:
    effects: Effects = []
    while from_s < to_s:
        effects += run_tick(world, from_s, [])
        from_s += STEP_S
    return effects


def _receivers(effects: Effects) -> set[str]:
    return {row.seat for row in effects if isinstance(row, SendPeerMessage)}


def _seats(world: World) -> set[str]:
    return {row.seat for row in world.peers.rows()}


# Heartbeats went on to each machine that there had ever been.
def test_instance_neither_listed_nor_heard_is_forgotten(world: World) -> None:
    run_tick(world, NOW_S, [_listed("x-2", "x-3", "x-4"), _heartbeat("x-2")])
    run_tick(world, NOW_S + 1, [_listed("x-4")])
    kept = _run(world, NOW_S + 1, NOW_S + PEER_RETENTION_S - 1)
    assert _receivers(kept[-9:]) == {"x-2", "x-3", "x-4"}
    assert _seats(world) == {"x-2", "x-3", "x-4"}
    _run(world, NOW_S + PEER_RETENTION_S - 1, NOW_S + PEER_RETENTION_S + 3)
    assert _seats(world) == {"x-4"}
    later = _run(world, NOW_S + PEER_RETENTION_S + 3, NOW_S + PEER_RETENTION_S + 9)
    assert _receivers(later) == {"x-4"}


def test_demand_of_a_silent_instance_counts_while_it_is_kept() -> None:
    assert PEER_RETENTION_S >= 5 * DEMAND_RETENTION_S


def test_instance_that_is_heard_is_kept_unlisted(world: World) -> None:
    run_tick(world, NOW_S, [_listed("x-2")])
    run_tick(world, NOW_S + 1, [_listed()])
    for step in range(1, int(2 * PEER_RETENTION_S)):
        run_tick(world, NOW_S + step, [_heartbeat("x-2", sequence=step)])
    assert _seats(world) == {"x-2"}


def test_seeds_are_kept_until_there_is_a_list(world: World) -> None:
    run_tick(world, NOW_S, [_listed("x-2", "x-3", is_seed=True)])
    end_s = NOW_S + 2 * PEER_RETENTION_S
    assert _receivers(_run(world, NOW_S, end_s)[-9:]) == {"x-2", "x-3"}
    run_tick(world, end_s, [_listed("x-2")])
    _run(world, end_s, end_s + PEER_RETENTION_S + 1)
    assert _seats(world) == {"x-2"}


def test_forgotten_instance_that_is_heard_again_is_taken_up(world: World) -> None:
    run_tick(world, NOW_S, [_listed("x-2"), _heartbeat("x-2", 7)])
    run_tick(world, NOW_S + 1, [_listed()])
    end_s = NOW_S + PEER_RETENTION_S + 3
    _run(world, NOW_S + 1, end_s)
    assert not _seats(world)
    run_tick(world, end_s, [_heartbeat("x-2", 5)])
    row = world.peers.get("x-2")
    assert row is not None
    assert row.is_alive
    assert _receivers(_run(world, end_s, end_s + 1)) == {"x-2"}


# The stream went on trying to connect.
def test_stream_to_a_forgotten_instance_is_closed(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(membership, "PEER_RETENTION_S", 1.0)
    site = deployed
    gone = site.run(site.add_instance("front-a-2"))
    (staying, _) = site.instances
    site.wait_for(lambda: "front-a-2" in staying._peers._streams, "there is a stream")
    stream = staying._peers._streams["front-a-2"]
    site.run(gone.close())
    site.instances.remove(gone)
    site.wait_for(lambda: staying.world.peers.get("front-a-2") is None, "forgotten")
    site.wait_for(stream._task.done, "the stream is closed")
    assert not staying._peers._streams
