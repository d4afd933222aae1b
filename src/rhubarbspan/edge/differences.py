"""Compares complete copies of what the store holds under a prefix."""

from collections.abc import Iterable

import msgspec
import xxhash

from ..platform.store import Item


def find_differences(
    old: dict[str, bytes | None], new: dict[str, bytes | None]
) -> list[Item]:
    """Return the items that turn one copy into another.

    A key that was written and deleted, or deleted and written again with the same
    value, between the two copies is not among them.

    Example:
        >>> find_differences({"a": b"1", "b": b"2"}, {"a": b"1", "c": None})
        ... # doctest: +NORMALIZE_WHITESPACE
        [Item(key='c', value=None, is_deleted=False),
         Item(key='b', value=None, is_deleted=True)]
    """
    written = [
        Item(key, value)
        for key, value in new.items()
        if key not in old or old[key] != value
    ]
    return written + [Item(key, None, True) for key in old if key not in new]


def apply_items(values: dict[str, bytes | None], items: Iterable[Item]) -> None:
    """Change a copy by the items that were read or deleted."""
    for item in items:
        if item.is_deleted:
            values.pop(item.key, None)
        else:
            values[item.key] = item.value


def digest_values(values: dict[str, bytes | None]) -> int:
    """Return a digest of a copy, of 64 bits and never 0.

    Example:
        >>> reordered = {"b": None, "a": b"1"}
        >>> digest_values({"a": b"1", "b": None}) == digest_values(reordered)
        True
    """
    encoded = msgspec.msgpack.encode(sorted(values.items()))
    return xxhash.xxh3_64_intdigest(encoded) or 1
