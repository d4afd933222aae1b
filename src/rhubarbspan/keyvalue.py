"""Defines the interface of the platform's key-value store."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from .verdict import Failure


@dataclass(slots=True)
class Entry:
    """A key with its value.

    Attributes:
        index: The store's index at the key's last change.
        session: The session that holds the key's lock, empty if there is none.
    """

    key: str
    value: bytes
    index: int
    session: str = ""


@dataclass(slots=True)
class Reading:
    """The result of a read.

    Attributes:
        entries: The entries found; empty if there is no such key.
        index: The store's index at the read, to wait for a later one.
        era: Era of the store that the index belongs to.
    """

    entries: list[Entry]
    index: int
    era: int = 0


class Verb(Enum):
    """The kind of an operation in a transaction."""

    SET = "set"
    CAS = "cas"
    DELETE = "delete"
    DELETE_CAS = "delete-cas"
    CHECK_ABSENT = "check-not-exists"
    LOCK = "lock"


@dataclass(slots=True)
class Operation:
    """One operation of a transaction.

    Attributes:
        index: For compare-and-swap, the index that the key must have; 0 if the key
            must be absent.
        session: For a lock, the session that takes it.
    """

    verb: Verb
    key: str
    value: bytes = b""
    index: int = 0
    session: str = ""


@dataclass(slots=True)
class Committed:
    """The transaction took effect."""


@dataclass(slots=True)
class Conflict:
    """The transaction had no effect.

    Attributes:
        failed_operations: Positions of the operations whose condition did not hold.
    """

    failed_operations: list[int]


TransactionResult = Committed | Conflict | Failure

STORE_DOWN = "store-down"
STORE_UNCLEAR = "store-unclear"
STORE_GARBAGE = "store-garbage"
# The response was of an era before the newest known one: it was delayed.
OLD_ERA = "old-era"
# The era ended while a read in it was waiting.
ERA_ENDED = "era-ended"


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    A failure has the code ``STORE_DOWN`` if the call certainly had no effect,
    ``STORE_UNCLEAR`` if it may have had one, and ``STORE_GARBAGE`` if the response
    could not be decoded.
    """

    async def read(
        self, key: str, is_prefix: bool = False, after_index: int = 0
    ) -> Reading | Failure:
        """Read a key or all keys under a prefix.

        Args:
            key: Key or prefix.
            is_prefix: Whether to read all keys under ``key``.
            after_index: If positive, wait until the store's index is above it.
        """
        ...

    async def transact(self, operations: list[Operation]) -> TransactionResult:
        """Apply all operations, or none of them."""
        ...

    async def open_session(self, ttl_s: float) -> str | Failure:
        """Open a session; the keys that it has locked are deleted when it expires.

        Returns:
            The session's identifier, or a failure.
        """
        ...
