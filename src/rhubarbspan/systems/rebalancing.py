"""Limits how fast traffic moves between regions.

Without a limit, a surge within a second fills the servers of a region, and each
instance sends the excess to the other regions, whose servers are cold for it and fill
up next. The fraction of the requests that moves between regions from one window to
the next is therefore bounded; the rest waits or is refused. If the own region has
lost servers, its requests move at once.
"""

import math

from ..tables.traffic import TimeSliceRow
from ..world import World
from .slots import is_available

# Length of the windows that are compared. ``Policies.max_region_step`` refers to the
# same windows.
WINDOW_S = 2.0
N_SLICES = 8
SLICE_S = WINDOW_S / N_SLICES
# Requests a window needs before the regions' fractions of it are compared. Those of
# fewer requests are mostly noise.
N_MIN_SENT_PER_WINDOW = 20
# Standard deviations that the regions' fractions may differ by in addition to the
# permitted step. With 0.5, chance alone held requests back. Instances err independently
# of each other, so the error of all together stays well below one standard deviation
# of a single instance.
CHANCE_DEVIATIONS = 0.8
# Fraction of the own region's slots whose loss lifts the limit.
LOST_SLOTS_FRACTION = 0.1


def record_sent(world: World, now_s: float, region: str) -> None:
    """Count a request that is sent to a server of a region."""
    if world.policies.max_region_step >= 1:
        return
    _advance_slices(world, now_s)
    world.region_traffic.slices[-1].n_sent[region] += 1
    world.region_traffic.latest[region] += 1


def capped_regions(world: World, now_s: float) -> frozenset[str]:
    """Return the regions whose fraction of the requests must not grow now."""
    if world.policies.max_region_step >= 1:
        return frozenset()
    _advance_slices(world, now_s)
    traffic = world.region_traffic
    n_before = traffic.previous.total()
    n_latest = traffic.latest.total()
    if (
        not traffic.is_capacity_stable
        or min(n_before, n_latest) < N_MIN_SENT_PER_WINDOW
    ):
        return frozenset()
    rises = {
        region: n_sent / n_latest - traffic.previous[region] / n_before
        for region, n_sent in traffic.latest.items()
    }
    moved_fraction = sum(rise for rise in rises.values() if rise > 0)
    # The standard deviation of a fraction of one half, for which it is largest.
    deviation = 0.5 * math.sqrt(1 / n_before + 1 / n_latest)
    if moved_fraction <= world.policies.max_region_step + CHANCE_DEVIATIONS * deviation:
        return frozenset()
    return frozenset(region for region, rise in rises.items() if rise >= 0)


def _advance_slices(world: World, now_s: float) -> None:
    """Begin a new time slice if one is due, and total both windows again."""
    traffic = world.region_traffic
    number = int(now_s / SLICE_S)
    if traffic.slices and traffic.slices[-1].number == number:
        return
    row = TimeSliceRow(number, n_slots=_count_region_slots(world, now_s))
    traffic.slices.append(row)
    while traffic.slices[0].number <= number - 2 * N_SLICES:
        traffic.slices.popleft()
    traffic.previous.clear()
    traffic.latest.clear()
    for time_slice in traffic.slices:
        is_latest = time_slice.number > number - N_SLICES
        (traffic.latest if is_latest else traffic.previous).update(time_slice.n_sent)
    n_max_slots = max(time_slice.n_slots for time_slice in traffic.slices)
    traffic.is_capacity_stable = row.n_slots >= (1 - LOST_SLOTS_FRACTION) * n_max_slots


def _count_region_slots(world: World, now_s: float) -> int:
    region = world.identity.region
    return sum(
        server.n_slots
        for server in world.servers.rows()
        if server.region == region and is_available(server, now_s)
    )
