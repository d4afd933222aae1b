"""Copies of what the store holds under a prefix."""

import asyncio
from dataclasses import dataclass, field

from ..platform.store import Item, Reading
from .differences import apply_items, find_differences

# Stands for the time of a confirmation or a reading that is not one.
NEVER_S = -1e9


@dataclass(slots=True)
class Mirror:
    """A copy of the store's values under one prefix.

    Attributes:
        wait_s: How long a watch waits for a change.
        era: Era of the store that the copy is of, or in which it must be read anew.
        revision: Revision of the store that the copy is at, 0 if it must be read anew.
        values: Values by key, all of them as of some revision.
        copy_revision: Revision that ``values`` are at, also while they must be read
            anew; 0 if they are not known to be a complete copy of ``era``.
        has_been_read: Whether ``values`` were read at all; they may be outdated.
        read_s: When it was last read completely.
        is_failing: Whether the last call failed.
        failed_s: When the first of the calls was sent that have failed since.
        last_failed_s: When the last call that failed ended.
        changed_until_s: Until when, at least, the copy is published also if nothing
            changed: servers that were kept after an outage are dropped by a later list.
        published_revision: Revision of the configuration when it was published last.
        is_in_step: Whether the last reading had changes, which all instances got at the
            same time.
        is_just_written: Whether the reading that is being published shows that the
            operator has written its configuration.
        is_due: Set to end a pause between two calls of the store.
        may_read: Set while this instance has to read: when it is a reader, or when the
            copy must be read anew.
    """

    prefix: str
    wait_s: float
    era: int = 0
    revision: int = 0
    values: dict[str, bytes | None] = field(default_factory=dict)
    copy_revision: int = 0
    has_been_read: bool = False
    read_s: float = NEVER_S
    is_failing: bool = False
    failed_s: float = NEVER_S
    last_failed_s: float = NEVER_S
    changed_until_s: float = 0.0
    published_revision: int = 0
    is_in_step: bool = False
    is_just_written: bool = False
    is_due: asyncio.Event = field(default_factory=asyncio.Event)
    may_read: asyncio.Event = field(default_factory=asyncio.Event)


def read_anew(mirror: Mirror) -> None:
    """Have a copy read again completely, also by an instance that does not read."""
    mirror.revision = 0
    mirror.may_read.set()


def apply_reading(
    mirror: Mirror, reading: Reading, is_full_read: bool
) -> list[Item] | None:
    """Apply what was read to a copy.

    Returns:
        For a complete reading, how it differs from the last complete copy of its era.
        None if there is none, and for changes.
    """
    last = mirror.values
    is_comparable = mirror.copy_revision > 0 and mirror.era == reading.era
    values = {} if is_full_read else last
    apply_items(values, reading.items)
    mirror.values = values
    mirror.has_been_read = True
    mirror.era = reading.era
    mirror.revision = reading.revision
    mirror.copy_revision = reading.revision
    if is_full_read and is_comparable:
        return find_differences(last, values)
    return None
