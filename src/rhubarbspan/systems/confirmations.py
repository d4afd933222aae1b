"""Bounds what an instance claims of the limits by what the others have confirmed.

A data centre's part of a limit is its demand over the demand of all. The parts sum to
at most the whole if nobody counts an instance with less demand than it claims for
itself. So an instance keeps the demand that it heard last of a peer that may refill,
and an instance that a peer no longer confirms to have heard claims no more than the
least that it has told since: the peer may know any of these figures.
"""

from collections.abc import Iterable

import xxhash

from ..policies import DemandShares, PooledShares, StaticShares, Uncoordinated
from ..tables.buckets import BucketRow
from ..tables.data_centres import DataCentreRow
from ..tables.peers import PeerRow
from ..world import World
from .bucketing import smoothed_demand_per_s
from .fleet_layout import is_two_level, local_peers

# The demand of a silent peer counts for this long, longer than any lease lasts.
DEMAND_RETENTION_S = 7.0
# An instance that reaches neither the others nor the store uses its part for this long.
OWN_PART_RETENTION_S = 5.0
# Silence, as a fraction of that after which an instance counts as dead, after which it
# is no longer the holder of limits: requests wait for its tokens.
HOLDER_SILENCE_FRACTION = 0.7
# Age of the newest confirmed heartbeat, as a fraction of the same time, after which a
# peer may no longer hear this instance. Confirmations are at most two heartbeats old.
CONFIRMATION_FRACTION = 0.8
# Age of the newest figures of a data centre after which a summary tells that they are
# missing, and age of a summary after which it may have told so meanwhile. Both are
# longer than the second between two summaries.
UNHEARD_AFTER_S = 2.1
SUMMARY_SILENCE_S = 2.1
# Advertised figures are kept for longer than it takes to notice that one was not heard.
ADVERTISED_KEPT_S = 8.0
# While a peer does not confirm, a figure is kept until demand falls below this fraction
# of it: it could not rise again.
KEPT_DEMAND_FRACTION = 0.5
# A peer that has run for less than this may not have heard others yet.
FIRST_CONFIRMATION_S = 5.0
NEVER_S = -1e9


def may_refill(row: PeerRow, now_s: float) -> bool:
    """Return whether an instance may still use its part of the limits."""
    if row.is_alive:
        return True
    if row.is_leaving:
        return False
    return row.is_listed or now_s - row.evidence_s() < DEMAND_RETENTION_S


def exchanges_heartbeats(world: World, row: PeerRow) -> bool:
    """Return whether this instance and a peer send heartbeats to each other."""
    is_local = row.data_centre == world.identity.data_centre
    return is_local or not (is_two_level(world) or row.is_two_level)


def hears_this_one(world: World, row: PeerRow, now_s: float) -> bool:
    """Return whether a peer has lately heard this instance without a third."""
    return now_s - row.confirmed_s < _confirmation_s(world)


def is_confirmed(world: World, row: PeerRow, now_s: float) -> bool:
    """Return whether a peer is known to have a recent heartbeat of this instance."""
    return now_s - row.any_confirmed_s() < _confirmation_s(world)


def _confirmation_s(world: World) -> float:
    return CONFIRMATION_FRACTION * world.policies.dead_after_s


def is_summary_confirmed(summary: DataCentreRow, now_s: float) -> bool:
    """Return whether a data centre has lately heard the figures of the own one."""
    return now_s - summary.confirmed_s < UNHEARD_AFTER_S + SUMMARY_SILENCE_S


def is_cut_off(world: World, now_s: float, counted: list[PeerRow]) -> bool:
    """Return whether others may have taken over the own part of the limits.

    They do so once the platform's list lacks this instance, and for
    ``DEMAND_RETENTION_S`` they have neither heard it nor been told by a third that
    hears it; this side ends earlier, by its own clock. While the own data centre reads
    the store, its records are kept up. While it does not, each other data centre has to
    confirm: one that does not may read the list, whatever the rest confirm.
    """
    if not counted or now_s - world.configuration_state.read_s < OWN_PART_RETENTION_S:
        return False
    own_data_centre = world.identity.data_centre
    others = {row.data_centre for row in counted} - {own_data_centre}
    confirming = {
        row.data_centre for row in counted if _is_part_confirmed(world, row, now_s)
    }
    return bool(others - confirming) if others else not confirming


def _is_part_confirmed(world: World, row: PeerRow, now_s: float) -> bool:
    """Return whether a peer, or its data centre, counts what this instance claims."""
    if exchanges_heartbeats(world, row):
        return is_confirmed(world, row, now_s)
    summary = world.data_centres.rows.get(row.data_centre)
    return summary is not None and is_summary_confirmed(summary, now_s)


