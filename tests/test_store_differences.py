"""Readers pass on how a complete reading differs from the last copy of the store."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import pytest

from conftest import MakeWorld, encoded_fields
from rhubarbspan.document import Document
from rhubarbspan.edge import feed as feed_module
from rhubarbspan.edge.differences import digest_values
from rhubarbspan.edge.feed import Feed
from rhubarbspan.edge.mirror import Mirror, read_anew
from rhubarbspan.edge.publisher import FULL_READ_PUBLISH_S
from rhubarbspan.effects import StoreAccess
from rhubarbspan.inputs import (
    ServersListed,
    ServersUnchanged,
    StoreRead,
    StoreRecovered,
)
from rhubarbspan.keyvalue import STORE_DOWN
from rhubarbspan.peer_messages import StoreItem, StoreUpdate
from rhubarbspan.platform.era import Eras
from rhubarbspan.platform.store import HISTORY_GONE, Item, Reading
from rhubarbspan.verdict import Failure
from rhubarbspan.wire.peer import decode_message, encode_message

PREFIX = "servers/"
START_S = 200.0
TIMEOUT_S = 10.0
N_SERVERS = 300
RECORD_BYTES = 180
Change = Callable[["_Store"], None]
Entries = dict[str, bytes | None]


class _Ticker:
    """Keeps what a feed publishes."""

    def __init__(self, world: object) -> None:
        self.world = world
        self.inputs = self
        self.items: list[object] = []
        self.time_s = START_S

    def on_next(self, item: object) -> None:
        self.items.append(item)

    def now_s(self) -> float:
        return self.time_s


class _Store:
    """A store that keeps no history: each watch fails once something has changed."""

    def __init__(self, values: Entries) -> None:
        self.eras = Eras()
        self.values = values
        self.revision = 10
        self.era = 0
        # What happens between two complete readings, the first of them next.
        self.steps: list[Change] = []
        # What happens after the first page of the next complete reading.
        self.while_read: list[Change] = []
        self.code = HISTORY_GONE
        self.is_idle = False

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.values[PREFIX + key] = value

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.values[PREFIX + key]

    async def read_range(self, prefix: str) -> Reading:
        revision = self.revision
        if self.while_read:
            self.while_read.pop(0)(self)
        items = [Item(key, value) for key, value in self.values.items()]
        return Reading(items, revision, self.era)

    async def watch(self, *_: object) -> Failure:
        if not self.steps:
            self.is_idle = True
            await asyncio.Event().wait()
        self.steps.pop(0)(self)
        return Failure(self.code, "the store was asked to fail")


@dataclasses.dataclass(slots=True)
class _Reader:
    """A feed with its copy of the servers."""

    feed: Feed
    mirror: Mirror
    ticker: _Ticker

    def updates(self) -> list[StoreUpdate]:
        """Return what was passed on, as it arrives, and forget it."""
        rows = [row.update for row in self.ticker.items if isinstance(row, StoreRead)]
        self.ticker.items.clear()
        return [_sent(update) for update in rows]

    def read(self, *steps: Change) -> list[StoreUpdate]:
        """Read what the store holds, and again after each step.

        A reader goes on to watch the store, a follower reads it anew.
        """
        self.follow(*steps)
        return self.updates()

    def follow(self, *steps: Change) -> None:
        """Read as ``read`` does, and keep what was published."""
        store = self.feed._store
        is_follower = self.feed._access is StoreAccess.FOLLOWER
        if is_follower:
            self.mirror.revision = 0

        async def work() -> None:
            store.is_idle = False
            store.steps = list(steps)
            self.mirror.is_due = asyncio.Event()
            self.mirror.may_read = asyncio.Event()
            self.mirror.may_read.set()
            task = asyncio.create_task(self.feed._follow(self.mirror))
            async with asyncio.timeout(TIMEOUT_S):
                while not store.is_idle:
                    await asyncio.sleep(0)
                    if is_follower and not self.mirror.may_read.is_set():
                        break
            task.cancel()

        asyncio.run(work())

    def apply(self, update: StoreUpdate) -> bool:
        """Apply an update; return whether the copy is in use and need not be read."""
        self.mirror.may_read.clear()
        self.feed.apply_update(update)
        return not self.mirror.may_read.is_set()


MakeReader = Callable[..., _Reader]


def _sent(update: StoreUpdate) -> StoreUpdate:
    decoded = decode_message(encode_message(update))
    assert isinstance(decoded, StoreUpdate)
    return decoded


def _nothing(store: _Store) -> None:
    store.revision += 1


@pytest.fixture(autouse=True)
def _no_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("RETRY_DELAY_S", "ERROR_DELAY_S"):
        monkeypatch.setattr(feed_module, name, 0.0)


@pytest.fixture
def store() -> _Store:
    values: Entries = {
        f"{PREFIX}{number:03}": b"%d" % number * (RECORD_BYTES // 3)
        for number in range(N_SERVERS)
    }
    return _Store(values)


@pytest.fixture
def make_reader(make_world: MakeWorld, single: Document, store: _Store) -> MakeReader:
    """Return a function that makes a feed that reads the store, or a follower."""

    def make(access: StoreAccess = StoreAccess.FOLLOWER) -> _Reader:
        ticker = _Ticker(make_world(single))
        feed = Feed(ticker, store, None)  # type: ignore[arg-type]
        feed._access = access
        mirror = feed._mirrors[PREFIX] = Mirror(PREFIX, 1.0)
        return _Reader(feed, mirror, ticker)

    return make


@pytest.fixture
def reader(make_reader: MakeReader) -> _Reader:
    return make_reader(StoreAccess.READER)


@pytest.fixture
def follower(make_reader: MakeReader, reader: _Reader) -> _Reader:
    """Return a follower that has the reader's first complete copy."""
    made = make_reader()
    (first,) = reader.read()
    assert (first.after, first.differs_from) == (0, 0)
    assert made.apply(first)
    return made


