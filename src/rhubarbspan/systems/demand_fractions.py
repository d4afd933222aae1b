"""Divides a limit by demand: each instance mints its part of what all advertised.

All instances divide the same figures, those that were advertised last, so that their
parts sum to the whole but for the time that a heartbeat takes.
"""

from ..world import World
from .bucketing import smoothed_demand_per_s

# Demand that each instance counts as having at least, so that none has no part; of a
# small limit, a part of it, or idle instances would hold a sixth of three a second.
MIN_DEMAND_PER_S = 0.3
MIN_DEMAND_FRACTION = 0.02
# How long the demand of a silent peer still counts; a lease lapses sooner.
DEMAND_RETENTION_S = 10.0


def update_demand_fractions(world: World, now_s: float) -> None:
    """Fix the own demand that parts are computed from until the next heartbeat."""
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
        # What peers have heard by now, not the demand of this moment: where demand
        # rises everywhere, each instance would else find the others' still small.
        own = max(bucket.advertised_demand_per_s, min_demand)
        bucket.advertised_demand_per_s = smoothed_demand_per_s(bucket, now_s)
        others = 0.0
        for row in world.peers.rows():
            if row.seat not in counted_seats:
                continue
            demand = row.demands.get(bucket.account)
            unheard = own if row.last_heard_s < 0 else 0.0
            rate = demand.rate_per_s if demand else unheard
            others += max(rate, min_demand)
        fraction = own / (own + others)
        known = world.demand_fractions.get(bucket.account)
        # Without any peer in sight, nobody can tell who else mints.
        world.demand_fractions[bucket.account] = (
            min(fraction, known) if is_alone and known else fraction
        )


def _min_demand_per_s(world: World, name: str) -> float:
    account = world.configuration.client_accounts.get(name)
    if account is None:
        return MIN_DEMAND_PER_S
    return min(MIN_DEMAND_PER_S, MIN_DEMAND_FRACTION * account.rate_per_s)


def demand_fraction(world: World, account: str) -> float:
    """Return the part of an account's limit that this instance mints."""
    fraction = world.demand_fractions.get(account)
    if fraction is not None:
        return fraction
    return 1.0 / (1 + len(world.peers.rows()))
