"""Learns for how long the machines of servers stay slowed, and estimates slowdowns.

A report of a slowed machine is worth something only while the machine is still slowed.
For how long that is differs by deployment, so it is learned from the reports: of two
reports in a row of one server, the first of them slowed, the second tells whether the
slowdown has ended.
"""

from ..tables.servers import ServerRow, SlowdownTimesRow
from ..world import World

# A machine is slowed if work takes longer than usual by more than this fraction. It is
# still slowed if half of what was added to the time is left.
MIN_ADDED_FRACTION = 0.2
STILL_SLOWED_FRACTION = 0.5
# Time until a slowdown ends that is assumed before reports show it, and the weight of
# that assumption, as a number of slowdowns that ended. A slowdown then counts up to an
# age of 0.6 s.
INITIAL_REMAINING_S = 0.3
INITIAL_WEIGHT = 5.0
# Bounds of the age up to which a slowdown counts. Below the first, few reports are
# young enough to count; above the second, a server that is seldom used would be left
# alone for long.
MIN_SLOWDOWN_AGE_S = 0.1
MAX_SLOWDOWN_AGE_S = 10.0
# Weight that what was learned keeps with each pair of reports: some 500 pairs count.
KEPT_FRACTION = 0.998


def slowdown_max_age_s(world: World, pool: str) -> float:
    """Return the age up to which a reported slowdown of a pool's server counts.

    The chance that the machine is still slowed is taken to fall linearly to zero, so
    that it is slowed for half of this time on average.
    """
    row = world.servers.slowdown_times.get(pool)
    remaining_s = INITIAL_REMAINING_S
    if row is not None:
        n_ended = row.n_ended + INITIAL_WEIGHT
        slowed_s = row.slowed_s + INITIAL_WEIGHT * INITIAL_REMAINING_S
        remaining_s = slowed_s / n_ended
    return min(MAX_SLOWDOWN_AGE_S, max(MIN_SLOWDOWN_AGE_S, 2.0 * remaining_s))


def current_slowdown(world: World, row: ServerRow, now_s: float) -> float:
    """Return the expected factor by which work takes longer than usual on a server."""
    if row.slowdown == 1.0:
        return 1.0
    age_s = max(0.0, now_s - row.slowdown_s)
    max_age_s = slowdown_max_age_s(world, row.pool)
    if age_s >= max_age_s:
        return 1.0
    return 1.0 + (row.slowdown - 1.0) * (1.0 - age_s / max_age_s)


def record_slowdown(
    world: World, row: ServerRow, slowdown: float, reported_s: float
) -> None:
    """Record a reported slowdown, newer than the one that is known."""
    added = row.slowdown - 1.0
    elapsed_s = reported_s - row.slowdown_s
    # After a longer time the machine may have been slowed anew. Pairs up to the initial
    # age always count, so that a time that was learned as short can grow again.
    max_elapsed_s = max(2.0 * INITIAL_REMAINING_S, slowdown_max_age_s(world, row.pool))
    if added > MIN_ADDED_FRACTION and 0 < elapsed_s <= max_elapsed_s:
        is_slowed = slowdown - 1.0 > STILL_SLOWED_FRACTION * added
        times = world.servers.slowdown_times.setdefault(row.pool, SlowdownTimesRow())
        # It may have ended at any moment between the two reports.
        slowed_s = elapsed_s if is_slowed else 0.5 * elapsed_s
        times.slowed_s = KEPT_FRACTION * times.slowed_s + slowed_s
        times.n_ended = KEPT_FRACTION * times.n_ended + (not is_slowed)
    row.slowdown = slowdown
    row.slowdown_s = reported_s
