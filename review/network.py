"""Links between daemons, and to the store, that can be cut pair by pair.

Daemon X listens on 127.0.0.X. The others reach it through a proxy: for daemon Y it is
at 127.0.Y.X, with the same port. Since daemons tell their address in the store and in
heartbeats, both are rewritten as a translating router would, to texts of equal length.
A link that is cut is silent: nothing passes, and nothing is reset.
"""

import asyncio
import base64
import json

from aiohttp import web
from stage import Daemon, Stage, free_port

STORE = "store"
POLL_S = 0.1


class Network:
    """The links of daemons numbered from 1."""

    def __init__(self, numbers: list[int]) -> None:
        self.numbers = numbers
        self.port = free_port()
        self._cuts: set[tuple[object, object]] = set()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self._runners: list[web.AppRunner] = []

    def cut(self, one: object, other: object) -> None:
        """Cut a link in both directions."""
        self._cuts |= {(one, other), (other, one)}

    def _own(self, number: int) -> bytes:
        return f"127.0.0.{number}:{self.port}".encode()

    def _seen(self, viewer: int, number: int) -> bytes:
        return f"127.0.{viewer}.{number}:{self.port}".encode()

    async def start(self) -> None:
        """Open the proxies."""
        for viewer in self.numbers:
            for number in self.numbers:
                if viewer != number:
                    self._servers.append(await asyncio.start_server(
                        lambda r, w, x=viewer, y=number: self._link(x, y, r, w),
                        f"127.0.{viewer}.{number}", self.port))

    async def stop(self) -> None:
        """Close the proxies."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()

    async def add_daemon(self, stage: Stage, number: int, zone: str) -> Daemon:
        """Add a daemon with its own way to the store."""
        address = await self._open_store(number, stage.store)
        daemon = Daemon(stage.temporary, f"front-{zone}-1", zone, address)
        daemon.peer_port = self.port
        daemon.ip = f"127.0.0.{number}"
        daemon.write_settings()
        stage.daemons.append(daemon)
        return daemon

    async def _pass(self, one: object, other: object) -> None:
        while (one, other) in self._cuts:
            await asyncio.sleep(POLL_S)

    async def _link(self, viewer: int, number: int, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._pass(viewer, number)
            host = f"127.0.0.{number}"
            there, back = await asyncio.open_connection(host, self.port)
            old, new = self._own(viewer), self._seen(number, viewer)
            await asyncio.gather(self._pump(viewer, number, reader, back, old, new),
                                 self._pump(number, viewer, there, writer, b"", b""))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _pump(self, sender, receiver, reader, writer, old: bytes, new: bytes):
        held = b""
        try:
            while data := await reader.read(65536):
                await self._pass(sender, receiver)
                data, held = held + data, b""
                if old:
                    data = data.replace(old, new)
                    # The start of an address may have been received, without its end.
                    n_held = next((n for n in range(len(old) - 1, 0, -1)
                                   if data.endswith(old[:n])), 0)
                    if n_held:
                        data, held = data[:-n_held], data[-n_held:]
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    async def _open_store(self, number: int, store) -> str:
        from rhubarbspan.standins.listening import listen

        @web.middleware
        async def rewrite(request, handler):
            await self._pass(number, STORE)
            response = await handler(request)
            await self._pass(number, STORE)
            if request.method != "GET" or response.status != 200:
                return response
            document = json.loads(response.body)
            rows = document.get("items", document.get("events", [document]))
            for row in rows:
                if row.get("value") and "/instances/" in row["key"]:
                    value = base64.b64decode(row["value"])
                    for other in self.numbers:
                        if other != number:
                            value = value.replace(self._own(other),
                                                  self._seen(number, other))
                    row["value"] = base64.b64encode(value).decode()
            return web.json_response(document)

        application = web.Application(middlewares=[rewrite])
        router = application.router
        router.add_get("/api/kv-key", store._read_key)
        router.add_get("/api/kv-range", store._range)
        router.add_get("/api/kv-watch", store._watch)
        router.add_post("/api/kv-txn", store._transact)
        router.add_post("/api/kv-lease", store._open_lease)
        router.add_post("/api/kv-keep/{lease}", store._keep_lease)
        router.add_delete("/api/kv-lease-end/{lease}", store._end_lease)
        runner, address = await listen(application, "127.0.0.1", 0)
        self._runners.append(runner)
        return address
