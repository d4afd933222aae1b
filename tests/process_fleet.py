"""Runs instances as processes with the deploy file's command."""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from rhubarbspan.platform.records import INSTANCE_PREFIX
from rhubarbspan.standins.deployment import free_address
from rhubarbspan.standins.platform_deployment import (
    DATA_CENTRE_REGIONS,
    HOST,
    PlatformDeployment,
    configuration_document,
    send_request,
    server_record,
)
from rhubarbspan.standins.platform_server import PlatformServerStandIn
from rhubarbspan.standins.platform_store import Mode

ROOT = Path(__file__).parent.parent
START_S = 20.0
RESTART_DELAY_S = 0.3
# The platform's bound on withdrawn keys, and the time in which an instance takes up
# another one from its settings file.
REVOCATION_S = 5.0
TAKEN_UP_S = 2.0


@dataclass(slots=True)
class Sending:
    """One request as its caller saw it; times are those of the event loop.

    Attributes:
        sent_s: When its last byte was written, or infinity.
        status: Status of the response, 0 if the connection ended without one, -1 if
            there was no connection or the last byte was not written.
    """

    request_id: str
    instance: str
    method: str
    is_chunked: bool
    begun_s: float
    sent_s: float = float("inf")
    ended_s: float = float("inf")
    status: int = -1
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Stop:
    """A planned stop of a process.

    Attributes:
        killed_s: When it was killed at the end of the grace period, or infinity if it
            exited before.
    """

    instance: str
    terminated_s: float
    exited_s: float = float("inf")
    killed_s: float = float("inf")


@dataclass(slots=True)
class Leave:
    """A time in which a server said that it leaves, while its record said ready."""

    server: PlatformServerStandIn
    from_s: float
    to_s: float = float("inf")


@dataclass(slots=True)
class Withdrawal:
    """A key that the operator has withdrawn, and what it was answered since.

    Attributes:
        withdrawn_s: When the store acknowledged the withdrawal.
        accepted: When each request with the key was sent that was not refused, and to
            which instance.
    """

    key: str
    withdrawn_s: float
    accepted: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True)
class Outage:
    """A time in which the store was away, or lacked what a restore had lost."""

    from_s: float
    to_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class RevocationBound:
    """A bound on withdrawn keys that was written to an instance's settings file."""

    instance: str
    written_s: float
    revocation_s: float


@dataclass(slots=True)
class InstanceProcess:
    """The process of one instance, and its addresses."""

    name: str
    zone: str
    file: Path
    addresses: dict[str, str]
    running: asyncio.subprocess.Process | None = None

    def send_signal(self, number: int) -> None:
        """Send the process a signal if it runs."""
        if self.running is not None and self.running.returncode is None:
            # The library's own way may take the exit status from its watcher.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.running.pid, number)

    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.running is not None and self.running.returncode is None


