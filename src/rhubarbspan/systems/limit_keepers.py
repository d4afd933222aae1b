"""Decides which limits one data centre keeps whole, and which instances hold them.

A small limit that is divided leaves less than one request to each data centre, and
refuses what lies inside it. Such a limit is refilled by one data centre, its keeper,
chosen by rendezvous hashing over those that are known; the others request their tokens
from it, one round trip for each.

A data centre that is silent stays the keeper until its instances are forgotten: it may
be cut off and refill. One that hears half of the data centres or fewer does not refill,
since the others may have chosen another keeper. Data centres without a way to the
keeper refill a small share each that together stays within what the platform permits
beyond the limit. It is larger where the others are known to have a way.
"""

from collections import deque
from collections.abc import Iterable
from functools import lru_cache

from ..configuration import ClientAccount
from ..policies import Policies
from ..tables.peers import PeerRow
from ..world import World
from .bucketing import rendezvous_score
from .confirmations import (
    SUMMARY_SILENCE_S,
    UNHEARD_AFTER_S,
    exchanges_heartbeats,
)
from .fleet_layout import N_RELAYS

# Fraction of the permitted excess that data centres without a way to the keeper refill.
# The rest covers the time in which a limit moves to another keeper.
ISOLATED_EXCESS_FRACTION = 0.5
# Fraction of the permitted excess that the keeper holds as extra burst, because tokens
# on loan count against the burst until they expire.
KEEPER_EXCESS_FRACTION = 0.15
# A limit is kept whole if the share of a data centre without a way to the keeper is at
# least this fraction of an equal part of the limit.
MIN_ISOLATED_FRACTION = 0.2
# It must also be so small that an equal part of it has less than this rate: larger
# parts lose little, and need no messages between data centres.
MAX_PART_PER_S = 2.0
# Fraction of such a share that is burst, if it is more than one token.
ISOLATED_BURST_FRACTION = 0.25
# Until this long after a data centre has lost its way to a keeper, it assumes that all
# have: relays learn of a loss within that time, and tell of it.
ISOLATED_SETTLE_S = 4.5
# Instances that this one has never heard count as alive for this long after its start.
FIRST_SUMMARY_S = 3.0
# Scores of accounts are needed at each heartbeat. Enough for all data centres, and for
# the instances of one, with a thousand accounts each.
N_CACHED_SCORES = 100_000

# Choices are needed at each heartbeat as well, one for each account and list of seats.
N_CACHED_CHOICES = 10_000

_score = lru_cache(N_CACHED_SCORES)(rendezvous_score)


def permitted_excess(policies: Policies, account: ClientAccount) -> float:
    """Return how many requests beyond the limit a window may have in all."""
    in_window = account.rate_per_s * policies.limit_window_s + account.burst
    return policies.burst_slack + policies.limit_overage * in_window


def is_kept_whole(world: World, account: ClientAccount | None) -> bool:
    """Return whether one data centre keeps an account's limit."""
    n_data_centres = world.limit_division.n_data_centres
    if account is None or n_data_centres < 2:
        return False
    if account.rate_per_s >= MAX_PART_PER_S * n_data_centres:
        return False
    policies = world.policies
    in_window = account.rate_per_s * policies.limit_window_s + account.burst
    n_isolated = _isolated_in_window(policies, account, n_data_centres)
    return n_isolated >= MIN_ISOLATED_FRACTION * in_window / n_data_centres


def isolated_share(
    policies: Policies, account: ClientAccount, n_sharing: int
) -> tuple[float, float]:
    """Return the rate and burst of a data centre without a way to the keeper.

    Args:
        policies: The policies.
        account: The account.
        n_sharing: Data centres that may be without a way to it, this one included.
    """
    n_isolated = _isolated_in_window(policies, account, n_sharing + 1)
    burst = max(min(1.0, n_isolated), ISOLATED_BURST_FRACTION * n_isolated)
    return (n_isolated - burst) / max(policies.limit_window_s, 1.0), burst


def _isolated_in_window(
    policies: Policies, account: ClientAccount, n_data_centres: int
) -> float:
    excess = ISOLATED_EXCESS_FRACTION * permitted_excess(policies, account)
    return excess / max(1, n_data_centres - 1)


def count_isolated(
    world: World, now_s: float, counted: list[PeerRow], keeper: str
) -> int:
    """Return how many data centres may have no way to a keeper, the own one included.

    Those that are heard here, directly or through a third, and that miss nobody of the
    keeper's ask it for their tokens. It takes the most that was found lately: the
    others learn of a loss at different times.
    """
    seats = {row.seat for row in counted if row.data_centre == keeper}
    rows: dict[str, list[PeerRow]] = {}
    for row in counted:
        if row.data_centre not in (world.identity.data_centre, keeper):
            rows.setdefault(row.data_centre, []).append(row)
    n_found = 1 + sum(
        not all(_has_way(world, now_s, row, keeper, seats) for row in members)
        for members in rows.values()
    )
    found = world.limit_division.n_isolated.setdefault(keeper, deque())
    found.append((now_s, n_found if found else 1 + len(rows)))
    while found[0][0] < now_s - ISOLATED_SETTLE_S:
        found.popleft()
    return max(n for _, n in found)


def _has_way(
    world: World, now_s: float, row: PeerRow, keeper: str, seats: set[str]
) -> bool:
    """Return whether an instance is known to hear all instances of a keeper."""
    if exchanges_heartbeats(world, row):
        is_heard = now_s - row.evidence_s() < world.policies.dead_after_s
        return is_heard and not row.missed & seats
    summary = world.data_centres.rows.get(row.data_centre)
    return (
        summary is not None
        and now_s - summary.as_of_s < UNHEARD_AFTER_S + SUMMARY_SILENCE_S
        and keeper not in summary.missed
    )


def choose_keeper(account: str, data_centres: Iterable[str]) -> str:
    """Return the data centre that keeps an account's limit."""
    return _best_of(account, tuple(data_centres))


def reachable_rows(
    world: World, now_s: float, counted: list[PeerRow]
) -> dict[str, list[PeerRow]]:
    """List the instances of the other data centres that are alive, by data centre."""
    has_just_started = now_s - world.started_s < FIRST_SUMMARY_S
    found: dict[str, list[PeerRow]] = {}
    for row in counted:
        is_unheard = has_just_started and row.last_heard_s < 0
        if row.data_centre != world.identity.data_centre and (
            row.is_alive or is_unheard
        ):
            found.setdefault(row.data_centre, []).append(row)
    return found


def choose_holder(account: str, seats: list[str], n_holders: int | None = None) -> str:
    """Return the seat that refills an account's bucket in a data centre.

    Args:
        account: The account.
        seats: Seats that may hold limits.
        n_holders: Number of seats, in the order of their names, that the account's is
            one of; None for all. Few holders need few connections between data centres.
    """
    return _best_of(account, tuple(sorted(seats)[:n_holders]))


@lru_cache(N_CACHED_CHOICES)
def _best_of(account: str, names: tuple[str, ...]) -> str:
    """Return the seat or data centre with the highest score for an account."""
    return max(names, key=lambda name: _score(account, name))


def remote_holder(
    account: str,
    rows: list[PeerRow],
    now_s: float,
    startup_s: float,
    n_holders: int | None = N_RELAYS,
) -> str:
    """Return the seat of another data centre that holds an account's limit or part."""
    ready = [
        row.seat
        for row in rows
        if not row.is_leaving and now_s - row.started_s >= startup_s
    ]
    return choose_holder(account, ready or [row.seat for row in rows], n_holders)
