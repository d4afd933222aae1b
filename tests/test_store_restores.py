"""The store is restored from a copy: older data replaces nothing that is known."""

import asyncio
import contextlib
import dataclasses
import json
import time
from dataclasses import replace
from functools import partial

import msgspec
import pytest

from conftest import MakeWorld
from platform_site import PlatformSite
from process_fleet import REVOCATION_S
from rhubarbspan.document import Document, Snapshot
from rhubarbspan.edge.feed import Feed
from rhubarbspan.edge.mirror import Mirror
from rhubarbspan.edge.pacing import pause_s, watch_wait_s
from rhubarbspan.edge.store import HttpStore
from rhubarbspan.effects import LogChange
from rhubarbspan.inputs import (
    ConfigurationReceived,
    EvacuationsListed,
    Input,
    PeerListing,
    PeerMessageReceived,
    PeersListed,
    RevisionConfirmed,
    ServerListing,
    ServersListed,
    StoreEraRead,
    StoreRecovered,
)
from rhubarbspan.keyvalue import ERA_ENDED, OLD_ERA, STORE_DOWN
from rhubarbspan.keyvalue import Reading as Readout
from rhubarbspan.peer_messages import StoreItem, StoreUpdate
from rhubarbspan.platform.era import Eras
from rhubarbspan.platform.store import HISTORY_GONE, PlatformStore, Reading
from rhubarbspan.report.status import describe_status
from rhubarbspan.standins.platform_deployment import (
    KEY,
    configuration_document,
    server_record,
)
from rhubarbspan.standins.platform_store import PAGE_ITEMS, Mode
from rhubarbspan.standins.store import StoreStandIn
from rhubarbspan.systems.config_age import config_age_s
from rhubarbspan.systems.lookup import is_ready
from rhubarbspan.systems.store_eras import REWRITE_S
from rhubarbspan.tick import run_tick
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.peer import MESSAGE_TYPES, decode_message, encode_message
from rhubarbspan.world import World

RECORD = "rhubarbspan/instances/front-a-1"
# Under the times after which anything is noticed without the era: a watch that waits
# (1.6 s), a renewal of the lease (2 s).
SOON_S = 1.4
START_S = 200.0


@pytest.fixture
def site(deployed: PlatformSite) -> PlatformSite:
    """Return a running deployment whose store names its era."""
    deployed.store.era = 0
    deployed.wait_for(lambda: _is_registered(deployed), "registered")
    return deployed


def _world(site: PlatformSite) -> World:
    return site.instances[0].world


def _is_registered(site: PlatformSite) -> bool:
    item = site.store.items.get(RECORD)
    return item is not None and item.lease in site.store.leases


def _era(site: PlatformSite) -> int:
    return _world(site).store_era.number


def _servers(site: PlatformSite) -> set[str]:
    return {row.server_id for row in _world(site).servers.rows()}


def _write_tenants(site: PlatformSite, version: int, *keys: str) -> None:
    tenants = [{"name": "ana", "apiKeys": keys, "ratePerS": 1000, "burst": 1000}]
    site.store.put("op/config", configuration_document(version, tenants=tenants))


def _restore_to_now(site: PlatformSite) -> None:
    _restore_copy_of(site, time.monotonic())


def _restore_copy_of(site: PlatformSite, copied_s: float) -> None:
    async def work() -> None:
        site.store.restore_copy_of(copied_s)

    site.run(work())


# The watch in the old era went on over revisions that were given to other changes, so
# that what the copy lacks was never noticed.
def test_pending_watch_ends_when_the_store_is_restored(site: PlatformSite) -> None:
    site.run(asyncio.sleep(0.3))
    copied_s = time.monotonic()
    site.store.put("op/evacuate/b-1", {})
    site.wait_for(lambda: "b-1" in _world(site).evacuated, "evacuated")
    revision = site.store.revision

    async def restore_and_write() -> None:
        site.store.restore_copy_of(copied_s)
        while site.store.revision <= revision:
            site.store.put("servers/i-0", server_record(site.servers[0], sequence=2))

    site.run(restore_and_write())
    began_s = site.loop.time()
    site.wait_for(lambda: _is_registered(site), "registered")
    mirrors = site.instances[0]._feed._mirrors
    site.wait_for(
        lambda: (
            "op/evacuate/b-1" not in mirrors["op/"].values
            and all(row.revision for row in mirrors.values())
        ),
        "all copies are read again",
    )
    assert site.loop.time() - began_s < SOON_S
    assert {row.era for row in mirrors.values()} == {1}
    assert _world(site).counters["store_restores", ""] == 1
    assert describe_status(_world(site), 0.0).store_era == 1


