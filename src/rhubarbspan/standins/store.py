"""A stand-in for the key-value store and its service registry, over HTTP."""

import asyncio
import base64
import uuid
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from ..platform.era import ERA_HEADER
from .listening import listen

VALUE_LIMIT_BYTES = 1_000_000
MAX_WAIT_S = 60.0


@dataclass(slots=True)
class StoredValue:
    """A value with the store index of its last change."""

    value: bytes
    index: int
    session: str = ""


@dataclass(slots=True)
class StoreFaults:
    """Faults that the store shows now.

    Attributes:
        is_down: Abort the connection of each call, which has no effect.
        delay_s: Delay of each response.
        n_lost_responses: Number of writes that take effect but get no response.
        is_garbage: Respond with HTML instead of JSON.
    """

    is_down: bool = False
    delay_s: float = 0.0
    n_lost_responses: int = 0
    is_garbage: bool = False


@dataclass(slots=True)
class StoreStandIn:
    """A store in memory.

    Attributes:
        sessions: Time to live of each session, in seconds.
        services: Registered processes by service and identifier.
        era: Era that all responses name, or None if none is named.
        index: Index of the last change.
        n_reads: Number of calls that read, failed ones included.
        n_writes: Number of calls that write, failed ones included.
        changed: Set and replaced at each change, for reads that wait.
    """

    values: dict[str, StoredValue] = field(default_factory=dict)
    sessions: dict[str, float] = field(default_factory=dict)
    services: dict[str, dict[str, dict[str, object]]] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    era: int | None = None
    index: int = 1
    n_reads: int = 0
    n_writes: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    runner: web.AppRunner | None = None
    address: str = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to listen; return the IP address and port."""
        application = web.Application(client_max_size=2 * VALUE_LIMIT_BYTES * 64)
        application.on_response_prepare.append(self._add_era)
        application.router.add_get("/v1/kv/{key:.*}", self._read)
        application.router.add_put("/v1/txn", self._transact)
        application.router.add_put("/v1/session/create", self._open_session)
        application.router.add_get("/v1/health/service/{name}", self._list_processes)
        self.runner, self.address = await listen(application, host, port)
        return self.address

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers[ERA_HEADER] = str(self.era)

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    def register(
        self, service: str, name: str, address: str, meta: dict[str, str]
    ) -> None:
        """Register a process, or replace its entry."""
        host, _, port = address.rpartition(":")
        self.services.setdefault(service, {})[name] = {
            "ID": name,
            "Address": host,
            "Port": int(port),
            "Meta": meta,
        }

    def deregister(self, service: str, name: str) -> None:
        """Remove a process from the registry."""
        self.services.get(service, {}).pop(name, None)

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            _abort_connection(request)
            return web.Response(status=500)
        if self.faults.is_garbage:
            return web.Response(text="<html>busy</html>")
        return None

    async def _read(self, request: web.Request) -> web.Response:
        self.n_reads += 1
        fault = await self._apply_faults(request)
        if fault is not None:
            return fault
        key = request.match_info["key"]
        is_prefix = "recurse" in request.query
        after = int(request.query.get("index", "0"))
        if after:
            wait_s = float(request.query.get("wait", "30s").rstrip("s"))
            await self._wait_for_change(key, is_prefix, after, min(wait_s, MAX_WAIT_S))
        if self.faults.is_down:
            _abort_connection(request)
        entries = self._list_entries(key, is_prefix)
        headers = {"X-Consul-Index": str(self._index_of(key, is_prefix))}
        if not entries:
            return web.Response(status=404, headers=headers)
        return web.Response(body=msgspec.json.encode(entries), headers=headers)

    def _matches(self, key: str, is_prefix: bool) -> list[str]:
        if is_prefix:
            return sorted(name for name in self.values if name.startswith(key))
        return [key] if key in self.values else []

    def _index_of(self, key: str, is_prefix: bool) -> int:
        names = self._matches(key, is_prefix)
        return max([self.values[name].index for name in names], default=1)

    async def _wait_for_change(
        self, key: str, is_prefix: bool, after: int, wait_s: float
    ) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while self._index_of(key, is_prefix) <= after:
                    if self.faults.is_down:
                        return
                    event = self.changed
                    await event.wait()
        except TimeoutError:
            return

    def _list_entries(self, key: str, is_prefix: bool) -> list[dict[str, object]]:
        return [
            {
                "Key": name,
                "Value": base64.b64encode(self.values[name].value).decode(),
                "ModifyIndex": self.values[name].index,
                "Session": self.values[name].session,
            }
            for name in self._matches(key, is_prefix)
        ]

    def notify_readers(self) -> None:
        """Wake all reads that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def _transact(self, request: web.Request) -> web.Response:
        self.n_writes += 1
        fault = await self._apply_faults(request)
        if fault is not None:
            return fault
        operations = [item["KV"] for item in await request.json()]
        failed = [
            number
            for number, operation in enumerate(operations)
            if not self._is_operation_allowed(operation)
        ]
        if failed:
            errors = [{"OpIndex": number, "What": "failed"} for number in failed]
            return web.json_response({"Errors": errors}, status=409)
        self.index += 1
        for operation in operations:
            self._apply(operation)
        self.notify_readers()
        if self.faults.n_lost_responses > 0:
            self.faults.n_lost_responses -= 1
            _abort_connection(request)
        return web.json_response({"Results": [], "Errors": None})

    def _is_operation_allowed(self, operation: dict[str, object]) -> bool:
        key = str(operation["Key"])
        value = str(operation.get("Value") or "")
        known = self.values.get(key)
        if len(value) * 3 // 4 > VALUE_LIMIT_BYTES:
            return False
        match operation["Verb"]:
            case "cas" | "delete-cas":
                return (known.index if known else 0) == operation["Index"]
            case "check-not-exists":
                return known is None
            case "lock":
                session = str(operation["Session"])
                is_free = known is None or known.session in ("", session)
                return session in self.sessions and is_free
            case _:
                return True

    def _apply(self, operation: dict[str, object]) -> None:
        key = str(operation["Key"])
        match operation["Verb"]:
            case "set" | "cas" | "lock":
                value = base64.b64decode(str(operation.get("Value") or ""))
                session = str(operation.get("Session") or "")
                self.values[key] = StoredValue(value, self.index, session)
            case "delete" | "delete-cas":
                self.values.pop(key, None)
            case _:
                pass

    async def _open_session(self, request: web.Request) -> web.Response:
        self.n_writes += 1
        fault = await self._apply_faults(request)
        if fault is not None:
            return fault
        body = await request.json()
        name = str(uuid.uuid4())
        self.sessions[name] = float(str(body["TTL"]).rstrip("s"))
        return web.json_response({"ID": name})

    def end_session(self, name: str) -> None:
        """Expire a session and delete the keys that it locks."""
        self.sessions.pop(name, None)
        for key in [k for k, v in self.values.items() if v.session == name]:
            del self.values[key]

    async def _list_processes(self, request: web.Request) -> web.Response:
        self.n_reads += 1
        fault = await self._apply_faults(request)
        if fault is not None:
            return fault
        entries = self.services.get(request.match_info["name"], {})
        return web.json_response([{"Service": entry} for entry in entries.values()])


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
