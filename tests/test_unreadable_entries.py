"""Tests of entries that other writers left: each costs that entry alone."""

import asyncio
import json
from collections import Counter

import logbook
import pytest

from conftest import build_world, single_document
from platform_site import PlatformSite
from rhubarbspan.checking import check_document
from rhubarbspan.document_rules import TranslatedRules
from rhubarbspan.edge.entries import EntryReader
from rhubarbspan.edge.failures import N_MAX_REPORTED, REPEAT_S, FailureLog
from rhubarbspan.edge.mirror import Mirror
from rhubarbspan.edge.publisher import Publisher
from rhubarbspan.inputs import ServerListing, ServersListed
from rhubarbspan.platform.configuration import (
    TranslatedConfiguration,
    translate_configuration,
)
from rhubarbspan.platform.records import decode_instance, decode_server
from rhubarbspan.record_checks import is_ip_and_port
from rhubarbspan.standins import platform_store
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Failure

DRAIN_S = 2.5
DEEP = b'{"x":' + b"[" * 2000
N_DIGITS = 5000


def record(**changes: object) -> bytes:
    """Encode a server's record; `status__state` names a nested field."""
    fields: dict[str, object] = {
        "address": "10.0.0.1:80",
        "instanceInfo": {"service": "shop", "zone": "a-1", "slots": 3},
        "status": {"state": "ready", "sequence": 4, "coldRemainingS": 0.0},
        "born": 17,
    }
    for key, value in changes.items():
        outer, _, inner = key.partition("__")
        if inner:
            fields[outer] = {**fields[outer], inner: value}  # type: ignore[dict-item]
        else:
            fields[outer] = value
    return json.dumps(fields).encode()


def with_number(field: str, text: bytes) -> bytes:
    """Encode a record in which a field has a number that is given as JSON text."""
    return record(**{field: "MARK"}).replace(b'"MARK"', text)


UNREADABLE = [
    DEEP,
    b'{"x":' + b'{"x":' * 2000,
    b"",
    b"\xff\xfe",
    b"[]",
    record()[:-1],
    record(address="10.0.0.1:" + "9" * N_DIGITS),
    record(address="10.0.0.1:70000"),
    record(address="10.0.0.1:0"),
    record(address="10.0.0.1:-1"),
    record(address="10.0.0.1:\u00b2\u00b2"),
    record(address="10.0.0.1:\u0668\u0660"),
    record(address="10.0.0.1"),
    record(address="localhost:80"),
    record(address="[10.0.0.1]:80"),
    record(address="::1%\n:80"),
    record(address=["10.0.0.1", 80]),
    record(address={"ip": "10.0.0.1"}),
    record(instanceInfo__service=""),
    record(instanceInfo__service=None),
    record(instanceInfo__zone=7),
    record(instanceInfo=[]),
    record(instanceInfo__slots=-1),
    record(instanceInfo__slots=10**9),
    record(instanceInfo__slots="3"),
    record(instanceInfo__slots=True),
    record(status__state="resting"),
    record(status__state=None),
    record(status__sequence=-1),
    record(status__sequence=10**30),
    record(status__coldRemainingS=1e300),
    record(status__coldRemainingS=float("nan")),
    record(status__coldRemainingS="1"),
    record(born=-1),
    record(born=10**30),
    record(born=1.5),
    with_number("born", b"9" * N_DIGITS),
    with_number("status__sequence", b"9" * N_DIGITS),
    with_number("instanceInfo__slots", b"1e400"),
    with_number("status__coldRemainingS", b"1e400"),
    with_number("status__coldRemainingS", b"-Infinity"),
    record(address="10.0.0.1:80" * 50_000),
]
ODD_KEYS = ["", "a/b", "a b", "a\n", "\u00e9", "a\x7f", "x" * 201]


@pytest.mark.parametrize("value", UNREADABLE, ids=lambda v: repr(v[-60:]))
def test_unreadable_record_is_a_failure_with_a_reason(value: bytes) -> None:
    failure = decode_server("servers/i-1", value)
    assert isinstance(failure, Failure)
    assert failure.reason


