"""Reads and changes the operators' configuration in the platform's store.

The store holds the head (the latest accepted revision and the location of the latest
snapshot), the recent changes, and a snapshot that is split into parts. A change is
stored as a difference from the previous revision. It is accepted when the
compare-and-swap of the head succeeds.
"""

import uuid
from dataclasses import dataclass

import msgspec

from .checking import check_document
from .document import (
    Change,
    Document,
    Snapshot,
    apply_change,
    apply_changes,
    changes_data_centres,
    compare_documents,
)
from .keyvalue import (
    STORE_GARBAGE,
    STORE_UNCLEAR,
    Committed,
    Conflict,
    Operation,
    Store,
    Verb,
)
from .sections import Problem
from .verdict import Failure

ROOT = "rhubarbspan/config"
HEAD_KEY = f"{ROOT}/head"
CHANGES_PREFIX = f"{ROOT}/changes/"
MAX_PART_BYTES = 400_000  # below the store's limit for one value
N_CHANGES_KEPT = 64
SNAPSHOT_INTERVAL_REVISIONS = 32
MAX_SEPARATE_CHANGE_READS = 4
MAX_READ_BACKS = 5
N_REVISION_DIGITS = 12
# Deep nesting exceeds the interpreter's recursion limit.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)


@dataclass(slots=True)
class Head:
    """The latest accepted revision and the location of the latest snapshot.

    Attributes:
        seats_revision: The newest revision that changed data centres, and so the seats
            among which limits are divided.
        change_id: Unique identifier of the change that produced this revision.
        snapshot_revision: Revision of the snapshot, 0 if there is none.
        snapshot_seats_revision: ``seats_revision`` as of the snapshot's revision.
        snapshot_path: Key prefix of the snapshot's parts, empty if there is none.
        latest: The change that produced this revision, so that an instance that watches
            the head needs no further read. None if there is no change yet, or if it is
            too large for one value.
    """

    revision: int = 0
    seats_revision: int = 0
    author: str = ""
    change_id: str = ""
    snapshot_revision: int = 0
    snapshot_seats_revision: int = 0
    snapshot_path: str = ""
    latest: Change | None = None


@dataclass(slots=True)
class StoredConfiguration:
    """The configuration as read from the store.

    Attributes:
        head_index: The store's modification index at the head's last change, for
            compare-and-swap; 0 if the store has no head.
        watch_index: The store's modification index at the read, to wait for a later
            one.
        snapshot: The configuration at the head's revision, or the caller's snapshot if
            that is at least as recent.
        changes: The changes that lead to the head's revision from the caller's
            snapshot, the one in the store, or an empty one.
    """

    head: Head
    head_index: int
    watch_index: int
    snapshot: Snapshot
    changes: list[Change]


@dataclass(slots=True)
class Applied:
    """The change was accepted, or there was nothing to change.

    Attributes:
        revision: The revision that the change produced, or the expected revision if
            the document equals the stored one.
    """

    revision: int


@dataclass(slots=True)
class Superseded:
    """Another change was accepted first, so this one was not."""

    revision: int
    author: str


@dataclass(slots=True)
class Rejected:
    """The document did not pass the checks; nothing was written."""

    problems: list[Problem]


ApplyResult = Applied | Superseded | Rejected | Failure


async def read_head(
    store: Store, after_index: int = 0
) -> tuple[Head, int, int] | Failure:
    """Return the head, and the modification indexes of the head and of the store.

    Args:
        store: The store.
        after_index: If positive, wait until the store's modification index is
            above it.
    """
    reading = await store.read(HEAD_KEY, after_index=after_index)
    if isinstance(reading, Failure):
        return reading
    if not reading.entries:
        return Head(), 0, reading.index
    entry = reading.entries[0]
    try:
        head = msgspec.json.decode(entry.value, type=Head)
    except DECODE_ERRORS as error:
        return Failure(STORE_GARBAGE, f"{HEAD_KEY} is malformed: {error}")
    return head, entry.index, reading.index


