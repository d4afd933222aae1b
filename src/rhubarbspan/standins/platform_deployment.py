"""A deployment on the platform in one process: store, servers, instances, requests."""

import asyncio
import json
from dataclasses import dataclass, field

from ..edge.instance import Instance
from ..edge.lines import LineWriter
from ..platform.settings import Bounds, PlatformSettings
from ..verdict import Failure
from .deployment import free_address
from .platform_server import PlatformServerStandIn
from .platform_store import PlatformStoreStandIn

HOST = "shop.example"
KEY = "secret-ana"
RESPONSE_TIMEOUT_S = 5.0
# Short, so that instances stop soon in tests.
GRACE_S = 2.5
DATA_CENTRE_REGIONS = {"a-1": "a", "b-1": "b"}


def configuration_document(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration in the format of the platform's operators.

    Args:
        version: Version of the configuration.
        changes: Top-level keys to replace.
    """

    def path_rule(name: str, kind: str, **more: object) -> dict[str, object]:
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

    document: dict[str, object] = {
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
                    path_rule("look", "safe"),
                    path_rule("order", "unsafe"),
                    path_rule("put", "upload"),
                    path_rule("open", "safe", allowAnonymous=True),
                ],
            }
        ],
    }
    document.update(changes)
    return document


def server_record(
    server: PlatformServerStandIn,
    service: str = "shop",
    zone: str = "a-1",
    **changes: object,
) -> dict[str, object]:
    """Return the record that a server writes to the store to register itself.

    Args:
        server: The server.
        service: Service that the server belongs to.
        zone: Data centre of the server.
        changes: Keys of the status to replace.
    """
    status: dict[str, object] = {"state": "ready", "sequence": 1, "coldRemainingS": 0}
    status.update(changes)
    return {
        "address": server.address,
        "instanceInfo": {
            "service": service,
            "version": "v1",
            "zone": zone,
            "slots": 3,
        },
        "status": status,
        "born": 1000,
    }


@dataclass(slots=True)
class Reply:
    """A parsed HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PlatformDeployment:
    """A store, servers and instances on loopback.

    Attributes:
        data_centres: Region of each data centre.
        zones: Data centre of each server.
    """

    store: PlatformStoreStandIn = field(default_factory=PlatformStoreStandIn)
    servers: list[PlatformServerStandIn] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    data_centres: dict[str, str] = field(
        default_factory=lambda: dict(DATA_CENTRE_REGIONS)
    )
    zones: dict[str, str] = field(default_factory=dict)

    async def start_store(self) -> None:
        """Start the store and write a configuration to it."""
        await self.store.start()
        self.store.put("op/config", configuration_document())

    async def add_server(self, zone: str = "a-1") -> PlatformServerStandIn:
        """Start another server and register it."""
        server = PlatformServerStandIn(f"i-{len(self.servers)}")
        await server.start()
        self.servers.append(server)
        self.zones[server.server_id] = zone
        self.store.put(f"servers/{server.server_id}", server_record(server, zone=zone))
        return server

    async def add_instance(
        self, name: str, lines: LineWriter | None = None, zone: str = "a-1"
    ) -> Instance | Failure:
        """Start another instance."""
        settings = PlatformSettings(
            name,
            zone,
            self.data_centres[zone],
            self.data_centres,
            free_address(),
            free_address(),
            free_address(),
            free_address(),
            self.store.address,
            bounds=Bounds(grace_s=GRACE_S),
        )
        instance = Instance(settings, lines=lines)
        failure = await instance.start()
        if failure is not None:
            return failure
        self.instances.append(instance)
        return instance

    def is_ready(self) -> bool:
        """Return whether each instance has the configuration, all servers and peers."""
        n_peers = len(self.instances) - 1
        return all(
            instance.world.configuration.revision > 0
            and len(instance.world.servers.rows()) == len(self.servers)
            and len(instance.world.peers.alive()) == n_peers
            for instance in self.instances
        )

    def directories(self, zone: str) -> list[str]:
        """List the look-up addresses of all instances, those in a data centre first."""
        rows = [instance.settings for instance in self.instances]
        rows.sort(key=lambda settings: settings.data_centre != zone)
        return [settings.lookup_listen for settings in rows]

    def servers_of(self, zone: str) -> list[str]:
        """List the identifiers of the servers in a data centre."""
        return [s.server_id for s in self.servers if self.zones[s.server_id] == zone]

    def grant(self, tenant: str, key: str) -> None:
        """Publish a configuration with a tenant that has this one key."""
        added = {"name": tenant, "apiKeys": [key], "ratePerS": 1000, "burst": 1000}
        tenants = [row for row in self._tenants() if row["name"] != tenant]
        self._publish([*tenants, added])

    def withdraw(self, tenant: str) -> None:
        """Publish a configuration in which a tenant has no keys."""
        rows = self._tenants()
        self._publish(
            [{**row, "apiKeys": []} if row["name"] == tenant else row for row in rows]
        )

    def drain(self, server: PlatformServerStandIn) -> None:
        """Register a server as draining."""
        zone = self.zones[server.server_id]
        leaving = server_record(server, zone=zone, state="draining", sequence=2)
        self.store.put(f"servers/{server.server_id}", leaving)

    def evacuate(self, zone: str) -> None:
        """Evacuate a data centre: instances send no requests to its servers."""
        self.store.put(f"op/evacuate/{zone}", {})

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a data centre."""
        self.store.delete(f"op/evacuate/{zone}")

    def _tenants(self) -> list[dict[str, object]]:
        stored = json.loads(self.store.items["op/config"].value)
        rows: list[dict[str, object]] = stored["tenants"]
        return rows

    def _publish(self, tenants: list[dict[str, object]]) -> None:
        version = json.loads(self.store.items["op/config"].value)["version"]
        self.store.put(
            "op/config", configuration_document(version + 1, tenants=tenants)
        )

    async def stop(self) -> None:
        """Stop everything."""
        for instance in self.instances:
            await instance.close()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to an address."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_request(
    address: str, target: str, method: str = "GET", body: bytes = b"", **headers: str
) -> Reply:
    """Send one request on a new connection and return the response.

    Raises:
        OSError: If the connection fails or ends before the response is complete.
        TimeoutError: If the response is not complete in time.
    """
    reader, writer = await connect(address)
    try:
        writer.write(request_bytes(target, method, body, **headers))
        return await read_reply(reader)
    finally:
        writer.close()


def request_bytes(
    target: str, method: str = "GET", body: bytes = b"", **headers: str
) -> bytes:
    """Encode a request.

    Args:
        target: Request target.
        method: Request method.
        body: Request body.
        headers: Further headers, with underscores for the hyphens in their names; an
            empty value removes a default header.
    """
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


async def read_reply(
    reader: asyncio.StreamReader, timeout_s: float = RESPONSE_TIMEOUT_S
) -> Reply:
    """Read one response that has a content length.

    Raises:
        ConnectionError: If the connection ends before the response is complete.
        TimeoutError: If the response is not complete in time.
    """
    async with asyncio.timeout(timeout_s):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            status_line, *lines = head.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines if line)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("connection ended within a response") from error
    return Reply(int(status_line.split()[1]), headers, body)
