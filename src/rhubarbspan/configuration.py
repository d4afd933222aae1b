"""The typed configuration: routes, pools, client accounts, places and planned work."""

import ipaddress
from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    AT_MOST_ONCE = "at_most_once"


class DrainKind(Enum):
    """What an operator takes out of service."""

    INSTANCE = "instance"
    BACKEND_SERVER = "backend_server"
    DATA_CENTRE = "data_centre"


@dataclass(frozen=True, slots=True)
class Route:
    """One row of the operators' table of routes.

    Attributes:
        pool: The pool that serves it; for a route that is split, its first part.
        host: The host that it is for, or an empty string for all hosts.
        n_max_attempts: The most servers that one request may be sent to.
        priority: Its rank where room is short, 0 being the highest.
        regions: The regions that may serve it, or none for all regions.
        is_affine: Whether requests that concern one object go to one server.
        parts: Pools and weights of a route that is split, otherwise none.
    """

    name: str
    pool: str
    path_prefix: str
    kind: RouteKind
    is_open: bool
    timeout_s: float
    max_config_age_s: float
    availability_objective: float
    latency_objective_s: float
    host: str = ""
    n_max_attempts: int = 4
    priority: int = 0
    regions: tuple[str, ...] = ()
    is_affine: bool = False
    parts: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Pool:
    """One row of the operators' table of pools.

    Attributes:
        cold_rate_per_s: Requests a second that a cold server bears from all
            instances together.
    """

    name: str
    n_slots_per_server: int
    n_connections_per_server: int
    n_max_queued: int
    ramp_s: float
    cold_rate_per_s: float = 1e6


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A tenant, with its limit over the whole fleet and the hashes of its keys.

    Attributes:
        priority: Its rank, which goes before the route's, or -1 if it has none.
        regions: The regions that may serve it, or none for all regions.
    """

    name: str
    rate_per_s: float
    burst: int
    key_hashes: tuple[str, ...]
    priority: int = -1
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    n_head_bytes: int = 16_384
    n_body_bytes: int = 67_108_864
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A place with entry instances and backend servers of its own.

    Attributes:
        is_gone: Whether an operator vouches that no instance runs there.
    """

    name: str
    region: str
    n_seats: int
    client_blocks: tuple[str, ...]
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class Link:
    """The capacity between two regions, in each direction."""

    name: str
    regions: tuple[str, str]
    cap_mbit_per_s: float


@dataclass(frozen=True, slots=True)
class Shift:
    """A planned move of part of a pool's requests from one region to another."""

    name: str
    pool: str
    from_region: str
    to_region: str
    cap_requests_per_s: float
    pace_requests_per_s2: float
    fraction: float


@dataclass(frozen=True, slots=True)
class Drain:
    """A planned removal of something from service."""

    name: str
    kind: DrainKind
    target: str


Block = ipaddress.IPv4Network | ipaddress.IPv6Network


# Data centres by network address, for each address family and prefix length.
BlockTable = dict[tuple[int, int], dict[int, str]]


def add_block(blocks: BlockTable, block: Block, data_centre: str) -> str:
    """Add a client block; return the data centre that holds it already, or this."""
    by_address = blocks.setdefault((block.version, block.prefixlen), {})
    return by_address.setdefault(int(block.network_address), data_centre)


@dataclass(slots=True)
class Configuration:
    """A whole checked configuration at one revision."""

    revision: int = 0
    routes: dict[str, Route] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    client_accounts: dict[str, ClientAccount] = field(default_factory=dict)
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    shifts: dict[str, Shift] = field(default_factory=dict)
    drains: dict[str, Drain] = field(default_factory=dict)
    account_by_key_hash: dict[str, str] = field(default_factory=dict)
    blocks: BlockTable = field(default_factory=dict)
    caller_limits: CallerLimits = CallerLimits()

    def seats(self) -> list[str]:
        """List the names of the seats that entry instances can occupy.

        Example:
            >>> place = DataCentre("centro-a", "centro", 2, ())
            >>> Configuration(data_centres={"centro-a": place}).seats()
            ['centro-a-1', 'centro-a-2']
        """
        return [
            f"{place.name}-{number}"
            for place in self.data_centres.values()
            for number in range(1, place.n_seats + 1)
        ]

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, or an empty string if unknown."""
        place = self.data_centres.get(data_centre)
        return place.region if place else ""

    def regions(self) -> list[str]:
        """List the regions in the order of the data centres."""
        return list(dict.fromkeys(p.region for p in self.data_centres.values()))


def match_route(
    configuration: Configuration, path: str, host: str = ""
) -> Route | None:
    """Find the route of a host with the longest prefix of a path.

    A prefix matches at segment boundaries; one that ends with a slash does not match
    the path without it. Routes of the host go before routes for all hosts.

    Example:
        >>> route = Route("r", "p", "/a", RouteKind.IDEMPOTENT, True, 1, 0, 0.99, 1)
        >>> found = match_route(Configuration(routes={"r": route}), "/a/b")
        >>> found.name if found else None
        'r'
        >>> match_route(Configuration(routes={"r": route}), "/ab") is None
        True
    """
    best: Route | None = None
    best_rank = (False, -1)
    for route in configuration.routes.values():
        prefix = route.path_prefix
        if route.host not in ("", host):
            continue
        if not path.startswith(prefix):
            continue
        if not prefix.endswith("/") and path[len(prefix) : len(prefix) + 1] not in (
            "",
            "/",
        ):
            continue
        rank = (bool(route.host), len(prefix))
        if rank > best_rank:
            best = route
            best_rank = rank
    return best


def place_of_block(configuration: Configuration, address: str) -> str | None:
    """Find the data centre whose client block holds an address or a block.

    Returns:
        The name of the data centre with the longest matching block, or None.
    """
    try:
        wanted = ipaddress.ip_network(address, strict=False)
    except ValueError:
        return None
    number = int(wanted.network_address)
    n_bits = wanted.max_prefixlen
    for length in range(wanted.prefixlen, -1, -1):
        by_address = configuration.blocks.get((wanted.version, length))
        if by_address is None:
            continue
        found = by_address.get(number >> (n_bits - length) << (n_bits - length))
        if found is not None:
            return found
    return None
