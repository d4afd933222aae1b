"""Client of the platform's store: ranges, watches, transactions and leases."""

import base64
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec

from ..bodies import MAX_BODY_BYTES, read_body, skip_body
from ..client_session import open_session
from ..keyvalue import (
    ERA_ENDED,
    OLD_ERA,
    STORE_DOWN,
    STORE_GARBAGE,
    STORE_UNCLEAR,
)
from ..verdict import Failure
from .era import ERA_HEADER, Eras, parse_era
from .records import DECODE_ERRORS

T = TypeVar("T")
MS_PER_S = 1000
# Timeout of a call, after which its outcome is unknown. The store responds within
# milliseconds, but may be two regions away.
CALL_TIMEOUT_S = 0.8
HISTORY_GONE = "history-gone"
NOT_THERE = "not-there"
CONFLICT = "conflict"
HTTP_OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
# Statuses by which the store guarantees that it did not apply the call.
NOT_APPLIED_STATUSES = (429, 503)
# Statuses that the store itself gives to a call that it has processed. Others may come
# from something before it, or before it is available, and tell no era.
PROCESSED_STATUSES = (HTTP_OK, NOT_FOUND, GONE, PRECONDITION_FAILED)


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    revision: int = 0
    tombstone: bool = False


class _KeyOnly(msgspec.Struct):
    key: str


class _Range(msgspec.Struct):
    # Decoded one by one, so that one that cannot be read does not cost the page.
    items: list[msgspec.Raw] = []
    # Revision of the whole store, not of the latest item.
    currentRev: int = 0
    morePages: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw] = []
    currentRev: int = 0


class _LeaseNumber(msgspec.Struct):
    lease: int


