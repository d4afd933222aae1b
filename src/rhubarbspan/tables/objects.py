"""The table of objects that backend servers handled recently, and service times."""

from dataclasses import dataclass, field
from itertools import islice

import xxhash

# Objects of one backend server that are tracked, more than it may keep in its cache.
N_TRACKED_PER_SERVER = 40
# Objects that a server is assumed to keep until responses show how many it keeps, the
# weight of that assumption, as a number of responses for each object, and the least
# number that responses may show.
N_ASSUMED_PER_SERVER = 24
ASSUMED_WEIGHT = 0.15
N_MIN_PER_SERVER = 4
# Bounds the uses of servers that wait to be told to other instances.
N_MAX_UNSENT = 512
# Bounds the memory for rankings, which can be computed again at any time.
N_MAX_RANKINGS = 5_000
SERVICE_TIME_SMOOTHING = 0.1


@dataclass(slots=True)
class ServiceTimesRow:
    """Smoothed service times of requests of one route, or of one pool.

    Attributes:
        warm_s: On servers that handled the object recently, or 0 if not measured.
        cold_s: On other servers, or 0 if not measured.
    """

    warm_s: float = 0.0
    cold_s: float = 0.0

    @property
    def is_measured(self) -> bool:
        """Whether a warm or a cold service time was measured."""
        return self.warm_s > 0 or self.cold_s > 0


@dataclass(slots=True)
class RankingRow:
    """Servers of a pool ranked for one object by rendezvous hashing.

    Attributes:
        version: Version of the table of servers that the ranking was computed from.
    """

    version: int
    server_ids: list[str]


@dataclass(frozen=True, slots=True)
class UtilisationRow:
    """Requests at a pool's servers as a fraction of their slots, at ``measured_s``."""

    measured_s: float
    fraction: float


@dataclass(frozen=True, slots=True)
class HomeFractionRow:
    """Fraction of a pool's objects that stay in the own region, at ``computed_s``."""

    computed_s: float
    fraction: float


@dataclass(slots=True)
class MemoryRow:
    """How many objects the servers of a pool keep, as their responses show.

    Attributes:
        n_warm: Warm responses, by the number of objects that the server handled since
            it handled the request's object.
        n_cold: Cold responses, likewise.
        n_objects: Number of objects that a server of the pool keeps.
        is_outdated: Whether responses were added since ``n_objects`` was chosen.
    """

    n_warm: list[float] = field(
        default_factory=lambda: [
            ASSUMED_WEIGHT if depth < N_ASSUMED_PER_SERVER else 0.0
            for depth in range(N_TRACKED_PER_SERVER)
        ]
    )
    n_cold: list[float] = field(default_factory=lambda: [0.0] * N_TRACKED_PER_SERVER)
    n_objects: int = N_ASSUMED_PER_SERVER
    is_outdated: bool = False

    def record(self, depth: int, was_warm: bool) -> None:
        """Add a response.

        Args:
            depth: Number of objects that the server handled since it handled the
                request's object, below ``N_TRACKED_PER_SERVER``.
            was_warm: Whether the response took as long as that of a warm server.
        """
        (self.n_warm if was_warm else self.n_cold)[depth] += 1.0
        self.is_outdated = True

    def update(self) -> None:
        """Choose the number of objects that agrees with most of the responses."""
        self.is_outdated = False
        n_agreeing = sum(self.n_cold)
        n_most = -1.0
        for n_objects in range(1, N_TRACKED_PER_SERVER):
            n_agreeing += self.n_warm[n_objects - 1] - self.n_cold[n_objects - 1]
            if n_agreeing > n_most and n_objects >= N_MIN_PER_SERVER:
                n_most = n_agreeing
                self.n_objects = n_objects