# Each time that the store had discarded its history, the reader sent all records to all
# instances of its data centre.
def test_only_differences_are_sent_after_a_complete_reading(
    reader: _Reader, follower: _Reader, store: _Store
) -> None:
    first = reader.mirror.copy_revision
    n_full_bytes = len(encode_message(_full(store)))

    def change(store: _Store) -> None:
        store.put("000", b"new")
        store.put("new", b"added")
        store.delete("001")

    (update,) = _differences(reader.read(change))
    assert {row.key: row.value for row in update.items} == {
        "servers/000": b"new",
        "servers/new": b"added",
        "servers/001": None,
    }
    assert (update.differs_from, update.after) == (first, update.revision)
    assert len(encode_message(update)) < n_full_bytes / 100
    assert follower.apply(update)
    assert follower.mirror.values == store.values
    assert follower.mirror.revision == store.revision


def _full(store: _Store) -> StoreUpdate:
    items = [StoreItem(key, value) for key, value in store.values.items()]
    return StoreUpdate(PREFIX, 0, store.revision, items, 2.0)


def _differences(updates: list[StoreUpdate]) -> list[StoreUpdate]:
    """Return those updates that are not complete copies."""
    return [row for row in updates if row.differs_from]


def test_many_differences_are_sent_as_a_complete_copy(
    reader: _Reader, follower: _Reader, store: _Store
) -> None:
    def change(store: _Store) -> None:
        for number in range(N_SERVERS):
            store.put(f"{number:03}", b"new")

    *_, update = reader.read(change)
    assert (update.after, update.differs_from) == (0, 0)
    assert follower.apply(update)
    assert follower.mirror.values == store.values


# The differences between the copies lack the key. A receiver that has seen it between
# them kept it for good.
@pytest.mark.parametrize("is_seen", [False, True])
def test_key_written_and_deleted_between_the_copies(
    reader: _Reader, follower: _Reader, store: _Store, is_seen: bool
) -> None:
    def change(store: _Store) -> None:
        first = store.revision
        store.put("between", b"1")
        if is_seen:
            seen = StoreItem(f"{PREFIX}between", b"1")
            assert follower.apply(
                StoreUpdate(PREFIX, first, store.revision, [seen], 2.0)
            )
        store.delete("between")

    (update,) = _differences(reader.read(change))
    assert not update.items
    assert follower.apply(update) is not is_seen
    if is_seen:
        assert follower.mirror.revision == 0
        follower.read()
    assert follower.mirror.values == store.values


