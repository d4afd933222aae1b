"""The table of fingerprints that were in flight when backend servers died."""

from collections import Counter
from dataclasses import dataclass, field

N_MAX_KNOWN_SAFE = 4096


@dataclass(slots=True)
class SuspectRow:
    """One suspected request.

    Attributes:
        crashes: For each death of a server, how many requests were in flight.
        cleared: Deaths of which a later success acquits the request.
        quarantined_until_s: Until when the request is refused.
    """

    fingerprint: str
    crashes: dict[str, int] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    last_crash_s: float = 0.0
    quarantined_until_s: float = -1e9


class Suspects:
    """Suspects by fingerprint, and the fingerprints present at each death.

    Attributes:
        in_flight_at_crash: Fingerprints that were in flight at each death.
        running: How many requests with a fingerprint run now.
    """

    __slots__ = ("_rows", "in_flight_at_crash", "running", "_known_safe")

    def __init__(self) -> None:
        self._rows: dict[str, SuspectRow] = {}
        self.in_flight_at_crash: dict[str, set[str]] = {}
        self.running: Counter[str] = Counter()
        self._known_safe: dict[str, None] = {}

    def get(self, fingerprint: str) -> SuspectRow | None:
        """Return a row, or None."""
        return self._rows.get(fingerprint)

    def get_or_create(self, fingerprint: str) -> SuspectRow:
        """Return the row of a fingerprint, made when first asked for."""
        return self._rows.setdefault(fingerprint, SuspectRow(fingerprint))

    def mark_safe(self, fingerprint: str) -> None:
        """Note that a request ran without harm."""
        self._known_safe.pop(fingerprint, None)
        self._known_safe[fingerprint] = None
        if len(self._known_safe) > N_MAX_KNOWN_SAFE:
            del self._known_safe[next(iter(self._known_safe))]

    def is_known_safe(self, fingerprint: str) -> bool:
        """Tell whether a request lately ran without harm."""
        return fingerprint in self._known_safe

    def remove(self, fingerprint: str) -> None:
        """Remove a row."""
        del self._rows[fingerprint]

    def rows(self) -> list[SuspectRow]:
        """List all rows."""
        return list(self._rows.values())
