"""The table of request fingerprints in flight when backend servers crashed."""

from collections import Counter
from dataclasses import dataclass, field

N_MAX_KNOWN_SAFE = 4096


@dataclass(slots=True)
class SuspectRow:
    """A request that is suspected of crashing backend servers.

    Attributes:
        crashes: For each crash of a server, how many requests were in flight on it.
        cleared: Crashes that it is no longer suspected of: it succeeded later, or the
            server had not crashed.
        last_crash_s: When the latest crash became known.
        quarantined_until_s: Until when the request is refused.
        changed_sequence: Sequence number of the last own heartbeat before the crashes
            or those cleared have changed.
        told_sequence: The same, without changes that a peer has told to all instances
            that this one sends its regular heartbeats to.
    """

    fingerprint: str
    crashes: dict[str, int] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    last_crash_s: float = 0.0
    quarantined_until_s: float = -1e9
    changed_sequence: int = 0
    told_sequence: int = 0


class Suspects:
    """Suspects by fingerprint, and the fingerprints in flight at each crash.

    Attributes:
        in_flight_at_crash: Fingerprints that were in flight at each crash, each with
            the time at which its connection broke.
        running: Number of running requests by fingerprint.
    """

    __slots__ = ("_rows", "in_flight_at_crash", "running", "_known_safe")

    def __init__(self) -> None:
        self._rows: dict[str, SuspectRow] = {}
        self.in_flight_at_crash: dict[str, dict[str, float]] = {}
        self.running: Counter[str] = Counter()
        self._known_safe: dict[str, None] = {}

    def get(self, fingerprint: str) -> SuspectRow | None:
        """Return a row, or None."""
        return self._rows.get(fingerprint)

    def get_or_create(self, fingerprint: str) -> SuspectRow:
        """Return the row of a fingerprint, creating it if there is none."""
        return self._rows.setdefault(fingerprint, SuspectRow(fingerprint))

    def mark_safe(self, fingerprint: str) -> None:
        """Record that a request ran without crashing its server."""
        self._known_safe.pop(fingerprint, None)
        self._known_safe[fingerprint] = None
        if len(self._known_safe) > N_MAX_KNOWN_SAFE:
            del self._known_safe[next(iter(self._known_safe))]

    def is_known_safe(self, fingerprint: str) -> bool:
        """Return whether a request recently ran without crashing its server."""
        return fingerprint in self._known_safe

    def remove(self, fingerprint: str) -> None:
        """Remove a row."""
        del self._rows[fingerprint]

    def rows(self) -> list[SuspectRow]:
        """List all rows."""
        return list(self._rows.values())
