"""Follows the platform's store and applies what other instances read from it."""

import asyncio
import contextlib
from collections.abc import Coroutine
from dataclasses import dataclass

import logbook

from ..bodies import TOO_COSTLY
from ..effects import StoreAccess
from ..inputs import PoliciesChanged, StoreRead, StoreRecovered
from ..keyvalue import ERA_ENDED, OLD_ERA
from ..peer_messages import StoreUpdate
from ..platform.records import INSTANCE_PREFIX, OPERATOR_PREFIX, SERVER_PREFIX
from ..platform.settings import PlatformSettings
from ..platform.store import HISTORY_GONE, Item, PlatformStore, Reading
from ..verdict import Failure
from .failures import ERROR_DELAY_S, FailureLog, own_cancellation_only, run_on
from .mirror import Mirror, apply_reading, read_anew
from .pacing import (
    INSTANCES_WAIT_S,
    WATCH_WAIT_S,
    is_rewritten_since,
    pause_s,
    watch_wait_s,
)
from .publisher import Publisher
from .store_updates import leads_to_digest, make_differences, make_update, reading_of
from .ticker import Ticker

LOG = logbook.Logger("rhubarbspan.store")
RETRY_DELAY_S = 0.25
# Limits the work if publishing is what makes ticks fail.
REPUBLISH_DELAY_S = 0.25
BACKUP_RETRY_DELAY_S = 2.0
# By the platform's documentation, a watch may report a change up to a second late.
MAX_WATCH_LAG_S = 1.0


@dataclass(frozen=True, slots=True)
class _Call:
    """A call of the store.

    Attributes:
        requested_s: When it is sent.
        after: Revision that a watch starts from, 0 to read everything.
        copy_revision: Revision that the copy is at.
        wait_s: How long a watch waits for a change.
        is_stale: Whether a watch may miss the newest changes.
    """

    requested_s: float
    after: int
    copy_revision: int
    wait_s: float
    is_stale: bool

    @property
    def is_full_read(self) -> bool:
        """Whether everything is read."""
        return self.after == 0