@pytest.mark.parametrize("name", ODD_KEYS)
def test_key_that_is_no_identifier_names_no_server(name: str) -> None:
    assert isinstance(decode_server(f"servers/{name}", record()), Failure)
    instance = (
        b'{"address":"10.0.0.1:1","peer_address":"10.0.0.1:2","data_centre":"a-1"}'
    )
    assert not isinstance(
        decode_instance("rhubarbspan/instances/n-1", instance), Failure
    )
    key = f"rhubarbspan/instances/{name}"
    assert isinstance(decode_instance(key, instance), Failure)


# Connecting to a name would need a name look-up.
@pytest.mark.parametrize("field", ["address", "peer_address"])
@pytest.mark.parametrize("address", ["host:1", "", "10.0.0.1", "10.0.0.1:\u00b2"])
def test_instance_without_a_usable_address_is_a_failure(
    field: str, address: str
) -> None:
    fields = {"address": "10.0.0.1:1", "peer_address": "10.0.0.1:2", "data_centre": "a"}
    value = json.dumps({**fields, field: address}).encode()
    assert isinstance(decode_instance("rhubarbspan/instances/n-1", value), Failure)


@pytest.mark.parametrize("address", ["1.2.3.4:1", "[::1]:65535", "::1:80"])
def test_usable_address_is_accepted(address: str) -> None:
    assert is_ip_and_port(address)


# DRAIN: one entry ended the reading of all servers, on all instances.
def test_draining_and_new_servers_are_heard_of_beside_unreadable_entries(
    deployed: PlatformSite,
) -> None:
    site = deployed
    for position, value in enumerate(UNREADABLE):
        site.store.put(f"servers/i-0000beef{position}", value)
    for name in ODD_KEYS:
        site.store.put(f"servers/{name}", record())
    site.run(asyncio.sleep(1.5))
    leaving, staying = site.servers[:2]
    site.deployment.drain(leaving)
    added = site.run(site.deployment.add_server())
    site.run(asyncio.sleep(DRAIN_S))
    n_before = len(leaving.requests)
    for count in range(20):
        assert site.send(f"/order/{count}", "POST", b"b").status == 200
    assert len(leaving.requests) == n_before
    assert staying.requests
    assert added.requests
    listed = {row.server_id for row in site.instances[0].world.servers.rows()}
    assert listed <= {server.server_id for server in site.servers}


# It answered each request with 503, since its first reading ended in the same way.
def test_instance_that_starts_beside_unreadable_entries_serves(
    deployed: PlatformSite,
) -> None:
    site = deployed
    site.store.put("servers/i-0000beef", DEEP)
    site.store.put("rhubarbspan/instances/beef", DEEP)
    site.store.put("op/beef", DEEP)
    started = site.run(site.add_instance("front-a-2"))
    site.wait_for(
        lambda: len(started.world.servers.rows()) == 2, "it knows the servers"
    )
    site.wait_for(lambda: started.world.peers.alive(), "it knows its peer")
    assert len(started.world.servers.rows()) == 2
    assert [row.seat for row in started.world.peers.rows()] == ["front-a-1"]


# It would otherwise get requests on what was known of it before.
def test_known_server_whose_record_becomes_unreadable_gets_no_requests(
    deployed: PlatformSite,
) -> None:
    site = deployed
    site.store.put("servers/i-0", DEEP)
    site.run(asyncio.sleep(DRAIN_S))
    n_before = len(site.servers[0].requests)
    for count in range(10):
        assert site.send(f"/look/{count}").status == 200
    assert len(site.servers[0].requests) == n_before


UNREADABLE_CONFIGURATIONS = [
    DEEP,
    b'{"version": 1e400}',
    b'{"version": ' + b"9" * N_DIGITS + b"}",
    b'{"version": 0}',
    b'{"version": ' + str(2**63).encode() + b"}",
    b'{"version": 2, "services": {}}',
    b'{"version": 2, "tenants": {}}',
    b'{"version": 2, "hosts": 5}',
]


