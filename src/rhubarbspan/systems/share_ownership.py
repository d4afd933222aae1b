"""Maintains this instance's owned share of each limit and when it may be used.

Shares are owned by seats: a seat is an instance's named position in a data centre.
"""

from ..configuration import ClientAccount, Shift
from ..policies import (
    DemandShares,
    PooledShares,
    StaticShares,
    Uncoordinated,
)
from ..tables.buckets import BucketRow, ShareRow
from ..tables.peers import PeerRow
from ..world import World
from .bucketing import capacity, lender_term_s, owned_share, refill
from .demand_fractions import MIN_PRESENT_FRACTION, demand_fraction
from .limit_keepers import (
    KEEPER_EXCESS_FRACTION,
    is_kept_whole,
    isolated_share,
    permitted_excess,
)

DELEGATION_TERM_S = 0.9
# After a start the owned share is not used for this long: a delegation of it by an
# earlier incarnation of the seat must have expired.
STARTUP_S = lender_term_s(DELEGATION_TERM_S) + 0.5
# Demand shares have no delegations: this is long enough to receive one heartbeat of
# each listed peer.
DEMAND_STARTUP_S = 0.7
SHIFT_PREFIX = "shift:"
# Requests of an account at its limit that each data centre gets in a half-life. With
# one the demand is mostly noise, and the least of the fractions computed in a round of
# summaries, which is used, leaves a fifth of a limit of 13 requests a second unused.
N_ARRIVALS_PER_HALF_LIFE = 5.0
MAX_HALF_LIFE_S = 4.0
FOREVER_S = 1e18
REMOVED_BUCKET_TTL_S = 10.0
# Fraction of the permitted overage that is given out as extra burst. The rest covers
# clients that switch instances before heartbeats report it.
SLACK_FRACTION = 0.75


def sync_buckets(world: World, now_s: float) -> None:
    """Create, change and remove buckets to match the configuration in force."""
    limits: dict[str, tuple[float, float]] = {}
    for account in world.configuration.client_accounts.values():
        limits[account.name] = _owned_share(world, account)
    for shift in world.configuration.shifts.values():
        limits[SHIFT_PREFIX + shift.name] = _shift_share(world, shift)
    for bucket in world.buckets.rows():
        if bucket.account not in limits:
            _retire_bucket(world, now_s, bucket)
    accounts = world.configuration.client_accounts
    for name, (rate, burst) in limits.items():
        limited = accounts.get(name)
        half_life_s = _demand_half_life_s(world, limited.rate_per_s if limited else 0)
        bucket = world.buckets.get(name) or BucketRow(
            name, refilled_s=now_s, half_life_s=half_life_s
        )
        world.buckets.add(bucket)
        bucket.removed_s = None
        refill(bucket, now_s)
        _set_owned_share(world, now_s, bucket, rate, float(burst))
    for shift in world.configuration.shifts.values():
        bucket_of_shift = world.buckets.get(SHIFT_PREFIX + shift.name)
        if bucket_of_shift is not None and bucket_of_shift.ramp_s == 0:
            ramp_s = shift.cap_requests_per_s / shift.pace_requests_per_s2
            bucket_of_shift.ramp_s = ramp_s
            bucket_of_shift.ramp_start_s = now_s


def _demand_half_life_s(world: World, rate_per_s: float) -> float:
    """Return the half-life of an arrival in the smoothed demand of an account.

    It is longer if the data centres get so few of the account's requests that their
    demands would otherwise be mostly noise.
    """
    n_data_centres = len(world.configuration.data_centres)
    enough_s = N_ARRIVALS_PER_HALF_LIFE * n_data_centres / max(rate_per_s, 0.1)
    half_life_s = world.policies.demand_half_life_s
    match world.policies.limits:
        case DemandShares():
            return min(MAX_HALF_LIFE_S, max(half_life_s, enough_s))
        case PooledShares() | StaticShares() | Uncoordinated():
            return half_life_s


def _retire_bucket(world: World, now_s: float, bucket: BucketRow) -> None:
    """Set a removed account's owned share to zero, and remove the bucket later.

    The bucket is kept for a while because it records the delegation of the share, in
    case the account is configured again.
    """
    if bucket.removed_s is None:
        bucket.removed_s = now_s
        _set_owned_share(world, now_s, bucket, 0.0, 0.0)
        world.changed_accounts[bucket.account] = None
    elif now_s - bucket.removed_s > REMOVED_BUCKET_TTL_S:
        world.buckets.remove(bucket.account)


def _owned_share(world: World, account: ClientAccount) -> tuple[float, float]:
    match world.policies.limits:
        case Uncoordinated():
            return account.rate_per_s, account.burst
        case DemandShares():
            fraction = demand_fraction(world, account.name)
            return _held_share(world, account, fraction)
        case PooledShares() | StaticShares():
            return owned_share(
                account.name,
                account.rate_per_s,
                account.burst,
                world.configuration.seats(),
                world.identity.seat,
            )


