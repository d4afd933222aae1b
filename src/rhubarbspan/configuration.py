"""The typed configuration, such as routes, pools, client accounts and data centres."""

import ipaddress
from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """Whether a request of a route may be retried or run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    AT_MOST_ONCE = "at_most_once"


class DrainKind(Enum):
    """Kind of the target of a drain."""

    INSTANCE = "instance"
    BACKEND_SERVER = "backend_server"
    DATA_CENTRE = "data_centre"


@dataclass(frozen=True, slots=True)
class Route:
    """A route, which maps requests to a pool by host and path prefix.

    Attributes:
        pool: The pool that serves the route; for a split route, the pool of its first
            part.
        is_open: Whether the route needs no API key.
        max_config_age_s: Largest age of the configuration, or 0 for no bound. It holds
            where the policies leave it to the routes.
        host: The host that the route matches, or an empty string for all hosts.
        n_max_attempts: Maximum number of attempts for one request, without those that
            a server shed.
        priority: Priority when capacity is short; 0 is the highest.
        regions: The regions that may serve the route, or none for all regions.
        is_affine: Whether requests for the same object go to the same server.
        parts: Pools and weights of a split route, otherwise empty.
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
    """A pool of backend servers and its limits.

    Attributes:
        ramp_s: Time over which the usable slots of a cold server grow to all of them.
        cold_rate_per_s: Maximum rate of requests that a cold server can serve, from
            all instances together.
    """

    name: str
    n_slots_per_server: int
    n_connections_per_server: int
    n_max_queued: int
    ramp_s: float
    cold_rate_per_s: float = 1e6


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, with its fleet-wide rate limit and the hashes of its API keys.

    Attributes:
        priority: Priority that overrides the route's, or -1 for the route's.
        regions: The regions that may serve the account, or none for all regions.
    """

    name: str
    rate_per_s: float
    burst: int
    key_hashes: tuple[str, ...]
    priority: int = -1
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's requests, and timeouts for slow callers."""

    n_head_bytes: int = 16_384
    n_body_bytes: int = 67_108_864
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre with its own entry instances and backend servers.

    Attributes:
        client_blocks: Network blocks of the callers that the data centre serves.
        is_decommissioned: Whether the operator declared that no instance runs there.
    """

    name: str
    region: str
    n_seats: int
    client_blocks: tuple[str, ...]
    is_decommissioned: bool = False


@dataclass(frozen=True, slots=True)
class Link:
    """A network link between two regions, with its capacity in each direction."""

    name: str
    regions: tuple[str, str]
    cap_mbit_per_s: float


@dataclass(frozen=True, slots=True)
class Shift:
    """A planned shift of a fraction of a pool's requests between two regions."""

    name: str
    pool: str
    from_region: str
    to_region: str
    cap_requests_per_s: float
    pace_requests_per_s2: float
    fraction: float


@dataclass(frozen=True, slots=True)
class Drain:
    """A planned removal of an instance, a server or a data centre from service."""

    name: str
    kind: DrainKind
    target: str


ClientBlock = ipaddress.IPv4Network | ipaddress.IPv6Network


# Data centres by network address, for each IP version and prefix length.
ClientBlockTable = dict[tuple[int, int], dict[int, str]]


def add_client_block(
    blocks: ClientBlockTable, block: ClientBlock, data_centre: str
) -> str:
    """Add a client block unless it exists, and return the data centre that has it."""
    by_address = blocks.setdefault((block.version, block.prefixlen), {})
    return by_address.setdefault(int(block.network_address), data_centre)


@dataclass(slots=True)
class Configuration:
    """A complete validated configuration at one revision."""

    revision: int = 0
    routes: dict[str, Route] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    client_accounts: dict[str, ClientAccount] = field(default_factory=dict)
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    shifts: dict[str, Shift] = field(default_factory=dict)
    drains: dict[str, Drain] = field(default_factory=dict)
    account_by_key_hash: dict[str, str] = field(default_factory=dict)
    blocks: ClientBlockTable = field(default_factory=dict)
    caller_limits: CallerLimits = CallerLimits()

    def seats(self) -> list[str]:
        """List the names of the seats that entry instances can occupy.

        Example:
            >>> data_centre = DataCentre("centro-a", "centro", 2, ())
            >>> Configuration(data_centres={"centro-a": data_centre}).seats()
            ['centro-a-1', 'centro-a-2']
        """
        return [
            f"{data_centre.name}-{number}"
            for data_centre in self.data_centres.values()
            for number in range(1, data_centre.n_seats + 1)
        ]

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, or an empty string if it is unknown."""
        known = self.data_centres.get(data_centre)
        return known.region if known else ""

    def regions(self) -> list[str]:
        """List the regions in the order of the data centres."""
        return list(dict.fromkeys(p.region for p in self.data_centres.values()))


def match_route(
    configuration: Configuration, path: str, host: str = ""
) -> Route | None:
    """Return the route with the longest prefix that matches a path and a host.

    A prefix matches at segment boundaries; one that ends with a slash does not match
    the path without it. Routes of the host take precedence over routes for all hosts.

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


def find_data_centre(configuration: Configuration, address: str) -> str | None:
    """Return the data centre whose client block contains an address or a block.

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
