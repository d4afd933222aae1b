"""The table of entry instances, one row for each seat."""

from dataclasses import dataclass, field

from ..peer_messages import AccountDemand, InFlight, PoolLoad


@dataclass(slots=True)
class PeerRow:
    """What this instance knows of one other entry instance.

    Attributes:
        incarnation: Incarnation that sent the newest heartbeat, 0 before the first.
        sequence: Sequence number of the newest heartbeat.
        last_heard_s: When the newest heartbeat arrived.
        started_s: When this incarnation started, from the uptime that it reported.
        is_alive: Whether heartbeats arrive in time.
        is_listed: Whether the platform's list of instances contains it.
        unlisted_s: When that list ceased to contain it, or when it became known.
        is_listed_leaving: Whether that list shows it as leaving.
        is_leaving: Whether its heartbeats report that it is leaving.
        revision: Revision of the configuration that it reported.
        loads: Load that it reported for the servers that it owns, by pool.
        demands: Demand that it reported, by account.
        demands_s: When it reported that demand.
        is_summarised: Whether the newest news of it came in a summary.
        knows_servers: Whether it knows any backend server.
        confirmed_s: When the newest own heartbeat was sent that it has echoed.
        acknowledged_sequence: Sequence number of that heartbeat, 0 before the first
            echo of its incarnation.
        link_opened_s: When the connection to it was last ordered anew.
        link_wait_s: How long the present connection may confirm nothing, if longer
            than usual.
        presence_digest: Digest of the instances that it sees present in its data
            centre, 0 if it sends none.
        is_two_level: Whether it sends heartbeats only inside its data centre.
        asked_for_tokens_s: When tokens were last requested of it as the holder of
            another data centre's parts of limits.
        in_flight: Its requests at backend servers that it reported, or None.
        missed: Instances that it does not hear, as it told last.
        relayed_s: When a third instance last passed on a newer heartbeat of it.
        relayed_sequence: Sequence number of that heartbeat.
        relayed_confirmed_s: As ``confirmed_s``, by echoes on any way.
    """

    seat: str
    data_centre: str
    region: str
    peer_address: str = ""
    address: str = ""
    incarnation: int = 0
    sequence: int = 0
    last_heard_s: float = -1e9
    started_s: float = -1e9
    is_alive: bool = False
    is_listed: bool = False
    unlisted_s: float = -1e9
    is_listed_leaving: bool = False
    is_leaving: bool = False
    revision: int = 0
    loads: dict[str, PoolLoad] = field(default_factory=dict)
    demands: dict[str, AccountDemand] = field(default_factory=dict)
    offered_sequence: int = 0
    demands_s: float = -1e9
    is_summarised: bool = False
    is_two_level: bool = False
    knows_servers: bool = True
    confirmed_s: float = -1e9
    acknowledged_sequence: int = 0
    link_opened_s: float = -1e9
    link_wait_s: float = 0.0
    presence_digest: int = 0
    asked_for_tokens_s: float = -1e9
    in_flight: InFlight | None = None
    missed: frozenset[str] = frozenset()
    relayed_s: float = -1e9
    relayed_sequence: int = 0
    relayed_confirmed_s: float = -1e9

    def evidence_s(self) -> float:
        """Return when this instance was last heard, directly or through a third."""
        return max(self.last_heard_s, self.relayed_s)

    def newest_sequence(self) -> int:
        """Return the sequence number of the newest heartbeat on any way."""
        return max(self.sequence, self.relayed_sequence)

    def any_confirmed_s(self) -> float:
        """Return when the newest own heartbeat was sent that it has, by any echo."""
        return max(self.confirmed_s, self.relayed_confirmed_s)


class Peers:
    """Entry instances by seat.

    Attributes:
        holders: Seats that reported to hold shares of any account. There is none
            unless shares are delegated.
        missing: Seats that told that they miss others.
    """

    __slots__ = ("_rows", "holders", "missing")

    def __init__(self) -> None:
        self._rows: dict[str, PeerRow] = {}
        self.holders: set[str] = set()
        self.missing: set[str] = set()

    def get(self, seat: str) -> PeerRow | None:
        """Return a row, or None."""
        return self._rows.get(seat)

    def add(self, row: PeerRow) -> None:
        """Add a row."""
        self._rows[row.seat] = row

    def remove(self, seat: str) -> None:
        """Remove a row."""
        del self._rows[seat]
        self.holders.discard(seat)
        self.missing.discard(seat)

    def set_demands(
        self, row: PeerRow, now_s: float, demands: list[AccountDemand]
    ) -> None:
        """Replace the demands that an instance reported."""
        row.demands = {demand.account: demand for demand in demands}
        row.demands_s = now_s
        if any(demand.is_holder for demand in demands):
            self.holders.add(row.seat)
        else:
            self.holders.discard(row.seat)

    def set_missed(self, row: PeerRow, missed: list[str]) -> None:
        """Replace the instances that an instance does not hear."""
        row.missed = frozenset(missed)
        if missed:
            self.missing.add(row.seat)
        else:
            self.missing.discard(row.seat)

    def rows(self) -> list[PeerRow]:
        """List all rows."""
        return list(self._rows.values())

    def alive(self) -> list[PeerRow]:
        """List the live instances, those whose heartbeats arrive in time."""
        return [row for row in self._rows.values() if row.is_alive]
