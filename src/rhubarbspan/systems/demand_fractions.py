"""Divides each limit over the data centres in proportion to their demand.

All instances compute with the same figures, those that were advertised last, so that
the fractions of the data centres sum to one except while a message is on its way.

In each data centre one instance, the holder, refills an account's bucket, and the
others request their tokens from it: divided further, a small limit would leave less
than one request to each instance. Limits that are too small even for that are kept by
one data centre, see ``limit_keepers``. All instances of a data centre choose the same
holder by rendezvous hashing over those that they hear. An instance that hears only
some of them refills only their part, so that the parts of a divided data centre do not
exceed the whole.
"""

from collections import Counter, deque

from ..tables.buckets import BucketRow
from ..tables.peers import PeerRow
from ..world import World
from .bucketing import smoothed_demand_per_s
from .fleet_layout import (
    N_HEARTBEATS_PER_SUMMARY,
    N_RELAYS,
    is_two_level,
    local_peers,
)
from .limit_keepers import (
    choose_holder,
    choose_keeper,
    is_kept_whole,
    reachable_rows,
    remote_holder,
)

# Each data centre counts with at least this demand, so that none is left without
# tokens. For a small limit it is a fraction of the rate: otherwise data centres without
# demand would hold a sixth of a limit of three requests per second.
MIN_DEMAND_PER_S = 0.3
MIN_DEMAND_FRACTION = 0.02
# The demand of a silent peer counts for this long, longer than any lease lasts.
DEMAND_RETENTION_S = 7.0
# Silence, as a fraction of that after which an instance counts as dead, after which it
# is no longer the holder of limits: requests wait for its tokens.
HOLDER_SILENCE_FRACTION = 0.7
# Below this fraction of the data centre's instances, not even one token is kept for
# each account: the parts of a divided data centre could together keep too many.
MIN_PRESENT_FRACTION = 0.5


def update_demand_fractions(world: World, now_s: float, startup_s: float) -> None:
    """Compute the fractions of the limits that apply until the next heartbeat.

    Args:
        world: The tables.
        now_s: The present time.
        startup_s: How long after its start an instance spends no own tokens.
    """
    division = world.limit_division
    if now_s - division.updated_s > world.policies.dead_after_s:
        # The process was paused or has just started: other instances may have refilled
        # from the same limits meanwhile.
        for bucket in world.buckets.rows():
            bucket.n_tokens = 0.0
    division.updated_s = now_s
    counted = [row for row in world.peers.rows() if _may_refill(row, now_s)]
    own_data_centre = world.identity.data_centre
    n_counted: Counter[str] = Counter(row.data_centre for row in counted)
    n_counted[own_data_centre] += 1
    division.n_data_centres = len(n_counted)
    present = _present_peers(world, now_s)
    division.present_fraction = (1 + len(present)) / n_counted[own_data_centre]
    holders = _possible_holders(world, now_s, present, startup_s)
    reachable = reachable_rows(world, now_s, counted)
    is_alone = len(n_counted) > 1 and not reachable
    is_minority = 2 * (1 + len(reachable)) <= len(n_counted)
    accounts = world.configuration.client_accounts
    division.isolated.clear()
    for bucket in world.buckets.rows():
        advertised_per_s = smoothed_demand_per_s(bucket, now_s)
        if is_kept_whole(world, accounts.get(bucket.account)):
            keeper = choose_keeper(bucket.account, n_counted)
            rows = reachable.get(keeper)
            if rows:
                bucket.holder = remote_holder(bucket.account, rows, now_s, startup_s)
                fraction = 0.0
            elif keeper == own_data_centre and not is_minority:
                bucket.holder = choose_holder(bucket.account, holders, N_RELAYS)
                fraction = 1.0
            else:
                division.isolated.add(bucket.account)
                bucket.holder = choose_holder(bucket.account, holders)
                fraction = 0.0
        else:
            demands = _demand_by_data_centre(
                world, now_s, bucket, counted, list(n_counted)
            )
            fraction = demands[own_data_centre] / sum(demands.values())
            fraction = _settled_fraction(world, bucket.account, fraction)
            known = division.fractions.get(bucket.account)
            if is_alone and known is not None:
                # Nobody tells who else refills from the limit, so the part must not
                # grow.
                fraction = min(fraction, known)
            bucket.holder = choose_holder(bucket.account, holders)
        bucket.advertised_demand_per_s = advertised_per_s
        division.fractions[bucket.account] = fraction
        is_holder = bucket.holder == world.identity.seat
        world.demand_fractions[bucket.account] = (
            fraction * division.present_fraction if is_holder else 0.0
        )


