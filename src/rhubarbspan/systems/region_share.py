"""Decides which objects a region with few servers leaves to other regions.

Instances prefer servers of their own region. If it has a much smaller part of a pool's
slots than of the instances, and so of the callers, its servers are full while others
are idle, and an instance of a large fleet learns too late of it: most servers report to
it rarely. Such a region keeps only as many objects as fit its part of the slots. All
instances choose the same ones, by the digest of the object, and the part follows from
lists that all read, so that few objects move.
"""

from collections import Counter

from ..configuration import Pool
from ..tables.objects import HomeFractionRow
from ..world import World
from .fleet_layout import known_rows

# A region may have this many times the mean of requests for each slot.
MAX_RELATIVE_LOAD = 1.25
CACHE_S = 1.0
N_DIGESTS = 1 << 32


def stays_home(world: World, now_s: float, pool: Pool, key: int) -> bool:
    """Return whether requests for an object prefer the servers of the own region."""
    return key < _home_fraction(world, now_s, pool) * N_DIGESTS


def _home_fraction(world: World, now_s: float, pool: Pool) -> float:
    cached = world.objects.home_fractions.get(pool.name)
    if cached is not None and now_s - cached.computed_s < CACHE_S:
        return cached.fraction
    own = world.identity.region
    n_instances: Counter[str] = Counter([own])
    n_instances.update(row.region for row in known_rows(world))
    n_slots: Counter[str] = Counter()
    for server in world.servers.of_pool(pool.name):
        if not server.is_leaving and server.region in n_instances:
            n_slots[server.region] += server.n_slots or pool.n_slots_per_server
    fraction = 1.0
    if n_slots.total() > 0:
        slots_of_equal_part = n_instances[own] / n_instances.total() * n_slots.total()
        fraction = min(1.0, MAX_RELATIVE_LOAD * n_slots[own] / slots_of_equal_part)
    world.objects.home_fractions[pool.name] = HomeFractionRow(now_s, fraction)
    return fraction
