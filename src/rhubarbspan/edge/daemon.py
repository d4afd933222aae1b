"""An instance that serves callers: its world, its ticker and its connections."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

import logbook

from ..clock import read_clock_s
from ..effects import (
    AbortAttempt,
    ClosePeerLink,
    Effect,
    Exit,
    FinishRequest,
    LogChange,
    LogLevel,
    LogRequest,
    SendPeerMessage,
    StartAttempt,
    WriteClaim,
)
from ..inputs import PeerListing, PeersListed, StopRequested
from ..policies import ByCost, Policies, with_grace_period
from ..settings import Settings
from ..systems.memory_budget import budget_bytes, max_connections
from ..verdict import Failure
from ..world import Identity, create_world
from .backend import BackendClient
from .catalog import Catalog
from .exchange import Exchanges
from .machine import usable_descriptors, usable_memory_bytes
from .peers import PeerTransport
from .probing import Prober
from .server import CallerServer
from .signals import StopSignal, stop_on_signal
from .store import HttpStore
from .ticker import Ticker

LOG = logbook.Logger("rhubarbspan")
N_CONNECTIONS_PER_SERVER = 48
MS_PER_S = 1000


class Daemon:
    """Creates the parts of an instance and connects them."""

    __slots__ = (
        "settings",
        "world",
        "ticker",
        "stopped",
        "_exchanges",
        "_server",
        "_backend",
        "_peers",
        "_platform",
        "_prober",
    )

    def __init__(
        self,
        settings: Settings,
        policies: Policies | None = None,
        clock: Callable[[], float] = read_clock_s,
    ) -> None:
        self.settings = settings
        identity = Identity(
            settings.seat,
            settings.data_centre,
            settings.region,
            int(time.time() * MS_PER_S),
            settings.listen,
            settings.peer_listen,
        )
        seed = identity.incarnation
        policies = with_grace_period(policies or Policies(), settings.grace_s)
        if settings.queue_order == "cost":
            policies = replace(policies, queue_order=ByCost())
        self.world = create_world(identity, clock(), policies, seed)
        memory = self.world.memory
        memory_bytes = usable_memory_bytes(settings.memory_bytes)
        memory.limit_bytes = settings.held_bytes or budget_bytes(memory_bytes)
        n_descriptors = usable_descriptors(settings.n_descriptors)
        memory.n_max_connections = max_connections(memory_bytes, n_descriptors)
        self.ticker = Ticker(self.world, clock)
        self.stopped = asyncio.Event()
        self._exchanges = Exchanges()
        self._server = CallerServer(self.ticker, self._exchanges)
        self._backend = BackendClient(
            self.ticker, self._exchanges, N_CONNECTIONS_PER_SERVER
        )
        self._peers = PeerTransport(self.ticker)
        store = HttpStore(settings.store)
        self._platform = Catalog(self.ticker, store, settings.service)
        self._prober = Prober(self.ticker)

    async def start(self) -> Failure | None:
        """Listen for callers and peers, and start all tasks.

        Returns:
            A failure if an address cannot be used.
        """
        self.ticker.effects.subscribe(on_next=self._carry_out)
        failure = await self._peers.start(self.settings.peer_listen)
        if failure is not None:
            return failure
        host, _, port = self.settings.listen.rpartition(":")
        try:
            await self._server.start(host.strip("[]"), int(port))
        except OSError as error:
            text = f"cannot listen on {self.settings.listen}: {error.strerror}"
            return Failure("listen", text)
        self.ticker.start()
        self._publish_seeds()
        self._platform.start()
        self._prober.start()
        LOG.info("{}: listening on {}", self.settings.seat, self.settings.listen)
        return None

    def request_stop(self) -> None:
        """Start a graceful shutdown."""
        self.ticker.inputs.on_next(StopRequested())

    async def run(self) -> None:
        """Wait until the graceful shutdown is complete, then close everything."""
        await self.stopped.wait()
        await self.close()

    async def close(self) -> None:
        """Close everything after the responses in progress are finished."""
        await self._server.stop()
        self.ticker.stop()
        await self._prober.stop()
        await self._platform.stop()
        await self._peers.stop()
        await self._backend.close()

    def _publish_seeds(self) -> None:
        peers = [
            PeerListing(seat, address, "", seat.rpartition("-")[0])
            for seat, address in self.settings.seeds
        ]
        if peers:
            self.ticker.inputs.on_next(PeersListed(peers, is_seed=True))

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case FinishRequest():
                self._server.finish_request(effect)
            case StartAttempt():
                self._backend.start(effect)
            case AbortAttempt():
                self._backend.abort(effect)
            case SendPeerMessage():
                self._peers.send(effect)
            case ClosePeerLink(seat=seat):
                self._peers.close_link(seat)
            case WriteClaim():
                self._platform.claim(effect)
            case LogRequest(event=event, request=request, fields=fields):
                LOG.debug(
                    "{}: request {} {} {}", self.settings.seat, request, event, fields
                )
            case LogChange(level=LogLevel.WARNING, text=text):
                LOG.warning("{}: {}", self.settings.seat, text)
            case LogChange(text=text):
                LOG.info("{}: {}", self.settings.seat, text)
            case Exit():
                self.stopped.set()


async def serve(settings: Settings) -> Failure | None:
    """Run an instance until SIGTERM or SIGINT stops it.

    Returns:
        A failure if the instance could not start.
    """
    stop = StopSignal(read_clock_s)
    stop.install()
    daemon = Daemon(settings)
    failure = await daemon.start()
    if failure is not None:
        await daemon.close()
        return failure
    stopper = asyncio.create_task(stop_on_signal(daemon.ticker, stop))
    await daemon.run()
    stopper.cancel()
    return None