@pytest.mark.parametrize("value", UNREADABLE_CONFIGURATIONS, ids=lambda v: repr(v[:60]))
def test_unreadable_configuration_is_a_failure(value: bytes) -> None:
    assert isinstance(translate_configuration(value, {"a-1": "a"}), Failure)


ODD_SERVICE = b'{"name": "s", "connectionLimit": ' + b"9" * N_DIGITS + b"}"
ODD_ENTRIES = [
    (b'"services": [' + ODD_SERVICE + b', {"name": "fine"}]', "service 0"),
    *(
        (
            b'"tenants": [{"name": "t", "apiKeys": ["k"], "ratePerS": 1, "burst": "'
            + burst
            + b'"}, {"name": "fine"}]',
            "tenant t",
        )
        for burst in (b"inf", b"nan")
    ),
]


# A whole configuration was refused for one number, and none of its entries in force.
@pytest.mark.parametrize(("entries", "refused"), ODD_ENTRIES, ids=["digits", "i", "n"])
def test_number_out_of_range_costs_only_its_entry(entries: bytes, refused: str) -> None:
    value = b'{"version": 2, ' + entries + b"}"
    translated = translate_configuration(value, {"a-1": "a"})
    assert isinstance(translated, TranslatedConfiguration)
    assert list(translated.refused) == [refused]
    configuration, problems = check_document(
        translated.document, translated.revision, rules=TranslatedRules()
    )
    assert problems == []
    assert "fine" in {*configuration.pools, *configuration.client_accounts}
    # The limit of the other one is unknown, so that no region may serve it.
    account = configuration.client_accounts.get("t")
    assert account is None or account.regions not in ((), ("a",))


class Clock:
    """A clock that a test sets, with counters."""

    def __init__(self) -> None:
        self.time_s = 0.0
        self.counts: Counter[tuple[str, str]] = Counter()

    def now_s(self) -> float:
        """Return the time that was set."""
        return self.time_s

    def count(self, name: str, label: str = "") -> None:
        """Count one."""
        self.counts[name, label] += 1


@pytest.fixture
def clock() -> Clock:
    """Return a clock at 0."""
    return Clock()


@pytest.fixture
def failures(clock: Clock) -> FailureLog:
    """Return a log of failures that uses the clock."""
    return FailureLog(clock.count, clock.now_s)


def test_unreadable_entry_is_logged_once_a_minute_whatever_its_value(
    clock: Clock, failures: FailureLog
) -> None:
    reader = EntryReader(decode_server, failures, clock.count)
    with logbook.TestHandler() as log:
        for step in range(481):
            clock.time_s = step * 0.25
            value = b"{" * (1 + step)
            reader.read({"servers/a\n": value, "servers/b": record()})
    assert len(log.records) == 3
    for row in log.records:
        assert row.message.startswith("entry 'servers/a\\n': ")
    assert clock.counts["malformed_records", ""] == 481


def test_memory_and_lines_for_unreadable_entries_are_bounded(
    clock: Clock, failures: FailureLog
) -> None:
    with logbook.TestHandler() as log:
        for step in range(10):
            clock.time_s = step * REPEAT_S / 10
            for position in range(5 * N_MAX_REPORTED):
                failures.report_entry(f"servers/{position}", "x" * 10**6)
    assert len(log.records) == len(failures._reported_s) == N_MAX_REPORTED
    assert max(len(row.message) for row in log.records) < 600


# The other entries were lost with it, and so was the task that read them.
def test_unexpected_error_in_a_decoder_costs_that_entry(
    clock: Clock, failures: FailureLog
) -> None:
    def decode(key: str, value: bytes) -> str:
        if value == b"odd":
            raise ZeroDivisionError
        return key

    reader = EntryReader(decode, failures, clock.count)
    with logbook.TestHandler() as log:
        assert reader.read({"a": b"1", "b": b"odd", "c": b"2", "d": None}) == ["a", "c"]
    assert "ZeroDivisionError" in "".join(
        row.formatted_exception or "" for row in log.records
    )
    assert clock.counts["task_failures", "decoding an entry"] == 1


