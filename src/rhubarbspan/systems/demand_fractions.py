"""Divides each limit over the data centres in proportion to their demand.

All instances compute with the same figures, those that were advertised last, so that
the fractions of the data centres sum to one except while a message is on its way.

In each data centre one instance, the holder, refills an account's bucket, and the
others request their tokens from it: divided further, a small limit would leave less
than one request to each instance. Limits that are too small even for that are kept by
one data centre, see ``limit_keepers``. All instances of a data centre choose the same
holder by rendezvous hashing over those that hear each other. While some do not, each
group of instances that see the same ones has a holder, which refills the part of the
group's own demand. See ``confirmations`` for what keeps the sum of the parts.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from ..peer_messages import AccountDemand
from ..tables.buckets import BucketRow
from ..tables.data_centres import DataCentreRow
from ..tables.peers import PeerRow
from ..world import World
from .confirmations import (
    DEMAND_RETENTION_S,
    agreeing_peers,
    exchanges_heartbeats,
    is_cut_off,
    may_refill,
)
from .fleet_layout import N_HEARTBEATS_PER_SUMMARY, N_RELAYS, is_two_level
from .limit_keepers import (
    choose_holder,
    choose_keeper,
    count_isolated,
    is_kept_whole,
    reachable_rows,
    remote_holder,
)

# Each data centre counts with at least this demand, so that none is left without
# tokens. For a small limit it is a fraction of the rate: otherwise data centres without
# demand would hold a sixth of a limit of three requests per second.
MIN_DEMAND_PER_S = 0.3
MIN_DEMAND_FRACTION = 0.02
# Below this fraction of the data centre's instances, not even one token is kept for
# each account: the parts of a divided data centre could together keep too many.
MIN_PRESENT_FRACTION = 0.5


@dataclass(slots=True)
class _Sources:
    """What the demand of all accounts is computed from at one heartbeat.

    Attributes:
        group: Demands of the instances that share a holder with this one.
        others: Demands of the other instances of the own data centre.
        remote: Demands of the instances elsewhere, with their data centre.
        data_centres: Zero for each of the other data centres.
        unheard: Data centres with an instance of which nothing was ever heard, and
            without a summary that is in use.
        summaries: Summaries that are in use.
    """

    group: list[dict[str, AccountDemand]] = field(default_factory=list)
    others: list[dict[str, AccountDemand]] = field(default_factory=list)
    remote: list[tuple[str, dict[str, AccountDemand]]] = field(default_factory=list)
    data_centres: dict[str, float] = field(default_factory=dict)
    unheard: set[str] = field(default_factory=set)
    summaries: list[DataCentreRow] = field(default_factory=list)


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
    counted = [row for row in world.peers.rows() if may_refill(row, now_s)]
    own_data_centre = world.identity.data_centre
    n_counted: Counter[str] = Counter(row.data_centre for row in counted)
    n_counted[own_data_centre] += 1
    division.n_data_centres = len(n_counted)
    group = agreeing_peers(world, now_s)
    division.present_fraction = (1 + len(group)) / n_counted[own_data_centre]
    holders = _possible_holders(world, now_s, group, startup_s)
    reachable = reachable_rows(world, now_s, counted)
    is_alone = len(n_counted) > 1 and not reachable
    has_lost_part = is_cut_off(world, now_s, counted)
    is_minority = 2 * (1 + len(reachable)) <= len(n_counted)
    accounts = world.configuration.client_accounts
    sources = _find_sources(world, now_s, counted, group)
    division.isolated.clear()
    n_others = max(1, len(n_counted) - 1)
    n_sharing: dict[str, int] = {}
    division.kept.clear()
    division.holders_elsewhere.clear()
    for bucket in world.buckets.rows():
        if is_kept_whole(world, accounts.get(bucket.account)):
            division.kept.add(bucket.account)
            keeper = choose_keeper(bucket.account, n_counted)
            rows = reachable.get(keeper)
            if rows:
                bucket.holder = remote_holder(bucket.account, rows, now_s, startup_s)
                fraction = 0.0
            elif keeper == own_data_centre and not is_minority:
                bucket.holder = choose_holder(bucket.account, holders, N_RELAYS)
                fraction = division.present_fraction
            else:
                division.isolated.add(bucket.account)
                if keeper not in n_sharing:
                    n_sharing[keeper] = n_others
                    if keeper != own_data_centre:
                        n_sharing[keeper] = count_isolated(
                            world, now_s, counted, keeper
                        )
                division.n_sharing[bucket.account] = n_sharing[keeper]
                bucket.holder = choose_holder(bucket.account, holders)
                fraction = 0.0
        elif has_lost_part:
            division.isolated.add(bucket.account)
            division.n_sharing[bucket.account] = n_others
            bucket.holder = choose_holder(bucket.account, holders)
            fraction = 0.0
        else:
            fraction = _fraction_of_demand(world, bucket, sources)
            fraction = _settled_fraction(world, bucket.account, fraction)
            known = division.fractions.get(bucket.account)
            if is_alone and known is not None:
                # Nobody tells who else refills from the limit, so the part must not
                # grow.
                fraction = min(fraction, known)
            bucket.holder = choose_holder(bucket.account, holders)
        division.fractions[bucket.account] = fraction
        is_holder = bucket.holder == world.identity.seat
        world.demand_fractions[bucket.account] = fraction if is_holder else 0.0
    for keeper in division.n_isolated.keys() - n_sharing.keys():
        del division.n_isolated[keeper]


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


def _find_sources(
    world: World, now_s: float, counted: list[PeerRow], group: list[PeerRow]
) -> _Sources:
    """Find whose demand counts, once for all accounts.

    Args:
        world: The tables.
        now_s: The present time.
        counted: The other instances that may refill.
        group: Those of the own data centre that share a holder with this one.
    """
    own_data_centre = world.identity.data_centre
    group_seats = {row.seat for row in group}
    sources = _Sources()
    for row in counted:
        demands = row.demands if _is_demand_retained(world, now_s, row) else None
        if row.data_centre != own_data_centre:
            sources.data_centres[row.data_centre] = 0.0
            if row.evidence_s() < 0:
                sources.unheard.add(row.data_centre)
            if demands:
                sources.remote.append((row.data_centre, demands))
        elif demands:
            is_in_group = row.seat in group_seats
            (sources.group if is_in_group else sources.others).append(demands)
    for name in sources.data_centres:
        summary = world.data_centres.rows.get(name)
        if summary is not None and _is_in_use(world, now_s, summary, counted):
            sources.unheard.discard(name)
            sources.summaries.append(summary)
    return sources


def _fraction_of_demand(world: World, bucket: BucketRow, sources: _Sources) -> float:
    """Return the demand of a group of instances as a fraction of the demand of all.

    It is the demand that the others have received by now, not the current one: when
    demand rises everywhere, the older figures of the others would otherwise look small
    to each data centre, and the fractions would sum to more than one.
    """
    account = bucket.account
    group_demand = bucket.claimed_demand_per_s
    for told in sources.group:
        if account in told:
            group_demand += told[account].rate_per_s
    other_demand = 0.0
    for told in sources.others:
        if account in told:
            other_demand += told[account].rate_per_s
    demands = sources.data_centres.copy()
    for name, told in sources.remote:
        if account in told:
            demands[name] += told[account].rate_per_s
    min_demand = _min_demand_per_s(world, account)
    own_demand = max(group_demand + other_demand, min_demand)
    for summary in sources.summaries:
        # Of both layouts' figures the larger one counts while both are recent.
        demand = summary.demands.get(account, 0.0)
        demands[summary.name] = max(demands[summary.name], demand)
    for name, demand in demands.items():
        assumed = own_demand if name in sources.unheard else min_demand
        demands[name] = max(demand, assumed)
    world.limit_division.demands[account] = demands
    present = world.limit_division.present_fraction
    group_demand = max(group_demand, min_demand * present)
    other_demand = max(other_demand, min_demand * (1.0 - present))
    return group_demand / (group_demand + other_demand + sum(demands.values()))


def _is_demand_retained(world: World, now_s: float, row: PeerRow) -> bool:
    """Return whether the demand that a peer told last counts until it is heard."""
    is_recent = now_s - row.demands_s < DEMAND_RETENTION_S
    return is_recent or exchanges_heartbeats(world, row)


def _is_in_use(
    world: World, now_s: float, summary: DataCentreRow, counted: list[PeerRow]
) -> bool:
    """Return whether the demand in a summary counts.

    That of a silent data centre counts on, unless its instances send heartbeats now.
    """
    if now_s - summary.as_of_s < DEMAND_RETENTION_S:
        return True
    return summary.as_of_s > -1e9 and not any(
        row.data_centre == summary.name and exchanges_heartbeats(world, row)
        for row in counted
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
