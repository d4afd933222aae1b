"""Orders the waiting requests of a pool and decides which are sent, wait or refused.

Load pattern: more work than a pool has slots, of routes that differ in priority or in
work. A request is worth what its priority weighs, times the chance that its response
is in time; it costs the time in a slot. While slots are scarce they have a price for
each second, and a request that is worth less than its slot time costs yields.
"""

from dataclasses import dataclass, replace

# Weight of a request, relative to one of the next higher priority. Callers state 0.5
# between the first and the last of three priorities; 0.6 for each keeps the least
# urgent work from taking the room of the most urgent, which has the least time.
PRIORITY_WEIGHT = 0.6
# Value of a late response, relative to one in time. Callers state 0.08 to 0.3.
LATE_VALUE = 0.2
# Service times vary by this fraction around the expected ones: a standard deviation of
# 0.35 of the mean was measured, and a uniform spread of that deviation reaches 0.6.
SPREAD_FRACTION = 0.6
# Utilisation from which on slots have a price: all are in use. At the second one the
# price of a second is the value of the mean request for each second of its work; the
# mean request then waits inside a server for 0.8 of its service time, which objectives
# of two to three service times leave room for.
FREE_UTILISATION = 1.0
MEAN_PRICE_UTILISATION = 1.8
# An account of which a smaller fraction is sent than this, relative to all requests of
# the pool, pays no price.
MIN_SENT_FRACTION = 0.5
MIN_SLOT_S = 0.001


@dataclass(frozen=True, slots=True)
class Work:
    """What a decision on a request rests on.

    Attributes:
        priority: Its priority; 0 is the most urgent.
        objective_left_s: Time left until it misses its latency objective.
        deadline_left_s: Time left until its deadline.
        expected_s: Expected time until its response.
        slot_s: Expected time in a slot.
    """

    priority: int
    objective_left_s: float
    deadline_left_s: float
    expected_s: float
    slot_s: float


def chance_within(left_s: float, expected_s: float) -> float:
    """Return the chance that a response comes within a time.

    Example:
        >>> chance_within(1.0, 1.0), chance_within(1.0, 0.5), chance_within(0.0, 0.5)
        (0.5, 1.0, 0.0)
    """
    spread_s = SPREAD_FRACTION * max(MIN_SLOT_S, expected_s)
    return min(1.0, max(0.0, 0.5 + (left_s - expected_s) / (2 * spread_s)))


def value_density(work: Work) -> float:
    """Return the value of a request for each second that it takes of a slot."""
    in_time = chance_within(work.objective_left_s, work.expected_s)
    answered = max(in_time, chance_within(work.deadline_left_s, work.expected_s))
    value = in_time + LATE_VALUE * (answered - in_time)
    weight = PRIORITY_WEIGHT ** max(0, work.priority)
    return float(weight * value / max(MIN_SLOT_S, work.slot_s))


def slot_price(utilisation: float, mean_density: float) -> float:
    """Return the price of a second in a slot, as the value that others lose by it.

    Example:
        >>> slot_price(1.0, 5.0), round(slot_price(1.8, 5.0), 3)
        (0.0, 5.0)
    """
    band = MEAN_PRICE_UTILISATION - FREE_UTILISATION
    return mean_density * max(0.0, utilisation - FREE_UTILISATION) / band


def time_until_worth(work: Work, utilisation: float, mean_density: float) -> float:
    """Return the time in which slots become cheap enough for a request.

    The utilisation falls by one in the time that each slot needs for one request.

    Example:
        >>> time_until_worth(Work(0, 1.0, 2.0, 0.2, 0.2), 1.0, 5.0)
        0.0
    """
    fresh = replace(work, objective_left_s=work.deadline_left_s)
    affordable = FREE_UTILISATION
    if mean_density > 0:
        band = MEAN_PRICE_UTILISATION - FREE_UTILISATION
        affordable += band * value_density(fresh) / mean_density
    return max(0.0, utilisation - affordable) * work.slot_s


def is_worth_sending(work: Work, price: float) -> bool:
    """Return whether a request is worth the slot time that it takes."""
    return value_density(work) >= price


def cannot_meet_deadline(work: Work) -> bool:
    """Return whether a response cannot be expected before the deadline any more."""
    return chance_within(work.deadline_left_s, work.expected_s) <= 0.0


def is_starved(account_fraction: float, pool_fraction: float) -> bool:
    """Return whether an account gets much less sent than the pool's requests do.

    Example:
        >>> is_starved(0.3, 0.9), is_starved(0.6, 0.9)
        (True, False)
    """
    return account_fraction < MIN_SENT_FRACTION * pool_fraction