# The same with a key that is the same in both copies: a receiver that has seen it
# deleted lacked it for good.
@pytest.mark.parametrize("is_seen", [False, True])
def test_key_deleted_and_written_again_between_the_copies(
    reader: _Reader, follower: _Reader, store: _Store, is_seen: bool
) -> None:
    value = store.values[f"{PREFIX}007"]
    assert value is not None

    def change(store: _Store) -> None:
        first = store.revision
        store.delete("007")
        if is_seen:
            seen = StoreItem(f"{PREFIX}007", None, True)
            assert follower.apply(
                StoreUpdate(PREFIX, first, store.revision, [seen], 2.0)
            )
        store.put("007", value)

    (update,) = _differences(reader.read(change))
    assert not update.items
    assert follower.apply(update) is not is_seen
    if is_seen:
        follower.read()
    assert follower.mirror.values == store.values


# The pages of a complete reading are not of one revision. One that shows a later change
# has no difference for it in the next, which a receiver at the same revision needs.
def test_copy_at_the_same_revision_with_other_contents(
    reader: _Reader, make_reader: MakeReader, store: _Store
) -> None:
    other = make_reader()
    other.read()
    store.while_read = [lambda store: store.put("000", b"later")]
    reader.read()
    assert reader.mirror.revision == other.mirror.revision
    (update,) = _differences(reader.read(_nothing))
    assert not other.apply(update)
    assert other.mirror.values[f"{PREFIX}000"] != b"later"
    other.read()
    assert other.mirror.values == store.values


def test_lost_update_has_the_copy_read_anew(
    reader: _Reader, follower: _Reader, store: _Store
) -> None:
    _, second = _differences(
        reader.read(
            lambda store: store.put("000", b"1"), lambda store: store.put("001", b"2")
        )
    )
    assert not follower.apply(second)
    assert follower.ticker.world.counters["store_differences_refused", ""] == 1
    follower.read()
    assert follower.mirror.values == store.values


# Readers that have read at different times: the differences of one do not apply to the
# other. Each would have had the other read everything anew, without an end.
def test_two_readers_that_alternate_do_not_have_each_other_read(
    reader: _Reader, follower: _Reader, make_reader: MakeReader, store: _Store
) -> None:
    second = make_reader(StoreAccess.READER)
    store.put("between", b"1")
    second.read()
    store.delete("between")
    own = second.mirror.revision
    for update in _differences(reader.read(_nothing)):
        assert second.apply(update)
    assert second.mirror.revision == own
    (update,) = _differences(second.read(_nothing))
    # It is behind and starts from a copy that the follower does not have.
    assert not follower.apply(update)
    follower.read()
    assert follower.mirror.values == store.values
    # One beside the reader does not watch all the time, and reads.
    backup = make_reader(StoreAccess.BACKUP)
    assert not backup.apply(update)


# The store changes all the time. An instance that has read it itself was not at the
# reader's revision again, and read the store after each reading of the reader.
def test_copy_between_the_two_gets_in_step_again(
    reader: _Reader, make_reader: MakeReader, store: _Store
) -> None:
    reader.read()
    store.put("000", b"between")
    own = make_reader()
    own.read()
    for number in range(3):
        (update,) = _differences(
            reader.read(lambda store, n=number: store.put("001", b"%d" % n))
        )
        store.put("002", b"%d" % number)
        assert own.apply(update)
        assert own.mirror.revision == reader.mirror.revision
        assert own.mirror.values == reader.mirror.values
        if number == 1:
            own.read()
    assert not own.ticker.world.counters["store_differences_refused", ""]


def test_differences_that_are_not_newer_change_nothing(
    reader: _Reader, follower: _Reader, store: _Store
) -> None:
    (update,) = _differences(reader.read(lambda store: store.put("000", b"1")))
    follower.read()
    values = dict(follower.mirror.values)
    for _ in range(2):
        assert follower.apply(update)
        assert follower.mirror.values == values
    store.put("000", b"2")
    follower.read()
    assert follower.apply(update)
    assert follower.mirror.values == store.values


