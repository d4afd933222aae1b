"""Prepares look-up answers: which entry instances callers of a region should use."""

from ..configuration import DrainKind, Pool
from ..effects import Effects
from ..inputs import Inbox, Timer
from ..peer_messages import PoolLoad
from ..policies import (
    LeastInFlight,
    ObjectPlacement,
    OwnedSlots,
    RandomChoice,
    TwoChoices,
)
from ..tables.answers import AnswerRow, PlanRow, TargetRow
from ..world import World
from .slots import n_free_slots, n_usable_slots, owned_servers

STEERING_INTERVAL_S = 1.0
ANSWER_LIFETIME_S = 3.0
TARGET_UTILISATION = 0.85
SPILL_RAMP_PER_S = 0.05
RETURN_RAMP_PER_S = 0.25
MIN_WEIGHT = 0.001
NO_SLOTS_GRACE_S = 5.0
# Key of the deadline that is armed again after each STEERING_INTERVAL_S.
PERIODIC = ""


def steer(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Recompute plans and answers, each second and on a new configuration."""
    keys = inbox.due(Timer.STEERING)
    if PERIODIC in keys:
        world.deadlines.arm(now_s + STEERING_INTERVAL_S, Timer.STEERING, PERIODIC)
    if (keys or world.is_configuration_new) and _uses_answers(world):
        _prepare_answers(world, now_s)
    return []


def _uses_answers(world: World) -> bool:
    """Return whether look-ups are answered from prepared answers.

    With ``ObjectPlacement`` an instance answers each one from the table of peers, see
    ``lookup``.
    """
    match world.policies.choice:
        case ObjectPlacement():
            return False
        case OwnedSlots() | RandomChoice() | TwoChoices() | LeastInFlight():
            return True


def _prepare_answers(world: World, now_s: float) -> None:
    seats = usable_seats(world)
    regions = world.configuration.regions()
    current_keys: set[tuple[str, str]] = set()
    for pool in world.configuration.pools.values():
        region_loads = {
            region: _region_load(world, now_s, pool, region) for region in regions
        }
        for region in regions:
            key = (pool.name, region)
            current_keys.add(key)
            plan = _next_plan(world, now_s, pool, region, region_loads, seats)
            world.answers.plans[key] = plan
            world.answers.answers[key] = _build_answer(plan, seats)
    for key in set(world.answers.answers) - current_keys:
        del world.answers.answers[key]
        del world.answers.plans[key]


def usable_seats(world: World) -> dict[str, list[TargetRow]]:
    """List the instances that callers may be sent to, by region."""
    drains = world.configuration.drains.values()
    drained = {
        drain.target for drain in drains if drain.kind is not DrainKind.BACKEND_SERVER
    }
    own_identity = world.identity
    seats: dict[str, list[TargetRow]] = {}
    if (
        world.departure is None
        and not {own_identity.seat, own_identity.data_centre} & drained
    ):
        seats[own_identity.region] = [
            TargetRow(own_identity.seat, own_identity.address, 1.0)
        ]
    for peer in world.peers.alive():
        is_unusable = peer.is_leaving or peer.is_listed_leaving
        if is_unusable or not peer.address or {peer.seat, peer.data_centre} & drained:
            continue
        target = TargetRow(peer.seat, peer.address, 1.0)
        seats.setdefault(peer.region, []).append(target)
    return seats


def _region_load(
    world: World, now_s: float, pool: Pool, region: str
) -> tuple[float, float]:
    """Return the slots that a region uses or queues for, and its usable slots."""
    n_used = 0.0
    n_slots = 0.0
    for load in _pool_loads(world, now_s, pool, region):
        n_used += load.n_used + load.n_queued
        n_slots += load.n_slots
    return n_used, n_slots


def _pool_loads(world: World, now_s: float, pool: Pool, region: str) -> list[PoolLoad]:
    loads = []
    for peer in world.peers.alive():
        load = peer.loads.get(pool.name)
        if peer.region == region and load is not None:
            loads.append(load)
    if region == world.identity.region:
        owned = owned_servers(world, pool.name)
        n_slots = sum(n_usable_slots(row, pool, now_s) for row in owned)
        n_free = sum(n_free_slots(row, pool, now_s) for row in owned)
        n_queued = world.queues.queue_of(pool.name).n_queued
        loads.append(PoolLoad(pool.name, n_slots - n_free, 0, n_slots, n_queued, 0.0))
    return loads


def _next_plan(
    world: World,
    now_s: float,
    pool: Pool,
    region: str,
    region_loads: dict[str, tuple[float, float]],
    seats: dict[str, list[TargetRow]],
) -> PlanRow:
    """Move a region's fractions one step towards their targets."""
    previous = world.answers.plans.get((pool.name, region))
    no_slots_since_s = _no_slots_since_s(previous, now_s, region_loads[region][1])
    is_unavailable = region not in seats
    if no_slots_since_s is not None and not is_unavailable:
        if now_s - no_slots_since_s < NO_SLOTS_GRACE_S:
            # Reports may be late or not have arrived yet: keep the fractions, or start
            # with all requests in their own region.
            kept = previous.fractions if previous else {region: 1.0}
            return PlanRow(pool.name, region, kept, now_s, no_slots_since_s)
        is_unavailable = True
    targets = _target_fractions(region, region_loads, seats)
    if previous is None or is_unavailable:
        return PlanRow(pool.name, region, targets, now_s, no_slots_since_s)
    age_s = min(STEERING_INTERVAL_S, now_s - previous.planned_s)
    fractions: dict[str, float] = {}
    for other in sorted(targets.keys() | previous.fractions.keys()):
        if other == region or other not in seats:
            continue
        old = previous.fractions.get(other, 0.0)
        difference = targets.get(other, 0.0) - old
        change = max(
            -RETURN_RAMP_PER_S * age_s, min(SPILL_RAMP_PER_S * age_s, difference)
        )
        if old + change > MIN_WEIGHT:
            fractions[other] = old + change
    fractions[region] = max(0.0, 1.0 - sum(fractions.values()))
    return PlanRow(pool.name, region, fractions, now_s)


def _no_slots_since_s(
    previous: PlanRow | None, now_s: float, n_slots: float
) -> float | None:
    if n_slots > 0:
        return None
    if previous is None or previous.no_slots_since_s is None:
        return now_s
    return previous.no_slots_since_s


def _target_fractions(
    region: str,
    region_loads: dict[str, tuple[float, float]],
    seats: dict[str, list[TargetRow]],
) -> dict[str, float]:
    """Keep requests local up to TARGET_UTILISATION, and move the excess elsewhere.

    All instances compute the fractions from the same heartbeats, so that their
    answers together do not exceed the free slots. The free slots of a region are
    divided among the overloaded regions in proportion to their excess.
    """
    excess = {
        name: max(0.0, used - TARGET_UTILISATION * slots)
        for name, (used, slots) in region_loads.items()
    }
    free = {
        name: max(0.0, TARGET_UTILISATION * slots - used)
        for name, (used, slots) in region_loads.items()
        if name in seats and name != region
    }
    used, slots = region_loads[region]
    if region not in seats or slots <= 0:
        return _proportional_fractions(free) or {
            name: 1.0 / len(seats) for name in seats
        }
    total_excess = sum(excess.values())
    if excess[region] <= 0 or used <= 0 or total_excess <= 0:
        return {region: 1.0}
    portion = excess[region] / total_excess
    moved = {
        name: min(excess[region], n * portion) for name, n in free.items() if n > 0
    }
    total = sum(moved.values())
    scale = min(1.0, excess[region] / total) if total > 0 else 0.0
    fractions = {name: n * scale / used for name, n in moved.items()}
    fractions[region] = 1.0 - sum(fractions.values())
    return fractions


def _proportional_fractions(free: dict[str, float]) -> dict[str, float]:
    total = sum(free.values())
    if total <= 0:
        return {}
    return {name: n / total for name, n in free.items() if n > 0}


def _build_answer(plan: PlanRow, seats: dict[str, list[TargetRow]]) -> AnswerRow:
    """List a plan's targets by weight, then the other instances as fallbacks."""
    chosen: list[TargetRow] = []
    others: list[TargetRow] = []
    for region, targets in seats.items():
        weight = plan.fractions.get(region, 0.0) / len(targets)
        for target in targets:
            row = TargetRow(target.seat, target.address, round(weight, 4))
            (chosen if weight > MIN_WEIGHT else others).append(row)
    chosen.sort(key=lambda row: (-row.weight, row.seat))
    others.sort(key=lambda row: row.seat)
    return AnswerRow(plan.pool, plan.region, [*chosen, *others], ANSWER_LIFETIME_S)
