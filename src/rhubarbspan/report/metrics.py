"""Renders the metrics page from the world's counters and tables."""

from collections import Counter
from collections.abc import Iterator
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from ..systems.slots import is_available
from ..tables.latencies import BUCKET_BOUNDS_S
from ..tables.memory import Held
from ..tables.requests import RequestState
from ..world import World

PREFIX = "rhubarbspan_"
# Upper limit of the reported age, also if the configuration was never confirmed.
MAX_AGE_S = 1e6


class WorldCollector(Collector):
    """Converts the world's counters and tables to metrics when they are scraped."""

    __slots__ = ("_world", "_n_ticks", "_now_s")

    def __init__(self, world: World, n_ticks: int, now_s: float) -> None:
        self._now_s = now_s
        self._world = world
        self._n_ticks = n_ticks

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), value in sorted(self._world.counters.items()):
            family = families.get(name)
            if family is None:
                help_text = name.replace("_", " ")
                family = CounterMetricFamily(PREFIX + name, help_text, labels=["label"])
                families[name] = family
            family.add_metric([label], value)
        yield from families.values()
        yield from self._gauges()
        yield self._latencies()

    def _gauges(self) -> Iterator[Metric]:
        world = self._world
        yield _gauge("ticks", "ticks run", self._n_ticks)
        revision = world.configuration.revision
        yield _gauge("configuration_revision", "revision in force", revision)
        era = max(0, world.store_era.number)
        yield _gauge("store_era", "era of the store, after its restores", era)
        yield _gauge("instances_alive", "other instances", len(world.peers.alive()))
        states = GaugeMetricFamily(
            PREFIX + "requests_in_state", "requests by state", labels=["state"]
        )
        for state in RequestState:
            states.add_metric([state.value], world.requests.n_in(state))
        yield states
        age_s = self._now_s - world.configuration_state.confirmed_s
        help_text = "time since the configuration in force was known to be the newest"
        yield _gauge("configuration_age_seconds", help_text, min(age_s, MAX_AGE_S))
        yield self._servers()
        held = GaugeMetricFamily(
            PREFIX + "held_bytes", "bytes held for others by kind", labels=["kind"]
        )
        for kind in Held:
            held.add_metric([kind.name.lower()], world.memory.n_bytes[kind])
        yield held
        limit_bytes = float(world.memory.limit_bytes)
        yield _gauge("held_bytes_limit", "budget of bytes held", limit_bytes)
        n_connections = world.memory.n_connections
        yield _gauge("caller_connections", "open connections", n_connections)

    def _servers(self) -> Metric:
        servers = GaugeMetricFamily(
            PREFIX + "backend_servers", "servers", labels=["pool", "region", "state"]
        )
        counts = Counter(
            (
                row.pool,
                row.region,
                "usable" if is_available(row, self._now_s) else "out",
            )
            for row in self._world.servers.rows()
        )
        for labels, n_servers in sorted(counts.items()):
            servers.add_metric(list(labels), n_servers)
        return servers

    def _latencies(self) -> Metric:
        family = HistogramMetricFamily(
            PREFIX + "request_seconds",
            "time from a request's arrival to its end",
            labels=["route", "outcome"],
        )
        for labels, row in sorted(self._world.latencies.rows.items()):
            bounds = [*(str(bound) for bound in BUCKET_BOUNDS_S), "+Inf"]
            buckets = list(zip(bounds, accumulate(row.n_in_bucket), strict=True))
            family.add_metric(list(labels), buckets, row.sum_s)
        return family


def _gauge(name: str, help_text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, help_text, value=value)


def render_metrics(world: World, n_ticks: int, now_s: float) -> bytes:
    """Return the metrics page in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(WorldCollector(world, n_ticks, now_s))
    return generate_latest(registry)
