"""Computes what an ideal central token bucket and an ideal central queue would do."""

import heapq
from dataclasses import dataclass

ROUNDING_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Limit:
    """The rate and burst of an account over the whole fleet."""

    rate_per_s: float
    burst: float


def central_bucket(limit: Limit, arrivals_s: list[float]) -> list[bool]:
    """Return for each arrival whether one central token bucket would admit it.

    Example:
        >>> central_bucket(Limit(1.0, 2), [0.0, 0.0, 0.0, 1.0])
        [True, True, False, True]
    """
    n_tokens = limit.burst
    last_s = arrivals_s[0] if arrivals_s else 0.0
    admitted = []
    for when_s in arrivals_s:
        n_tokens = min(limit.burst, n_tokens + (when_s - last_s) * limit.rate_per_s)
        last_s = when_s
        is_admitted = n_tokens >= 1.0 - ROUNDING_TOLERANCE
        n_tokens -= is_admitted
        admitted.append(is_admitted)
    return admitted


def over_admission(limit: Limit, admitted_s: list[float]) -> float:
    """Return the largest excess of admitted requests over the limit.

    The limit of an interval is rate times length plus burst; the excess is in
    requests.

    Example:
        >>> round(over_admission(Limit(1.0, 2), [0.0, 0.0, 0.0]), 3)
        1.0
    """
    n_tokens = limit.burst
    min_tokens = n_tokens
    last_s = admitted_s[0] if admitted_s else 0.0
    for when_s in sorted(admitted_s):
        n_tokens = min(limit.burst, n_tokens + (when_s - last_s) * limit.rate_per_s)
        last_s = when_s
        n_tokens -= 1.0
        min_tokens = min(min_tokens, n_tokens)
    return max(0.0, -min_tokens - ROUNDING_TOLERANCE)


def central_queue(n_slots: int, jobs: list[tuple[float, float]]) -> list[float]:
    """Return the response time in seconds of each job in one queue for all slots.

    Args:
        n_slots: Slots of all servers together.
        jobs: Arrival time and service time of each job in seconds, in order of
            arrival.

    Example:
        >>> central_queue(1, [(0.0, 2.0), (1.0, 1.0)])
        [2.0, 2.0]
    """
    free_s = [0.0] * n_slots
    times_s = []
    for arrived_s, service_s in jobs:
        start_s = max(arrived_s, heapq.heappop(free_s))
        end_s = start_s + service_s
        heapq.heappush(free_s, end_s)
        times_s.append(end_s - arrived_s)
    return times_s


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of values, or 0 if there are none.

    Example:
        >>> quantile([3.0, 1.0, 2.0], 0.5)
        2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
