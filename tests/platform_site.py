"""Runs a small deployment on loopback in an event loop of its own."""

import asyncio
import gc
import json
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import TypeVar

from rhubarbspan.edge.instance import Instance
from rhubarbspan.edge.lines import LineWriter
from rhubarbspan.standins.platform_deployment import (
    PlatformDeployment,
    Reply,
    connect,
    send_request,
)
from rhubarbspan.standins.platform_server import PlatformServerStandIn
from rhubarbspan.standins.platform_store import PlatformStoreStandIn
from rhubarbspan.verdict import Failure

T = TypeVar("T")
WAIT_S = 5.0


@dataclass(slots=True)
class PlatformSite:
    """A running deployment and its event loop."""

    loop: asyncio.AbstractEventLoop
    deployment: PlatformDeployment = field(default_factory=PlatformDeployment)

    @property
    def store(self) -> PlatformStoreStandIn:
        """The platform's store."""
        return self.deployment.store

    @property
    def servers(self) -> list[PlatformServerStandIn]:
        """The servers, in the order of their start."""
        return self.deployment.servers

    @property
    def instances(self) -> list[Instance]:
        """The instances, in the order of their start."""
        return self.deployment.instances

    def run(self, work: Awaitable[T]) -> T:
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(work)

    def wait_for(self, condition: object, text: str = "") -> None:
        """Wait until a function returns a true value."""

        async def work() -> None:
            end_s = self.loop.time() + WAIT_S
            while not condition():  # type: ignore[operator]
                assert self.loop.time() < end_s, f"not reached: {text}"
                await asyncio.sleep(0.01)

        self.run(work())

    async def start(self, n_servers: int = 2, n_instances: int = 1) -> None:
        """Start the store, servers and instances."""
        await self.deployment.start_store()
        for _ in range(n_servers):
            await self.deployment.add_server()
        for number in range(n_instances):
            await self.add_instance(f"front-a-{number + 1}")

    async def add_instance(
        self, name: str, lines: LineWriter | None = None
    ) -> Instance:
        """Start one more instance."""
        instance = await self.deployment.add_instance(name, lines)
        assert not isinstance(instance, Failure), instance
        return instance

    async def stop(self) -> None:
        """Stop everything."""
        await self.deployment.stop()

    def send(
        self, target: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Reply:
        """Send one request on a connection of its own."""
        return self.run(self.ask(target, method, body, **headers))

    async def ask(
        self, target: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Reply:
        """Send one request on a connection of its own."""
        address = self.instances[0].settings.listen
        return await send_request(address, target, method, body, **headers)

    async def connect(
        self, number: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to an instance."""
        return await connect(self.instances[number].settings.listen)


def encode(value: object) -> bytes:
    """Encode a value as the store keeps it."""
    return json.dumps(value).encode()


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what is left in an event loop and close it.

    What refers to the loop is collected before: finalizers that run later find the loop
    closed and raise in whichever test runs then.
    """
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    gc.collect()
    loop.run_until_complete(asyncio.sleep(0))
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()
