"""The platform's key-value service, as the rest of the program sees it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from .verdict import Failure


@dataclass(slots=True)
class Entry:
    """A key with its value and the index of its last change."""

    key: str
    value: bytes
    index: int
    session: str = ""


@dataclass(slots=True)
class Reading:
    """What a read returned.

    Attributes:
        entries: The entries found, none if the key is absent.
        index: The store's index, to wait for a later one.
    """

    entries: list[Entry]
    index: int


class Verb(Enum):
    """What an operation of a transaction does."""

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
        index: For compare-and-swap, the index that the key must have; 0 for absent.
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
    """The transaction had no effect, because these operations failed."""

    failed_operations: list[int]


TransactionResult = Committed | Conflict | Failure

STORE_DOWN = "store-down"
STORE_UNCLEAR = "store-unclear"
STORE_GARBAGE = "store-garbage"


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Failures carry ``STORE_DOWN`` if the call certainly had no effect,
    ``STORE_UNCLEAR`` if it may have had one, ``STORE_GARBAGE`` if the answer could
    not be read.
    """

    async def read(
        self, key: str, is_prefix: bool = False, after_index: int = 0
    ) -> Reading | Failure:
        """Read a key or all keys under a prefix.

        Args:
            key: Key or prefix.
            is_prefix: Whether to read all keys under ``key``.
            after_index: If positive, wait until the index is above it.
        """
        ...

    async def transact(self, operations: list[Operation]) -> TransactionResult:
        """Carry out all operations or none."""
        ...

    async def open_session(self, ttl_s: float) -> str | Failure:
        """Open a lease; keys locked under it are deleted when it lapses."""
        ...
