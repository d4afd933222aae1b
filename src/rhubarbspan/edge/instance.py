"""Runs one instance on the platform: its state, ticker, servers and clients."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import logbook

from ..bodies import MEMORY_FRACTION
from ..clock import read_clock_s
from ..document_rules import TranslatedRules
from ..effects import (
    AbortAttempt,
    ApplyStoreUpdate,
    ClosePeerLink,
    Effect,
    Exit,
    FinishRequest,
    LogChange,
    LogLevel,
    LogRequest,
    SendPeerMessage,
    SetStoreAccess,
    StartAttempt,
    WriteClaim,
)
from ..inputs import PoliciesChanged, StopRequested
from ..platform.settings import (
    START_FIELDS,
    Bounds,
    PlatformSettings,
    read_platform_settings,
)
from ..platform.store import PlatformStore
from ..policies import (
    GRACE_PERIOD_MARGIN_S,
    ByCost,
    DemandShares,
    InstanceAge,
    ObjectPlacement,
    Policies,
    with_grace_period,
)
from ..systems.memory_budget import budget_bytes, max_connections
from ..verdict import Failure
from ..world import Identity, create_world
from .failures import FailureLog, run_on
from .feed import Feed
from .front import Front
from .lines import LineHandler, LineWriter
from .lookups import LookupServer
from .machine import usable_descriptors
from .pacing import max_listing_gap_s, max_promises_s, servers_pause_s
from .peers import PeerTransport
from .registration import Registration
from .signals import StopSignal, stop_on_signal
from .ticker import Ticker
from .transfer import Transfers
from .upstream import Upstream

LOG = logbook.Logger("rhubarbspan")
MS_PER_S = 1000
HEARTBEAT_INTERVAL_S = 0.5
DEAD_AFTER_S = 1.6
# Largest age of a configuration, as a fraction of the time after which a revoked key
# must be rejected; the rest allows for clock error. Time in a queue does not count,
# since the bound applies to when a request was sent.
MAX_AGE_FRACTION = 0.95
# Fraction of the allowed retries that instances use. The margin is needed because each
# instance counts only its own retries.
RETRY_FRACTION = 0.6
# Fraction of the allowed slack for requests to cold servers that instances use. The
# margin is needed because they learn late that a server is cold.
COLD_SLACK_FRACTION = 0.5
# Instances use this part of the allowed fraction of requests that may change region,
# because callers move between instances too.
REGION_STEP_FRACTION = 0.5
SETTINGS_POLL_INTERVAL_S = 1.0
MAX_LOOKUP_LIFETIME_S = 2.0
MIN_LOOKUP_LIFETIME_S = 0.5
# For how many lifetimes some callers keep a look-up answer, by the platform's
# documentation.
LOOKUP_LIFETIMES_KEPT = 3
# Time until all instances know that one of them is leaving, and no longer name it.
LEAVING_NOTICE_S = 0.6
# Callers move between instances within one or two heartbeats. With a longer
# half-life the shares lag behind the demand, and requests within the limit are refused.
DEMAND_HALF_LIFE_S = 0.7


def choose_policies(settings: PlatformSettings) -> Policies:
    """Return the policies that keep a deployment within the bounds in its settings."""
    bounds = settings.bounds
    policies = Policies(
        documents=TranslatedRules(),
        regions=settings.regions,
        config_age=InstanceAge(MAX_AGE_FRACTION * bounds.revocation_s),
        limits=DemandShares(),
        choice=ObjectPlacement(),
        queue_order=ByCost(needs_speed=True),
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
        dead_after_s=DEAD_AFTER_S,
        retries_per_request=RETRY_FRACTION * bounds.retry_ratio,
        n_max_retries=RETRY_FRACTION * bounds.retry_slack,
        is_retry_budget_shared=True,
        do_sheds_use_retry_budget=True,
        burst_slack=bounds.limit_slack,
        limit_overage=bounds.limit_overage,
        limit_window_s=bounds.limit_window_s,
        demand_half_life_s=DEMAND_HALF_LIFE_S,
        cold_overage=bounds.cold_overage,
        cold_slack=COLD_SLACK_FRACTION * bounds.cold_slack,
        max_region_step=min(1.0, REGION_STEP_FRACTION * bounds.region_step),
        servers_pause_s=servers_pause_s(bounds),
        max_listing_gap_s=max_listing_gap_s(bounds),
        max_promises_s=max_promises_s(bounds),
        # Callers keep look-up answers for most of the grace period.
        serve_leaving_s=float("inf"),
    )
    return with_grace_period(policies, bounds.grace_s)


def lookup_lifetime_s(bounds: Bounds) -> float:
    """Return how long callers may cache a look-up answer.

    The answers that name an instance must have expired when it stops serving, also
    those that callers keep longest.
    """
    serve_leaving_s = bounds.grace_s - GRACE_PERIOD_MARGIN_S
    kept_s = (serve_leaving_s - LEAVING_NOTICE_S) / LOOKUP_LIFETIMES_KEPT
    lifetime_s = min(MAX_LOOKUP_LIFETIME_S, bounds.lookup_lifetime_s, kept_s)
    return max(MIN_LOOKUP_LIFETIME_S, lifetime_s)


class Instance:
    """Connects the state of one instance to its servers, clients and log."""

    __slots__ = (
        "settings",
        "world",
        "ticker",
        "stopped",
        "_front",
        "_upstream",
        "_peers",
        "_lookups",
        "_store",
        "_feed",
        "_registration",
        "_lines",
    )

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Callable[[], float] = read_clock_s,
        lines: LineWriter | None = None,
    ) -> None:
        self.settings = settings
        self._lines = lines
        identity = Identity(
            settings.name,
            settings.data_centre,
            settings.region,
            int(time.time() * MS_PER_S),
            settings.listen,
            settings.peer_listen,
        )
        policies = choose_policies(settings)
        seed = int.from_bytes(os.urandom(8))
        self.world = create_world(identity, clock(), policies, seed)
        self.ticker = Ticker(self.world, clock)
        self.stopped = asyncio.Event()
        transfers = Transfers()
        self._front = Front(self.ticker, transfers)
        self._upstream = Upstream(self.ticker, transfers)
        self._peers = PeerTransport(self.ticker)
        self._lookups = LookupServer(self.ticker, lookup_lifetime_s(settings.bounds))
        self._store = PlatformStore(settings.store)
        # Watches the store for configuration and for registrations.
        self._feed = Feed(self.ticker, self._store, settings)
        failures = FailureLog(self.world.count, clock)
        self._registration = Registration(self._store, settings, failures)
        self._bound_memory()

    def _bound_memory(self) -> None:
        """Bound what is held for others, connections and responses of the store."""
        settings, memory = self.settings, self.world.memory
        self._store.max_body_bytes = int(settings.memory_bytes * MEMORY_FRACTION)
        memory.limit_bytes = settings.held_bytes or budget_bytes(settings.memory_bytes)
        n_descriptors = usable_descriptors(settings.n_descriptors)
        memory.n_max_connections = max_connections(settings.memory_bytes, n_descriptors)

    async def start(self) -> Failure | None:
        """Listen and start the tasks.

        Returns:
            A failure if an address cannot be used.
        """
        self.ticker.effects.subscribe(on_next=self._execute)
        settings = self.settings
        failure = await self._peers.start(settings.peer_listen)
        if failure is not None:
            return failure
        lookups = [settings.ready_listen, settings.lookup_listen]
        try:
            await self._lookups.start([address for address in lookups if address])
            await self._front.start(settings.listen)
        except OSError as error:
            return Failure("listen", f"cannot listen: {error.strerror or error}")
        self.ticker.start()
        self._feed.start()
        self._registration.start()
        LOG.info("{}: listening on {}", settings.name, settings.listen)
        return None

    def request_stop(self) -> None:
        """Start a graceful shutdown."""
        self.ticker.inputs.on_next(StopRequested())

    def apply_settings(self, settings: PlatformSettings) -> None:
        """Apply changed settings, except the instance's name, location and addresses.

        Changed bounds apply to all later decisions, also on requests that wait.
        """
        kept = {name: getattr(self.settings, name) for name in START_FIELDS}
        differing = [n for n, value in kept.items() if getattr(settings, n) != value]
        if differing:
            names = "; ".join(START_FIELDS[name] for name in differing)
            LOG.warning("changed settings hold from the next start on: {}", names)
        settings = replace(settings, **kept)
        self.settings = settings
        self.world.policies = choose_policies(settings)
        self._bound_memory()
        self._feed.set_settings(settings)
        self._registration.set_settings(settings)
        self._lookups.set_lifetime(lookup_lifetime_s(settings.bounds))
        self.ticker.inputs.on_next(PoliciesChanged())

    async def run(self) -> None:
        """Wait until the instance has shut down, then close everything."""
        await self.stopped.wait()
        await self.close()

    async def close(self) -> None:
        """Close everything; responses in progress are finished first."""
        await self._front.stop()
        self.ticker.stop()
        await self._feed.stop()
        await self._registration.stop()
        await self._lookups.stop()
        await self._peers.stop()
        await self._upstream.close()
        await self._store.close()

    def _execute(self, effect: Effect) -> None:
        match effect:
            case FinishRequest():
                self._front.finish_request(effect)
            case StartAttempt():
                self._upstream.start(effect)
            case AbortAttempt():
                self._upstream.abort(effect)
            case SendPeerMessage():
                self._peers.send(effect)
            case ClosePeerLink(seat=seat):
                self._peers.close_link(seat)
            case SetStoreAccess(access=access):
                self._feed.set_access(access)
            case ApplyStoreUpdate(update=update):
                self._feed.apply_update(update)
            case WriteClaim(request_id=request_id):
                # No route on the platform requires a claim, so this is not expected.
                LOG.warning(
                    "request {}: claim not written: not supported on the platform",
                    request_id,
                )
            case LogRequest():
                self._log_request(effect)
            case LogChange(level=LogLevel.WARNING, text=text):
                LOG.warning("{}: {}", self.settings.name, text)
            case LogChange(text=text):
                LOG.info("{}: {}", self.settings.name, text)
            case Exit():
                self.stopped.set()

    def _log_request(self, effect: LogRequest) -> None:
        if self._lines is None:
            return
        kind = "refused" if effect.is_failure else "request"
        fields = {"event": effect.event, "request": effect.request, **effect.fields}
        self._lines.write(kind, fields)


async def serve(path: str) -> Failure | None:
    """Run an instance until it receives SIGTERM or SIGINT.

    Args:
        path: The settings file, read again when it changes and on SIGHUP.

    Returns:
        A failure with code ``settings`` or ``malformed`` for a bad file, ``listen``
        for an address that cannot be used.
    """
    stop = StopSignal(read_clock_s)
    stop.install()
    reload = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload.set)
    settings = _load_settings(path)
    if isinstance(settings, Failure):
        return settings
    lines = LineWriter(sys.stdout.fileno(), settings.name, read_clock_s)
    with LineHandler(lines, "INFO").applicationbound():
        if stop.received_s is not None:
            LOG.info("{}: stopped before it listened", settings.name)
            return None
        return await _serve_until_stopped(settings, lines, path, stop, reload)


async def _serve_until_stopped(
    settings: PlatformSettings,
    lines: LineWriter,
    path: str,
    stop: StopSignal,
    reload: asyncio.Event,
) -> Failure | None:
    instance = Instance(settings, lines=lines)
    failure = await instance.start()
    if failure is not None:
        await instance.close()
        return failure
    watcher = asyncio.create_task(_watch_settings(path, instance, reload))
    stopper = asyncio.create_task(_stop_on_signal(path, instance, stop))
    await instance.run()
    for task in (watcher, stopper):
        task.cancel()
    return None


def _load_settings(path: str) -> PlatformSettings | Failure:
    text = _read_file(path)
    return text if isinstance(text, Failure) else read_platform_settings(text, path)


def _read_file(path: str) -> str | Failure:
    try:
        return Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Failure("settings", f"{path}: {error}")


async def _stop_on_signal(path: str, instance: Instance, stop: StopSignal) -> None:
    """Stop on the signal, with the grace period that the settings give then."""
    await stop.wait()
    try:
        settings = _load_settings(path)
        if not isinstance(settings, Failure):
            instance.apply_settings(settings)
    except Exception:
        LOG.exception("the settings in force hold for the stop")
    await stop_on_signal(instance.ticker, stop)


async def _watch_settings(path: str, instance: Instance, reload: asyncio.Event) -> None:
    """Reload the settings after SIGHUP or a change; keep the old ones if invalid."""
    failures = FailureLog(instance.world.count, instance.ticker.now_s)
    await run_on(
        lambda: _reload_on_change(path, instance, reload),
        "watch of the settings",
        failures,
    )


async def _reload_on_change(
    path: str, instance: Instance, reload: asyncio.Event
) -> None:
    """Apply the file when its text differs from what was read last.

    Its time of change may be the same after two changes. It is read once more after
    the start, in which it may have changed.
    """
    text: str | Failure = ""
    current_settings = instance.settings
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload.wait()
        new_text = _read_file(path)
        if not reload.is_set() and new_text == text:
            continue
        reload.clear()
        text = new_text
        new_settings = _load_settings(path)
        if isinstance(new_settings, Failure):
            LOG.warning("settings are not taken up: {}", new_settings.reason)
            continue
        if new_settings == current_settings:
            continue
        current_settings = new_settings
        instance.apply_settings(current_settings)
        LOG.info("changed settings are in force")