class _Holding(msgspec.Struct):
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Item:
    """A key and its value.

    Attributes:
        value: The decoded bytes, or None if the key was deleted or its value cannot be
            read.
        is_deleted: Whether the key was deleted.
    """

    key: str
    value: bytes | None
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Reading:
    """Items that a range read or a watch returned, and a revision to watch from.

    Attributes:
        era: Era of the store that the revision belongs to.
    """

    items: list[Item]
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class Holding:
    """The revision of a key's last change, 0 if there is no such key, and its lease."""

    revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease; in a later era its number may be that of another one."""

    number: int
    era: int


@dataclass(frozen=True, slots=True)
class _Response:
    body: bytes
    era: int


def _to_items(rows: list[msgspec.Raw]) -> list[Item]:
    """Decode items one by one, without those whose key cannot be read."""
    items = (_to_item(row) for row in rows)
    return [item for item in items if item is not None]


def _to_item(row: msgspec.Raw) -> Item | None:
    item = _decode(row, _Item)
    if isinstance(item, Failure):
        named = _decode(row, _KeyOnly)
        return None if isinstance(named, Failure) else Item(named.key, None)
    if item.tombstone:
        return Item(item.key, None, True)
    try:
        return Item(item.key, base64.b64decode(item.value, validate=True))
    except ValueError:
        return Item(item.key, None)


class PlatformStore:
    """HTTP client of the platform's store.

    Attributes:
        max_body_bytes: Longest response that is read, all pages of a range together.
        eras: Eras of the responses; those of any but the newest one are failures.
    """

    __slots__ = ("_base_url", "_session", "max_body_bytes", "eras")

    def __init__(self, address: str, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._base_url = f"http://{address}/api"
        self.max_body_bytes = max_body_bytes
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
        self._session = open_session(connector)
        self.eras = Eras()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def read_range(self, prefix: str) -> Reading | Failure:
        """Read all keys under a prefix, not as one consistent snapshot.

        All pages are of one era: if the store is restored between two of them, the
        read starts again.

        Returns:
            The items, with the revision of the first page, so that a watch from that
            revision misses no change.
        """
        while True:
            reading = await self._read_pages(prefix)
            if reading is not None:
                return reading

    async def _read_pages(self, prefix: str) -> Reading | Failure | None:
        """Read all pages, or return None if they are not all of one era."""
        items: list[Item] = []
        first_revision = 0
        first_era: int | None = None
        known_era = self.eras.newest
        after = ""
        n_bytes = 0
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            response = await self._call("GET", "kv-range", query)
            if isinstance(response, Failure):
                has_ended = response.code == OLD_ERA and self.eras.newest > known_era
                return None if has_ended else response
            first_era = response.era if first_era is None else first_era
            if response.era != first_era:
                return None
            n_bytes += len(response.body)
            if n_bytes > self.max_body_bytes:
                text = f"kv-range: pages longer than {self.max_body_bytes} bytes"
                return Failure(STORE_GARBAGE, text)
            page = _decode(response.body, _Range)
            if isinstance(page, Failure):
                return page
            first_revision = first_revision or page.currentRev
            page_items = _to_items(page.items)
            items += page_items
            if not page.morePages or not page.items:
                return Reading(items, first_revision, first_era)
            if not page_items or page_items[-1].key == after:
                return Failure(STORE_GARBAGE, "kv-range: the next page has no start")
            after = page_items[-1].key

    async def watch(
        self, prefix: str, revision: int, wait_s: float, may_be_stale: bool = False
    ) -> Reading | Failure:
        """Wait up to `wait_s` for changes under a prefix after a revision.

        With `may_be_stale` the call costs a tenth, and changes may be seconds late.

        Returns:
            The changes, or a failure, with code ``ERA_ENDED`` as soon as the response
            to another call was of a newer era: the store may not respond to this one.
        """
        query = {
            "prefix": prefix,
            "after": str(revision),
            "waitMs": str(int(wait_s * MS_PER_S)),
            **({"staleOk": "1"} if may_be_stale else {}),
        }
        call = self._call("GET", "kv-watch", query, wait_s + CALL_TIMEOUT_S)
        response = await self.eras.until_risen(call)
        if response is None:
            return Failure(ERA_ENDED, "kv-watch: the store was restored from a copy")
        if isinstance(response, Failure):
            return response
        events = _decode(response.body, _Events)
        if isinstance(events, Failure):
            return events
        next_revision = max(revision, events.currentRev)
        return Reading(_to_items(events.events), next_revision, response.era)

    async def open_lease(self, ttl_s: float) -> Lease | Failure:
        """Open a lease; its keys are removed when it ends."""
        response = await self._call("POST", "kv-lease", {}, json={"ttlS_time": ttl_s})
        if isinstance(response, Failure):
            return response
        lease = _decode(response.body, _LeaseNumber)
        if isinstance(lease, Failure):
            return lease
        return Lease(lease.lease, response.era)

    async def renew_lease(self, lease: int) -> Failure | None:
        """Renew a lease."""
        response = await self._call("POST", f"kv-keep/{lease}", {})
        return response if isinstance(response, Failure) else None

    async def end_lease(self, lease: int) -> Failure | None:
        """End a lease and remove its keys."""
        response = await self._call("DELETE", f"kv-lease-end/{lease}", {})
        return response if isinstance(response, Failure) else None

    async def read_holding(
        self, key: str, may_be_stale: bool = False
    ) -> Holding | Failure:
        """Read under which lease a key is; stale reads cost a tenth."""
        query = {"key": key, **({"staleOk": "1"} if may_be_stale else {})}
        response = await self._call("GET", "kv-key", query)
        if isinstance(response, Failure):
            return Holding(0, 0) if response.code == NOT_THERE else response
        found = _decode(response.body, _Holding)
        if isinstance(found, Failure):
            return found
        return Holding(found.revision, found.lease)

    async def put(
        self, key: str, value: bytes, lease: int, expected_revision: int
    ) -> Failure | None:
        """Write a key under a lease if its last change is still the expected one.

        A call without a response may be executed later. With the condition it then
        changes nothing that was written after it.

        Args:
            key: The key.
            value: The value.
            lease: The lease that the key is removed with.
            expected_revision: Revision of the key's last change, or 0 if it must not
                exist.
        """
        text = base64.b64encode(value).decode()
        put = {"key": key, "value": text, "lease": lease}
        expected = [{"key": key, "revision": expected_revision}]
        change = {"expectedRevision": expected, "puts": [put], "deletes": []}
        response = await self._call("POST", "kv-txn", {}, json=change)
        return response if isinstance(response, Failure) else None

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
        json: object = None,
    ) -> _Response | Failure:
        data = None if json is None else msgspec.json.encode(json)
        headers = {} if data is None else {"Content-Type": "application/json"}
        try:
            async with self._session.request(
                method,
                f"{self._base_url}/{path}",
                params=query,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                era = parse_era(response.headers.get(ERA_HEADER))
                self.eras.are_named |= ERA_HEADER in response.headers
                if response.status in PROCESSED_STATUSES:
                    self.eras.note(era)
                    if era < self.eras.newest:
                        await skip_body(response)
                        return self._refuse(path, era)
                if response.status != HTTP_OK:
                    await skip_body(response)
                    return _check_status(response.status, path)
                body = await read_body(response, self.max_body_bytes)
                if isinstance(body, Failure):
                    return Failure(body.code, f"{self._base_url}/{path}: {body.reason}")
                if era < self.eras.newest:
                    # Another response was of a newer one meanwhile.
                    return self._refuse(path, era)
                return _Response(body, era)
        except aiohttp.ClientConnectorError as error:
            return Failure(STORE_DOWN, f"{path}: {error.strerror}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(STORE_UNCLEAR, f"{path}: {type(error).__name__}")

    def _refuse(self, path: str, era: int) -> Failure:
        text = f"{path}: a response of era {era}, after one of era {self.eras.newest}"
        return Failure(OLD_ERA, text)


def _check_status(status: int, path: str) -> Failure:
    if status in NOT_APPLIED_STATUSES:
        return Failure(STORE_DOWN, f"{path}: status {status}")
    if status == GONE:
        return Failure(
            HISTORY_GONE,
            f"{path}: the store no longer keeps the changes after that revision",
        )
    if status == NOT_FOUND:
        return Failure(NOT_THERE, f"{path}: there is no such lease or key")
    if status == PRECONDITION_FAILED:
        return Failure(CONFLICT, f"{path}: the condition does not hold")
    return Failure(STORE_GARBAGE, f"{path}: status {status}")


def _decode(body: bytes | msgspec.Raw, kind: type[T]) -> T | Failure:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        return Failure(STORE_GARBAGE, str(error))
