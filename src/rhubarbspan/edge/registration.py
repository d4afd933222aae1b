"""Maintains the instance's own record in the store, under a lease."""

import asyncio

import logbook

from ..inputs import PeerListing
from ..platform.records import INSTANCE_PREFIX, encode_instance
from ..platform.settings import PlatformSettings
from ..platform.store import PlatformStore
from ..verdict import Failure
from .failures import FailureLog

LOG = logbook.Logger("rhubarbspan.store")
# The record of a crashed instance stays for this long; peers notice the crash sooner,
# since its heartbeats stop.
LEASE_TTL_S = 6.0
RENEW_INTERVAL_S = 2.0


class Registration:
    """Writes the record, renews its lease, and rewrites it if the lease is lost."""

    __slots__ = ("_store", "_settings", "_failures", "_task", "_lease")

    def __init__(
        self, store: PlatformStore, settings: PlatformSettings, failures: FailureLog
    ) -> None:
        self._store = store
        self._settings = settings
        self._failures = failures
        self._task: asyncio.Task[None] | None = None
        self._lease = 0

    def start(self) -> None:
        """Start the task that maintains the record."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the task and end the lease, which removes the record."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._lease:
            await self._store.end_lease(self._lease)

    async def _run(self) -> None:
        while True:
            try:
                failure = await self._renew_or_write()
            except Exception:
                self._failures.report_error("registration")
                failure = Failure("unexpected", "unexpected error")
            if failure is not None:
                LOG.info("could not write or renew the own record: {}", failure.reason)
                self._lease = 0
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _renew_or_write(self) -> Failure | None:
        if self._lease:
            return await self._store.renew_lease(self._lease)
        lease = await self._store.open_lease(
            max(LEASE_TTL_S, self._settings.lease_min_s)
        )
        if isinstance(lease, Failure):
            return lease
        settings = self._settings
        record = PeerListing(
            settings.name, settings.peer_listen, settings.listen, settings.data_centre
        )
        key = INSTANCE_PREFIX + settings.name
        failure = await self._store.put(key, encode_instance(record), lease)
        self._lease = 0 if failure else lease
        return failure
