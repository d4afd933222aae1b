"""A stand-in for the platform's store: items, watches, transactions and leases.

It can be restored from a copy, after which its responses name a later era.
"""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from aiohttp import web

from ..platform.era import ERA_HEADER
from .listening import listen

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
MS_PER_S = 1000
PAGE_ITEMS = 50
FIRST_REVISION = 10


class Mode(Enum):
    """How the store handles calls: as usual, without a response, or with status 503."""

    SERVING = "serving"
    SILENT = "silent"
    BUSY = "busy"


@dataclass(slots=True)
class StoredItem:
    """The value of a key, or its deletion, at a revision."""

    key: str
    value: bytes
    revision: int
    lease: int = 0
    is_deleted: bool = False


@dataclass(slots=True)
class PlatformStoreStandIn:
    """A store in memory.

    Attributes:
        mode: How calls are handled.
        era: Era that all responses name, or None if none is named.
        late_responses_s: By path, how much later the response to the next call is sent,
            with the contents and the era of before.
        on_response: Called with the path when a response has been made.
        loses_responses: Whether writes take effect but get no response.
        late_write_s: If set, the next transaction gets no response and is executed
            this much later, if its condition still holds.
        first_revision: Oldest revision from which a watch can start.
        history: Changes since the first revision.
        log: All changes with their times, also those before the first revision.
        opened_s: When each lease was opened.
        leases: Timer of each lease that has not expired.
        ttls_s: Time to live of each lease.
        n_calls: Number of calls by path.
        changed: Set and replaced at each change, for watches that wait.
    """

    address: str = ""
    mode: Mode = Mode.SERVING
    era: int | None = None
    late_responses_s: dict[str, float] = field(default_factory=dict)
    on_response: Callable[[str], None] | None = None
    loses_responses: bool = False
    late_write_s: float = 0.0
    revision: int = FIRST_REVISION
    first_revision: int = 0
    items: dict[str, StoredItem] = field(default_factory=dict)
    history: list[StoredItem] = field(default_factory=list)
    log: list[tuple[float, StoredItem]] = field(default_factory=list)
    opened_s: dict[int, float] = field(default_factory=dict)
    leases: dict[int, asyncio.TimerHandle] = field(default_factory=dict)
    ttls_s: dict[int, float] = field(default_factory=dict)
    n_calls: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Start to listen on loopback."""
        application = web.Application(middlewares=[self._apply_mode])
        router = application.router
        router.add_get("/api/kv-key", self._read_key)
        router.add_get("/api/kv-range", self._range)
        router.add_get("/api/kv-watch", self._watch)
        router.add_post("/api/kv-txn", self._transact)
        router.add_post("/api/kv-lease", self._open_lease)
        router.add_post("/api/kv-keep/{lease}", self._keep_lease)
        router.add_delete("/api/kv-lease-end/{lease}", self._end_lease)
        self.runner, self.address = await listen(application, "127.0.0.1", port)

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Set the value of a key: bytes unchanged, anything else as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._change(StoredItem(key, data, 0, lease))

    def delete(self, key: str) -> None:
        """Delete a key."""
        self._change(StoredItem(key, b"", 0, is_deleted=True))

    def forget_history(self) -> None:
        """Compact the history; watches from an earlier revision get status 410."""
        self.history.clear()
        self.first_revision = self.revision
        self._notify()

    def restore(self, age_s: float) -> None:
        """Restore what the store held some time ago, and begin a new era."""
        self.restore_copy_of(time.monotonic() - age_s)

    def restore_copy_of(self, copied_s: float) -> None:
        """Restore what the store held at a monotonic time, and begin a new era.

        Revisions go on from the copy's, and are given again to other changes. Leases
        that were opened after the copy are lost, and their numbers are given again;
        the earlier ones last for their time to live from now on.
        """
        self.log = [row for row in self.log if row[0] <= copied_s]
        changes = [item for _, item in self.log]
        self.revision = changes[-1].revision if changes else FIRST_REVISION
        self.history = [row for row in changes if row.revision > self.first_revision]
        self.first_revision = min(self.first_revision, self.revision)
        self.items = {}
        for item in changes:
            self.items.pop(item.key, None)
            if not item.is_deleted:
                self.items[item.key] = item
        for lease, opened_s in list(self.opened_s.items()):
            self._disarm_lease_timer(lease)
            if opened_s > copied_s:
                del self.opened_s[lease], self.ttls_s[lease]
            else:
                self._arm_lease_timer(lease)
        self.era = (self.era or 0) + 1
        self._notify()

    async def fail_and_restore(self, age_s: float, down_s: float) -> None:
        """Be unavailable for some time, then restore a copy from before that time."""
        self.mode = Mode.BUSY
        copied_s = time.monotonic() - age_s
        await asyncio.sleep(down_s)
        self.restore_copy_of(copied_s)
        self.mode = Mode.SERVING

    def _change(self, item: StoredItem) -> None:
        self.revision += 1
        item.revision = self.revision
        self.history.append(item)
        self.log.append((time.monotonic(), item))
        if item.is_deleted:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _apply_mode(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        path = request.path.split("/")[2]
        self.n_calls[path] = self.n_calls.get(path, 0) + 1
        match self.mode:
            case Mode.BUSY:
                return web.Response(status=503)
            case Mode.SILENT:
                await asyncio.sleep(3600)
            case Mode.SERVING:
                pass
        response = await handler(request)
        if self.era is not None:
            response.headers[ERA_HEADER] = str(self.era)
        if self.on_response is not None:
            self.on_response(path)
        if path in self.late_responses_s:
            await asyncio.sleep(self.late_responses_s.pop(path))
        if self.loses_responses and request.method == "POST":
            await asyncio.sleep(3600)
        return response

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        page = [_item_fields(self.items[key]) for key in keys[:PAGE_ITEMS]]
        has_more_pages = len(keys) > PAGE_ITEMS
        return web.json_response(
            {"items": page, "morePages": has_more_pages, "currentRev": self.revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        wait_s = int(request.query["waitMs"]) / MS_PER_S
        end_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if self.mode is Mode.BUSY:
                return web.Response(status=503)
            if not self.first_revision <= after <= self.revision:
                return web.Response(status=410)
            events = [
                _item_fields(item)
                for item in self.history
                if item.revision > after and item.key.startswith(prefix)
            ]
            remaining_s = end_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return web.json_response(
                    {"events": events, "currentRev": self.revision}
                )
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _read_key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        fields = {**_item_fields(item), "currentRev": self.revision}
        return web.json_response(fields)

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.late_write_s:
            delay_s, self.late_write_s = self.late_write_s, 0.0
            asyncio.get_running_loop().call_later(delay_s, self._apply, body)
            await asyncio.sleep(3600)
        return self._apply(body)

    def _apply(self, body: dict[str, Any]) -> web.Response:
        for row in body["expectedRevision"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        if any(p.get("lease") and p["lease"] not in self.leases for p in body["puts"]):
            return web.Response(status=404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return web.json_response({"revision": self.revision})

    async def _open_lease(self, request: web.Request) -> web.Response:
        ttl_s = float((await request.json())["ttlS_time"])
        lease = self.revision * 1000 + len(self.ttls_s) + 1
        self.ttls_s[lease] = ttl_s
        self.opened_s[lease] = time.monotonic()
        self._arm_lease_timer(lease)
        return web.json_response({"lease": lease, "ttlS_time": ttl_s})

    async def _keep_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        self._arm_lease_timer(lease)
        return web.json_response({"ttlS_time": self.ttls_s[lease]})

    async def _end_lease(self, request: web.Request) -> web.Response:
        self.expire_lease(int(request.match_info["lease"]))
        return web.json_response({})

    def _disarm_lease_timer(self, lease: int) -> None:
        timer = self.leases.pop(lease, None)
        if timer is not None:
            timer.cancel()

    def _arm_lease_timer(self, lease: int) -> None:
        self._disarm_lease_timer(lease)
        loop = asyncio.get_running_loop()
        self.leases[lease] = loop.call_later(
            self.ttls_s[lease], self.expire_lease, lease
        )

    def expire_lease(self, lease: int) -> None:
        """Expire a lease and delete the keys attached to it."""
        self._disarm_lease_timer(lease)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.delete(key)


def _item_fields(item: StoredItem) -> dict[str, object]:
    if item.is_deleted:
        return {"key": item.key, "revision": item.revision, "tombstone": True}
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.revision,
        "lease": item.lease,
    }