def _held_share(
    world: World, account: ClientAccount, fraction: float
) -> tuple[float, float]:
    """Return the rate and burst that a holder refills for its data centre."""
    division = world.limit_division
    if account.name in division.isolated:
        bucket = world.buckets.get(account.name)
        if bucket is None or bucket.holder != world.identity.seat:
            return 0.0, 0.0
        n_sharing = division.n_sharing[account.name]
        rate, burst = isolated_share(world.policies, account, n_sharing)
        return rate * division.present_fraction, burst * division.present_fraction
    if fraction <= 0:
        return 0.0, 0.0
    if is_kept_whole(world, account):
        excess = permitted_excess(world.policies, account)
        burst = account.burst + KEEPER_EXCESS_FRACTION * excess
        return account.rate_per_s * fraction, burst * fraction
    slack = SLACK_FRACTION * permitted_excess(world.policies, account)
    # The slack is divided evenly over the data centres, so that bursts of requests get
    # tokens also in one with a small fraction of the demand. The rate is not exceeded:
    # the rates of the data centres sum to the limit.
    burst = (
        account.burst * fraction
        + slack / division.n_data_centres * division.present_fraction
    )
    if division.present_fraction >= MIN_PRESENT_FRACTION:
        burst = max(1.0, burst)
    return account.rate_per_s * fraction, min(account.burst, burst)


def _shift_share(world: World, shift: Shift) -> tuple[float, int]:
    # Rate plus burst is at most the cap, so that no second has more requests.
    burst = max(1, int(shift.cap_requests_per_s * 0.1))
    rate = max(0.0, shift.cap_requests_per_s - burst)
    if shift.cap_requests_per_s < 1:
        return 0.0, 0
    seats = world.configuration.seats()
    name = SHIFT_PREFIX + shift.name
    return owned_share(name, rate, burst, seats, world.identity.seat)


def _set_owned_share(
    world: World, now_s: float, bucket: BucketRow, rate: float, burst: float
) -> None:
    bucket.pending_rate_per_s = rate
    bucket.pending_burst = burst
    if world.unconfirmed_seats:
        # Until all seats have confirmed the new list of seats, shares may only shrink,
        # so that their sum stays within the limit.
        rate = min(rate, bucket.own_rate_per_s)
        burst = min(burst, bucket.own_burst)
    bucket.own_rate_per_s = rate
    bucket.own_burst = burst
    if bucket.delegated is None:
        restore_own_share(world, now_s, bucket)


def update_owned_shares(world: World, now_s: float) -> None:
    """Recompute the owned shares from the demand that was advertised last."""
    for account in world.configuration.client_accounts.values():
        bucket = world.buckets.get(account.name)
        if bucket is None:
            continue
        refill(bucket, now_s)
        rate, burst = _owned_share(world, account)
        _set_owned_share(world, now_s, bucket, rate, burst)
        if account.name in world.limit_division.isolated:
            _start_isolated(world, now_s, bucket)


def _start_isolated(world: World, now_s: float, bucket: BucketRow) -> None:
    """Let the holder of an isolated share begin with its burst, once in a window.

    The share's rate alone would take longer for a token than most ways are interrupted.
    """
    if bucket.holder != world.identity.seat or not bucket.shares:
        return
    if now_s - bucket.isolated_s > world.policies.limit_window_s:
        bucket.n_tokens = capacity(bucket)
        world.changed_accounts[bucket.account] = None
    bucket.isolated_s = now_s


def startup_s(world: World) -> float:
    """Return how long after its start this instance does not use its owned shares."""
    match world.policies.limits:
        case DemandShares() if world.has_peer_list:
            return DEMAND_STARTUP_S
        case DemandShares() | PooledShares() | StaticShares() | Uncoordinated():
            return STARTUP_S


def restore_own_share(world: World, now_s: float, bucket: BucketRow) -> None:
    """Resume refilling from the owned share unless the start-up wait isn't over.

    The share brings no tokens of its own; tokens beyond the capacity are dropped.
    """
    if now_s - world.started_s < startup_s(world):
        # Still in the start-up wait, see startup_s.
        return
    refill(bucket, now_s)
    seat = world.identity.seat
    if bucket.own_burst <= 0:
        if bucket.shares.pop(seat, None) is None:
            return
    else:
        bucket.shares[seat] = ShareRow(
            seat, bucket.own_rate_per_s, bucket.own_burst, FOREVER_S
        )
    bucket.n_tokens = min(bucket.n_tokens, capacity(bucket))


def update_unconfirmed_seats(world: World) -> None:
    """Record which seats must confirm a new list of seats before owned shares grow."""
    revision = world.configuration_state.snapshot.seats_revision
    if revision <= world.processed_seats_revision:
        return
    for seat in {*world.known_seats, *world.configuration.seats()}:
        data_centre = world.configuration.data_centres.get(seat.rpartition("-")[0])
        if seat == world.identity.seat or (
            data_centre is not None and data_centre.is_decommissioned
        ):
            world.unconfirmed_seats.pop(seat, None)
        else:
            world.unconfirmed_seats[seat] = revision
    world.is_first_seat_list = not world.known_seats
    world.known_seats = world.configuration.seats()
    world.processed_seats_revision = revision


def confirm_seats(world: World, now_s: float) -> None:
    """Let owned shares grow once no seat can use an older, larger share."""
    for seat, revision in list(world.unconfirmed_seats.items()):
        peer = world.peers.get(seat)
        has_confirmed = peer is not None and peer.revision >= revision
        if has_confirmed or _is_known_absent(world, peer):
            del world.unconfirmed_seats[seat]
    if world.unconfirmed_seats:
        return
    for bucket in world.buckets.rows():
        _set_owned_share(
            world, now_s, bucket, bucket.pending_rate_per_s, bucket.pending_burst
        )


def _is_known_absent(world: World, peer: PeerRow | None) -> bool:
    """Return whether no instance uses a seat, by the platform's list of instances.

    That list is relied on only for the first list of seats that this instance
    processes after its start; later, seats must confirm a change themselves.
    """
    if not (world.is_first_seat_list and world.has_peer_list):
        return False
    return peer is None or not (peer.is_listed or peer.is_alive)