def test_complete_copy_is_sent_after_a_change_of_era(
    reader: _Reader, follower: _Reader, store: _Store
) -> None:
    def restore(store: _Store) -> None:
        store.era = 1
        store.revision = 5
        del store.values[f"{PREFIX}000"]
        reader.feed._begin_era(1)

    *_, update = reader.read(restore)
    assert (update.era, update.after, update.differs_from) == (1, 0, 0)
    assert not follower.apply(update)
    # The next ones are compared with a copy of the new era.
    (update,) = _differences(reader.read(lambda store: store.put("000", b"1")))
    assert (update.era, update.differs_from) == (1, 5)
    # A receiver of the era before does not apply them, whatever its revision.
    follower.mirror.revision = follower.mirror.copy_revision = 5
    assert not follower.apply(update)
    assert follower.mirror.values != store.values
    # One of a later era drops them.
    follower.mirror.era, follower.mirror.revision = 2, 5
    assert follower.apply(update)
    assert follower.mirror.revision == 5


def test_complete_copy_is_sent_after_an_error(
    reader: _Reader, follower: _Reader, monkeypatch: pytest.MonkeyPatch, store: _Store
) -> None:
    apply, n_calls = feed_module.apply_reading, 0

    def fail_halfway(
        mirror: Mirror, reading: Reading, is_full_read: bool
    ) -> list[Item] | None:
        nonlocal n_calls
        n_calls += 1
        if n_calls == 1:
            mirror.values.pop(f"{PREFIX}005")
            raise ZeroDivisionError
        return apply(mirror, reading, is_full_read)

    monkeypatch.setattr(feed_module, "apply_reading", fail_halfway)
    (update,) = reader.read(lambda store: store.put("000", b"1"))
    assert n_calls == 2
    assert (update.after, update.differs_from) == (0, 0)
    assert follower.apply(update)
    # An error of the receiver has it read anew.
    (update,) = _differences(reader.read(lambda store: store.put("000", b"2")))
    n_calls = 0
    assert not follower.apply(update)
    assert follower.mirror.copy_revision == 0
    follower.read()
    assert follower.mirror.values == store.values


# After each discarded history all servers were published again for five seconds, by all
# instances of the data centre.
def test_copy_that_did_not_change_is_not_published_again(
    reader: _Reader, follower: _Reader, store: _Store
) -> None:
    for made in (reader, follower):
        made.ticker.time_s += FULL_READ_PUBLISH_S + 1
        made.ticker.items.clear()
    reader.follow(_nothing, _nothing)
    kinds = {type(row) for row in reader.ticker.items}
    assert kinds == {ServersUnchanged, StoreRead}
    for update in reader.updates():
        assert follower.apply(update)
    assert follower.ticker.items == [ServersUnchanged()] * 2
    # A complete copy, as earlier versions send it, is no change either.
    follower.ticker.items.clear()
    assert follower.apply(_full(store))
    assert follower.ticker.items == [ServersUnchanged()]


# Servers are kept for some time that are missing after an outage, until a later list.
def test_copy_is_published_for_some_time_after_an_outage(
    reader: _Reader, store: _Store
) -> None:
    reader.read()
    reader.ticker.time_s += FULL_READ_PUBLISH_S + 1
    store.code = STORE_DOWN
    reader.follow(_nothing)
    store.code = HISTORY_GONE
    kinds = [type(row) for row in reader.ticker.items]
    assert StoreRecovered in kinds
    assert ServersListed in kinds
    reader.ticker.items.clear()
    reader.ticker.time_s += FULL_READ_PUBLISH_S - 1
    reader.follow(_nothing)
    assert ServersListed in [type(row) for row in reader.ticker.items]


# Servers that were missing after an outage which only calls for another prefix noticed
# stayed listed until any record changed.
def test_copy_is_published_for_some_time_after_an_outage_that_another_prefix_noticed(
    reader: _Reader, store: _Store
) -> None:
    def lose_most(store: _Store) -> None:
        for number in range(1, N_SERVERS):
            store.delete(f"{number:03}")

    reader.read()
    reader.ticker.time_s += FULL_READ_PUBLISH_S + 1
    reader.ticker.world.store_recovered_s = reader.ticker.time_s
    reader.read(lose_most)
    reader.ticker.time_s += FULL_READ_PUBLISH_S - 1
    reader.follow(_nothing)
    assert ServersListed in [type(row) for row in reader.ticker.items]


