"""A running deployment of the HTTP front end, for tests over loopback sockets."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import TypeVar

from rhubarbspan.document import Document
from rhubarbspan.edits import Edit, apply_edit
from rhubarbspan.publishing import (
    Applied,
    read_stored,
)
from rhubarbspan.standins.caller import CallerStandIn, CallResult
from rhubarbspan.standins.deployment import Deployment
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.http import hash_key

T = TypeVar("T")
KEY = "secret-ana"
OTHER_KEY = "secret-bo"
LIMITED_KEY = "secret-cy"


@dataclass(slots=True)
class Site:
    """A running deployment and its event loop."""

    deployment: Deployment
    loop: asyncio.AbstractEventLoop

    def run(self, work: Awaitable[T]) -> T:
        """Run an awaitable until it is done and return its result."""
        return self.loop.run_until_complete(work)

    def send(self, path: str, **options: object) -> CallResult:
        """Send a request to the first daemon and return its result."""
        entry = self.deployment.entries()[0]

        async def work() -> CallResult:
            async with CallerStandIn([entry], KEY) as caller:
                return await caller.send(entry, path, **options)  # type: ignore[arg-type]

        return self.run(work())


def site_document() -> Document:
    """Make a configuration of two data centres in two regions."""
    routes = {
        "look": ("/look", "idempotent"),
        "order": ("/order", "at_most_once"),
        "put": ("/put", "non_idempotent"),
    }
    document: Document = {
        f"route {name}": {"pool": "shop", "path_prefix": path, "kind": kind}
        for name, (path, kind) in routes.items()
    }
    document["route open"] = {
        "pool": "shop",
        "path_prefix": "/open",
        "kind": "idempotent",
        "open": "yes",
    }
    document["pool shop"] = {"slots_per_server": "3", "ramp_s": "0"}
    for name, key in (("ana", KEY), ("bo", OTHER_KEY)):
        document[f"client_account {name}"] = {
            "rate_per_s": "500",
            "burst": "500",
            "key_hashes": hash_key(key),
        }
    document["client_account cy"] = {
        "rate_per_s": "20",
        "burst": "10",
        "key_hashes": hash_key(LIMITED_KEY),
    }
    document["data_centre x"] = {"region": "r", "client_blocks": "127.0.0.0/8"}
    document["data_centre y"] = {"region": "s"}
    document["link rs"] = {"regions": "r, s", "cap_mbit_per_s": "1000"}
    return document


def n_runs(site: Site, key: str) -> int:
    """Return how often all servers together ran an idempotency key."""
    return sum(backend.runs[key] for backend in site.deployment.backends.values())


def set_faults(site: Site, **faults: object) -> None:
    """Set faults on all backend servers, each given by its field's name."""
    for backend in site.deployment.backends.values():
        for name, value in faults.items():
            setattr(backend.faults, name, value)


async def edit(site: Site, change: Edit) -> int:
    """Publish an edit and return its revision."""
    client = site.deployment.client
    assert client is not None
    stored = await read_stored(client)
    assert not isinstance(stored, Failure)
    document = apply_edit(stored.snapshot.document, change)
    assert not isinstance(document, Failure)
    result = await site.deployment.apply(document, stored.head.revision)
    assert isinstance(result, Applied)
    return result.revision


async def wait_revision(site: Site, revision: int, timeout_s: float) -> None:
    """Wait until a revision is in force on all daemons."""
    async with asyncio.timeout(timeout_s):
        for daemon in site.deployment.daemons.values():
            while daemon.world.configuration.revision < revision:
                await asyncio.sleep(0.02)