def present_peers(world: World, now_s: float) -> list[PeerRow]:
    """List the instances of the data centre that hear this one and are heard by it."""
    silence_s = HOLDER_SILENCE_FRACTION * world.policies.dead_after_s
    return [
        row
        for row in local_peers(world)
        if row.is_alive
        and now_s - row.last_heard_s < silence_s
        and hears_this_one(world, row, now_s)
    ]


def presence_digest(world: World, present: Iterable[PeerRow]) -> int:
    """Return a digest, never 0, of the instances present in the data centre."""
    seats = sorted([world.identity.seat, *(row.seat for row in present)])
    return xxhash.xxh64_intdigest("/".join(seats).encode()) or 1


def agreeing_peers(world: World, now_s: float) -> list[PeerRow]:
    """List the present peers that see the same instances present as this one.

    Groups that agree have no instance in common, so that the parts which they refill
    do not overlap, whatever connections are silent. Earlier versions send no digest.
    """
    present = present_peers(world, now_s)
    own_digest = presence_digest(world, present)
    return [row for row in present if row.presence_digest in (0, own_digest)]


def confirm_summary(
    row: DataCentreRow, own_data_centre: str, as_of_s: float, unheard: list[str]
) -> None:
    """Record what a summary tells about whether the own figures are heard there.

    While one of a data centre's relays misses them, what the others say confirms
    nothing: the instances there may not hear each other.
    """
    if own_data_centre in unheard:
        row.unheard_s = max(row.unheard_s, as_of_s)
    elif as_of_s - row.unheard_s > SUMMARY_SILENCE_S:
        row.confirmed_s = max(row.confirmed_s, as_of_s - UNHEARD_AFTER_S)


def unheard_data_centres(world: World, now_s: float) -> list[str]:
    """List the data centres of which the figures known here are old.

    One that was never heard is not among them, as no figure of it is in use here. One
    that is not listed may have been heard, and has to know that it is not any more.
    """
    newest_s: dict[str, float] = {}
    for row in world.peers.rows():
        if row.data_centre == world.identity.data_centre or row.is_leaving:
            continue
        summary = world.data_centres.rows.get(row.data_centre)
        known_s = max(row.demands_s, summary.as_of_s if summary else row.demands_s)
        newest_s[row.data_centre] = max(newest_s.get(row.data_centre, -1e9), known_s)
    return sorted(
        name
        for name, known_s in newest_s.items()
        if known_s > NEVER_S and now_s - known_s > UNHEARD_AFTER_S
    )


def advertise_demands(world: World, now_s: float) -> None:
    """Choose the demand of each account that this instance tells and claims."""
    match world.policies.limits:
        case DemandShares():
            since_s = _unconfirmed_since_s(world, now_s)
        case PooledShares() | StaticShares() | Uncoordinated():
            since_s = None
    for bucket in world.buckets.rows():
        demand_per_s = smoothed_demand_per_s(bucket, now_s)
        # The others use the figure of the previous heartbeat until this one arrives.
        bucket.claimed_demand_per_s = bucket.advertised_demand_per_s
        if since_s is not None:
            demand_per_s = _bounded_demand_per_s(bucket, demand_per_s, since_s)
            bucket.claimed_demand_per_s = min(bucket.claimed_demand_per_s, demand_per_s)
        bucket.advertised_demand_per_s = demand_per_s
        bucket.advertised.append((now_s, demand_per_s))
        while bucket.advertised[0][0] < now_s - ADVERTISED_KEPT_S:
            bucket.advertised.popleft()


def _bounded_demand_per_s(
    bucket: BucketRow, demand_per_s: float, since_s: float
) -> float:
    """Return the demand to claim while a peer may know any figure since a time."""
    told = [rate_per_s for sent_s, rate_per_s in bucket.advertised if sent_s >= since_s]
    bound_per_s = min(told, default=0.0)
    if demand_per_s < KEPT_DEMAND_FRACTION * bound_per_s:
        return demand_per_s
    return bound_per_s


def _unconfirmed_since_s(world: World, now_s: float) -> float | None:
    """Return since when some instance may not have heard this one, None if all do."""
    rows = local_peers(world) if is_two_level(world) else world.peers.rows()
    # One that was never heard does not know any figure of this instance.
    since_s = [
        row.any_confirmed_s()
        for row in rows
        if row.incarnation
        and not is_confirmed(world, row, now_s)
        and exchanges_heartbeats(world, row)
        and may_refill(row, now_s)
    ]
    unconfirmed = {
        summary.name: summary.confirmed_s
        for summary in world.data_centres.rows.values()
        if not is_summary_confirmed(summary, now_s)
    }
    if unconfirmed:
        since_s += [
            unconfirmed[row.data_centre]
            for row in world.peers.rows()
            if row.data_centre in unconfirmed
            and not exchanges_heartbeats(world, row)
            and may_refill(row, now_s)
        ]
    return min(since_s, default=None)
