"""Tests of calls that a library cancels by itself: the task that made them goes on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from edge_site import Site, edit, wait_revision
from platform_site import PlatformSite
from rhubarbspan.edge import catalog as catalog_module
from rhubarbspan.edge.registration import RENEW_INTERVAL_S
from rhubarbspan.edits import GrantKey
from rhubarbspan.platform.store import PlatformStore
from rhubarbspan.wire.http import hash_key

DRAIN_S = 2.5
TIMEOUT_S = 8.0


def cancelled_first(
    function: Callable[..., Awaitable[Any]], n_cancelled: int = 1
) -> Callable[..., Any]:
    """Return a function whose first calls are cancelled, though their task is not."""
    n_calls = 0

    async def call(*arguments: Any, **options: Any) -> Any:
        nonlocal n_calls
        n_calls += 1
        if n_calls <= n_cancelled:
            raise asyncio.CancelledError
        return await function(*arguments, **options)

    return call


# DRAIN: the task that reads the servers ended for good, and nothing told of it.
@pytest.mark.parametrize("name", ["watch", "read_range"])
def test_reading_of_the_store_goes_on_after_a_call_that_was_cancelled(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    site = deployed
    world = site.instances[0].world
    if name == "read_range":
        site.store.forget_history()
    cancelled = cancelled_first(getattr(PlatformStore, name))
    monkeypatch.setattr(PlatformStore, name, cancelled)
    site.wait_for(
        lambda: any(kind == "task_failures" for kind, _ in world.counters),
        "a call was cancelled",
    )
    for server in site.servers:
        site.deployment.drain(server)
    site.store.put("op/evacuate/b-1", b"")
    site.run(site.add_instance("front-a-2"))
    site.run(asyncio.sleep(DRAIN_S))
    assert all(row.is_listed_leaving for row in world.servers.rows())
    assert "b-1" in world.evacuated
    assert world.peers.get("front-a-2") is not None


def test_registration_goes_on_after_a_call_that_was_cancelled(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = deployed
    key = f"rhubarbspan/instances/{site.instances[0].settings.name}"
    monkeypatch.setattr(
        PlatformStore, "renew_lease", cancelled_first(PlatformStore.renew_lease)
    )
    site.run(asyncio.sleep(2 * RENEW_INTERVAL_S))
    site.store.expire_lease(site.store.items[key].lease)
    site.wait_for(lambda: key in site.store.items, "it is registered again")


def test_watch_of_the_configuration_goes_on_after_a_call_that_was_cancelled(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each of the daemons, as they pass a configuration on to each other.
    n_daemons = len(site.deployment.daemons)
    cancelled = cancelled_first(catalog_module.read_stored, n_daemons)
    monkeypatch.setattr(catalog_module, "read_stored", cancelled)

    async def work() -> None:
        for number in range(2):
            change = GrantKey("bo", hash_key(f"cancelled {number}"))
            revision = await edit(site, change)
            await asyncio.sleep(0.5)
        await wait_revision(site, revision, TIMEOUT_S)

    site.run(work())