# A follower that was about to read applied an update of before its copy, which brought
# back the older value, and dropped what it read itself meanwhile.
@pytest.mark.parametrize("is_complete", [False, True])
def test_late_update_does_not_replace_a_newer_copy_that_is_read_anew(
    reader: _Reader, follower: _Reader, store: _Store, is_complete: bool
) -> None:
    (late,) = _differences(reader.read(lambda store: store.put("000", b"old")))
    if is_complete:
        late = _full(store)
    store.put("000", b"new")
    follower.read()
    newer = dict(follower.mirror.values)
    read_anew(follower.mirror)
    follower.apply(late)
    assert follower.mirror.values == newer
    assert follower.mirror.revision == 0


# A complete reading that had begun before a newer one was applied replaced it, if the
# copy had to be read anew by then.
def test_late_reading_does_not_replace_a_newer_copy_that_is_read_anew(
    reader: _Reader, store: _Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    reader.read()
    read_range = store.read_range
    n_readings = 0

    async def read_late(prefix: str) -> Reading:
        nonlocal n_readings
        n_readings += 1
        reading = await read_range(prefix)
        if n_readings == 1:
            store.put("000", b"new")
            reader.feed.apply_update(_full(store))
            read_anew(reader.mirror)
        return reading

    monkeypatch.setattr(store, "read_range", read_late)
    reader.read(_nothing)
    assert n_readings == 2
    assert reader.mirror.values == store.values


def test_message_without_the_fields_is_decoded_as_before() -> None:
    update = StoreUpdate(
        PREFIX, 0, 5, [StoreItem("a", b"1")], 2.0, False, 3, 4, 2**64 - 1, "n-1"
    )
    assert _sent(update) == update
    decoded = decode_message(encoded_fields(update, before="seat"))
    assert decoded == dataclasses.replace(update, seat="")
    decoded = decode_message(encoded_fields(update, before="differs_from"))
    assert decoded == dataclasses.replace(update, differs_from=0, digest=0, seat="")


# An earlier version takes differences for changes after `after`: it must not apply them
# to a copy that has seen what happened between the reader's two.
@pytest.mark.parametrize("lag", [2, 1, 0, -1])
def test_earlier_version_applies_no_differences_wrongly(
    reader: _Reader, follower: _Reader, store: _Store, lag: int
) -> None:
    def change(store: _Store) -> None:
        first = store.revision
        store.put("between", b"1")
        if lag == 1:
            seen = StoreItem(f"{PREFIX}between", b"1")
            follower.apply(StoreUpdate(PREFIX, first, first + 1, [seen], 2.0))
        store.delete("between")

    (update,) = _differences(reader.read(change))
    if lag <= 0:
        if lag < 0:
            store.put("000", b"newer")
        follower.read()
    earlier = dataclasses.replace(update, differs_from=0, digest=0)
    is_current = follower.apply(earlier)
    assert is_current is (lag <= 0)
    if not is_current:
        follower.read()
    assert follower.mirror.values == store.values


# Random changes, losses and readings at different times, with pages that show later
# changes: a receiver holds the sender's copy, or reads the store.
@pytest.mark.parametrize("seed", range(20))
def test_applied_differences_lead_to_the_copy_of_the_sender(
    make_reader: MakeReader, store: _Store, seed: int
) -> None:
    chooser = random.Random(seed)
    store.values = {f"{PREFIX}{number}": b"0" for number in range(12)}

    def change(store: _Store) -> None:
        for _ in range(chooser.randrange(4)):
            key = str(chooser.randrange(16))
            if f"{PREFIX}{key}" in store.values and chooser.random() < 0.5:
                store.delete(key)
            else:
                store.put(key, b"%d" % chooser.randrange(2))

    readers = [make_reader(StoreAccess.READER) for _ in range(2)]
    followers = [make_reader() for _ in range(4)]
    for made in [*readers, *followers]:
        made.read()
    n_applied = 0
    for _ in range(60):
        if chooser.random() < 0.3:
            store.while_read = [change]
        sender = readers[chooser.random() < 0.2]
        updates = sender.read(change)
        for made in followers:
            for update in updates:
                if chooser.random() < 0.1:
                    continue
                made.ticker.items.clear()
                if not made.apply(update):
                    made.read()
                elif update.differs_from and made.ticker.items:
                    n_applied += 1
                    assert digest_values(made.mirror.values) == update.digest
                    assert made.mirror.revision == update.revision
    store.while_read = []
    (update,) = readers[0].read(lambda store: store.put("last", b"1"))
    for made in followers:
        if not made.apply(update):
            made.read()
        assert made.mirror.values == store.values
    assert n_applied > 20
