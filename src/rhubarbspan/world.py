"""The world: all tables of one instance."""

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from .configuration import Configuration
from .document import Change, Snapshot
from .effects import StoreAccess
from .inputs import Timer
from .policies import Policies
from .tables.announcements import Announcements
from .tables.answers import Answers
from .tables.buckets import Buckets
from .tables.claims import Claims
from .tables.data_centres import DataCentres
from .tables.deadlines import Deadlines
from .tables.history import History
from .tables.latencies import Latencies
from .tables.memory import Memory
from .tables.objects import Objects
from .tables.peers import PeerRow, Peers
from .tables.queues import Queues
from .tables.requests import RequestRow, Requests
from .tables.rules import Rules
from .tables.servers import ServerRow, Servers
from .tables.slot_loans import SlotLoans
from .tables.splits import SplitRow
from .tables.suspects import Suspects
from .tables.tickets import Tickets
from .tables.traffic import RegionTraffic

SECRET_BYTES = 16


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this instance.

    Attributes:
        seat: Name of the seat that it occupies.
        incarnation: Number of this run of the instance, larger than those of earlier
            runs.
    """

    seat: str
    data_centre: str
    region: str
    incarnation: int
    address: str = ""
    peer_address: str = ""


@dataclass(slots=True)
class ConfigurationState:
    """The configuration in force and how recently it was confirmed.

    Attributes:
        snapshot: The document in force.
        changes: Recent changes, oldest first, kept to be sent to peers.
        in_force_s: When the document came into force.
        confirmed_s: Latest time at which the store is known to have held nothing newer.
        read_s: The same, as far as this data centre has read the store itself.
        requested_s: When configuration was last requested from a peer.
        older_revision: Revision older than the one in force that a restored store
            holds, 0 if it holds none.
    """

    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, {}))
    changes: list[Change] = field(default_factory=list)
    in_force_s: float = 0.0
    confirmed_s: float = -1e9
    read_s: float = -1e9
    requested_s: float = -1e9
    older_revision: int = 0


@dataclass(slots=True)
class StoreEra:
    """The era of the store that this instance reads; a restore begins a new one.

    Attributes:
        number: The era, -1 before the first reading.
        available_s: Since when the store has been available in it. Never for era 0,
            which no restore has begun.
        is_new: Whether a restore was noticed in this tick.
    """

    number: int = -1
    available_s: float = -1e9
    is_new: bool = False


@dataclass(slots=True)
class Departure:
    """The progress of a graceful stop.

    Attributes:
        started_s: When the stop was requested, at the latest.
        serve_until_s: Until when the instance waits for further requests.
        finish_until_s: Until when its requests may run; the process is killed soon
            after.
        is_overdue: Whether requests were still in progress then.
        is_over: Whether no request is in progress, so that the process may exit.
    """

    started_s: float
    serve_until_s: float = float("inf")
    finish_until_s: float = float("inf")
    is_overdue: bool = False
    is_over: bool = False


@dataclass(slots=True)
class LimitDivision:
    """How the limits of accounts are divided over data centres.

    Attributes:
        updated_s: When the fractions were computed last.
        n_data_centres: Data centres with instances that may refill.
        present_fraction: Fraction of the own data centre's instances that share a
            holder with this one, itself included.
        fractions: Fraction of each account's limit that the instances refill that
            share a holder with this one.
        computed: Fractions of each account that were computed lately, oldest first.
        isolated: Accounts whose limit others keep, or may have taken over, to which
            there is no way now.
        n_sharing: Data centres that may use the isolated share of such an account.
        n_isolated: For each keeper to which there is no way, when and how many data
            centres were found that may have none.
        kept: Accounts whose limit one data centre keeps whole.
        demands: Demand of the other data centres that the fractions were computed with,
            by account and data centre.
        holders_elsewhere: Holders of the other data centres' parts, by account, as far
            as they were needed since the fractions were computed.
    """

    updated_s: float = -1e9
    n_data_centres: int = 1
    present_fraction: float = 1.0
    fractions: dict[str, float] = field(default_factory=dict)
    computed: dict[str, deque[float]] = field(default_factory=dict)
    isolated: set[str] = field(default_factory=set)
    n_sharing: dict[str, int] = field(default_factory=dict)
    n_isolated: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    kept: set[str] = field(default_factory=set)
    demands: dict[str, dict[str, float]] = field(default_factory=dict)
    holders_elsewhere: dict[str, list[PeerRow]] = field(default_factory=dict)


@dataclass(slots=True)
class World:
    """All tables of one instance, and its source of randomness.

    Attributes:
        counters: Counts by name and label, published as metrics.
        started_s: When the instance started.
        ticked_s: When the previous tick ran.
        paused_s: A time just before the latest pause of the process.
        resumed_s: When the first tick after that pause ran.
        owned: Servers by pool whose slots this instance assigns.
        owned_basis: Version of the servers, pools and seats by region from which
            ``owned`` was computed, or None.
        is_configuration_new: Whether a revision came into force in this tick.
        unconfirmed_seats: Seats that may still use their old, larger shares, each with
            the revision that it has to confirm before shares here may grow.
        known_seats: Seats of the configuration that was processed last.
        processed_seats_revision: Revision of the seats that was processed last.
        is_first_seat_list: Whether that revision is the first one since the start.
        has_peer_list: Whether the platform's list of instances has been read.
        new_requests: Rows that were added in this tick.
        changed_accounts: Accounts whose waiters or tokens changed in this tick.
        heartbeat_sequence: Sequence number of the newest heartbeat.
        n_loans: Number of the newest loan of tokens.
        evacuated: Data centres that an operator has evacuated; their servers get no
            requests.
        store_era: Which era of the store this instance reads.
        store_recovered_s: When the store became reachable again after its last outage.
        servers_listed_s: When a list of servers was read from the store last.
        heartbeats_sent_s: When the latest heartbeats were sent, by sequence number.
        demand_fractions: Fraction of each account's limit that this instance refills,
            by its fraction of the demand.
        splits: Requests sent to each pool of a split route, by route.
        is_two_level: Whether this instance sends heartbeats only inside its data
            centre; relays tell the others in summaries.
        store_access: How this instance learns what the store holds.
        store_updates_due_s: By prefix of the store, when the next reading of another
            instance is due.
        own_reads_due_s: By prefix of the store, when the own next reading is due.
    """

    identity: Identity
    started_s: float
    policies: Policies = field(default_factory=Policies)
    rng: random.Random = field(default_factory=random.Random)
    configuration: Configuration = field(default_factory=Configuration)
    configuration_state: ConfigurationState = field(default_factory=ConfigurationState)
    requests: Requests = field(default_factory=Requests)
    servers: Servers = field(default_factory=Servers)
    announcements: Announcements = field(default_factory=Announcements)
    peers: Peers = field(default_factory=Peers)
    buckets: Buckets = field(default_factory=Buckets)
    queues: Queues = field(default_factory=Queues)
    suspects: Suspects = field(default_factory=Suspects)
    answers: Answers = field(default_factory=Answers)
    history: History = field(default_factory=History)
    deadlines: Deadlines = field(default_factory=Deadlines)
    counters: Counter[tuple[str, str]] = field(default_factory=Counter)
    claims: Claims = field(default_factory=Claims)
    tickets: Tickets = field(default_factory=lambda: Tickets(b""))
    slot_loans: SlotLoans = field(default_factory=SlotLoans)
    owned: dict[str, list[ServerRow]] = field(default_factory=dict)
    owned_basis: tuple[int, list[str], dict[str, list[str]]] | None = None
    ticked_s: float = -1e9
    paused_s: float = -1e9
    resumed_s: float = -1e9
    departure: Departure | None = None
    is_configuration_new: bool = False
    unconfirmed_seats: dict[str, int] = field(default_factory=dict)
    known_seats: list[str] = field(default_factory=list)
    processed_seats_revision: int = -1
    is_first_seat_list: bool = False
    has_peer_list: bool = False
    new_requests: list[RequestRow] = field(default_factory=list)
    changed_accounts: dict[str, None] = field(default_factory=dict)
    heartbeat_sequence: int = 0
    n_loans: int = 0
    objects: Objects = field(default_factory=Objects)
    rules: Rules = field(default_factory=Rules)
    latencies: Latencies = field(default_factory=Latencies)
    region_traffic: RegionTraffic = field(default_factory=RegionTraffic)
    evacuated: frozenset[str] = frozenset()
    store_era: StoreEra = field(default_factory=StoreEra)
    store_recovered_s: float = -1e9
    servers_listed_s: float = -1e9
    splits: dict[str, SplitRow] = field(default_factory=dict)
    data_centres: DataCentres = field(default_factory=DataCentres)
    limit_division: LimitDivision = field(default_factory=LimitDivision)
    is_two_level: bool = False
    store_access: StoreAccess = StoreAccess.READER
    store_updates_due_s: dict[str, float] = field(default_factory=dict)
    own_reads_due_s: dict[str, float] = field(default_factory=dict)
    demand_fractions: dict[str, float] = field(default_factory=dict)
    heartbeats_sent_s: dict[int, float] = field(default_factory=dict)
    memory: Memory = field(default_factory=Memory)

    def count(self, name: str, label: str = "", n: int = 1) -> None:
        """Increase a counter by ``n``."""
        self.counters[name, label] += n


def create_world(
    identity: Identity, now_s: float, policies: Policies, seed: int
) -> World:
    """Create a world whose periodic deadlines are armed."""
    world = World(identity, now_s, policies, random.Random(seed))
    world.history.started_s = now_s
    world.tickets.secret = world.rng.randbytes(SECRET_BYTES)
    world.deadlines.arm(now_s, Timer.HEARTBEAT, "")
    world.deadlines.arm(now_s, Timer.STEERING, "")
    return world
