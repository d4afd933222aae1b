"""Reads configuration and lists of processes from the store, and writes claims."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import TypeVar

from ..document import Snapshot
from ..effects import WriteClaim
from ..inputs import (
    ClaimResult,
    ClaimSettled,
    ConfigurationReceived,
    PeersListed,
    RevisionConfirmed,
    ServersListed,
    StoreEraRead,
)
from ..keyvalue import STORE_GARBAGE, Committed, Conflict, Operation, Verb
from ..publishing import StoredConfiguration, read_stored
from ..verdict import Failure
from ..wire.consul import ServiceBody, to_peer_listing, to_server_listing
from .failures import FailureLog, run_on
from .store import HttpStore
from .ticker import Ticker

T = TypeVar("T")
LIST_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.5
CLAIM_BATCH_S = 0.003
N_CLAIMS_PER_BATCH = 32
CLAIM_SESSION_TTL_S = 86_400.0
CLAIM_SESSION_REUSE_S = 900.0
CLAIMS_PREFIX = "rhubarbspan/claims/"


class Catalog:
    """Watches the configuration, polls process lists and writes claims in batches."""

    __slots__ = (
        "_ticker",
        "_failures",
        "_store",
        "_service",
        "_tasks",
        "_claims",
        "_is_flushing",
        "_session",
        "_session_until_s",
    )

    def __init__(self, ticker: Ticker, store: HttpStore, service: str) -> None:
        self._ticker = ticker
        self._failures = FailureLog(ticker.world.count, ticker.now_s)
        self._store = store
        self._service = service
        self._tasks: set[asyncio.Task[None]] = set()
        self._claims: list[WriteClaim] = []
        self._is_flushing = False
        self._session = ""
        self._session_until_s = 0.0

    def start(self) -> None:
        """Start to watch the configuration and to poll the lists."""
        self._store.eras.risen.subscribe(on_next=self._announce_era)
        works = {
            "watch of the configuration": self._watch_configuration,
            "polling of lists": self._poll_lists,
            "reading after a tick that failed": self._read_after_failures,
        }
        for task, work in works.items():
            self._spawn(run_on(work, task, self._failures))

    async def stop(self) -> None:
        """Stop all tasks and close the connections to the store."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._store.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _announce_era(self, era: int) -> None:
        self._ticker.inputs.on_next(StoreEraRead(era))

    async def _watch_configuration(self) -> None:
        index = 0
        while True:
            known = self._ticker.world.configuration_state.snapshot
            stored = await read_stored(self._store, known, index)
            if isinstance(stored, Failure):
                self._ticker.world.count("store_failures", stored.code)
                index = 0
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            index = stored.watch_index
            self._announce_era(self._store.eras.newest)
            self._publish(stored, known)

    async def _read_after_failures(self) -> None:
        """Read the configuration again after a tick has failed: its inputs are lost."""
        while True:
            await self._ticker.wait_for_failure()
            await asyncio.sleep(RETRY_DELAY_S)
            known = self._ticker.world.configuration_state.snapshot
            stored = await read_stored(self._store, known)
            if isinstance(stored, Failure):
                self._ticker.world.count("store_failures", stored.code)
            else:
                self._publish(stored, known)

    def _publish(self, stored: StoredConfiguration, known: Snapshot) -> None:
        if stored.snapshot.revision > known.revision:
            received = ConfigurationReceived(stored.snapshot, stored.changes, True)
            self._ticker.inputs.on_next(received)
        else:
            self._ticker.inputs.on_next(RevisionConfirmed(stored.head.revision))

    async def _poll_lists(self) -> None:
        while True:
            await self._read_instances()
            for pool in list(self._ticker.world.configuration.pools):
                await self._read_servers(pool)
            await asyncio.sleep(LIST_INTERVAL_S)

    async def _read_instances(self) -> None:
        peers = await self._read_list(self._service, to_peer_listing)
        if not isinstance(peers, Failure):
            self._ticker.inputs.on_next(PeersListed(peers))

    async def _read_servers(self, pool: str) -> None:
        servers = await self._read_list(pool, partial(to_server_listing, pool))
        if not isinstance(servers, Failure):
            self._ticker.inputs.on_next(ServersListed(pool, servers))

    async def _read_list(
        self, service: str, translate: Callable[[ServiceBody], T | Failure]
    ) -> list[T] | Failure:
        """Read the list of a service; leave out and report what is unreadable in it."""
        world = self._ticker.world
        entries = await self._store.list_processes(service)
        if isinstance(entries, Failure):
            world.count("store_failures", entries.code)
            if entries.code == STORE_GARBAGE:
                self._failures.report_entry(service, entries.reason)
            return entries
        rows: list[T] = []
        for position, entry in enumerate(entries):
            row = entry if isinstance(entry, Failure) else translate(entry)
            if isinstance(row, Failure):
                world.count("malformed_records")
                self._failures.report_entry(f"{service}[{position}]", row.reason)
            else:
                rows.append(row)
        return rows

    def claim(self, effect: WriteClaim) -> None:
        """Add a claim to the next batch."""
        self._claims.append(effect)
        if not self._is_flushing:
            self._is_flushing = True
            self._spawn(self._flush_claims())

    async def _flush_claims(self) -> None:
        await asyncio.sleep(CLAIM_BATCH_S)
        self._is_flushing = False
        while self._claims:
            batch = self._claims[:N_CLAIMS_PER_BATCH]
            del self._claims[:N_CLAIMS_PER_BATCH]
            self._spawn(self._write_batch(batch))

    async def _write_batch(self, batch: list[WriteClaim]) -> None:
        """Write a batch; claims that exist are read back, the others written again."""
        session = await self._claim_session()
        if isinstance(session, Failure):
            for claim in batch:
                self._settle(claim, ClaimResult.NOT_WRITTEN)
            return
        while batch:
            result = await self._store.transact(_claim_operations(batch, session))
            match result:
                case Committed():
                    for claim in batch:
                        self._settle(claim, ClaimResult.OURS)
                    return
                case Conflict(failed_operations=failed):
                    taken = {number // 2 for number in failed}
                    if not taken:
                        taken = set(range(len(batch)))
                    for number in taken:
                        self._spawn(self._read_back(batch[number]))
                    batch = [c for n, c in enumerate(batch) if n not in taken]
                case Failure():
                    self._ticker.world.count("store_failures", result.code)
                    self._session_until_s = 0.0
                    for claim in batch:
                        self._spawn(self._read_back(claim))
                    return

    async def _claim_session(self) -> str | Failure:
        """Return the store session of the claims; they expire together with it."""
        now_s = self._ticker.now_s()
        if now_s < self._session_until_s:
            return self._session
        session = await self._store.open_session(CLAIM_SESSION_TTL_S)
        if isinstance(session, Failure):
            return session
        self._session = session
        self._session_until_s = now_s + CLAIM_SESSION_REUSE_S
        return session

    async def _read_back(self, claim: WriteClaim) -> None:
        """Settle a claim by reading which instance's claim the store holds."""
        while True:
            reading = await self._store.read(CLAIMS_PREFIX + claim.key)
            if not isinstance(reading, Failure):
                break
            if self._ticker.now_s() + RETRY_DELAY_S >= claim.claim_deadline_s:
                self._settle(claim, ClaimResult.UNKNOWN)
                return
            await asyncio.sleep(RETRY_DELAY_S / 5)
        if not reading.entries:
            self._settle(claim, ClaimResult.UNKNOWN)
            return
        is_ours = reading.entries[0].value == claim.nonce.encode()
        self._settle(claim, ClaimResult.OURS if is_ours else ClaimResult.TAKEN)

    def _settle(self, claim: WriteClaim, result: ClaimResult) -> None:
        self._ticker.inputs.on_next(ClaimSettled(claim.request_id, result))


def _claim_operations(batch: list[WriteClaim], session: str) -> list[Operation]:
    operations: list[Operation] = []
    for claim in batch:
        key = CLAIMS_PREFIX + claim.key
        value = claim.nonce.encode()
        operations.append(Operation(Verb.CHECK_ABSENT, key))
        operations.append(Operation(Verb.LOCK, key, value, session=session))
    return operations
