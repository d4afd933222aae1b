"""Matches new requests to a route and an account, and refuses invalid ones at once."""

from dataclasses import dataclass

import xxhash

from ..configuration import Route, RouteKind, match_route
from ..effects import Effects, FinishRequest, LogRequest
from ..inputs import CallerDisconnected, Inbox, RequestArrived, Timer
from ..tables.requests import RequestRow, RequestState
from ..verdict import NotRun, Reason
from ..world import World
from .config_age import config_age_s, is_too_old
from .departure import leaving_retry_s, may_finish
from .quarantine import is_quarantined
from .queueing import longest_lane, record_pool_arrivals
from .retry_budget import add_to_budget
from .routing import (
    choose_split_pool,
    priority_and_regions,
    remove_deleted_routes,
    update_rules,
)
from .slots import region_slots

# Logged as the age of a configuration that was never confirmed.
MAX_CONFIG_AGE_S = 1e6


@dataclass(frozen=True, slots=True)
class Accepted:
    """The result for a request that passed all checks of the intake.

    Attributes:
        account: The client account, or an empty string on an open route.
    """

    route: Route
    account: str


def receive_requests(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Add a row for each new request that passes the checks; refuse the others."""
    world.new_requests.clear()
    if world.is_configuration_new:
        remove_deleted_routes(world)
        update_rules(world)
    effects: Effects = []
    # Callers that were gone before the request came up for a decision.
    gone = {row.request_id for row in inbox.of(CallerDisconnected)}
    for arrived in inbox.of(RequestArrived):
        world.count("requests")
        match _check_request(world, now_s, arrived, arrived.request_id in gone):
            case Accepted(route=route, account=account):
                _add_row(world, now_s, arrived, route, account)
            case NotRun(reason=reason) as verdict:
                world.count("not_run", reason.value)
                is_leaving = reason is Reason.LEAVING
                retry_s = leaving_retry_s(world) if is_leaving else 0.0
                effects.append(FinishRequest(arrived.request_id, verdict, retry_s))
                effects.append(_describe_refusal(world, now_s, arrived, reason))
    return effects


def may_be_decided_early(world: World, path: str, host: str) -> bool:
    """Return whether a request may be decided before earlier ones are answered.

    The question arises for pipelined requests: if the response to an earlier request
    closes the connection, the caller sends the later ones again. That is harmless only
    if they may be repeated.
    """
    route = match_route(world.configuration, path, host)
    return route is None or route.kind is RouteKind.IDEMPOTENT


def _describe_refusal(
    world: World, now_s: float, arrived: RequestArrived, reason: Reason
) -> LogRequest:
    age_s = min(config_age_s(world, now_s), MAX_CONFIG_AGE_S)
    fields: dict[str, str | float] = {
        "reason": reason.value,
        "path": arrived.path,
        "revision": world.configuration.revision,
        "config_age_s": round(age_s, 3),
    }
    return LogRequest("refused", arrived.caller_request_id, fields, True)


def _check_request(
    world: World, now_s: float, arrived: RequestArrived, is_caller_gone: bool
) -> Accepted | NotRun:
    if is_caller_gone:
        return NotRun(Reason.CANCELLED)
    if world.configuration.revision == 0:
        return NotRun(Reason.NOT_READY)
    route = match_route(world.configuration, arrived.path, arrived.host)
    if route is None:
        return NotRun(Reason.UNKNOWN_ROUTE)
    if is_too_old(world, route, now_s):
        return NotRun(Reason.STALE_CONFIGURATION)
    account = ""
    if not route.is_open:
        account = world.configuration.account_by_key_hash.get(arrived.key_hash, "")
        if not account:
            return NotRun(Reason.BAD_KEY)
    if not may_finish(world, now_s, _deadline_s(now_s, route, arrived)):
        return NotRun(Reason.LEAVING)
    route = choose_split_pool(world, route)
    is_at_most_once = route.kind is RouteKind.AT_MOST_ONCE
    if is_at_most_once and not arrived.idempotency_key:
        return NotRun(Reason.KEY_MISSING)
    if is_quarantined(world, now_s, fingerprint_of(arrived, account)):
        return NotRun(Reason.QUARANTINED)
    return _check_queue(world, now_s, route, account)


def _check_queue(
    world: World, now_s: float, route: Route, account: str
) -> Accepted | NotRun:
    """Refuse a request that would overflow the queue or wait past its timeout.

    The check runs first, so that such a request uses no token and no claim.
    """
    pool = world.configuration.pools[route.pool]
    queue = world.queues.queue_of(pool.name)
    if queue.n_queued == 0:
        return Accepted(route, account)
    lane = queue.lanes.get(account)
    longest = longest_lane(queue)
    if queue.n_queued >= pool.n_max_queued and (lane is longest or longest is None):
        return NotRun(Reason.QUEUE_FULL)
    n_slots = region_slots(world, pool, now_s)
    n_lanes = max(1, len(queue.lanes))
    n_ahead = min(queue.n_queued, (len(lane.request_ids) if lane else 0) * n_lanes)
    wait_s = n_ahead * queue.service_s / n_slots if n_slots else 0.0
    if wait_s > route.timeout_s:
        return NotRun(Reason.DEADLINE)
    return Accepted(route, account)


def fingerprint_of(arrived: RequestArrived, account: str) -> str:
    """Return a hash that a request shares with its resends.

    The hash is empty if the request has neither an idempotency key nor a body digest.
    """
    request_key = arrived.idempotency_key or arrived.body_digest
    if not request_key:
        return ""
    return xxhash.xxh64_hexdigest(f"{account}\n{arrived.path}\n{request_key}".encode())


def _deadline_s(now_s: float, route: Route, arrived: RequestArrived) -> float:
    timeout_s = route.timeout_s
    if arrived.timeout_s > 0:
        timeout_s = min(timeout_s, arrived.timeout_s)
    return now_s + timeout_s


def _add_row(
    world: World, now_s: float, arrived: RequestArrived, route: Route, account: str
) -> None:
    row = RequestRow(
        arrived.request_id,
        arrived,
        route,
        account,
        fingerprint_of(arrived, account),
        now_s,
        _deadline_s(now_s, route, arrived),
    )
    row.priority, row.regions = priority_and_regions(world, route, account)
    if not account:
        row.state = RequestState.ADMITTED
    world.requests.add(row)
    world.new_requests.append(row)
    world.deadlines.arm(row.deadline_s, Timer.REQUEST, str(row.request_id))
    queue = world.queues.queue_of(route.pool)
    record_pool_arrivals(queue, now_s, 1)
    add_to_budget(world, queue)
