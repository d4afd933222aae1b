"""The table of objects that backend servers handled recently, and service times."""

from collections import Counter
from dataclasses import dataclass, field

# Objects that one backend server is assumed to keep in its cache.
N_OBJECTS_PER_SERVER = 24
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


@dataclass(slots=True)
class Objects:
    """Objects by server, service times by route, and rankings by object.

    Attributes:
        latest_objects: Latest objects of each server, least recently used first.
        service_times: Service times by route and by pool.
        rankings: Rankings by pool and object.
        n_warm_servers: Number of servers that handled an object recently, by pool and
            object.
        pool_of_server: Pool of each server that has objects.
        utilisations: Utilisation by pool and regions, None for all regions.
    """

    latest_objects: dict[str, dict[str, None]] = field(default_factory=dict)
    service_times: dict[str, ServiceTimesRow] = field(default_factory=dict)
    rankings: dict[tuple[str, str], RankingRow] = field(default_factory=dict)
    n_warm_servers: Counter[tuple[str, str]] = field(default_factory=Counter)
    pool_of_server: dict[str, str] = field(default_factory=dict)
    utilisations: dict[tuple[str, frozenset[str] | None], UtilisationRow] = field(
        default_factory=dict
    )

    def is_warm(self, server_id: str, key: str) -> bool:
        """Return whether a server handled an object recently."""
        return key in self.latest_objects.get(server_id, ())

    def is_warm_in_pool(self, pool: str, key: str) -> bool:
        """Return whether any server of a pool handled an object recently."""
        return self.n_warm_servers.get((pool, key), 0) > 0

    def record_handled(self, pool: str, server_id: str, key: str) -> None:
        """Record that a server handles an object, and evict its oldest ones."""
        self.pool_of_server[server_id] = pool
        latest = self.latest_objects.setdefault(server_id, {})
        if latest.pop(key, self) is self:
            self.n_warm_servers[pool, key] += 1
        latest[key] = None
        while len(latest) > N_OBJECTS_PER_SERVER:
            oldest = next(iter(latest))
            del latest[oldest]
            self._remove_warm_server(pool, oldest)

    def forget_server(self, server_id: str) -> None:
        """Forget the objects of a server that restarted or whose evacuation ended."""
        pool = self.pool_of_server.pop(server_id, "")
        for key in self.latest_objects.pop(server_id, {}):
            self._remove_warm_server(pool, key)

    def _remove_warm_server(self, pool: str, key: str) -> None:
        self.n_warm_servers[pool, key] -= 1
        if self.n_warm_servers[pool, key] <= 0:
            del self.n_warm_servers[pool, key]

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
