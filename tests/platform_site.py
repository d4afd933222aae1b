"""A small deployment on loopback: the store, servers, instances and raw callers."""

import asyncio
import json
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import TypeVar

from rhubarbspan.edge.instance import Instance
from rhubarbspan.edge.lines import LineWriter
from rhubarbspan.platform.settings import Bounds, PlatformSettings
from rhubarbspan.standins.deployment import free_address
from rhubarbspan.standins.platform_server import PlatformServerStandIn
from rhubarbspan.standins.platform_store import PlatformStoreStandIn

T = TypeVar("T")
HOST = "shop.example"
KEY = "secret-ana"
WAIT_S = 5.0


def manifest(version: int = 1, **changes: object) -> dict[str, object]:
    """Make a configuration as the platform's operator writes it."""

    def path(name: str, kind: str, **more: object) -> dict[str, object]:
        return {
            "name": name,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutS": 2.0,
            "targetLatencyS": 0.5,
            "priority": 1,
            "service": "shop",
            "attempts": 2,
            "allowAnonymous": False,
            "sessionAffinity": True,
            "allowedRegions": [],
            **more,
        }

    whole: dict[str, object] = {
        "version": version,
        "services": [
            {"name": "shop", "connectionLimit": 100, "coldStartS": 0, "coldPerS": 50},
            {"name": "other", "connectionLimit": 100, "coldStartS": 0, "coldPerS": 50},
        ],
        "limits": {
            "headerBytes": 4096,
            "bodyBytes": 4_000_000,
            "headerTimeoutS": 0.5,
            "idleTimeoutS": 2.0,
        },
        "tenants": [{"name": "ana", "apiKeys": [KEY], "ratePerS": 1000, "burst": 1000}],
        "hosts": [
            {
                "host": HOST,
                "paths": [
                    path("look", "safe"),
                    path("order", "unsafe"),
                    path("put", "upload"),
                    path("open", "safe", allowAnonymous=True),
                ],
            }
        ],
    }
    whole.update(changes)
    return whole


def record(
    server: PlatformServerStandIn, service: str = "shop", **changes: object
) -> dict[str, object]:
    """Make the record by which a server registers itself."""
    status: dict[str, object] = {"state": "ready", "sequence": 1, "coldRemainingS": 0}
    status.update(changes)
    return {
        "address": server.address,
        "instanceInfo": {
            "service": service,
            "version": "v1",
            "zone": "a-1",
            "slots": 3,
        },
        "status": status,
        "born": 1000,
    }


@dataclass(slots=True)
class Reply:
    """An answer as its bytes say."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PlatformSite:
    """A running deployment and the loop that it runs on."""

    loop: asyncio.AbstractEventLoop
    store: PlatformStoreStandIn = field(default_factory=PlatformStoreStandIn)
    servers: list[PlatformServerStandIn] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)

    def run(self, work: Awaitable[T]) -> T:
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(work)

    def wait_for(self, condition: object, text: str = "") -> None:
        """Wait until a function returns something true."""

        async def work() -> None:
            end_s = self.loop.time() + WAIT_S
            while not condition():  # type: ignore[operator]
                assert self.loop.time() < end_s, f"not reached: {text}"
                await asyncio.sleep(0.01)

        self.run(work())

    async def start(self, n_servers: int = 2, n_instances: int = 1) -> None:
        """Start the store, servers and instances."""
        await self.store.start()
        self.store.put("op/config", manifest())
        for number in range(n_servers):
            server = PlatformServerStandIn(f"i-{number}")
            await server.start()
            self.servers.append(server)
            self.store.put(f"servers/{server.server_id}", record(server))
        for number in range(n_instances):
            await self.add_instance(f"front-a-{number + 1}")

    async def add_instance(
        self, name: str, lines: LineWriter | None = None
    ) -> Instance:
        """Start one more instance."""
        settings = PlatformSettings(
            name,
            "a-1",
            "a",
            {"a-1": "a", "b-1": "b"},
            free_address(),
            free_address(),
            free_address(),
            free_address(),
            self.store.address,
            bounds=Bounds(grace_s=2.5),
        )
        instance = Instance(settings, lines=lines)
        failure = await instance.start()
        assert failure is None, failure
        self.instances.append(instance)
        return instance

    async def stop(self) -> None:
        """Stop everything."""
        for instance in self.instances:
            await instance.close()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    def send(
        self, target: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Reply:
        """Send one request on a connection of its own."""
        return self.run(self.ask(target, method, body, **headers))

    async def ask(
        self, target: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Reply:
        """Send one request on a connection of its own."""
        reader, writer = await self.connect()
        writer.write(request_bytes(target, method, body, **headers))
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def connect(
        self, number: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to an instance."""
        host, _, port = self.instances[number].settings.listen.rpartition(":")
        return await asyncio.open_connection(host, int(port))


def request_bytes(
    target: str, method: str = "GET", body: bytes = b"", **headers: str
) -> bytes:
    """Write a request; header names have underscores for hyphens."""
    fields = {
        "Host": HOST,
        "X-Request-Id": f"id-{target}",
        "X-Deadline-Milliseconds": "2000",
        "X-Credential": KEY,
    }
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = [f"{name}: {value}" for name, value in fields.items() if value]
    return "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", ""]).encode() + body


async def read_reply(reader: asyncio.StreamReader, timeout_s: float = WAIT_S) -> Reply:
    """Read one framed answer.

    Raises:
        ConnectionError: If the connection ended before the answer.
    """
    async with asyncio.timeout(timeout_s):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            status_line, *lines = head.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("no whole answer") from error
    return Reply(int(status_line.split()[1]), headers, body)


def encode(value: object) -> bytes:
    """Write a value as the store holds it."""
    return json.dumps(value).encode()
