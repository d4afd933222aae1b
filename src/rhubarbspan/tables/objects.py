"""The table of objects that backend servers have handled lately, and service times."""

from collections import Counter
from dataclasses import dataclass, field

# How many objects one server is expected to keep in memory.
N_OBJECTS_PER_SERVER = 24
# Rankings are made again when they are needed; this bounds the memory for them.
N_MAX_RANKINGS = 5_000
SMOOTHING = 0.1


@dataclass(slots=True)
class ServiceRow:
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
        handled: For each server, its latest objects in order of use.
        n_servers: For each pool and object, how many servers know it.
        pools: For each server with objects, its pool.
    """

    handled: dict[str, dict[str, None]] = field(default_factory=dict)
    services: dict[str, ServiceRow] = field(default_factory=dict)
    rankings: dict[tuple[str, str], RankingRow] = field(default_factory=dict)
    n_servers: Counter[tuple[str, str]] = field(default_factory=Counter)
    pools: dict[str, str] = field(default_factory=dict)
    utilisations: dict[tuple[str, frozenset[str] | None], UtilisationRow] = field(
        default_factory=dict
    )

    def is_warm(self, server_id: str, key: str) -> bool:
        """Tell whether a server has handled an object lately."""
        return key in self.handled.get(server_id, ())

    def is_known(self, pool: str, key: str) -> bool:
        """Tell whether any server of a pool has handled an object lately."""
        return self.n_servers.get((pool, key), 0) > 0

    def note(self, pool: str, server_id: str, key: str) -> None:
        """Note that a server handles an object."""
        self.pools[server_id] = pool
        latest = self.handled.setdefault(server_id, {})
        if latest.pop(key, self) is self:
            self.n_servers[pool, key] += 1
        latest[key] = None
        while len(latest) > N_OBJECTS_PER_SERVER:
            oldest = next(iter(latest))
            del latest[oldest]
            self._drop(pool, oldest)

    def forget(self, server_id: str) -> None:
        """Forget what a server has handled: it started again or was left alone."""
        pool = self.pools.pop(server_id, "")
        for key in self.handled.pop(server_id, {}):
            self._drop(pool, key)

    def _drop(self, pool: str, key: str) -> None:
        self.n_servers[pool, key] -= 1
        if self.n_servers[pool, key] <= 0:
            del self.n_servers[pool, key]

    def service(self, route: str) -> ServiceRow:
        """Return the service times of a route."""
        return self.services.setdefault(route, ServiceRow())

    def learn(self, route: str, was_warm: bool, service_s: float) -> None:
        """Add a measured time."""
        row = self.service(route)
        if was_warm:
            row.warm_s += (service_s - row.warm_s) * (SMOOTHING if row.warm_s else 1.0)
        else:
            row.cold_s += (service_s - row.cold_s) * (SMOOTHING if row.cold_s else 1.0)