async def read_stored(
    store: Store, known: Snapshot | None = None, after_index: int = 0
) -> StoredConfiguration | Failure:
    """Read the configuration; if possible, read only the changes since ``known``.

    Args:
        store: The store.
        known: The snapshot that the caller already has.
        after_index: If positive, wait until the store's modification index is
            above it.
    """
    head_reading = await read_head(store, after_index)
    if isinstance(head_reading, Failure):
        return head_reading
    head, head_index, watch_index = head_reading
    base = known or Snapshot(0, {})
    if head.revision <= base.revision:
        return StoredConfiguration(head, head_index, watch_index, base, [])
    if head.snapshot_revision > base.revision and not _can_read_changes(head, base):
        snapshot_reading = await _read_snapshot(store, head)
        if isinstance(snapshot_reading, Failure):
            return snapshot_reading
        base = snapshot_reading
    if head.latest is not None and head.revision == base.revision + 1:
        changes: list[Change] | Failure = [head.latest]
    else:
        changes = await _read_changes(store, base.revision, head.revision)
    if isinstance(changes, Failure):
        return changes
    snapshot = apply_changes(base, changes)
    if snapshot is None or snapshot.revision < head.revision:
        if known is not None and known.revision > 0:
            return await read_stored(store, None)
        return Failure(
            STORE_GARBAGE,
            f"changes up to the head's revision are missing under {CHANGES_PREFIX}",
        )
    return StoredConfiguration(head, head_index, watch_index, snapshot, changes)


def _can_read_changes(head: Head, base: Snapshot) -> bool:
    """Return whether the changes since a snapshot can be read.

    It must be a real one (revision above 0) and fewer than half of the kept changes
    behind the head. The other half is a margin, since the oldest changes are deleted as
    new ones are accepted.
    """
    return base.revision > 0 and head.revision - base.revision < N_CHANGES_KEPT // 2


async def _read_snapshot(store: Store, head: Head) -> Snapshot | Failure:
    reading = await store.read(head.snapshot_path, is_prefix=True)
    if isinstance(reading, Failure):
        return reading
    document: Document = {}
    try:
        for entry in reading.entries:
            document.update(msgspec.json.decode(entry.value, type=Document))
    except DECODE_ERRORS as error:
        return Failure(STORE_GARBAGE, f"{head.snapshot_path} is malformed: {error}")
    return Snapshot(head.snapshot_revision, document, head.snapshot_seats_revision)


async def _read_changes(
    store: Store, after_revision: int, revision: int
) -> list[Change] | Failure:
    if revision - after_revision <= MAX_SEPARATE_CHANGE_READS:
        keys = [change_key(n) for n in range(after_revision + 1, revision + 1)]
        readings = [await store.read(key) for key in keys]
    else:
        readings = [await store.read(CHANGES_PREFIX, is_prefix=True)]
    changes: list[Change] = []
    for reading in readings:
        if isinstance(reading, Failure):
            return reading
        for entry in reading.entries:
            if not after_revision < _revision_of(entry.key) <= revision:
                continue
            try:
                change = msgspec.json.decode(entry.value, type=Change)
            except DECODE_ERRORS as error:
                return Failure(STORE_GARBAGE, f"{entry.key} is malformed: {error}")
            if after_revision < change.revision <= revision:
                changes.append(change)
    return changes


def _revision_of(key: str) -> int:
    """Return the revision of a change by its key, or 0 for what is no change."""
    name = key.removeprefix(CHANGES_PREFIX)
    is_number = name.isdecimal() and len(name) == N_REVISION_DIGITS
    return int(name) if is_number and change_key(int(name)) == key else 0


def change_key(revision: int) -> str:
    """Return the key of a change, padded so that keys sort by revision."""
    return f"{CHANGES_PREFIX}{revision:0{N_REVISION_DIGITS}d}"


async def apply_document(
    store: Store, document: Document, author: str, expected_revision: int
) -> ApplyResult:
    """Replace the configuration by compare-and-swap on its revision.

    Args:
        store: The store.
        document: The whole new document.
        author: Who makes the change.
        expected_revision: The revision that the author started from.

    Returns:
        ``Applied``, or why the document was not applied. If the outcome of the write
        is unknown, the store is read back to find it out.
    """
    _, problems = check_document(document, expected_revision + 1)
    if problems:
        return Rejected(problems)
    stored = await read_stored(store)
    if isinstance(stored, Failure):
        return stored
    if stored.head.revision != expected_revision:
        return Superseded(stored.head.revision, stored.head.author)
    change_id = uuid.uuid4().hex
    change = compare_documents(
        stored.snapshot.document, document, expected_revision + 1, author, change_id
    )
    if not change.replaced and not change.removed:
        return Applied(expected_revision)
    return await _publish(store, stored, change)