@dataclass(slots=True)
class Objects:
    """Objects by server, service times by route, and rankings by object.

    Objects are told apart by a digest of route and object, servers in messages by a
    digest of their identifier.

    Attributes:
        latest_objects: Latest objects of each server with the time of their last
            request, least recently used first. It includes what other instances sent.
        service_times: Service times by route and by pool.
        rankings: Rankings by pool and object.
        servers_of_object: Servers that handled an object recently, by pool and object.
        pool_of_server: Pool of each server that has objects.
        memories: How many objects servers keep, by pool.
        utilisations: Utilisation by pool and regions, None for all regions.
        home_fractions: Fraction of the objects that stay in the own region, by pool.
        unsent: Uses of servers that the next heartbeat tells, by server and object.
        unsent_local: Those of the whole data centre that its next summary tells.
        unsent_responses: Responses that the next heartbeat tells, by pool: how many
            objects the server handled since it handled the request's, plus one, and
            negative for cold ones.
        unsent_local_responses: Those of the whole data centre.
    """

    latest_objects: dict[str, dict[int, float]] = field(default_factory=dict)
    service_times: dict[str, ServiceTimesRow] = field(default_factory=dict)
    rankings: dict[tuple[str, str], RankingRow] = field(default_factory=dict)
    servers_of_object: dict[tuple[str, int], dict[str, None]] = field(
        default_factory=dict
    )
    pool_of_server: dict[str, str] = field(default_factory=dict)
    memories: dict[str, MemoryRow] = field(default_factory=dict)
    utilisations: dict[tuple[str, frozenset[str] | None], UtilisationRow] = field(
        default_factory=dict
    )
    home_fractions: dict[str, HomeFractionRow] = field(default_factory=dict)
    unsent: list[tuple[int, int]] = field(default_factory=list)
    unsent_local: list[tuple[int, int]] = field(default_factory=list)
    unsent_responses: dict[str, list[int]] = field(default_factory=dict)
    unsent_local_responses: dict[str, list[int]] = field(default_factory=dict)

    def memory_of(self, pool: str) -> MemoryRow:
        """Return the up-to-date row of a pool; create it if it is missing.

        Peers tell many more responses than requests are placed, so that the number of
        objects is chosen only when it is asked for.
        """
        row = self.memories.get(pool)
        if row is None:
            row = self.memories[pool] = MemoryRow()
        elif row.is_outdated:
            row.update()
        return row

    def record_response(self, pool: str, depth: int, was_warm: bool) -> None:
        """Add a response to the row of a pool, see ``MemoryRow.record``."""
        row = self.memories.get(pool)
        if row is None:
            row = self.memories[pool] = MemoryRow()
        row.record(depth, was_warm)

    def depth_of(self, server_id: str, key: int) -> int | None:
        """Return how many objects a server handled since it handled this one.

        None if it is not known to have handled it.
        """
        latest = self.latest_objects.get(server_id)
        if latest is None or key not in latest:
            return None
        for depth, other in enumerate(reversed(latest)):
            if other == key:
                return depth
        return None

    def is_warm(self, server_id: str, key: int) -> bool:
        """Return whether a server handled an object recently."""
        depth = self.depth_of(server_id, key)
        if depth is None:
            return False
        return depth < self.memory_of(self.pool_of_server[server_id]).n_objects

    def is_warm_in_pool(self, pool: str, key: int) -> bool:
        """Return whether any server of a pool handled an object recently."""
        servers = self.servers_of_object.get((pool, key), {})
        return any(self.is_warm(server_id, key) for server_id in servers)

    def next_evicted_s(self, server_id: str) -> float | None:
        """Return when the object was last used that a new one would evict.

        None if the server has room for one more.
        """
        latest = self.latest_objects.get(server_id)
        if latest is None:
            return None
        n_beyond = (
            len(latest) - self.memory_of(self.pool_of_server[server_id]).n_objects
        )
        if n_beyond < 0:
            return None
        return next(islice(latest.values(), n_beyond, None))

    def record_handled(
        self, pool: str, server_id: str, key: int, used_s: float
    ) -> None:
        """Record that a server handles an object, and forget its oldest ones."""
        self.pool_of_server[server_id] = pool
        latest = self.latest_objects.get(server_id)
        if latest is None:
            latest = self.latest_objects[server_id] = {}
        if latest.pop(key, None) is None:
            servers = self.servers_of_object.get((pool, key))
            if servers is None:
                servers = self.servers_of_object[pool, key] = {}
            servers[server_id] = None
        latest[key] = used_s
        while len(latest) > N_TRACKED_PER_SERVER:
            oldest = next(iter(latest))
            del latest[oldest]
            self._remove_server(pool, oldest, server_id)

    def forget_server(self, server_id: str) -> None:
        """Forget the objects of a server that restarted or whose evacuation ended."""
        pool = self.pool_of_server.pop(server_id, "")
        for key in self.latest_objects.pop(server_id, {}):
            self._remove_server(pool, key, server_id)

    def _remove_server(self, pool: str, key: int, server_id: str) -> None:
        servers = self.servers_of_object.get((pool, key), {})
        servers.pop(server_id, None)
        if not servers:
            self.servers_of_object.pop((pool, key), None)

    def service_times_of(self, route: str) -> ServiceTimesRow:
        """Return the service times of a route or pool; create the row if missing."""
        return self.service_times.setdefault(route, ServiceTimesRow())

    def record_service_time(self, route: str, was_warm: bool, service_s: float) -> None:
        """Add a measured service time to the smoothed ones."""
        row = self.service_times_of(route)
        if was_warm:
            row.warm_s += (service_s - row.warm_s) * (
                SERVICE_TIME_SMOOTHING if row.warm_s else 1.0
            )
        else:
            row.cold_s += (service_s - row.cold_s) * (
                SERVICE_TIME_SMOOTHING if row.cold_s else 1.0
            )


def server_digest(server_id: str) -> int:
    """Return the number that stands for a server in messages between instances."""
    return xxhash.xxh32_intdigest(server_id.encode())


def object_digest(route: str, object_key: str) -> int:
    """Return the number that stands for an object on a route; 0 stands for none."""
    return xxhash.xxh32_intdigest(f"{route}/{object_key}".encode()) or 1
