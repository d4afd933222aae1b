"""Runs instances as processes with the deploy file's command, and callers for them."""

import asyncio
import json
import os
import random
import signal
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from rhubarbspan.standins.deployment import free_address
from rhubarbspan.standins.platform_deployment import (
    DATA_CENTRE_REGIONS,
    HOST,
    PlatformDeployment,
    Reply,
    configuration_document,
    connect,
    read_reply,
    request_bytes,
    send_request,
    server_record,
)
from rhubarbspan.standins.platform_server import PlatformServerStandIn

ROOT = Path(__file__).parent.parent
START_S = 20.0
RESTART_DELAY_S = 0.3
PIECES_PER_BODY = 4
# Some callers keep a look-up answer for three times its lifetime.
LOOKUP_KEEPS = (1, 1, 3)


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
            self.running.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.running is not None and self.running.returncode is None


@dataclass(slots=True)
class ProcessFleet:
    """A store and servers in this process, and instances in processes of their own."""

    folder: Path
    rng: random.Random
    grace_s: float = 6.0
    drain_s: float = 2.5
    deployment: PlatformDeployment = field(default_factory=PlatformDeployment)
    instances: list[InstanceProcess] = field(default_factory=list)
    sendings: list[Sending] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    leaves: list[Leave] = field(default_factory=list)
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
            "bounds": [f"graceS={self.grace_s:g}", f"drainS={self.drain_s:g}"],
            "platform": {"address": self.deployment.store.address},
        }
        file = self.folder / f"{name}.yaml"
        file.write_text(json.dumps(settings))
        self.instances.append(InstanceProcess(name, zone, file, addresses))

    async def start_process(self, instance: InstanceProcess) -> None:
        """Start a process as the deploy file says; its log goes to a file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        words = role["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "src"),
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


@dataclass(slots=True)
class Caller:
    """A caller that sends one request after the other.

    Attributes:
        keeps_connections: Whether it sends on a connection until that ends.
        is_chunked: Whether its orders have a body in chunks.
        sends_body_for_s: Time over which it sends a body in chunks.
        keeps_lookup: For how many lifetimes it uses a look-up answer.
        timeout_s: How long it waits for a response.
    """

    fleet: ProcessFleet
    name: str
    zone: str
    rng: random.Random
    keeps_connections: bool = True
    is_chunked: bool = False
    sends_body_for_s: float = 0.0
    method: str = "POST"
    keeps_lookup: int = 1
    timeout_s: float = 4.0
    pause_s: float = 0.05
    starts_after_s: float = 0.0
    n_sent: int = 0
    named: list[InstanceProcess] = field(default_factory=list)
    looked_up_until_s: float = 0.0

    async def run(self, until_s: float) -> None:
        """Send requests until a time of the event loop."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.starts_after_s)
        while loop.time() < until_s:
            await self.look_up()
            if not self.named:
                await asyncio.sleep(self.pause_s)
                continue
            instance = self.rng.choice(self.named)
            try:
                reader, writer = await connect(instance.addresses["front"])
            except OSError:
                await asyncio.sleep(self.pause_s)
                continue
            try:
                while await self._send(instance, reader, writer):
                    await asyncio.sleep(self.pause_s * self.rng.random())
                    await self.look_up()
                    if loop.time() >= until_s or instance not in self.named:
                        break
            finally:
                writer.close()
            await asyncio.sleep(self.pause_s)

    async def look_up(self) -> None:
        """Look up the instances again if the answer in use has expired."""
        loop = asyncio.get_running_loop()
        if loop.time() < self.looked_up_until_s:
            return
        named, lifetime_s = await self.fleet.look_up(self.zone)
        if named:
            self.named = named
            self.looked_up_until_s = loop.time() + self.keeps_lookup * lifetime_s

    async def _send(
        self,
        instance: InstanceProcess,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; return whether the connection can be used again."""
        loop = asyncio.get_running_loop()
        self.n_sent += 1
        request_id = f"{self.name}-{self.n_sent}"
        row = Sending(
            request_id, instance.name, self.method, self.is_chunked, loop.time()
        )
        self.fleet.sendings.append(row)
        reply: Reply | None = None
        try:
            await self._write(row, writer)
            row.sent_s = loop.time()
            row.status = 0
            reply = await read_reply(reader, self.timeout_s + 1.0)
            row.status = reply.status
            row.retry_after_s = float(reply.headers.get("retry-after", "0"))
        except (OSError, TimeoutError):
            pass
        row.ended_s = loop.time()
        is_open = reply is not None and reply.headers.get("connection") != "close"
        return is_open and self.keeps_connections

    async def _write(self, row: Sending, writer: asyncio.StreamWriter) -> None:
        headers = {
            "X_Request_Id": row.request_id,
            "X_Deadline_Milliseconds": str(int(1000 * self.timeout_s)),
        }
        target = "/order/x" if self.method == "POST" else "/look/x"
        if not self.is_chunked:
            body = row.request_id.encode() if self.method == "POST" else b""
            writer.write(request_bytes(target, self.method, body, **headers))
            return
        chunked = {"Content_Length": "", "Transfer_Encoding": "chunked"}
        writer.write(request_bytes(target, self.method, **headers, **chunked))
        for number in range(PIECES_PER_BODY):
            await asyncio.sleep(self.sends_body_for_s / PIECES_PER_BODY)
            piece = row.request_id.encode()
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            if number == PIECES_PER_BODY - 1:
                writer.write(b"0\r\n\r\n")
            await writer.drain()


def lost_sendings(fleet: ProcessFleet) -> list[str]:
    """List requests that were read and got no whole response around a planned stop.

    Excused are those that their caller sent early in the grace period and whose server
    was still at work in its last sixth.
    """
    lost: list[str] = []
    for row in fleet.sendings:
        if row.status != 0:
            continue
        for stop in fleet.stops:
            since_s = row.sent_s - stop.terminated_s
            end_s = row.ended_s - stop.terminated_s
            is_near = row.instance == stop.instance and end_s >= 0
            if not is_near or since_s > fleet.grace_s or end_s > fleet.grace_s + 1:
                continue
            if since_s <= 3.0 and end_s >= fleet.grace_s * 5 / 6:
                continue
            lost.append(_describe_loss(fleet, row, stop))
            break
    return lost


def _describe_loss(fleet: ProcessFleet, row: Sending, stop: Stop) -> str:
    body = "chunks" if row.is_chunked else "by length"
    how = "was killed" if stop.killed_s < float("inf") else "exited"
    sent_s, ended_s, exited_s = (
        round(at_s - stop.terminated_s, 2)
        for at_s in (row.sent_s, row.ended_s, stop.exited_s)
    )
    return (
        f"{row.request_id} {row.method} ({body}), run {fleet.runs_of(row.request_id)} "
        f"times: sent {sent_s} s after the SIGTERM to {row.instance}, which {how} "
        f"{exited_s} s after it; its connection ended at {ended_s} s"
    )


def sent_to_leaving_servers(fleet: ProcessFleet) -> list[str]:
    """List requests that reached a server long after it had said that it leaves.

    The time counts for each instance from the first such response that it passed on.
    """
    late: list[str] = []
    for leave in fleet.leaves:
        told_s: dict[str, float] = {}
        rows = [row for row in fleet.sendings if leave.server.runs[row.request_id]]
        for row in sorted(rows, key=lambda row: row.ended_s):
            if row.status == 200 and leave.from_s < row.ended_s < leave.to_s:
                told_s.setdefault(row.instance, row.ended_s)
        for row in rows:
            since_s = told_s.get(row.instance, float("inf"))
            limit_s = since_s + fleet.drain_s
            if not limit_s < row.sent_s < leave.to_s:
                continue
            if not _has_stopped(fleet, row.instance, since_s, row.sent_s):
                late.append(
                    f"{row.request_id} reached {leave.server.server_id} from "
                    f"{row.instance} {row.sent_s - limit_s:.2f} s too late"
                )
    return late


def _has_stopped(
    fleet: ProcessFleet, instance: str, from_s: float, to_s: float
) -> bool:
    return any(
        stop.instance == instance and from_s <= stop.terminated_s <= to_s
        for stop in fleet.stops
    )


def broken_promises(fleet: ProcessFleet) -> list[str]:
    """List orders that ran twice, and orders that were refused and ran."""
    broken: list[str] = []
    for row in fleet.sendings:
        n_runs = fleet.runs_of(row.request_id)
        if row.method == "POST" and n_runs > 1:
            broken.append(f"{row.request_id} ran {n_runs} times")
        if row.method == "POST" and row.status in (408, 421, 429, 503) and n_runs:
            broken.append(f"{row.request_id} was refused with {row.status}, and ran")
        if row.status == 200 and not n_runs:
            broken.append(f"{row.request_id} was answered, and no server ran it")
    return broken
