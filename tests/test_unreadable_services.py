"""Tests of odd entries in the registry that the own interface reads."""

import asyncio

import logbook

from edge_site import Site, edit
from rhubarbspan.edits import GrantKey
from rhubarbspan.publishing import (
    CHANGES_PREFIX,
    MAX_SEPARATE_CHANGE_READS,
    StoredConfiguration,
    read_stored,
)
from rhubarbspan.standins.store import StoredValue
from rhubarbspan.wire.http import hash_key

# Two polls of the lists, and a probe.
HEARD_S = 3.0
SERVICE = "rhubarbspan"
META = {"data_centre": "x", "peer_address": "127.0.0.1:9", "state": "live"}


def entry(**changes: object) -> dict[str, object]:
    """Return a registered process in which some fields are replaced."""
    fields: dict[str, object] = {
        "ID": "odd",
        "Address": "127.0.0.1",
        "Port": 9,
        "Meta": META,
    }
    return {**fields, **changes}


ODD_ENTRIES: list[dict[str, object]] = [
    {"Address": "127.0.0.1", "Port": 9},
    entry(ID=""),
    entry(ID="odd\n"),
    entry(ID="odd/1"),
    entry(Address=""),
    entry(Address="localhost"),
    entry(Address="127.0.0.1\n"),
    entry(Port="9"),
    entry(Port=None),
    entry(Port=0),
    entry(Port=-1),
    entry(Port=70_000),
    entry(Port=10**30),
    entry(Meta={"data_centre": 7}),
    entry(Meta=[]),
]


# DRAIN: one entry ended the reading of its service's servers, and nothing was logged.
def test_draining_and_new_servers_are_heard_of_beside_odd_entries_of_the_registry(
    site: Site,
) -> None:
    deployment = site.deployment
    registered = deployment.store.services
    leaving = deployment.backends["shop-x-0"]
    with logbook.TestHandler() as log, log.applicationbound():
        for position, odd in enumerate(ODD_ENTRIES):
            registered["shop"][f"odd-{position}"] = odd
            registered[SERVICE][f"odd-{position}"] = odd
        meta = {"data_centre": "x", "state": "leaving"}
        deployment.store.register("shop", leaving.name, leaving.address, meta)
        added = site.run(deployment.add_backend("shop", "x", 7))
        site.run(asyncio.sleep(HEARD_S))
        n_before = leaving.n_started
        for count in range(10):
            assert site.send(f"/look/{count}").status == 200
    assert leaving.n_started == n_before
    assert added.n_started > 0
    for daemon in deployment.daemons.values():
        world = daemon.world
        names = {row.server_id for row in world.servers.rows()}
        assert names <= deployment.backends.keys()
        assert {row.seat for row in world.peers.rows()} <= deployment.daemons.keys()
        assert not any(name == "task_failures" for name, _ in world.counters)
    places = {row.message.partition(":")[0] for row in log.records}
    for position in range(2, 2 + len(ODD_ENTRIES)):
        assert f"entry 'shop[{position}]'" in places
        assert f"entry '{SERVICE}[{position}]'" in places


# A withdrawn key stayed in force: one change that others wrote hid all others.
def test_configuration_is_read_beside_odd_entries_among_its_changes(
    site: Site,
) -> None:
    store = site.deployment.store
    for position, value in enumerate((b"", b"{", b"[" * 5000, b'{"revision": "1"}')):
        store.values[f"{CHANGES_PREFIX}odd-{position}"] = StoredValue(value, 1)
    client = site.deployment.client
    assert client is not None
    known = site.run(read_stored(client))
    assert isinstance(known, StoredConfiguration)
    for count in range(MAX_SEPARATE_CHANGE_READS + 2):
        site.run(edit(site, GrantKey("bo", hash_key(f"odd {count}"))))
    latest = site.run(read_stored(client, known.snapshot))
    assert isinstance(latest, StoredConfiguration), latest
    assert latest.snapshot.revision == latest.head.revision
    assert isinstance(site.run(read_stored(client)), StoredConfiguration)