@dataclass(slots=True)
class ProcessFleet:
    """A store and servers in this process, and instances in processes of their own.

    Attributes:
        machine_limits: The limits of a machine in the settings of the instances.
        source: Folder of the code that the instances run.
        unfinished_callers: Addresses of callers whose requests were never sent to their
            end.
    """

    folder: Path
    rng: random.Random
    grace_s: float = 6.0
    drain_s: float = 2.5
    machine_limits: dict[str, int] = field(default_factory=dict)
    source: Path = ROOT / "src"
    deployment: PlatformDeployment = field(default_factory=PlatformDeployment)
    instances: list[InstanceProcess] = field(default_factory=list)
    sendings: list[Sending] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    leaves: list[Leave] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    unfinished_callers: set[str] = field(default_factory=set)
    bounds: list[RevocationBound] = field(default_factory=list)
    n_restores: int = 0
    own_ends: list[str] = field(default_factory=list)
    n_sent: int = 0

    async def start(
        self, n_instances: int, service_times_s: list[float], timeout_s: float = 4.0
    ) -> None:
        """Start the store, a server for each service time, and the instances."""
        await self.deployment.start_store()
        self.deployment.store.put("op/config", configuration(timeout_s))
        zones = list(DATA_CENTRE_REGIONS)
        for number, service_s in enumerate(service_times_s):
            server = await self.deployment.add_server(zones[number % len(zones)])
            server.service_s = service_s
        for number in range(n_instances):
            self._add_instance(f"front-{number + 1}", zones[number % len(zones)])
        for instance in self.instances:
            await self.start_process(instance)
        for instance in self.instances:
            await self.wait_until_ready(instance)

    def _add_instance(self, name: str, zone: str) -> None:
        kinds = ("front", "ready", "directory", "control")
        addresses = {kind: free_address() for kind in kinds}
        peer_port = int(free_address().rpartition(":")[2])
        settings = {
            "nodeName": name,
            "zone": zone,
            "region": DATA_CENTRE_REGIONS[zone],
            "zones": DATA_CENTRE_REGIONS,
            "ipAddress": "127.0.0.1",
            "listenAddresses": addresses,
            "internalPortRange": [peer_port, peer_port],
            "bounds": self._bounds(REVOCATION_S),
            "platform": {"address": self.deployment.store.address},
            "limits": self.machine_limits,
        }
        file = self.folder / f"{name}.yaml"
        file.write_text(json.dumps(settings))
        self.instances.append(InstanceProcess(name, zone, file, addresses))

    def _bounds(self, revocation_s: float) -> list[str]:
        return [
            f"graceS={self.grace_s:g}",
            f"drainS={self.drain_s:g}",
            f"revocationS={revocation_s:g}",
        ]

    def change_bound(self, instance: InstanceProcess, revocation_s: float) -> None:
        """Write a bound on withdrawn keys to the settings file, without a signal."""
        settings = json.loads(instance.file.read_text())
        settings["bounds"] = self._bounds(revocation_s)
        # A process that starts just then must not read half of it.
        new_file = instance.file.with_suffix(".new")
        new_file.write_text(json.dumps(settings))
        new_file.replace(instance.file)
        written_s = asyncio.get_running_loop().time()
        bound = RevocationBound(instance.name, written_s, revocation_s)
        self.bounds.append(bound)

    def bound_s(self, instance: str, sent_s: float) -> float:
        """Return the longest bound on withdrawn keys that an instance may hold to."""
        held_s = REVOCATION_S
        recent_s = []
        for row in self.bounds:
            if row.instance != instance or row.written_s > sent_s:
                continue
            if row.written_s < sent_s - TAKEN_UP_S:
                held_s = row.revocation_s
            else:
                recent_s.append(row.revocation_s)
        return max([held_s, *recent_s])

    async def start_process(self, instance: InstanceProcess) -> None:
        """Start a process as the deploy file says; its log goes to a file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        words = role["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(self.source),
            "RHUBARBSPAN_SETTINGS": str(instance.file),
            **role["env"],
        }
        with (self.folder / f"{instance.name}.log").open("ab") as log:
            instance.running = await asyncio.create_subprocess_exec(
                sys.executable, *words[1:], cwd=ROOT, env=environment, stdout=log
            )

    async def wait_until_ready(self, instance: InstanceProcess) -> None:
        """Wait until an instance says that it is ready."""
        async with asyncio.timeout(START_S):
            while not await is_ready(instance):
                await asyncio.sleep(0.05)

    async def stop_and_restart(self, instance: InstanceProcess) -> Stop:
        """Stop a process as the platform does, and start it again.

        It gets a SIGTERM, and a SIGKILL at the end of the grace period.
        """
        loop = asyncio.get_running_loop()
        stop = Stop(instance.name, loop.time())
        self.stops.append(stop)
        instance.send_signal(signal.SIGTERM)
        assert instance.running is not None
        try:
            async with asyncio.timeout(self.grace_s):
                await instance.running.wait()
        except TimeoutError:
            stop.killed_s = loop.time()
            instance.send_signal(signal.SIGKILL)
            await instance.running.wait()
        stop.exited_s = loop.time()
        if stop.killed_s == float("inf") and instance.running.returncode != 0:
            self.own_ends.append(f"{instance.name}: {instance.running.returncode}")
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start_process(instance)
        return stop

    async def leave_and_rejoin(
        self, server: PlatformServerStandIn, for_s: float
    ) -> None:
        """Have a server say that it leaves; then it is back as a new incarnation."""
        loop = asyncio.get_running_loop()
        leave = Leave(server, loop.time())
        self.leaves.append(leave)
        server.is_leaving = True
        await asyncio.sleep(for_s)
        leave.to_s = loop.time()
        server.is_leaving = False
        record = server_record(server, zone=self.deployment.zones[server.server_id])
        record["born"] = int(1000 * leave.to_s)
        self.deployment.store.put(f"servers/{server.server_id}", record)

    def write_keys(self, version: int, keys: list[str]) -> None:
        """Write a configuration with keys of a second account."""
        store = self.deployment.store
        document = json.loads(store.items["op/config"].value)
        accounts = [row for row in document["tenants"] if row["name"] != "guest"]
        limit = {"ratePerS": 1000, "burst": 1000}
        guest = {"name": "guest", "apiKeys": keys, **limit}
        document |= {"version": version, "tenants": [*accounts, guest]}
        store.put("op/config", document)

    async def restore_store(
        self, age_s: float, down_s: float, rewrite_s: float
    ) -> None:
        """Restore the store from a copy; some time later the writers write again."""
        store = self.deployment.store
        outage = self.begin_outage()
        await asyncio.sleep(down_s)
        newest = dict(store.items)
        store.restore(age_s + down_s)
        store.mode = Mode.SERVING
        self.n_restores += 1
        copy = dict(store.items)
        await asyncio.sleep(rewrite_s)
        for key, item in newest.items():
            is_own = not key.startswith(INSTANCE_PREFIX)
            # One that has been written since is newer.
            if is_own and store.items.get(key) is copy.get(key) is not item:
                store.put(key, item.value)
        outage.to_s = asyncio.get_running_loop().time()

    def begin_outage(self) -> Outage:
        """Have the store turn all calls away, unless it does so already."""
        if self.deployment.store.mode is not Mode.BUSY:
            self.deployment.store.mode = Mode.BUSY
            self.outages.append(Outage(asyncio.get_running_loop().time()))
        return self.outages[-1]

    async def look_up(self, zone: str) -> tuple[list[InstanceProcess], float]:
        """Return the instances that a caller is to use, and for how long."""
        target = f"/api/resolve?name={HOST}&region={DATA_CENTRE_REGIONS[zone]}"
        rows = sorted(self.instances, key=lambda row: row.zone != zone)
        for instance in rows:
            try:
                address = instance.addresses["directory"]
                reply = await send_request(address, f"{target}&zone={zone}")
            except (OSError, TimeoutError):
                continue
            if reply.status == 200:
                answer = json.loads(reply.body)
                named = [
                    row
                    for row in self.instances
                    if row.addresses["front"] in answer["addresses"]
                ]
                return named, answer["ttlS"]
        return [], 1.0

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            if instance.running is not None:
                await instance.running.wait()
        await self.deployment.stop()

    def log_lines(self, event: str) -> list[dict[str, object]]:
        """List the log lines of all instances with an event or a text."""
        lines: list[dict[str, object]] = []
        for file in sorted(self.folder.glob("*.log")):
            for text in file.read_text().splitlines():
                line = json.loads(text)
                if event == line["event"] or event in str(line.get("text", "")):
                    lines.append(line)
        return lines

    def runs_of(self, request_id: str) -> int:
        """Count the runs of a request on all servers."""
        return sum(server.runs[request_id] for server in self.deployment.servers)


def configuration(timeout_s: float) -> dict[str, object]:
    """Return a configuration with a look-up and an order that may take a while."""
    rows = [("look", "safe"), ("order", "unsafe"), ("put", "upload")]
    paths = [
        {
            "name": name,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutS": timeout_s,
            "targetLatencyS": 0.6,
            "priority": 1,
            "service": "shop",
            "attempts": 2,
            "allowAnonymous": False,
            "sessionAffinity": False,
            "allowedRegions": [],
        }
        for name, kind in rows
    ]
    limits = {
        "headerBytes": 4096,
        "bodyBytes": 4_000_000,
        "headerTimeoutS": 5.0,
        "idleTimeoutS": 30.0,
    }
    return configuration_document(hosts=[{"host": HOST, "paths": paths}], limits=limits)


async def is_ready(instance: InstanceProcess) -> bool:
    """Ask an instance whether it is ready."""
    try:
        reply = await send_request(instance.addresses["ready"], "/api/readiness")
    except (OSError, TimeoutError):
        return False
    return reply.status == 200
