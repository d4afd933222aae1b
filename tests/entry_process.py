"""A daemon of the own interface that runs as a process beside stand-ins."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from edge_site import KEY
from held_up import describe_machine, waited_s
from process_caller import finish_upload
from rhubarbspan.standins.caller import CallerStandIn, CallResult
from rhubarbspan.standins.deployment import Deployment, free_address
from rhubarbspan.standins.platform_deployment import Reply, connect

ROOT = Path(__file__).parent.parent
GRACE_S = 6.0
START_S = 20.0
# Service time of an order, and the timeout of its route.
SERVICE_S = 2.4
TIMEOUT_S = 4.0
N_SERVERS = 30
# Of a process that was killed, this much of its log is told.
LOG_CHARACTERS = 2000
# Time in which a new instance takes over its slots.
SETTLE_S = 3.0


@dataclass(slots=True)
class Entry:
    """A daemon that runs as a process beside stand-ins in this one.

    Attributes:
        results: What callers saw, with the time of sending.
        terminated_s: When it was asked to stop last, by the event loop's clock.
        exited_s: When the process ended after that.
        was_killed: Whether it still ran at the end of the grace period.
        stop_report: What a failed test tells of the last stop.
        machine_limits: The limits of its machine in its settings.
    """

    folder: Path
    deployment: Deployment
    seat: str = "x-1"
    address: str = field(default_factory=free_address)
    peer_address: str = field(default_factory=free_address)
    running: asyncio.subprocess.Process | None = None
    results: list[tuple[float, CallResult]] = field(default_factory=list)
    terminated_s: float = 0.0
    exited_s: float = 0.0
    was_killed: bool = False
    stop_report: str = ""
    machine_limits: dict[str, int] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the stand-ins and the daemon, and wait until it serves."""
        await self.deployment.start(seats=[])
        await self.start_process()
        await self.wait_until_serving()

    async def start_process(self) -> None:
        """Start the daemon; its log goes to a file."""
        data_centre = self.seat.rpartition("-")[0]
        lines = [
            "[instance]",
            f"seat = {self.seat}",
            f"data_centre = {data_centre}",
            f"region = {self.deployment.configuration.region_of(data_centre)}",
            f"listen = {self.address}",
            f"peer_listen = {self.peer_address}",
            f"grace_s = {GRACE_S:g}",
            "[platform]",
            f"store = {self.deployment.store.address}",
        ]
        if self.machine_limits:
            rows = self.machine_limits.items()
            lines += ["[limits]", *(f"{name} = {value}" for name, value in rows)]
        file = self.folder / f"{self.seat}.ini"
        file.write_text("\n".join(lines))
        with (self.folder / f"{self.seat}.log").open("ab") as log:
            self.running = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "rhubarbspan", "entry", "--settings", file),
                env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
                stderr=log,
            )

    async def wait_until_serving(self) -> None:
        """Wait until a look-up is answered by a server."""
        async with CallerStandIn([self.address], KEY) as caller:
            async with asyncio.timeout(START_S):
                while (await caller.send(self.address, "/look/first")).status != 200:
                    await asyncio.sleep(0.1)

    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.running is not None and self.running.returncode is None

    def send_signal(self, number: int) -> None:
        """Send the process a signal if it runs."""
        if self.running is not None and self.running.returncode is None:
            # The library's own way may take the exit status from its watcher.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.running.pid, number)

    async def stop(self) -> None:
        """Stop the daemon as a platform does: SIGTERM, and later SIGKILL."""
        assert self.running is not None
        loop = asyncio.get_running_loop()
        pid = self.running.pid
        waited_before_s = waited_s(pid)
        self.terminated_s = loop.time()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.running.wait()
        except TimeoutError:
            self.was_killed = True
            waited = f"waited {waited_s(pid) - waited_before_s:.2f} s for a processor"
            self.send_signal(signal.SIGKILL)
            await self.running.wait()
            log = (self.folder / f"{self.seat}.log").read_text()[-LOG_CHARACTERS:]
            self.stop_report = f"killed; {waited}; {describe_machine()}\n{log}"
        self.exited_s = loop.time()

    async def close(self) -> None:
        """End the process and the stand-ins."""
        if self.running is not None and self.running.returncode is None:
            self.running.kill()
            await self.running.wait()
        await self.deployment.stop()

    async def send_orders(self, from_s: float, for_s: float, interval_s: float) -> None:
        """Send orders at regular times, each on a connection of its own."""
        loop = asyncio.get_running_loop()

        async def send(delay_s: float) -> None:
            await asyncio.sleep(delay_s)
            sent_s = loop.time()
            async with CallerStandIn([self.address], KEY) as caller:
                path = f"/put/x?wait_ms={1000 * SERVICE_S:.0f}"
                body = f"pour {delay_s}".encode()
                result = await caller.send(self.address, path, "POST", body)
            self.results.append((sent_s, result))

        n_orders = int(for_s / interval_s)
        delays_s = [from_s + number * interval_s for number in range(n_orders)]
        await asyncio.gather(*(send(delay_s) for delay_s in delays_s))


RunEntry = Callable[..., None]


async def send_body(
    entry: Entry, framing: str, chunk: bytes, n_chunks: int, pause_s: float = 0.0
) -> Reply | None:
    """Send an upload, also after its response; return the response if there is one."""
    connection = await connect(entry.address)
    head = f"POST /put/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    connection[1].write(f"{head}{framing}\r\n\r\n".encode())
    return await finish_upload(connection, chunk, n_chunks, pause_s)
