"""The table of backend servers, indexed by pool and region."""

from collections import Counter
from dataclasses import dataclass, field

from .objects import server_digest


@dataclass(frozen=True, slots=True)
class LoadRow:
    """A load report of a backend server.

    Attributes:
        n_all: Requests that the server runs or queues, from all sources.
        slowdown: Factor by which work takes longer than usual on its machine.
        reported_s: When it was reported.
        n_rejections: Requests that the server rejected with free slots and that peers
            have not been told of.
    """

    n_all: int
    slowdown: float
    reported_s: float
    n_rejections: int = 0


@dataclass(slots=True)
class SlowdownTimesRow:
    """For how long the machines of a pool's servers were seen slowed.

    Attributes:
        slowed_s: Time for which they were slowed between two reports of one server.
        n_ended: Number of slowdowns that ended between two reports.
    """

    slowed_s: float = 0.0
    n_ended: float = 0.0


NEVER_TOLD = LoadRow(0, 1.0, -1e9)


@dataclass(slots=True)
class ServerRow:
    """One backend server.

    Attributes:
        running: Requests of this instance in flight on the server, with the number of
            the attempt.
        n_reported: Requests in flight from all sources, as the server reports.
        reported_s: When that report arrived.
        is_listed_leaving: Whether the platform's list shows the server as leaving.
        has_said_leaving: Whether this incarnation has said that it is leaving.
        is_refusing: Whether the server reports that it accepts no new work.
        is_drained: Whether an operator drains the server.
        cold_since_s: When the server came up; its share of the requests ramps up from
            then.
        failure_rate: Smoothed fraction of attempts that failed.
        ejected_until_s: Until when the server gets no requests because attempts failed.
        n_ejections: Consecutive ejections without a success between them.
        generation: Identifies one run of the server's process.
        leaving_generation: Generation in which the server was last listed as leaving.
        shed_until_s: Until when the server gets no more requests because it shed one,
            or asked for a pause.
        n_foreign: Smoothed number of slots in use by clients other than instances.
        n_lent: Slots lent to other instances.
        n_live_listings: Consecutive listings as live since one as leaving.
        n_scored_attempts: Attempts that count in the failure rate.
        n_slots: Slots, as the server reports, or 0.
        incarnation: Start time of the server's process in Unix milliseconds, or 0.
        misdirected_incarnation: Incarnation whose address turned out to belong to
            another server.
        refused_until_s: Until when it counts as cold because its machine refused a
            connection.
        cold_until_s: Until when the server counts as cold, by its own report or after
            an evacuation.
        sequence: Sequence number of the server's newest report.
        sequence_s: When that report was first seen.
        is_evacuated: Whether an operator has evacuated the server's data centre.
        n_others: Requests on the server that this instance did not send, as of
            ``others_reported_s``.
        others_reported_s: When ``n_others`` was reported.
        slowdown: Factor by which work takes longer than usual on the server's machine,
            as of ``slowdown_s``.
        slowdown_s: When that was reported.
        told_load: Load that peers were told last.
        last_sends_s: When this instance sent the latest requests to the server.
        counted_others: Requests there that other instances sent, as estimated from the
            counts that these tell.
        n_told_uses: Recent requests there that other instances told of, as of
            ``told_uses_s``; older ones count less.
        n_idle_rejections: Requests that it rejected with free slots since its last
            response.
        n_avoidances: How often it was avoided for that since its last response.
        avoided_until_s: Until when it gets no requests for that.
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
    has_said_leaving: bool = False
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
    refused_until_s: float = -1e9
    sequence: int = -1
    sequence_s: float = -1e9
    is_evacuated: bool = False
    n_others: float = 0.0
    others_reported_s: float = -1e9
    slowdown: float = 1.0
    slowdown_s: float = -1e9
    told_load: LoadRow = NEVER_TOLD
    last_sends_s: list[float] = field(default_factory=list)
    counted_others: float = 0.0
    n_told_uses: float = 0.0
    told_uses_s: float = -1e9
    n_idle_rejections: int = 0
    n_avoidances: int = 0
    avoided_until_s: float = -1e9

    @property
    def is_leaving(self) -> bool:
        """Whether the server must get no new requests, for any reason known."""
        return (
            self.is_listed_leaving
            or self.has_said_leaving
            or self.is_refusing
            or self.is_drained
            or self.is_evacuated
            or self.misdirected_incarnation == self.incarnation
        )


class Servers:
    """Backend servers by identifier.

    Attributes:
        never_used: Servers that are not known to have received any request.
        version: Number of additions and removals of servers.
        speed_pools: Pools whose servers have reported the speed of their machines.
        mean_others: Mean of other instances' requests on a server by load reports, by
            pool, where no counts are told.
        slowdown_times: For how long machines stay slowed, by pool.
        n_answers: Load reports in responses to own requests, by pool.
        n_idle_answers: Those of them that counted no request at all, by pool.
        counted_pools: Pools in which instances tell their requests in flight.
        unsent_loads: Load reports that the next heartbeat tells, by server, the
            latest last.
    """

    __slots__ = (
        "_rows",
        "_by_pool",
        "_by_digest",
        "version",
        "never_used",
        "speed_pools",
        "mean_others",
        "counted_pools",
        "slowdown_times",
        "n_answers",
        "n_idle_answers",
        "unsent_loads",
    )

    def __init__(self) -> None:
        self.never_used: dict[str, None] = {}
        self.speed_pools: set[str] = set()
        self.mean_others: dict[str, float] = {}
        self.counted_pools: set[str] = set()
        self.slowdown_times: dict[str, SlowdownTimesRow] = {}
        self.n_answers: Counter[str] = Counter()
        self.n_idle_answers: Counter[str] = Counter()
        self.unsent_loads: dict[str, LoadRow] = {}
        self.version = 0
        self._rows: dict[str, ServerRow] = {}
        self._by_pool: dict[tuple[str, str], dict[str, ServerRow]] = {}
        self._by_digest: dict[int, ServerRow] = {}

    def get(self, server_id: str) -> ServerRow | None:
        """Return a row, or None."""
        return self._rows.get(server_id)

    def by_digest(self, digest: int) -> ServerRow | None:
        """Return the row that a number in a message stands for, or None."""
        return self._by_digest.get(digest)

    def add(self, row: ServerRow) -> None:
        """Add a row."""
        self.version += 1
        self._by_digest[server_digest(row.server_id)] = row
        self._rows[row.server_id] = row
        self._by_pool.setdefault((row.pool, row.region), {})[row.server_id] = row

    def remove(self, row: ServerRow) -> None:
        """Remove a row."""
        self.version += 1
        self.never_used.pop(row.server_id, None)
        del self._rows[row.server_id]
        self._by_digest.pop(server_digest(row.server_id), None)
        del self._by_pool[row.pool, row.region][row.server_id]

    def in_region(self, pool: str, region: str) -> list[ServerRow]:
        """List a pool's servers in a region."""
        return list(self._by_pool.get((pool, region), {}).values())

    def of_pool(self, pool: str) -> list[ServerRow]:
        """List a pool's servers in all regions."""
        return [
            row
            for (name, _), rows in self._by_pool.items()
            if name == pool
            for row in rows.values()
        ]

    def rows(self) -> list[ServerRow]:
        """List all servers."""
        return list(self._rows.values())
