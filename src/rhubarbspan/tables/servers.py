"""The table of backend servers, indexed by pool and region."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ServerRow:
    """One backend server.

    Attributes:
        running: Requests of this instance in flight on it, with the attempt's number.
        n_reported: Requests in flight by its own report, from all sources.
        reported_s: When the report arrived.
        is_listed_leaving: Whether the platform's list shows it as leaving.
        is_refusing: Whether its own report says that it takes no new work.
        is_drained: Whether an operator drains it.
        cold_since_s: When it came up, for the ramp of its share.
        failure_rate: Smoothed share of attempts that failed.
        ejected_until_s: Until when it gets no work because it failed.
        n_ejections: Ejections without a success between them.
        generation: Identifies one life of the server's process.
        leaving_generation: The life in which it was last seen leaving.
        shed_until_s: Until when it gets no more work because it shed some.
        n_foreign: Smoothed number of slots that others than instances use.
        n_lent: Slots lent to other instances.
        n_live_listings: Consecutive listings as live after one as leaving.
        n_scored_attempts: Attempts that the smoothed failure rate rests on.
        n_slots: Slots by its own word, or 0.
        incarnation: Start of its process in Unix milliseconds, or 0.
        misdirected_incarnation: The incarnation whose address another server has.
        cold_until_s: Until when it stays cold by its own word.
        sequence: Number of its newest report.
        sequence_s: When that report was first seen.
        is_evacuated: Whether the operator wants its data centre to get nothing.
        n_others: Requests there that are not this instance's, at ``others_reported_s``.
        last_sends_s: When this instance sent it requests while it was cold.
    """

    server_id: str
    pool: str
    address: str
    data_centre: str
    region: str
    running: dict[int, int] = field(default_factory=dict)
    n_reported: int = 0
    reported_s: float = -1e9
    is_listed: bool = True
    is_listed_leaving: bool = False
    is_refusing: bool = False
    is_drained: bool = False
    leaving_generation: str = ""
    cold_since_s: float = -1e9
    failure_rate: float = 0.0
    ejected_until_s: float = -1e9
    n_ejections: int = 0
    n_failed_probes: int = 0
    generation: str = ""
    last_success_s: float = -1e9
    shed_until_s: float = -1e9
    n_foreign: float = 0.0
    n_lent: int = 0
    n_live_listings: int = 0
    n_scored_attempts: int = 0
    n_slots: int = 0
    incarnation: int = 0
    misdirected_incarnation: int = -1
    cold_until_s: float = -1e9
    sequence: int = -1
    sequence_s: float = -1e9
    is_evacuated: bool = False
    n_others: float = 0.0
    others_reported_s: float = -1e9
    last_sends_s: list[float] = field(default_factory=list)

    @property
    def is_leaving(self) -> bool:
        """Whether any sign says that the server must get no new work."""
        return (
            self.is_listed_leaving
            or self.is_refusing
            or self.is_drained
            or self.is_evacuated
            or self.misdirected_incarnation == self.incarnation
        )


class Servers:
    """Backend servers by identifier.

    Attributes:
        never_used: Servers that are not known to have got any request.
        version: Grows when a server is added or removed.
    """

    __slots__ = ("_rows", "_by_pool", "version", "never_used")

    def __init__(self) -> None:
        self.never_used: dict[str, None] = {}
        self.version = 0
        self._rows: dict[str, ServerRow] = {}
        self._by_pool: dict[tuple[str, str], dict[str, ServerRow]] = {}

    def get(self, server_id: str) -> ServerRow | None:
        """Return a row, or None."""
        return self._rows.get(server_id)

    def add(self, row: ServerRow) -> None:
        """Add a row."""
        self.version += 1
        self._rows[row.server_id] = row
        self._by_pool.setdefault((row.pool, row.region), {})[row.server_id] = row

    def remove(self, row: ServerRow) -> None:
        """Remove a row."""
        self.version += 1
        self.never_used.pop(row.server_id, None)
        del self._rows[row.server_id]
        del self._by_pool[row.pool, row.region][row.server_id]

    def in_region(self, pool: str, region: str) -> list[ServerRow]:
        """List a pool's servers in a region."""
        return list(self._by_pool.get((pool, region), {}).values())

    def of_pool(self, pool: str) -> list[ServerRow]:
        """List a pool's servers everywhere."""
        return [row for row in self._rows.values() if row.pool == pool]

    def rows(self) -> list[ServerRow]:
        """List all servers."""
        return list(self._rows.values())
