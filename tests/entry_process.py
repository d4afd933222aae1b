"""A daemon of the own interface that runs as a process beside stand-ins."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from edge_site import KEY
from rhubarbspan.standins.caller import CallerStandIn, CallResult
from rhubarbspan.standins.deployment import Deployment, free_address

ROOT = Path(__file__).parent.parent
GRACE_S = 6.0
START_S = 20.0
# Service time of an order, and the timeout of its route.
SERVICE_S = 2.4
TIMEOUT_S = 4.0
N_SERVERS = 30
# Time in which a new instance takes over its slots.
SETTLE_S = 3.0


@dataclass(slots=True)
class Entry:
    """A daemon that runs as a process beside stand-ins in this one.

    Attributes:
        results: What callers saw, with the time of sending.
        exited_s: When the process ended, by the event loop's clock.
        was_killed: Whether it still ran at the end of the grace period.
    """

    folder: Path
    deployment: Deployment
    address: str = field(default_factory=free_address)
    running: asyncio.subprocess.Process | None = None
    results: list[tuple[float, CallResult]] = field(default_factory=list)
    exited_s: float = 0.0
    was_killed: bool = False

    async def start(self) -> None:
        """Start the stand-ins and the daemon, and wait until it serves."""
        await self.deployment.start(seats=[])
        lines = [
            "[instance]",
            "seat = x-1",
            "data_centre = x",
            "region = r",
            f"listen = {self.address}",
            f"peer_listen = {free_address()}",
            f"grace_s = {GRACE_S:g}",
            "[platform]",
            f"store = {self.deployment.store.address}",
        ]
        file = self.folder / "entry.ini"
        file.write_text("\n".join(lines))
        with (self.folder / "entry.log").open("wb") as log:
            self.running = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "rhubarbspan", "entry", "--settings", file),
                env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
                stderr=log,
            )
        async with CallerStandIn([self.address], KEY) as caller:
            async with asyncio.timeout(START_S):
                while (await caller.send(self.address, "/look/first")).status != 200:
                    await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop the daemon as a platform does: SIGTERM, and later SIGKILL."""
        assert self.running is not None
        self.running.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.running.wait()
        except TimeoutError:
            self.was_killed = True
            self.running.kill()
            await self.running.wait()
        self.exited_s = asyncio.get_running_loop().time()

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