def _settled_fraction(world: World, account: str, fraction: float) -> float:
    """Return the least fraction that was computed in the last round of summaries.

    When demand rises everywhere, the figures of the other data centres arrive one after
    the other. Until all have arrived the own fraction looks too large.
    """
    n_kept = N_HEARTBEATS_PER_SUMMARY + 1 if is_two_level(world) else 1
    computed = world.limit_division.computed.setdefault(account, deque())
    computed.append(fraction)
    while len(computed) > n_kept:
        computed.popleft()
    return min(computed)


def _may_refill(row: PeerRow, now_s: float) -> bool:
    """Return whether an instance may still use its part of the limits."""
    if row.is_alive:
        return True
    if row.is_leaving:
        return False
    return row.is_listed or now_s - row.last_heard_s < DEMAND_RETENTION_S


def _present_peers(world: World, now_s: float) -> list[PeerRow]:
    silence_s = HOLDER_SILENCE_FRACTION * world.policies.dead_after_s
    return [
        row
        for row in local_peers(world)
        if row.is_alive and now_s - row.last_heard_s < silence_s
    ]


def _possible_holders(
    world: World, now_s: float, present: list[PeerRow], startup_s: float
) -> list[str]:
    """List the seats of the data centre that may hold limits, this one if none may."""
    seats = [
        row.seat
        for row in present
        if not row.is_leaving and now_s - row.started_s >= startup_s
    ]
    if world.departure is None and now_s - world.started_s >= startup_s:
        seats.append(world.identity.seat)
    return seats or [world.identity.seat]


def _demand_by_data_centre(
    world: World,
    now_s: float,
    bucket: BucketRow,
    counted: list[PeerRow],
    names: list[str],
) -> dict[str, float]:
    """Return the demand that each data centre counts with for an account.

    It is the demand that the others have received by now, not the current one: when
    demand rises everywhere, the older figures of the others would otherwise look small
    to each data centre, and the fractions would sum to more than one.
    """
    own_data_centre = world.identity.data_centre
    min_demand = _min_demand_per_s(world, bucket.account)
    demands = dict.fromkeys(names, 0.0)
    demands[own_data_centre] = bucket.advertised_demand_per_s
    unheard: set[str] = set()
    for row in counted:
        reported = row.demands.get(bucket.account)
        if reported is not None and now_s - row.demands_s < DEMAND_RETENTION_S:
            demands[row.data_centre] += reported.rate_per_s
        elif row.last_heard_s < 0 and row.data_centre != own_data_centre:
            unheard.add(row.data_centre)
    for name in names:
        summary = world.data_centres.rows.get(name)
        if name == own_data_centre or summary is None:
            continue
        # Of both layouts' figures the larger one counts while both are recent.
        if now_s - summary.as_of_s < DEMAND_RETENTION_S:
            unheard.discard(name)
            demand = summary.demands.get(bucket.account, 0.0)
            demands[name] = max(demands[name], demand)
    own_demand = max(demands[own_data_centre], min_demand)
    for name in names:
        assumed = own_demand if name in unheard else min_demand
        demands[name] = max(demands[name], assumed)
    return demands


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
