"""The metrics page, from the world's counters and tables."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ..tables.requests import RequestState
from ..world import World

PREFIX = "rhubarbspan_"


class WorldCollector(Collector):
    """Turns the world's counters into metrics when the page is asked for."""

    __slots__ = ("_world", "_n_ticks")

    def __init__(self, world: World, n_ticks: int) -> None:
        self._world = world
        self._n_ticks = n_ticks

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), value in sorted(self._world.counters.items()):
            family = families.get(name)
            if family is None:
                text = name.replace("_", " ")
                family = CounterMetricFamily(PREFIX + name, text, labels=["label"])
                families[name] = family
            family.add_metric([label], value)
        yield from families.values()
        yield from self._gauges()

    def _gauges(self) -> Iterator[Metric]:
        world = self._world
        yield _gauge("ticks", "ticks run", self._n_ticks)
        revision = world.configuration.revision
        yield _gauge("configuration_revision", "revision in force", revision)
        yield _gauge("instances_alive", "other instances", len(world.peers.alive()))
        states = GaugeMetricFamily(
            PREFIX + "requests_in_state", "requests by state", labels=["state"]
        )
        for state in RequestState:
            states.add_metric([state.value], world.requests.n_in(state))
        yield states


def _gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, text, value=value)


def render_metrics(world: World, n_ticks: int) -> bytes:
    """Write the metrics page in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(WorldCollector(world, n_ticks))
    return generate_latest(registry)