@pytest.mark.parametrize("prefix", ["servers/", "op/", "rhubarbspan/instances/"])
def test_reading_goes_on_after_an_unexpected_error(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch, prefix: str
) -> None:
    site = deployed
    (instance,) = site.instances
    feed = instance._feed
    publish, n_errors = feed._publisher.publish, 0

    def fail_twice(mirror: Mirror, requested_s: float | None) -> None:
        nonlocal n_errors
        if mirror.prefix == prefix and n_errors < 2:
            n_errors += 1
            raise ZeroDivisionError
        publish(mirror, requested_s)

    monkeypatch.setattr(Publisher, "publish", lambda _, *rest: fail_twice(*rest))
    site.run(site.deployment.add_server())
    site.run(site.add_instance("front-a-2"))
    site.store.put("op/evacuate/b-1", b"")
    site.wait_for(lambda: n_errors == 2, "two errors")
    site.wait_for(lambda: len(instance.world.servers.rows()) == 3, "servers")
    site.wait_for(lambda: "b-1" in instance.world.evacuated, "evacuations")
    site.wait_for(lambda: instance.world.peers.get("front-a-2"), "instances")
    assert instance.world.counters["task_failures", f"reading {prefix}"] > 0


# Each listing discarded the rankings of all servers.
def test_server_in_an_unknown_zone_changes_the_table_once() -> None:
    world = build_world(single_document(), 1)
    servers = [
        ServerListing("shop-0", "shop", "127.0.0.1:1", "x"),
        ServerListing("shop-1", "shop", "127.0.0.1:2", "nowhere"),
    ]
    versions = []
    for step in range(4):
        run_tick(world, 200.0 + step, [ServersListed("shop", servers)])
        versions.append(world.servers.version)
    assert len(set(versions)) == 1
    row = world.servers.get("shop-1")
    assert row is not None
    assert row.region == ""


def test_configuration_without_a_readable_value_is_logged(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = deployed
    encode = platform_store._item_fields
    monkeypatch.setattr(
        platform_store, "_item_fields", lambda item: {**encode(item), "value": 7}
    )
    log = logbook.TestHandler()
    with log.applicationbound():
        site.store.put("op/config", b"")
        site.wait_for(
            lambda: [row for row in log.records if "'op/config'" in row.message],
            "the line",
        )
    assert site.instances[0].world.configuration.revision == 1


# Its row stayed for good once the entry was gone.
def test_server_of_an_unknown_service_goes_with_its_entry(
    deployed: PlatformSite,
) -> None:
    site = deployed
    world = site.instances[0].world
    site.store.put("servers/i-odd", record(instanceInfo__service="nowhere"))
    site.wait_for(lambda: world.servers.get("i-odd"), "it is known")
    site.store.delete("servers/i-odd")
    site.wait_for(lambda: world.servers.get("i-odd") is None, "it is gone")


# The page or the event that contained it was lost with all others in it.
@pytest.mark.parametrize(
    "odd",
    [
        {"value": 7},
        {"value": "no Base64!"},
        {"value": None},
        {"key": None},
        {"key": 5, "value": []},
        {"revision": "x"},
        {"tombstone": "yes"},
    ],
    ids=str,
)
def test_item_that_is_malformed_costs_no_other(
    deployed: PlatformSite, monkeypatch: pytest.MonkeyPatch, odd: dict[str, object]
) -> None:
    site = deployed
    encode = platform_store._item_fields

    def encode_odd(item: platform_store.StoredItem) -> dict[str, object]:
        return {**encode(item), **(odd if item.key == "servers/i-odd" else {})}

    monkeypatch.setattr(platform_store, "_item_fields", encode_odd)
    site.store.put("servers/i-odd", record())
    site.run(site.deployment.add_server())
    (instance,) = site.instances
    site.wait_for(lambda: instance.world.servers.get("i-2"), "the watch goes on")
    started = site.run(site.add_instance("front-a-2"))
    site.wait_for(lambda: started.world.servers.get("i-2"), "the range is read")
    for world in (instance.world, started.world):
        assert world.servers.get("i-odd") is None
        assert not [n for n, _ in world.counters if n == "store_failures"]