async def _publish(
    store: Store, stored: StoredConfiguration, change: Change
) -> ApplyResult:
    head = _next_head(stored, change)
    encoded = msgspec.json.encode(change)
    is_large = len(encoded) > MAX_PART_BYTES
    if is_large or change.revision % SNAPSHOT_INTERVAL_REVISIONS == 0:
        document = apply_change(stored.snapshot.document, change)
        path = f"{ROOT}/snapshots/{change.revision:012d}-{change.change_id}/"
        failure = await _write_snapshot(store, path, document)
        if failure is not None:
            return failure
        head.snapshot_path = path
        head.snapshot_revision = head.revision
        head.snapshot_seats_revision = head.seats_revision
    head.latest = None if is_large else change
    operations = [
        Operation(Verb.CAS, HEAD_KEY, msgspec.json.encode(head), stored.head_index)
    ]
    if not is_large:
        operations.append(Operation(Verb.SET, change_key(change.revision), encoded))
    expired_revision = change.revision - N_CHANGES_KEPT
    if 0 < expired_revision <= head.snapshot_revision:
        operations.append(Operation(Verb.DELETE, change_key(expired_revision)))
    return await _commit(store, operations, change)


def _next_head(stored: StoredConfiguration, change: Change) -> Head:
    seats_revision = stored.head.seats_revision
    if changes_data_centres(change):
        seats_revision = change.revision
    return Head(
        change.revision,
        seats_revision,
        change.author,
        change.change_id,
        stored.head.snapshot_revision,
        stored.head.snapshot_seats_revision,
        stored.head.snapshot_path,
    )


async def _write_snapshot(
    store: Store, path: str, document: Document
) -> Failure | None:
    """Write a document in parts of at most ``MAX_PART_BYTES``.

    A section that is larger becomes a part of its own.
    """
    part: Document = {}
    n_bytes = 0
    parts: list[Document] = []
    for title, body in document.items():
        size = len(msgspec.json.encode({title: body}))
        if part and n_bytes + size > MAX_PART_BYTES:
            parts.append(part)
            part = {}
            n_bytes = 0
        part[title] = body
        n_bytes += size
    parts.append(part)
    for number, content in enumerate(parts):
        key = f"{path}{number:06d}"
        operation = Operation(Verb.SET, key, msgspec.json.encode(content))
        result = await store.transact([operation])
        if isinstance(result, Failure):
            return result
    return None


async def _commit(
    store: Store, operations: list[Operation], change: Change
) -> ApplyResult:
    result = await store.transact(operations)
    match result:
        case Committed():
            return Applied(change.revision)
        case Conflict():
            head_reading = await read_head(store)
            if isinstance(head_reading, Failure):
                return head_reading
            return Superseded(head_reading[0].revision, head_reading[0].author)
        case Failure(code=code) if code != STORE_UNCLEAR:
            return result
        case Failure():
            return await _resolve_unknown_outcome(store, change, result)


async def _resolve_unknown_outcome(
    store: Store, change: Change, failure: Failure
) -> ApplyResult:
    """Read the store back to find out whether a write of unknown outcome succeeded."""
    for _ in range(MAX_READ_BACKS):
        stored = await read_stored(store)
        if isinstance(stored, Failure):
            continue
        if stored.head.change_id == change.change_id:
            return Applied(change.revision)
        reading = await store.read(change_key(change.revision))
        if isinstance(reading, Failure):
            continue
        for entry in reading.entries:
            if change.change_id.encode() in entry.value:
                return Applied(change.revision)
        if stored.head.revision >= change.revision:
            return Superseded(stored.head.revision, stored.head.author)
        # The store may still apply the write. Its compare-and-swap fails once another
        # change has replaced the head.
        return Failure(
            STORE_UNCLEAR,
            f"change {change.change_id} is not in the store, but may still be "
            "applied: check with 'rhubarbspan config show' before trying again",
        )
    return Failure(
        STORE_UNCLEAR,
        f"change {change.change_id} may or may not have been accepted: "
        f"{failure.reason}",
    )
