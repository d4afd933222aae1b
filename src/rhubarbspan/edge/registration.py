"""Maintains the instance's own record in the store, under a lease."""

import asyncio
import contextlib

import logbook

from ..inputs import PeerListing
from ..platform.records import INSTANCE_PREFIX, encode_instance
from ..platform.settings import PlatformSettings
from ..platform.store import CONFLICT, Lease, PlatformStore
from ..verdict import Failure
from .failures import FailureLog, own_cancellation_only

LOG = logbook.Logger("rhubarbspan.store")
# The record of a crashed instance stays for this long; peers notice the crash sooner,
# since its heartbeats stop.
LEASE_TTL_S = 6.0
RENEW_INTERVAL_S = 2.0
# Renewals between two checks that the record is under the lease that is renewed.
N_RENEWALS_PER_CHECK = 10
# Attempts to write the record in a row, while other writes of it come between.
N_MAX_WRITES = 3


class Registration:
    """Writes the record, renews its lease, and rewrites it if the lease is lost.

    A restore of the store loses both. They are written again as soon as any response
    is of the new era, under a new lease: the number of the old one may be given to
    another instance.
    """

    __slots__ = (
        "_store",
        "_settings",
        "_failures",
        "_task",
        "_lease",
        "_n_renewals",
        "_has_new_era",
    )

    def __init__(
        self, store: PlatformStore, settings: PlatformSettings, failures: FailureLog
    ) -> None:
        self._store = store
        self._settings = settings
        self._failures = failures
        self._task: asyncio.Task[None] | None = None
        self._lease: Lease | None = None
        self._n_renewals = 0
        self._has_new_era = asyncio.Event()

    def start(self) -> None:
        """Start the task that maintains the record."""
        self._store.eras.risen.subscribe(on_next=lambda _: self._has_new_era.set())
        self._task = asyncio.create_task(self._run())

    def set_settings(self, settings: PlatformSettings) -> None:
        """Apply changed settings to leases and records that are written from now on."""
        self._settings = settings

    async def stop(self) -> None:
        """Stop the task and end the lease, which removes the record."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._lease is not None and self._lease.era == self._store.eras.newest:
            await self._store.end_lease(self._lease.number)

    async def _run(self) -> None:
        while True:
            try:
                failure = await own_cancellation_only(self._renew_or_write())
            except Exception:
                self._failures.report_error("registration")
                failure = Failure("unexpected", "unexpected error")
            if failure is not None:
                LOG.info("could not write or renew the own record: {}", failure.reason)
                self._lease = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_INTERVAL_S):
                    await self._has_new_era.wait()
            self._has_new_era.clear()

    async def _renew_or_write(self) -> Failure | None:
        if self._lease is not None and self._lease.era == self._store.eras.newest:
            failure = await self._store.renew_lease(self._lease.number)
            return failure or await self._check_sometimes(self._lease.number)
        lease = await self._store.open_lease(
            max(LEASE_TTL_S, self._settings.lease_min_s)
        )
        if isinstance(lease, Failure):
            return lease
        failure = await self._write(lease.number)
        self._lease = None if failure else lease
        return failure

    async def _check_sometimes(self, lease: int) -> Failure | None:
        """Write the record again if it is not under the lease, now and then."""
        self._n_renewals += 1
        if self._n_renewals % N_RENEWALS_PER_CHECK:
            return None
        holding = await self._store.read_holding(self._key, may_be_stale=True)
        if isinstance(holding, Failure):
            # The next renewal tells whether the store can be reached.
            LOG.info("could not check the own record: {}", holding.reason)
            return None
        return None if holding.lease == lease else await self._write(lease)

    async def _write(self, lease: int) -> Failure | None:
        """Write the record unless it is under the lease.

        An earlier write whose response was lost may be executed at any time.
        """
        settings = self._settings
        record = PeerListing(
            settings.name, settings.peer_listen, settings.listen, settings.data_centre
        )
        value = encode_instance(record)
        failure: Failure | None = None
        for _ in range(N_MAX_WRITES):
            holding = await self._store.read_holding(self._key)
            if isinstance(holding, Failure):
                return holding
            if holding.lease == lease:
                return None
            failure = await self._store.put(self._key, value, lease, holding.revision)
            if failure is None or failure.code != CONFLICT:
                return failure
        return failure

    @property
    def _key(self) -> str:
        return INSTANCE_PREFIX + self._settings.name