# It was taken as a failure of the store: a warning, and a pause before the next read.
def test_watch_from_a_revision_that_the_store_lacks_is_no_failure(
    site: PlatformSite,
) -> None:
    for number in range(5):
        site.store.put(f"op/lost-{number}", {})
    mirrors = site.instances[0]._feed._mirrors
    site.wait_for(lambda: "op/lost-4" in mirrors["op/"].values, "read")
    site.run(asyncio.sleep(0.1))
    _restore_copy_of(site, time.monotonic() - 1000.0)
    site.wait_for(lambda: _era(site) == 1, "the era is known")
    site.wait_for(lambda: not mirrors["op/"].values, "read again")
    assert not _world(site).counters["store_failures", HISTORY_GONE]
    assert _world(site).configuration.revision == 1


# The pages of before and after the restore were joined to values that the store has
# never held together.
def test_range_read_starts_again_when_the_store_is_restored_between_two_pages(
    site: PlatformSite,
) -> None:
    for number in range(PAGE_ITEMS + 20):
        site.store.put(f"x/{number:03}", b"old")
    site.run(asyncio.sleep(0.05))
    n_ranges = 0

    def restore_after_page(path: str) -> None:
        nonlocal n_ranges
        n_ranges += path == "kv-range"
        if n_ranges == 1 and path == "kv-range":
            site.store.restore(0.0)
            for number in range(PAGE_ITEMS + 20):
                site.store.put(f"x/{number:03}", b"new")

    async def work() -> Reading | Failure:
        client = PlatformStore(site.store.address)
        site.store.on_response = restore_after_page
        reading = await client.read_range("x/")
        site.store.on_response = None
        await client.close()
        return reading

    reading = site.run(work())
    assert isinstance(reading, Reading)
    assert reading.era == 1
    assert [item.value for item in reading.items] == [b"new"] * (PAGE_ITEMS + 20)


