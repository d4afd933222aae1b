"""Publishes copies of what the store holds as inputs."""

from dataclasses import dataclass

from ..document import Snapshot
from ..inputs import (
    ConfigurationReceived,
    EvacuationsListed,
    PeersListed,
    RevisionConfirmed,
    ServerListing,
    ServersListed,
    ServersUnchanged,
    StoreEraRead,
)
from ..platform.configuration import TranslatedConfiguration, translate_configuration
from ..platform.records import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    SERVER_PREFIX,
    decode_instance,
    decode_server,
    evacuated_data_centre,
)
from ..platform.settings import PlatformSettings
from ..platform.store import Item
from ..systems.store_eras import rewritten_s
from ..verdict import Failure
from .entries import NO_VALUE, EntryReader, decode_guarded
from .failures import FailureLog
from .mirror import NEVER_S, Mirror
from .ticker import Ticker

# Longer than servers are kept whose records are missing after an outage.
FULL_READ_PUBLISH_S = 5.0
# Twice the time between two readings of the instances, the slowest: one may come before
# this instance takes what a restore lost as written again.
RESTORE_PUBLISH_S = 12.0


@dataclass(frozen=True, slots=True)
class _Translated:
    """The operator's configuration, with what it was translated from."""

    source: tuple[bytes, dict[str, str]]
    result: TranslatedConfiguration | Failure


class Publisher:
    """Decodes copies of the store and publishes them.

    Attributes:
        settings: The settings in force; replaced when they change.
    """

    __slots__ = (
        "_ticker",
        "_failures",
        "settings",
        "_servers",
        "_instances",
        "_translated",
        "_announced_era",
    )

    def __init__(
        self, ticker: Ticker, failures: FailureLog, settings: PlatformSettings
    ) -> None:
        self._ticker = ticker
        self._failures = failures
        self.settings = settings
        count = ticker.world.count
        self._servers = EntryReader(decode_server, failures, count)
        self._instances = EntryReader(decode_instance, failures, count)
        self._translated: _Translated | None = None
        self._announced_era = -1

    def announce_era(self, era: int) -> None:
        """Tell the era before anything that was read in it."""
        if era > self._announced_era:
            self._announced_era = era
            self._ticker.inputs.on_next(StoreEraRead(era))

    def repeat_era(self) -> None:
        """Tell the era again, if any was told."""
        if self._announced_era >= 0:
            self._ticker.inputs.on_next(StoreEraRead(self._announced_era))

    def keep_publishing(self, mirror: Mirror) -> None:
        """Publish a copy for some time also if nothing changes."""
        mirror.changed_until_s = self._ticker.now_s() + FULL_READ_PUBLISH_S

    def publish_changes(
        self,
        mirror: Mirror,
        changes: list[Item],
        is_full_read: bool,
        requested_s: float | None,
    ) -> None:
        """Publish a copy of the store, or only that it is current if it is the same."""
        now_s = self._ticker.now_s()
        world = self._ticker.world
        publish_until_s = max(
            mirror.changed_until_s,
            world.store_recovered_s + FULL_READ_PUBLISH_S,
            rewritten_s(world) + RESTORE_PUBLISH_S,
        )
        revision = world.configuration.revision
        is_same = not changes and now_s >= publish_until_s
        if not is_same or mirror.published_revision != revision:
            mirror.published_revision = revision
            mirror.is_just_written = not is_full_read and any(
                item.key == CONFIGURATION_KEY and not item.is_deleted
                for item in changes
            )
            self.publish(mirror, requested_s)
            mirror.is_just_written = False
        elif mirror.prefix == SERVER_PREFIX:
            self._ticker.inputs.on_next(ServersUnchanged())
        elif mirror.prefix == OPERATOR_PREFIX and requested_s is not None:
            self._publish_operator(mirror, requested_s)

    def publish(self, mirror: Mirror, requested_s: float | None) -> None:
        """Publish a copy of the store.

        Args:
            mirror: The copy.
            requested_s: When the read was sent, or None if another instance read it:
                its message may have been long on its way.
        """
        if mirror.prefix == OPERATOR_PREFIX:
            self._publish_operator(mirror, requested_s)
        elif mirror.prefix == SERVER_PREFIX:
            self._publish_servers(mirror)
        else:
            self._publish_instances(mirror)

    def _publish_operator(self, mirror: Mirror, requested_s: float | None) -> None:
        data_centres = {evacuated_data_centre(key) for key in mirror.values} - {""}
        self._ticker.inputs.on_next(EvacuationsListed(frozenset(data_centres)))
        if CONFIGURATION_KEY not in mirror.values:
            return
        value = mirror.values[CONFIGURATION_KEY]
        if value is None:
            self._failures.report_entry(CONFIGURATION_KEY, NO_VALUE)
            return
        match self._translate(value):
            case Failure(reason=reason):
                self._failures.report_entry(CONFIGURATION_KEY, reason)
            case TranslatedConfiguration(revision=revision, document=document):
                state = self._ticker.world.configuration_state
                confirmed_s = NEVER_S if requested_s is None else requested_s
                if revision == state.snapshot.revision:
                    self._ticker.inputs.on_next(
                        RevisionConfirmed(revision, confirmed_s, mirror.is_just_written)
                    )
                else:
                    received = ConfigurationReceived(
                        Snapshot(revision, document),
                        [],
                        True,
                        confirmed_s,
                        mirror.is_just_written,
                    )
                    self._ticker.inputs.on_next(received)

    def _translate(self, value: bytes) -> TranslatedConfiguration | Failure:
        """Translate the operator's configuration, unless it is the one before."""
        source = (value, self.settings.regions)
        if self._translated is None or self._translated.source != source:
            result = decode_guarded(
                lambda: translate_configuration(*source), self._failures
            )
            if isinstance(result, Failure):
                self._ticker.world.count("malformed_records")
            else:
                for part, reason in result.refused.items():
                    self._failures.report_entry(f"{CONFIGURATION_KEY}: {part}", reason)
            self._translated = _Translated(source, result)
        return self._translated.result

    def _publish_servers(self, mirror: Mirror) -> None:
        servers = self._servers.read(mirror.values)
        world = self._ticker.world
        # A service that is in no configuration has to be listed without servers once
        # it has lost them.
        pools = [
            *world.configuration.pools,
            *(row.pool for row in world.servers.rows()),
        ]
        by_pool: dict[str, list[ServerListing]] = {pool: [] for pool in pools}
        for server in servers:
            by_pool.setdefault(server.pool, []).append(server)
        for pool, listed in by_pool.items():
            self._ticker.inputs.on_next(ServersListed(pool, listed))

    def _publish_instances(self, mirror: Mirror) -> None:
        peers = self._instances.read(mirror.values)
        self._ticker.inputs.on_next(PeersListed(peers))
