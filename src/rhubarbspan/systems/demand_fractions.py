"""Divides each limit over the instances in proportion to the demand they advertise.

All instances compute with the same figures, those that were advertised last, so that
their fractions sum to one except while a heartbeat is on its way.
"""

from ..world import World
from .bucketing import smoothed_demand_per_s

# Each instance counts with at least this demand, so that none is left without tokens.
# For a small limit it is a fraction of the rate: otherwise idle instances would hold a
# sixth of a limit of three requests per second.
MIN_DEMAND_PER_S = 0.3
MIN_DEMAND_FRACTION = 0.02
# The demand of a silent peer counts for this long, longer than any lease lasts.
DEMAND_RETENTION_S = 10.0


def update_demand_fractions(world: World, now_s: float) -> None:
    """Compute the fractions of the limits that apply until the next heartbeat."""
    counted_seats = {
        row.seat
        for row in world.peers.rows()
        if row.is_alive
        or row.is_listed
        or now_s - row.last_heard_s < DEMAND_RETENTION_S
    }
    is_alone = bool(counted_seats) and not any(
        row.is_alive for row in world.peers.rows()
    )
    for bucket in world.buckets.rows():
        min_demand = _min_demand_per_s(world, bucket.account)
        # The demand that peers have received by now, not the current one: when demand
        # rises everywhere, the older figures of the others would otherwise look small
        # to each instance, and the fractions would sum to more than one.
        own_demand = max(bucket.advertised_demand_per_s, min_demand)
        bucket.advertised_demand_per_s = smoothed_demand_per_s(bucket, now_s)
        others_demand = 0.0
        for row in world.peers.rows():
            if row.seat not in counted_seats:
                continue
            demand = row.demands.get(bucket.account)
            assumed_demand = own_demand if row.last_heard_s < 0 else 0.0
            rate = demand.rate_per_s if demand else assumed_demand
            others_demand += max(rate, min_demand)
        fraction = own_demand / (own_demand + others_demand)
        known = world.demand_fractions.get(bucket.account)
        # Without a live peer the instance cannot know who else refills from the limit,
        # so its fraction must not grow.
        world.demand_fractions[bucket.account] = (
            min(fraction, known) if is_alone and known else fraction
        )


def _min_demand_per_s(world: World, name: str) -> float:
    account = world.configuration.client_accounts.get(name)
    if account is None:
        return MIN_DEMAND_PER_S
    return min(MIN_DEMAND_PER_S, MIN_DEMAND_FRACTION * account.rate_per_s)


def demand_fraction(world: World, account: str) -> float:
    """Return the fraction of an account's limit that this instance refills."""
    fraction = world.demand_fractions.get(account)
    if fraction is not None:
        return fraction
    return 1.0 / (1 + len(world.peers.rows()))
