"""Decodes the entries of the store one by one, so that each costs only itself."""

from collections.abc import Callable
from typing import Generic, TypeVar

from ..verdict import Failure
from .failures import FailureLog

T = TypeVar("T")
NO_VALUE = "the store delivers no value that can be read"


def decode_guarded(
    decode: Callable[[], T | Failure], failures: FailureLog
) -> T | Failure:
    """Return what a decoder returns, or a failure if it raises an error."""
    try:
        return decode()
    except Exception as error:
        failures.report_error("decoding an entry")
        return Failure("unexpected", f"{type(error).__name__} while it was decoded")


class EntryReader(Generic[T]):
    """Decodes the entries under one prefix; those that have not changed only once."""

    __slots__ = ("_decode", "_failures", "_count", "_known")

    def __init__(
        self,
        decode: Callable[[str, bytes], T | Failure],
        failures: FailureLog,
        count: Callable[[str, str], None],
    ) -> None:
        self._decode = decode
        self._failures = failures
        self._count = count
        self._known: dict[str, tuple[bytes | None, T | Failure]] = {}

    def read(self, values: dict[str, bytes | None]) -> list[T]:
        """Decode all values by their keys, leave out and report the unreadable ones."""
        for key in self._known.keys() - values.keys():
            del self._known[key]
        rows: list[T] = []
        for key, value in values.items():
            entry = self._read_entry(key, value)
            if isinstance(entry, Failure):
                self._failures.report_entry(key, entry.reason)
            else:
                rows.append(entry)
        return rows

    def _read_entry(self, key: str, value: bytes | None) -> T | Failure:
        known = self._known.get(key)
        if known is not None and known[0] == value:
            return known[1]
        entry: T | Failure = Failure("malformed", NO_VALUE)
        if value is not None:
            entry = decode_guarded(lambda: self._decode(key, value), self._failures)
        if isinstance(entry, Failure):
            self._count("malformed_records", "")
        self._known[key] = (value, entry)
        return entry
