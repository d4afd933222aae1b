"""A complete deployment in one process: stand-ins and daemons on loopback."""

import asyncio
import fcntl
import functools
import itertools
import os
import socket
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from ..checking import check_document
from ..configuration import Configuration
from ..document import Document
from ..edge.daemon import Daemon
from ..edge.store import HttpStore
from ..policies import Policies
from ..publishing import Applied, ApplyResult, apply_document
from ..settings import Settings
from ..verdict import Failure
from .backend import BackendStandIn
from .store import StoreStandIn

HOST = "127.0.0.1"
SERVICE = "rhubarbspan"
FIRST_PORT = 16_000
N_PORTS = 16_000
PORTS_PER_PROCESS = 97

_port_numbers = itertools.count()


@functools.cache
def _lock_file() -> int:
    """Return the descriptor of the file whose locked bytes are the ports in use."""
    path = Path(tempfile.gettempdir()) / f"rhubarbspan-ports-{os.getuid()}"
    return os.open(path, os.O_CREAT | os.O_RDWR, 0o600)


def _reserve(port: int) -> bool:
    """Reserve a port until the end of this process; return whether it was free."""
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_address() -> str:
    """Return a loopback address that nothing listens on.

    The port is below the system's range of ephemeral ports, so that it isn't assigned
    to another process before it is used. No other process gets it here, also while
    nobody listens on it.
    """
    first = os.getpid() * PORTS_PER_PROCESS
    for _ in range(N_PORTS):
        port = FIRST_PORT + (first + next(_port_numbers)) % N_PORTS
        if not _reserve(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return f"{HOST}:{port}"
    raise OSError("no free port on loopback")


@dataclass(slots=True)
class Deployment:
    """A store, backend servers and daemons.

    Attributes:
        n_servers: Number of backend servers of each pool in each data centre.
    """

    document: Document
    n_servers: int = 1
    service_s: float = 0.02
    configuration: Configuration = field(default_factory=Configuration)
    store: StoreStandIn = field(default_factory=StoreStandIn)
    backends: dict[str, BackendStandIn] = field(default_factory=dict)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    client: HttpStore | None = None

    async def start(
        self, host: str = HOST, port: int = 0, seats: list[str] | None = None
    ) -> None:
        """Start everything and publish the configuration.

        Args:
            host: IP address that the store listens on.
            port: Port of the store; 0 for any free port.
            seats: Seats to start daemons for; all seats if None.
        """
        self.configuration, problems = check_document(self.document)
        assert not problems, problems
        address = await self.store.start(host, port)
        self.client = HttpStore(address)
        result = await self.apply(self.document, 0)
        assert isinstance(result, Applied), result
        for pool in self.configuration.pools:
            for data_centre in self.configuration.data_centres:
                for number in range(self.n_servers):
                    await self.add_backend(pool, data_centre, number)
        for seat in self.configuration.seats():
            if seats is None or seat in seats:
                await self.add_daemon(seat)

    async def apply(
        self, document: Document, revision: int, author: str = "operator"
    ) -> ApplyResult:
        """Publish a configuration that replaces the given revision."""
        assert self.client is not None
        return await apply_document(self.client, document, author, revision)

    async def add_backend(
        self, pool: str, data_centre: str, number: int
    ) -> BackendStandIn:
        """Start a backend server and register it."""
        name = f"{pool}-{data_centre}-{number}"
        n_slots = self.configuration.pools[pool].n_slots_per_server
        backend = BackendStandIn(n_slots, self.service_s, name=name)
        await backend.start()
        self.backends[name] = backend
        meta = {"data_centre": data_centre, "state": "live"}
        self.store.register(pool, name, backend.address, meta)
        return backend

    async def add_daemon(
        self, seat: str, policies: Policies | None = None
    ) -> Daemon | Failure:
        """Start a daemon and register it."""
        data_centre = seat.rpartition("-")[0]
        settings = Settings(
            seat,
            data_centre,
            self.configuration.region_of(data_centre),
            free_address(),
            free_address(),
            self.store.address,
            seeds=tuple(
                (other, daemon.settings.peer_listen)
                for other, daemon in self.daemons.items()
                if other != seat
            ),
        )
        daemon = Daemon(settings, policies)
        failure = await daemon.start()
        if failure is not None:
            return failure
        self.daemons[seat] = daemon
        self.list_daemon(daemon, "live")
        return daemon

    def list_daemon(self, daemon: Daemon, state: str) -> None:
        """Register a daemon in the store, or update its entry."""
        settings = daemon.settings
        meta = {
            "data_centre": settings.data_centre,
            "peer_address": settings.peer_listen,
            "state": state,
        }
        self.store.register(SERVICE, settings.seat, settings.listen, meta)

    def entries(self) -> list[str]:
        """List the addresses of the daemons."""
        return [daemon.settings.listen for daemon in self.daemons.values()]

    async def wait_ready(self, timeout_s: float = 15.0) -> bool:
        """Return whether all daemons get ready within a timeout.

        A daemon is ready when it has a configuration, servers of each pool, live peers
        and its shares of the limits.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while loop.time() < end_s:
            if all(self._is_ready(daemon) for daemon in self.daemons.values()):
                return True
            await asyncio.sleep(0.05)
        return False

    def _is_ready(self, daemon: Daemon) -> bool:
        world = daemon.world
        n_others = len(self.daemons) - 1
        pools = world.configuration.pools
        has_servers = all(world.servers.of_pool(pool) for pool in pools)
        buckets = world.buckets.rows()
        has_shares = all(
            row.shares or row.delegated or row.own_burst == row.pending_burst == 0
            for row in buckets
        )
        has_peers = len(world.peers.alive()) >= n_others
        return bool(pools) and has_servers and has_shares and has_peers

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(daemon.close() for daemon in self.daemons.values()))
        for backend in self.backends.values():
            await backend.stop()
        if self.client is not None:
            await self.client.close()
        await self.store.stop()