class Feed:
    """Watches three prefixes: the operator's, the servers' and the instances'.

    An instance that does not read the store itself gets its changes from those of its
    data centre that do. Revisions are compared only within one era of the store: a
    newer one, in any response or in what another instance read, has the copies read
    again.
    """

    __slots__ = (
        "_ticker",
        "_store",
        "_tasks",
        "_failures",
        "_mirrors",
        "_access",
        "_publisher",
    )

    def __init__(
        self, ticker: Ticker, store: PlatformStore, settings: PlatformSettings
    ) -> None:
        self._ticker = ticker
        self._store = store
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures = FailureLog(ticker.world.count, ticker.now_s)
        self._mirrors: dict[str, Mirror] = {}
        self._access = StoreAccess.READER
        self._publisher = Publisher(ticker, self._failures, settings)

    def start(self) -> None:
        """Start the watches."""
        mirrors = [
            Mirror(OPERATOR_PREFIX, WATCH_WAIT_S),
            Mirror(SERVER_PREFIX, WATCH_WAIT_S),
            Mirror(INSTANCE_PREFIX, INSTANCES_WAIT_S),
        ]
        for mirror in mirrors:
            mirror.may_read.set()
            self._mirrors[mirror.prefix] = mirror
            self._spawn(self._follow(mirror))
        self._store.eras.risen.subscribe(on_next=self._begin_era)
        task = "publishing after a tick that failed"
        self._spawn(run_on(self._publish_after_failures, task, self._failures))

    def set_settings(self, settings: PlatformSettings) -> None:
        """Apply changed settings to what is published from now on.

        A pause that may be longer than the policies now allow ends.
        """
        self._publisher.settings = settings
        for mirror in self._mirrors.values():
            mirror.is_due.set()

    def set_access(self, access: StoreAccess) -> None:
        """Begin or stop to watch the store; a watch that is waiting is completed."""
        self._access = access
        LOG.info("access to the store: {}", access.value)
        for mirror in self._mirrors.values():
            if access is not StoreAccess.FOLLOWER:
                mirror.may_read.set()
            elif mirror.revision:
                mirror.may_read.clear()

    def apply_update(self, update: StoreUpdate) -> None:
        """Apply what another instance read, unless it is older than the own copy.

        If changes before it are missing, or the store was restored from a copy, the
        copy is read anew.
        """
        mirror = self._mirrors.get(update.prefix)
        if mirror is None or update.era < mirror.era:
            return
        is_newer_era = update.era > mirror.era
        # The copy may be newer also while it has to be read anew.
        if not is_newer_era and update.revision < mirror.copy_revision:
            return
        if not is_newer_era and update.differs_from:
            self._apply_differences(mirror, update)
            return
        if is_newer_era or update.after > mirror.revision:
            read_anew(mirror)
            return
        try:
            self._publisher.announce_era(update.era)
            reading = reading_of(update)
            is_full_read = update.after == 0
            differences = apply_reading(mirror, reading, is_full_read)
            self._publish(mirror, reading, differences, is_full_read, None)
        except Exception:
            self._read_anew_after_error(mirror)

    async def stop(self) -> None:
        """Stop the watches."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _apply_differences(self, mirror: Mirror, update: StoreUpdate) -> None:
        """Apply differences between two copies of another instance.

        They lack a key that was written and deleted, or deleted and written again,
        between the two, so that they apply only where they lead to the second copy.
        """
        try:
            reading = reading_of(update)
            if leads_to_digest(mirror, reading, update):
                self._publisher.announce_era(update.era)
                apply_reading(mirror, reading, False)
                self._publisher.publish_changes(mirror, reading.items, True, None)
                return
        except Exception:
            self._read_anew_after_error(mirror)
            return
        # A reader's watch has it catch up. Two readers that had each other read anew
        # would never end.
        is_reader = self._access is StoreAccess.READER
        if update.revision > mirror.revision and not is_reader:
            self._ticker.world.count("store_differences_refused")
            read_anew(mirror)

    def _begin_era(self, era: int) -> None:
        """Have all copies read again, also those that other instances keep current."""
        for mirror in self._mirrors.values():
            if mirror.era < era:
                mirror.era = era
                mirror.copy_revision = 0
                read_anew(mirror)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _follow(self, mirror: Mirror) -> None:
        """Read all values under a prefix, then watch it for changes.

        After a failure all values are read again, since changes may have been missed.
        """
        while True:
            try:
                await own_cancellation_only(self._read_changes(mirror))
            except Exception:
                self._read_anew_after_error(mirror)
                await asyncio.sleep(ERROR_DELAY_S)

    async def _publish_after_failures(self) -> None:
        """Publish all copies again after a tick has failed.

        What it was told is lost, and is published otherwise only once it changes. That
        holds also for a copy that has to be read anew: the store may be away.
        """
        while True:
            await self._ticker.wait_for_failure()
            await asyncio.sleep(REPUBLISH_DELAY_S)
            self._ticker.inputs.on_next(PoliciesChanged())
            self._publisher.repeat_era()
            for mirror in self._mirrors.values():
                if mirror.has_been_read:
                    self._publisher.publish(mirror, None)

    def _read_anew_after_error(self, mirror: Mirror) -> None:
        """Report an unexpected error, after which the copy may be incomplete."""
        self._failures.report_error(f"reading {mirror.prefix}")
        mirror.copy_revision = 0
        read_anew(mirror)

    async def _read_changes(self, mirror: Mirror) -> None:
        while True:
            await mirror.may_read.wait()
            call = self._next_call(mirror)
            if call.is_full_read:
                reading = await self._store.read_range(mirror.prefix)
            else:
                reading = await self._store.watch(
                    mirror.prefix, call.after, call.wait_s, call.is_stale
                )
            match reading:
                case Failure():
                    delay_s = self._handle_failure(mirror, call, reading)
                case Reading():
                    delay_s = self._handle_reading(mirror, call, reading)
            if delay_s is not None:
                mirror.is_due.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay_s):
                        await mirror.is_due.wait()

    def _next_call(self, mirror: Mirror) -> _Call:
        world = self._ticker.world
        now_s = self._ticker.now_s()
        if is_rewritten_since(world, mirror, now_s):
            mirror.revision = 0
        wait_s = watch_wait_s(world, mirror, now_s, self._store.eras.are_named)
        is_stale = self._access is not StoreAccess.READER and mirror.revision != 0
        after, copy_revision = mirror.revision, mirror.copy_revision
        return _Call(now_s, after, copy_revision, wait_s, is_stale)

    def _handle_failure(
        self, mirror: Mirror, call: _Call, failure: Failure
    ) -> float | None:
        """Handle the failure of a call; return the pause before the next, if any."""
        count = self._ticker.world.count
        if failure.code in (OLD_ERA, ERA_ENDED):
            count("store_failures", failure.code)
            if failure.code == ERA_ENDED:
                return None
            self._failures.report_entry(mirror.prefix, failure.reason)
            return RETRY_DELAY_S
        is_gone = failure.code == HISTORY_GONE
        if is_gone and mirror.revision != call.after:
            # The response was of a newer era, or another instance's reading was
            # applied meanwhile.
            return None
        if call.is_stale:
            if is_gone and mirror.era:
                # The reader's updates are of the same era, and do not help.
                mirror.revision = 0
            # The reader's updates keep the copy current.
            count("store_failures", failure.code)
            return BACKUP_RETRY_DELAY_S
        if is_gone and not call.is_full_read:
            # The store responds, so this is no outage.
            count("store_failures", HISTORY_GONE)
            self._failures.report_entry(mirror.prefix, failure.reason)
            mirror.revision = 0
            return RETRY_DELAY_S
        self._record_failure(mirror, failure, call.requested_s)
        return ERROR_DELAY_S if failure.code == TOO_COSTLY else RETRY_DELAY_S

    def _record_failure(
        self, mirror: Mirror, failure: Failure, requested_s: float
    ) -> None:
        self._ticker.world.count("store_failures", failure.code)
        mirror.revision = 0
        mirror.last_failed_s = self._ticker.now_s()
        if not mirror.is_failing:
            mirror.is_failing = True
            mirror.failed_s = requested_s
            LOG.warning("{}: {}", mirror.prefix, failure.reason)

    def _record_success(self, mirror: Mirror) -> None:
        if mirror.is_failing:
            mirror.is_failing = False
            self._publisher.keep_publishing(mirror)
            LOG.info("{}: the store answers again", mirror.prefix)
            recovered = StoreRecovered(mirror.failed_s, mirror.last_failed_s)
            self._ticker.inputs.on_next(recovered)

    def _handle_reading(
        self, mirror: Mirror, call: _Call, reading: Reading
    ) -> float | None:
        """Apply, publish and pass on a reading; return the pause before the next call.

        Returns:
            None if there is no pause.
        """
        self._record_success(mirror)
        # An error or a newer era has set the revision of the copy to 0.
        is_same_copy = mirror.copy_revision in (0, call.copy_revision)
        is_in_order = (mirror.era, mirror.revision) == (reading.era, call.after)
        if not is_same_copy or not is_in_order:
            # Another instance's reading was applied meanwhile, and is newer or will be
            # followed by one that is; or the watch shows a newer era, in which the copy
            # has to be read anew.
            return None
        self._publisher.announce_era(reading.era)
        differs_from = mirror.copy_revision
        differences = apply_reading(mirror, reading, call.is_full_read)
        mirror.is_in_step = call.is_full_read or bool(reading.items)
        if call.is_full_read:
            mirror.read_s = call.requested_s
        confirmed_s = call.requested_s
        is_wait_over = self._ticker.now_s() - call.requested_s >= call.wait_s
        if not call.is_full_read and not reading.items and is_wait_over:
            # The watch found no change, so the copy is current up to the end of the
            # wait, less the lag of a watch.
            confirmed_s += max(0.0, call.wait_s - MAX_WATCH_LAG_S)
        self._publish(
            mirror,
            reading,
            differences,
            call.is_full_read,
            None if call.is_stale else confirmed_s,
        )
        self._pass_on(mirror, call, reading, differences, differs_from)
        if self._access is StoreAccess.FOLLOWER:
            mirror.may_read.clear()
        return pause_s(self._ticker.world, mirror)

    def _publish(
        self,
        mirror: Mirror,
        reading: Reading,
        differences: list[Item] | None,
        is_full_read: bool,
        confirmed_s: float | None,
    ) -> None:
        if is_full_read and differences is None:
            self._publisher.keep_publishing(mirror)
        changes = reading.items if differences is None else differences
        self._publisher.publish_changes(mirror, changes, is_full_read, confirmed_s)

    def _pass_on(
        self,
        mirror: Mirror,
        call: _Call,
        reading: Reading,
        differences: list[Item] | None,
        differs_from: int,
    ) -> None:
        next_within_s = mirror.wait_s + pause_s(self._ticker.world, mirror)
        if differences is None or len(differences) >= len(reading.items):
            update = make_update(mirror, reading.items, call.after, next_within_s)
            update.is_stale = call.is_stale
        else:
            update = make_differences(mirror, differences, differs_from, next_within_s)
        self._ticker.inputs.on_next(StoreRead(update))