class _Ticker:
    """Keeps what a feed publishes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.inputs = self
        self.items: list[object] = []
        self.time_s = START_S

    def on_next(self, item: object) -> None:
        self.items.append(item)

    def now_s(self) -> float:
        return self.time_s


@pytest.fixture
def mirror(make_world: MakeWorld, single: Document) -> tuple[Feed, Mirror]:
    """Return a feed that does not ask the store, and its copy in era 1."""
    ticker = _Ticker(make_world(single))
    feed = Feed(ticker, None, None)  # type: ignore[arg-type]
    made = feed._mirrors["servers/"] = Mirror("servers/", 1.0, era=1)
    feed.apply_update(_update(1, 0, 50, b"1"))
    assert (made.revision, made.may_read.is_set()) == (50, False)
    return feed, made


def _update(era: int, after: int, revision: int, value: bytes) -> StoreUpdate:
    items = [StoreItem("servers/a", value)]
    return StoreUpdate("servers/", after, revision, items, 2.0, era=era)


# Its lower revision had it dropped, and one that follows a higher one was applied.
@pytest.mark.parametrize("after, revision", [(0, 20), (20, 21), (50, 60)])
def test_forwarded_reading_of_a_newer_era_has_the_copy_read_again(
    mirror: tuple[Feed, Mirror], after: int, revision: int
) -> None:
    feed, copy = mirror
    feed.apply_update(_update(2, after, revision, b"2"))
    assert (copy.revision, copy.may_read.is_set()) == (0, True)
    assert copy.values == {"servers/a": b"1"}


@pytest.mark.parametrize("after, revision", [(0, 80), (50, 80)])
def test_forwarded_reading_of_an_older_era_is_dropped(
    mirror: tuple[Feed, Mirror], after: int, revision: int
) -> None:
    feed, copy = mirror
    feed.apply_update(_update(0, after, revision, b"0"))
    assert (copy.revision, copy.values) == (50, {"servers/a": b"1"})
    # It also does not count as a reading of those that this instance relies on.
    world = feed._ticker.world
    message = PeerMessageReceived(_update(0, after, revision, b"0"))
    effects = run_tick(world, START_S, [StoreEraRead(1), message])
    assert not world.store_updates_due_s
    assert not [effect for effect in effects if "Update" in type(effect).__name__]


# All instances confirmed their configuration at the same time, and all confirmations
# were old if the store failed just before the next.
def test_watches_after_a_change_end_at_different_times(
    mirror: tuple[Feed, Mirror],
) -> None:
    feed, _ = mirror
    world = feed._ticker.world
    copy = Mirror("op/", 1.6, is_in_step=True)
    assert watch_wait_s(world, copy, START_S, False) == 1.6
    waits_s = [watch_wait_s(world, copy, START_S, True) for _ in range(200)]
    assert 0 <= min(waits_s) < 0.4
    assert 1.2 < max(waits_s) <= 1.6
    copy.is_in_step = False
    assert watch_wait_s(world, copy, START_S, True) == 1.6


# A request reached a leaving server 2 ms after the bound, from an instance that had the
# change from the reader of its data centre.
def test_reading_that_is_passed_on_leaves_time_for_the_way(
    mirror: tuple[Feed, Mirror],
) -> None:
    feed, copy = mirror
    world = feed._ticker.world
    world.policies = replace(world.policies, servers_pause_s=1.0)
    assert pause_s(world, copy) == 1.0
    world.is_two_level = True
    assert pause_s(world, copy) == 0.5
    others = Mirror("rhubarbspan/instances/", 5.0)
    assert pause_s(world, others) == 1.0


def test_message_without_an_era_is_of_era_0() -> None:
    update = _update(3, 0, 5, b"1")
    assert decode_message(encode_message(update)) == update
    encoded = encode_message(update)
    fields = msgspec.msgpack.decode(encoded[1:])
    number = MESSAGE_TYPES.index(StoreUpdate)
    names = [row.name for row in dataclasses.fields(StoreUpdate)]
    kept = fields[: names.index("era")]
    earlier = bytes([number]) + msgspec.msgpack.encode(kept)
    decoded = decode_message(earlier)
    assert isinstance(decoded, StoreUpdate)
    assert decoded.era == 0


# The instance has to read, register and keep what it knows also if the store fails
# before the restore and again soon after it.
def test_store_that_is_away_before_and_after_the_restore(site: PlatformSite) -> None:
    site.run(asyncio.sleep(0.3))
    copied_s = time.monotonic()
    site.store.put("op/evacuate/b-1", {})
    _write_tenants(site, 5, "new")
    site.wait_for(lambda: _world(site).configuration.revision == 5, "in force")
    site.run(site.store.fail_and_restore(time.monotonic() - copied_s + 0.1, 1.0))
    site.wait_for(lambda: _era(site) == 1, "the era is known")
    site.store.mode = Mode.BUSY
    site.run(asyncio.sleep(1.5))
    served_s = site.instances[0].ticker.now_s()
    site.store.mode = Mode.SERVING
    era = _world(site).store_era
    site.wait_for(lambda: era.available_s > served_s, "the outage is noticed")
    # No tick runs between the reading of the clock and the check, so that the machine
    # may be slow.
    while site.instances[0].ticker.now_s() < era.available_s + REWRITE_S:
        assert _world(site).evacuated == {"b-1"}
        assert _world(site).configuration.revision == 5
        site.run(asyncio.sleep(0.01))
    assert _world(site).configuration.revision == 5
    assert json.loads(site.store.items["op/config"].value)["version"] == 1
    site.wait_for(lambda: _is_registered(site), "registered again")
    site.wait_for(lambda: not _world(site).evacuated, "the evacuation was lost")
    _write_tenants(site, 5, "new")
    site.wait_for(
        lambda: config_age_s(_world(site), site.instances[0].ticker.now_s()) < 1,
        "confirmed",
    )
    assert site.send("/look/x", X_Credential="new").status == 200


class _FailingStore:
    """A store in era 1 whose first reads of a range fail."""

    def __init__(self, ticker: _Ticker, n_failures: int) -> None:
        self.eras = Eras()
        self._ticker = ticker
        self._n_failures = n_failures

    async def read_range(self, prefix: str) -> Reading | Failure:
        """Take a second, and fail as often as asked for."""
        await asyncio.sleep(0)
        self._ticker.time_s += 1
        if self._n_failures:
            self._n_failures -= 1
            return Failure(STORE_DOWN, "away")
        return Reading([], 7, 1)

    async def watch(self, *arguments: object) -> Reading | Failure:
        """Wait for a change that does not come."""
        await asyncio.sleep(3600)
        return Reading([], 7, 1)


# Calls failed in the outage before the restore and in the one after it, with no success
# in between. Only the first failure counted, so that the second outage was not noticed
# and the evacuation ended 2.2 s after the restore.
def test_reading_that_fails_before_and_after_the_restore_tells_its_last_failure(
    make_world: MakeWorld, single: Document
) -> None:
    world = make_world(single)
    run_tick(world, START_S, [EvacuationsListed(frozenset({"x"}))])
    ticker = _Ticker(world)
    store = _FailingStore(ticker, n_failures=3)
    feed = Feed(ticker, store, None)  # type: ignore[arg-type]
    copy = Mirror("op/", 1.0, era=1)
    copy.may_read.set()

    async def read() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                reading = asyncio.create_task(feed._read_changes(copy))
                while not copy.has_been_read:
                    await asyncio.sleep(0.01)
        reading.cancel()

    asyncio.run(read())
    assert copy.has_been_read
    # Another copy was read in the new era between the first and the second failure.
    restored_s = START_S + 1.5
    run_tick(world, restored_s, [StoreEraRead(0)])
    run_tick(world, restored_s, [StoreEraRead(1)])
    recovered = [row for row in ticker.items if isinstance(row, StoreRecovered)]
    run_tick(world, START_S + 4, recovered)
    none = EvacuationsListed(frozenset())
    run_tick(world, START_S + 4 + REWRITE_S - 0.1, [none])
    assert world.evacuated == {"x"}
    run_tick(world, START_S + 4 + REWRITE_S, [none])
    assert not world.evacuated
    assert recovered == [StoreRecovered(START_S, START_S + 3)]


def test_outage_that_ended_before_the_era_was_read_gives_no_more_time(
    world: World,
) -> None:
    restored_s = START_S + 5
    run_tick(world, restored_s, [StoreEraRead(2)])
    run_tick(world, restored_s + 1, [StoreRecovered(START_S + 1, restored_s - 0.1)])
    assert world.store_era.available_s == restored_s


def test_two_restores_in_a_row(site: PlatformSite) -> None:
    for era in (1, 2):
        _restore_to_now(site)
        site.store.put(f"op/after-{era}", {})
    site.wait_for(lambda: _era(site) == 2, "the era is known")
    _restore_to_now(site)
    _restore_to_now(site)
    site.store.put("servers/i-9", server_record(site.servers[0]))
    site.wait_for(lambda: "i-9" in _servers(site), "read in the last era")
    assert _era(site) == 4
    site.wait_for(lambda: _is_registered(site), "registered")


# A response that was made before the restore and arrives after it brought back what the
# store does not hold any more, with revisions that it has given to other changes.
def test_delayed_response_of_the_old_era_is_dropped(site: PlatformSite) -> None:
    async def work() -> tuple[object, object]:
        client = PlatformStore(site.store.address)
        site.store.late_responses_s["kv-range"] = 0.3
        late = asyncio.create_task(client.read_range("op/"))
        await asyncio.sleep(0.1)
        site.store.restore(0.0)
        holding = await client.read_holding(RECORD)
        assert client.eras.newest == 1
        result = await late
        await client.close()
        return holding, result

    _, result = site.run(work())
    # The read began in the old era, and is started again.
    assert isinstance(result, Reading)
    assert result.era == 1

    async def call_once() -> object:
        client = PlatformStore(site.store.address)
        client.eras.note(7)
        result = await client.read_range("op/")
        await client.close()
        return result

    old = site.run(call_once())
    assert isinstance(old, Failure)
    assert old.code == OLD_ERA


# The lease was found lost at its next renewal only, and its number may be another's.
def test_own_record_is_written_again_as_soon_as_the_era_is_seen(
    site: PlatformSite,
) -> None:
    async def restore_empty() -> None:
        site.store.restore(1000.0)
        site.store.put("op/config", configuration_document())

    # Just after a renewal: the next one is nearly two seconds away.
    n_renewals = site.store.n_calls.get("kv-keep", 0)
    site.wait_for(lambda: site.store.n_calls.get("kv-keep", 0) > n_renewals)
    site.run(asyncio.sleep(0.05))
    site.run(restore_empty())
    assert not site.store.leases
    began_s = site.loop.time()
    for number, server in enumerate(site.servers):
        site.store.put(f"servers/i-{number}", server_record(server))
    site.wait_for(lambda: _is_registered(site), "registered again")
    assert site.loop.time() - began_s < SOON_S


def test_servers_missing_from_the_copy_are_kept_for_some_time(
    site: PlatformSite,
) -> None:
    site.run(asyncio.sleep(0.5))
    copied_s = time.monotonic()
    server = site.run(site.deployment.add_server())
    site.wait_for(lambda: server.server_id in _servers(site), "listed")
    _restore_copy_of(site, copied_s)
    assert f"servers/{server.server_id}" not in site.store.items
    site.store.put("servers/i-0", server_record(site.servers[0], sequence=2))
    site.wait_for(lambda: _era(site) == 1, "the era is known")
    now_s = site.instances[0].ticker.now_s
    while now_s() < _world(site).store_era.available_s + REWRITE_S - 0.1:
        assert server.server_id in _servers(site)
        site.run(asyncio.sleep(0.01))
    site.wait_for(lambda: server.server_id not in _servers(site), "gone")


# Requests with keys were refused by all instances, or a key went on that was withdrawn.
def test_withdrawn_key_stays_withdrawn_and_the_others_work(site: PlatformSite) -> None:
    _write_tenants(site, 1, KEY, "kept")
    site.run(asyncio.sleep(0.3))
    copied_s = time.monotonic()
    _write_tenants(site, 2, "kept")
    site.wait_for(lambda: _world(site).configuration.revision == 2, "in force")
    _restore_copy_of(site, copied_s)
    site.store.put("servers/i-0", server_record(site.servers[0], sequence=2))
    site.wait_for(lambda: _era(site) == 1, "the era is known")
    end_s = site.loop.time() + 1.0
    while site.loop.time() < end_s:
        assert site.send("/look/x", X_Credential=KEY).status == 401
        assert site.send("/look/x", X_Credential="kept").status == 200
        site.run(asyncio.sleep(0.05))
    _write_tenants(site, 2, "kept")
    end_s = site.loop.time() + 5.0
    while site.loop.time() < end_s:
        assert site.send("/look/x", X_Credential="kept").status == 200
        site.run(asyncio.sleep(0.1))


# The copy confirmed the configuration that still had the key, and the store had
# acknowledged one without it that no instance had seen.
def test_key_whose_withdrawal_was_lost_stops_in_time(site: PlatformSite) -> None:
    site.run(asyncio.sleep(0.1))
    site.store.mode = Mode.BUSY
    _write_tenants(site, 2, "kept")
    withdrawn_s = site.loop.time()
    site.run(site.store.fail_and_restore(0.05, 3.2))
    site.run(asyncio.sleep(REVOCATION_S - (site.loop.time() - withdrawn_s)))
    assert json.loads(site.store.items["op/config"].value)["version"] == 1
    while site.loop.time() < withdrawn_s + REVOCATION_S + 0.3:
        assert site.send("/look/x").status == 503
        site.run(asyncio.sleep(0.05))
    _write_tenants(site, 2, "kept")
    site.wait_for(lambda: _world(site).configuration.revision == 2, "in force")
    assert site.send("/look/x").status == 401
    assert site.send("/look/x", X_Credential="kept").status == 200


# On the product's own interface: the read waited for an index of the era before, which
# the restored store may reach after any time.
def test_blocking_read_ends_when_the_store_is_restored() -> None:
    async def work() -> list[object]:
        stand_in = StoreStandIn(era=1)
        store = HttpStore(await stand_in.start())
        waiting = asyncio.create_task(store.read("x", after_index=5))
        await asyncio.sleep(0.1)
        stand_in.era = 2
        assert isinstance(await store.read("y"), Readout)
        async with asyncio.timeout(SOON_S):
            ended = await waiting
        stand_in.era = 1
        old = await store.read("y")
        await store.close()
        await stand_in.stop()
        return [ended, old]

    results = asyncio.run(work())
    codes = [row.code for row in results if isinstance(row, Failure)]
    assert codes == [ERA_ENDED, OLD_ERA]


# A store that names no era is handled as before.
def test_store_without_eras_is_taken_at_its_word(deployed: PlatformSite) -> None:
    site = deployed
    site.store.put("op/evacuate/b-1", {})
    site.wait_for(lambda: "b-1" in _world(site).evacuated, "evacuated")
    site.store.delete("op/evacuate/b-1")
    site.wait_for(lambda: not _world(site).evacuated, "over")
    assert _era(site) == 0
    assert not _world(site).counters["store_restores", ""]


@pytest.fixture
def world(make_world: MakeWorld, single: Document) -> World:
    """Return a world that has read era 1 of the store and revision 1 long ago."""
    made = make_world(single)
    run_tick(made, START_S - 100, [StoreEraRead(1)])
    run_tick(made, START_S, [RevisionConfirmed(1, START_S)])
    return made


def _document(single: Document) -> Document:
    account = {**single["client_account ana"], "key_hashes": "b" * 64}
    return {**single, "client_account ana": account}


def _read(revision: int, document: Document, at_s: float) -> Input:
    return ConfigurationReceived(Snapshot(revision, document), [], True, at_s)


def test_older_configuration_neither_replaces_nor_confirms_the_newer_one(
    world: World, single: Document
) -> None:
    run_tick(world, START_S + 1, [_read(2, _document(single), START_S + 1)])
    run_tick(world, START_S + 2, [StoreEraRead(2)])
    for number in range(8):
        now_s = START_S + 2 + number
        effects = run_tick(world, now_s, [_read(1, single, now_s)])
        texts = [row.text for row in effects if isinstance(row, LogChange)]
        assert sum("older" in t or "holds" in t for t in texts) == (number == 0)
        # As if it were read while the newer one came from a peer.
        run_tick(world, now_s, [RevisionConfirmed(1, now_s)])
        assert world.configuration.revision == 2
        assert config_age_s(world, now_s) == pytest.approx(1 + number)
    # The operator writes it again.
    run_tick(world, START_S + 10, [RevisionConfirmed(2, START_S + 10)])
    assert config_age_s(world, START_S + 10) == 0


# A newer configuration may have been acknowledged and lost, with the withdrawal of a
# key: the copy that lacks it confirms nothing until the operator had time to write.
def test_restored_store_confirms_nothing_before_the_operator_could_write(
    world: World,
) -> None:
    restored_s = START_S + 1
    run_tick(world, restored_s, [StoreEraRead(2)])
    for since_s in (0.1, 1.0, REWRITE_S - 0.1):
        now_s = restored_s + since_s
        run_tick(world, now_s, [RevisionConfirmed(1, now_s)])
        assert config_age_s(world, now_s) == pytest.approx(1 + since_s)
    # A reading that was sent before and took long shows no more.
    now_s = restored_s + REWRITE_S + 1
    run_tick(world, now_s, [RevisionConfirmed(1, restored_s + 1)])
    assert config_age_s(world, now_s) == pytest.approx(1 + REWRITE_S + 1)
    run_tick(world, now_s, [RevisionConfirmed(1, restored_s + REWRITE_S + 0.5)])
    assert config_age_s(world, now_s) == pytest.approx(0.5)


def test_configuration_that_the_operator_writes_again_is_confirmed_at_once(
    world: World,
) -> None:
    run_tick(world, START_S + 1, [StoreEraRead(2)])
    now_s = START_S + 2
    run_tick(world, now_s, [RevisionConfirmed(1, now_s, True)])
    assert config_age_s(world, now_s) == 0


def test_outage_soon_after_the_restore_gives_the_writers_more_time(
    world: World,
) -> None:
    restored_s = START_S + 1
    run_tick(world, restored_s, [StoreEraRead(2)])
    run_tick(world, restored_s + 3, [StoreRecovered(restored_s + 0.5)])
    now_s = restored_s + 4
    run_tick(world, now_s, [RevisionConfirmed(1, now_s)])
    assert config_age_s(world, now_s) == pytest.approx(5)
    # One long after it changes nothing.
    run_tick(world, now_s + 10, [StoreRecovered(now_s + 9)])
    run_tick(world, now_s + 10, [RevisionConfirmed(1, now_s + 10)])
    assert config_age_s(world, now_s + 10) == 0


# The restored copy may hold a key that was withdrawn: one that starts cannot know, and
# waits for a peer's confirmation or for the operator.
def test_process_that_starts_is_ready_once_its_configuration_is_confirmed(
    make_world: MakeWorld, single: Document
) -> None:
    world = make_world(single)
    world.configuration_state.confirmed_s = -1e9
    run_tick(world, START_S, [StoreEraRead(4)])
    assert not world.counters["store_restores", ""]
    run_tick(world, START_S + 1, [RevisionConfirmed(1, START_S + 1)])
    assert not is_ready(world, START_S + 1)
    assert is_ready(world, START_S + REWRITE_S)
    run_tick(world, START_S + 1.1, [RevisionConfirmed(1, START_S + 1.1, True)])
    assert is_ready(world, START_S + 1.1)


def test_evacuation_is_kept_until_the_operator_could_write_it_again(
    world: World,
) -> None:
    run_tick(world, START_S, [EvacuationsListed(frozenset({"x"}))])
    restored_s = START_S + 1
    run_tick(world, restored_s, [StoreEraRead(2), EvacuationsListed(frozenset())])
    assert world.evacuated == {"x"}
    run_tick(world, restored_s + 1, [EvacuationsListed(frozenset({"y"}))])
    assert world.evacuated == {"x", "y"}
    run_tick(world, restored_s + REWRITE_S, [EvacuationsListed(frozenset({"y"}))])
    assert world.evacuated == {"y"}


def _server(is_leaving: bool, incarnation: int = 7) -> Input:
    listing = ServerListing("s", "shop", "127.0.0.1:9", "x", is_leaving)
    listing.incarnation = incarnation
    return ServersListed("shop", [listing])


# Three readings of the copy, in which its record says ready, had it get requests.
@pytest.mark.parametrize("is_unlisted", [False, True])
def test_server_whose_record_said_that_it_leaves_keeps_leaving(
    world: World, is_unlisted: bool
) -> None:
    run_tick(world, START_S, [_server(False)])
    run_tick(world, START_S + 1, [_server(True)])
    if is_unlisted:
        run_tick(world, START_S + 1.1, [ServersListed("shop", [])])
        assert world.servers.get("s") is None
    run_tick(world, START_S + 2, [StoreEraRead(2)])
    for number in range(5):
        run_tick(world, START_S + 3 + number, [_server(False)])
        row = world.servers.get("s")
        assert row is not None
        assert row.is_leaving
    run_tick(world, START_S + 9, [_server(False, 8)])
    assert not row.is_leaving


# The copy has the registration of the process before, which was leaving: its address
# got requests, and the present one none.
def test_older_registration_that_is_brought_back_replaces_no_newer_one(
    world: World,
) -> None:
    run_tick(world, START_S, [_server(False, 8)])
    restored_s = START_S + 1
    run_tick(world, restored_s, [StoreEraRead(2), _server(True, 7)])
    row = world.servers.get("s")
    assert row is not None
    assert (row.incarnation, row.is_leaving) == (8, False)
    run_tick(world, restored_s + REWRITE_S, [_server(False, 7)])
    assert row.incarnation == 7


def test_instances_missing_from_the_copy_stay_listed(world: World) -> None:
    peer = PeerListing("x-2", "127.0.0.1:8", "127.0.0.1:9", "x")
    run_tick(world, START_S, [PeersListed([peer])])
    run_tick(world, START_S + 1, [StoreEraRead(2), PeersListed([])])
    listed = partial(world.peers.get, "x-2")
    row = listed()
    assert row is not None
    assert row.is_listed
    run_tick(world, START_S + 1 + REWRITE_S, [PeersListed([])])
    row = listed()
    assert row is not None
    assert not row.is_listed
