"""The table of objects that backend servers have handled lately, and service times."""

from collections import Counter
from dataclasses import dataclass, field

# How many objects one server is expected to keep in memory.
N_OBJECTS_PER_SERVER = 24
# Rankings are made again when they are needed; this bounds the memory for them.
N_MAX_RANKINGS = 5_000
SERVICE_TIME_SMOOTHING = 0.1


@dataclass(slots=True)
class ServiceTimesRow:
    """Smoothed times that servers take for requests of one route.

    Attributes:
        warm_s: On servers that have handled the object lately, or 0 if not known.
        cold_s: On others, or 0 if not known.
    """

    warm_s: float = 0.0
    cold_s: float = 0.0

    @property
    def is_measured(self) -> bool:
        """Whether any time was measured."""
        return self.warm_s > 0 or self.cold_s > 0


@dataclass(slots=True)
class RankingRow:
    """Servers of a pool in the order in which an object prefers them.

    Attributes:
        version: Version of the table of servers that the order was made from.
    """

    version: int
    server_ids: list[str]


@dataclass(frozen=True, slots=True)
class UtilisationRow:
    """Requests at a pool's servers divided by their slots, as measured."""

    measured_s: float
    fraction: float


@dataclass(slots=True)
class Objects:
    """Objects by server, service times by route, and rankings by object.

    Attributes:
        latest_objects: For each server, its latest objects in order of use.
        n_warm_servers: For each pool and object, how many servers know it.
        pool_of_server: For each server with objects, its pool.
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
        """Tell whether a server has handled an object lately."""
        return key in self.latest_objects.get(server_id, ())

    def is_warm_in_pool(self, pool: str, key: str) -> bool:
        """Tell whether any server of a pool has handled an object lately."""
        return self.n_warm_servers.get((pool, key), 0) > 0

    def record_handled(self, pool: str, server_id: str, key: str) -> None:
        """Note that a server handles an object."""
        self.pool_of_server[server_id] = pool
        latest = self.latest_objects.setdefault(server_id, {})
        if latest.pop(key, self) is self:
            self.n_warm_servers[pool, key] += 1
        latest[key] = None
        while len(latest) > N_OBJECTS_PER_SERVER:
            oldest = next(iter(latest))
            del latest[oldest]
            self._drop(pool, oldest)

    def forget_server(self, server_id: str) -> None:
        """Forget what a server has handled: it started again or was left alone."""
        pool = self.pool_of_server.pop(server_id, "")
        for key in self.latest_objects.pop(server_id, {}):
            self._drop(pool, key)

    def _drop(self, pool: str, key: str) -> None:
        self.n_warm_servers[pool, key] -= 1
        if self.n_warm_servers[pool, key] <= 0:
            del self.n_warm_servers[pool, key]

    def service_times_of(self, route: str) -> ServiceTimesRow:
        """Return the service times of a route."""
        return self.service_times.setdefault(route, ServiceTimesRow())

    def record_service_time(self, route: str, was_warm: bool, service_s: float) -> None:
        """Add a measured time."""
        row = self.service_times_of(route)
        if was_warm:
            row.warm_s += (service_s - row.warm_s) * (
                SERVICE_TIME_SMOOTHING if row.warm_s else 1.0
            )
        else:
            row.cold_s += (service_s - row.cold_s) * (
                SERVICE_TIME_SMOOTHING if row.cold_s else 1.0
            )
