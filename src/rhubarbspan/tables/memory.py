"""What the connections of callers and servers hold, and the callers' connections.

Bytes are counted by kind and by connection, so that the count of a connection is taken
back as a whole when it ends, in whatever order its parts end.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Held(IntEnum):
    """Why bytes are held."""

    READ = 0
    BODY = 1
    RESPONSE = 2
    UNSENT = 3


class Phase(Enum):
    """What a caller's connection is doing.

    Attributes:
        IDLE: No request is in progress, and none has begun to arrive.
        ARRIVING: A request is arriving.
        RUNNING: A request has arrived, and its response is not yet sent.
    """

    IDLE = "idle"
    ARRIVING = "arriving"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class HoldingRow:
    """What one connection holds; all connections to servers share a row.

    Attributes:
        address: IP address of the caller, or an empty string for servers.
        n_bytes: Bytes held, by kind.
        progressed_s: When bytes moved last.
        is_closing: Whether it was chosen to be closed.
    """

    address: str
    progressed_s: float
    phase: Phase = Phase.IDLE
    n_bytes: list[int] = field(default_factory=lambda: [0] * len(Held))
    is_closing: bool = False

    def enter(self, phase: Phase, now_s: float) -> None:
        """Record what the connection does from now on."""
        self.phase = phase
        self.progressed_s = now_s

    def total(self) -> int:
        """Return the bytes held."""
        return sum(self.n_bytes)


Rows = dict[HoldingRow, None]


@dataclass(slots=True)
class Memory:
    """Bytes held in total, and the callers' connections by address.

    Attributes:
        limit_bytes: Size of the budget.
        n_max_connections: Connections of callers that may be open.
        n_bytes: Bytes held, by kind.
        n_total_bytes: Bytes held of all kinds.
        servers: What all connections to servers hold.
        by_address: Connections of each address, the oldest first.
    """

    limit_bytes: int = 1 << 62
    n_max_connections: int = 1 << 62
    n_connections: int = 0
    n_bytes: list[int] = field(default_factory=lambda: [0] * len(Held))
    n_total_bytes: int = 0
    servers: HoldingRow = field(default_factory=lambda: HoldingRow("", 0.0))
    by_address: dict[str, Rows] = field(default_factory=dict)

    def open(self, address: str, now_s: float) -> HoldingRow:
        """Add a connection of a caller."""
        row = HoldingRow(address, now_s)
        self.by_address.setdefault(address, {})[row] = None
        self.n_connections += 1
        return row

    def close(self, row: HoldingRow) -> None:
        """Remove a connection of a caller and all that it holds."""
        for kind in Held:
            self.hold(row, kind, -row.n_bytes[kind])
        rows = self.by_address.get(row.address, {})
        if row not in rows:
            return
        del rows[row]
        self.n_connections -= 1
        if not rows:
            del self.by_address[row.address]

    def hold(self, row: HoldingRow, kind: Held, n_bytes: int) -> None:
        """Count bytes that a connection holds from now on, or no longer if negative."""
        row.n_bytes[kind] += n_bytes
        self.n_bytes[kind] += n_bytes
        self.n_total_bytes += n_bytes

    def n_of(self, address: str) -> int:
        """Count the connections of an address."""
        return len(self.by_address.get(address, {}))
