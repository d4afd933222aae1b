"""Changes of the configuration, keys and drains, tested over loopback sockets."""

import asyncio

import pytest

from edge_site import Site, edit, wait_revision
from rhubarbspan.edge.daemon import Daemon
from rhubarbspan.edits import GrantKey, StartDrain, WithdrawKey
from rhubarbspan.publishing import (
    Applied,
    Superseded,
    apply_document,
    read_stored,
)
from rhubarbspan.settings import Settings
from rhubarbspan.standins.caller import CallerStandIn
from rhubarbspan.standins.deployment import free_address
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.http import hash_key

pytestmark = pytest.mark.xdist_group("edge")


def test_withdrawn_key_stops_within_two_seconds_on_an_open_connection(
    site: Site,
) -> None:
    entry = site.deployment.entries()[0]

    async def work() -> tuple[int, int, str]:
        await wait_revision(site, await edit(site, GrantKey("bo", hash_key("k2"))), 2)
        async with CallerStandIn([entry], "k2") as caller:
            before = await caller.send(entry, "/look")
            revision = await edit(site, WithdrawKey("bo", hash_key("k2")))
            await wait_revision(site, revision, 2.0)
            after = await caller.send(entry, "/look")
            return before.status, after.status, after.reason

    assert site.run(work()) == (200, 401, "bad-key")


def test_garbage_from_the_store_changes_nothing(site: Site) -> None:
    daemon = next(iter(site.deployment.daemons.values()))
    revision = daemon.world.configuration.revision
    site.deployment.store.faults.is_garbage = True
    site.deployment.store.notify_readers()
    site.run(asyncio.sleep(1.5))
    assert daemon.world.configuration.revision == revision
    assert daemon.world.counters["store_failures", "store-garbage"] > 0
    assert site.send("/look").status == 200


# An instance that starts without the store must get the configuration, and each later
# revision, from its peers.
def test_configuration_reaches_instances_that_cannot_reach_the_store(
    site: Site,
) -> None:
    first = next(iter(site.deployment.daemons.values()))

    async def work() -> int:
        settings = Settings(
            "y-2",
            "y",
            "s",
            free_address(),
            free_address(),
            "127.0.0.1:9",
            seeds=(("x-1", first.settings.peer_listen),),
        )
        daemon = Daemon(settings)
        assert await daemon.start() is None
        site.deployment.list_daemon(daemon, "live")
        try:
            async with asyncio.timeout(6.0):
                while daemon.world.configuration.revision == 0:
                    await asyncio.sleep(0.02)
            revision = await edit(site, GrantKey("bo", hash_key("late")))
            async with asyncio.timeout(6.0):
                while first.world.configuration.revision < revision:
                    await asyncio.sleep(0.005)
            site.deployment.store.faults.is_down = True
            async with asyncio.timeout(6.0):
                while daemon.world.configuration.revision < revision:
                    await asyncio.sleep(0.02)
            return daemon.world.configuration.revision - revision
        finally:
            site.deployment.store.deregister("rhubarbspan", "y-2")
            await daemon.close()

    assert site.run(work()) == 0


def test_drained_server_gets_no_new_work_after_three_seconds(site: Site) -> None:
    name = "shop-x-0"

    async def work() -> None:
        await edit(site, StartDrain("backend_server", name))
        await asyncio.sleep(3.0)

    site.run(work())
    backend = site.deployment.backends[name]
    n_started = backend.n_started
    assert [site.send("/look").status for _ in range(8)] == [200] * 8
    assert backend.n_started == n_started


# Two operators edit the same revision. The slower edit must be rejected as superseded
# instead of overwriting the other one.
def test_racing_operators_lose_nothing_and_every_loser_is_told(site: Site) -> None:
    client = site.deployment.client
    assert client is not None

    async def operate(name: str, n_edits: int) -> tuple[list[int], int]:
        accepted: list[int] = []
        n_superseded = 0
        for number in range(n_edits):
            stored = await read_stored(client)
            assert not isinstance(stored, Failure)
            title = f"drain backend_server.{name}-{number}"
            section = {"kind": "backend_server", "target": f"{name}-{number}"}
            document = {**stored.snapshot.document, title: section}
            revision = stored.head.revision
            await asyncio.sleep(0)
            result = await apply_document(client, document, name, revision)
            if isinstance(result, Applied):
                accepted.append(number)
            elif isinstance(result, Superseded):
                n_superseded += 1
        return accepted, n_superseded

    async def work() -> None:
        ana, bo = await asyncio.gather(operate("ana", 100), operate("bo", 100))
        assert ana[1] + len(ana[0]) == 100
        assert bo[1] + len(bo[0]) == 100
        stored = await read_stored(client)
        assert not isinstance(stored, Failure)
        await wait_revision(site, stored.head.revision, 6.0)
        for name, (accepted, _) in (("ana", ana), ("bo", bo)):
            for number in accepted:
                title = f"drain backend_server.{name}-{number}"
                assert title in stored.snapshot.document
        for daemon in site.deployment.daemons.values():
            in_force = daemon.world.configuration_state.snapshot.document
            assert in_force == stored.snapshot.document

    site.run(work())
