"""Handles ended attempts: updates servers, and finishes or retries requests."""

from ..configuration import RouteKind
from ..effects import AbortAttempt, Effects, LogChange, LogLevel
from ..inputs import (
    Aborted,
    AttemptEnded,
    CallerDisconnected,
    Completed,
    ConnectFailed,
    ConnectionLost,
    Inbox,
    Misdirected,
    Shed,
    TimedOut,
    Timer,
)
from ..tables.requests import RequestRow, RequestState
from ..tables.servers import ServerRow
from ..verdict import MayHaveRun, NotRun, Reason
from ..world import World
from .avoidance import record_response
from .completion import SERVER_ERROR_STATUS, complete_request, fail_request
from .config_age import is_too_old
from .quarantine import (
    clear_suspect,
    is_quarantined,
    record_crash,
    record_end,
    refute_crashes,
)
from .queueing import rejoin_queue
from .retry_budget import take_retry
from .serving import record_service
from .slots import record_shed

SERVICE_SMOOTHING = 0.05
FAILURE_SMOOTHING = 0.2
EJECT_ABOVE_FAILURE_RATE = 0.5
N_ATTEMPTS_TO_EJECT = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
MAX_SHEDS_PER_REQUEST = 20
# Lets peers' reports of crashes arrive before a lost request is retried.
SUSPECT_RETRY_DELAY_S = 0.1
# After which a caller should send a request again whose body only the caller holds.
# Another server can be chosen at once.
RESEND_AFTER_S = 0.1


def handle_ended_attempts(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Free slots, update failure rates, and finish, retry or fail requests."""
    effects: Effects = []
    for disconnected in inbox.of(CallerDisconnected):
        effects += _handle_caller_disconnected(world, now_s, disconnected.request_id)
    for ended in inbox.of(AttemptEnded):
        effects += _handle_ended_attempt(world, now_s, ended)
    return effects


def _handle_caller_disconnected(world: World, now_s: float, request_id: int) -> Effects:
    row = world.requests.get(request_id)
    if row is None:
        return []
    if row.state is not RequestState.RUNNING:
        return fail_request(world, now_s, row, NotRun(Reason.CANCELLED))
    if row.route.kind is RouteKind.IDEMPOTENT:
        return [AbortAttempt(row.request_id, row.n_attempts)]
    return []


def _handle_ended_attempt(world: World, now_s: float, ended: AttemptEnded) -> Effects:
    row = world.requests.get(ended.request_id)
    if row is None or row.state is not RequestState.RUNNING:
        return []
    if ended.attempt_id != row.n_attempts:
        return []
    row.is_body_consumed |= ended.is_body_consumed
    was_slot_borrowed = row.slot_key is not None
    _free_slot(world, row, isinstance(ended.outcome, Shed))
    server = world.servers.get(row.server_id)
    effects: Effects = []
    match ended.outcome:
        case Completed(status=status):
            _update_service_time(world, now_s, row)
            record_service(world, now_s, row, server, status < SERVER_ERROR_STATUS)
            clear_suspect(world, row)
            if server is not None:
                if status < SERVER_ERROR_STATUS:
                    record_response(server)
                refute_crashes(world, now_s, row, server)
            effects += _update_failure_rate(
                world, now_s, server, status >= SERVER_ERROR_STATUS
            )
            return effects + complete_request(world, now_s, row, status)
        case Shed(is_broken=is_broken):
            if is_broken:
                effects += _update_failure_rate(world, now_s, server, True)
            # The lender of a borrowed slot records the shed, once the slot is returned.
            if server is not None and not was_slot_borrowed:
                record_shed(world, now_s, server)
            return effects + _requeue_declined(world, now_s, row)
        case Misdirected():
            if server is not None:
                server.misdirected_incarnation = server.incarnation
            return effects + _requeue_declined(world, now_s, row)
        case ConnectFailed(is_refused=is_refused):
            if is_refused and server is not None:
                _expect_cold_return(world, now_s, server)
            effects += _update_failure_rate(world, now_s, server, True)
            verdict = NotRun(Reason.CONNECT_FAILED)
            return effects + _retry_or_fail(world, now_s, row, verdict)
        case ConnectionLost(has_response_started=has_started, is_server_up=is_up):
            effects += _update_failure_rate(world, now_s, server, True)
            if server is not None and not is_up:
                effects += record_crash(world, now_s, row, server)
            reason = Reason.TRUNCATED if has_started else Reason.CONNECTION_LOST
            lost = MayHaveRun(reason)
            if has_started or row.route.kind is not RouteKind.IDEMPOTENT:
                return effects + fail_request(world, now_s, row, lost)
            row.not_before_s = now_s + SUSPECT_RETRY_DELAY_S
            world.deadlines.arm(row.not_before_s, Timer.SERVER, row.route.pool)
            return effects + _retry_or_fail(world, now_s, row, lost)
        case TimedOut():
            effects += _update_failure_rate(world, now_s, server, True)
            late = MayHaveRun(Reason.DEADLINE)
            return effects + fail_request(world, now_s, row, late)
        case Aborted():
            is_late = now_s >= row.deadline_s
            reason = Reason.DEADLINE if is_late else Reason.CANCELLED
            return effects + fail_request(world, now_s, row, MayHaveRun(reason))


def _expect_cold_return(world: World, now_s: float, server: ServerRow) -> None:
    """Count a server that refuses connections as cold: its process will start anew.

    While the store is unreachable no record tells of the new process, so peers are
    told.
    """
    pool = world.configuration.pools.get(server.pool)
    if pool is None:
        return
    if server.refused_until_s < now_s:
        world.deadlines.arm(now_s, Timer.HEARTBEAT, "refused")
    server.refused_until_s = now_s + pool.ramp_s
    server.cold_until_s = max(server.cold_until_s, server.refused_until_s)


def _free_slot(world: World, row: RequestRow, was_shed: bool) -> None:
    record_end(world, row)
    server = world.servers.get(row.server_id)
    if server is not None:
        server.running.pop(row.request_id, None)
    if row.slot_key is not None:
        slot = world.slot_loans.borrowed.get(row.slot_key)
        if slot is not None:
            slot.request_id = None
            slot.was_shed = was_shed
        row.slot_key = None
    world.queues.mark_changed(row.route.pool)


def _requeue_declined(world: World, now_s: float, row: RequestRow) -> Effects:
    """Queue a request again that its server shed or that was misdirected.

    Both count as shed. With ``do_sheds_use_retry_budget`` each uses the retry budget.
    Otherwise none does: it costs only time, and a server that sheds gets no requests
    for a while, which bounds how often it happens.
    """
    row.n_shed += 1
    row.last_verdict = NotRun(Reason.SHED)
    if row.is_body_consumed:
        return _leave_to_caller(world, now_s, row, row.last_verdict)
    if row.n_shed > MAX_SHEDS_PER_REQUEST or now_s >= row.deadline_s:
        return fail_request(world, now_s, row, row.last_verdict)
    if is_too_old(world, row.route, row.arrived_s):
        return fail_request(world, now_s, row, row.last_verdict)
    world.count("shed", row.route.pool)
    if world.policies.do_sheds_use_retry_budget:
        queue = world.queues.queue_of(row.route.pool)
        if not take_retry(world, queue):
            world.count("retries_refused", row.route.pool)
            return fail_request(world, now_s, row, row.last_verdict)
        row.tried.add(row.server_id)
    rejoin_queue(world, now_s, row)
    return []


def _leave_to_caller(
    world: World, now_s: float, row: RequestRow, verdict: NotRun | MayHaveRun
) -> Effects:
    """End a request that only its caller can send again, as its body was streamed."""
    world.count("bodies_consumed", row.route.pool)
    retry_after_s = RESEND_AFTER_S if isinstance(verdict, NotRun) else 0.0
    return fail_request(world, now_s, row, verdict, retry_after_s)


def _update_service_time(world: World, now_s: float, row: RequestRow) -> None:
    queue = world.queues.queue_of(row.route.pool)
    service_s = now_s - row.sent_s
    queue.service_s += SERVICE_SMOOTHING * (service_s - queue.service_s)


def _update_failure_rate(
    world: World, now_s: float, server: ServerRow | None, has_failed: bool
) -> Effects:
    """Update a server's failure rate, and eject the server if the rate is high."""
    if server is None:
        return []
    server.n_scored_attempts += 1
    server.failure_rate += FAILURE_SMOOTHING * (has_failed - server.failure_rate)
    if not has_failed:
        server.last_success_s = now_s
        server.n_ejections = 0
        return []
    is_failing = server.failure_rate > EJECT_ABOVE_FAILURE_RATE
    if not is_failing or server.n_scored_attempts < N_ATTEMPTS_TO_EJECT:
        return []
    if server.ejected_until_s > now_s or not _can_eject(world, now_s, server):
        return []
    pause_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**server.n_ejections)
    server.n_ejections += 1
    server.ejected_until_s = now_s + pause_s
    server.failure_rate = EJECT_ABOVE_FAILURE_RATE
    world.count("ejections", server.pool)
    world.deadlines.arm(server.ejected_until_s, Timer.SERVER, server.pool)
    text = f"backend server {server.server_id} ejected for {pause_s:g} s"
    return [LogChange(LogLevel.WARNING, text)]


def _can_eject(world: World, now_s: float, server: ServerRow) -> bool:
    """Return whether at most half of the region's servers would then be ejected.

    Failing servers are better than none.
    """
    peers = world.servers.in_region(server.pool, server.region)
    n_ejected = sum(row.ejected_until_s > now_s for row in peers)
    return (n_ejected + 1) * 2 <= len(peers)


def _retry_or_fail(
    world: World, now_s: float, row: RequestRow, verdict: NotRun | MayHaveRun
) -> Effects:
    """Queue a failed request again unless quarantine, limits or budget forbid it."""
    if row.is_body_consumed:
        return _leave_to_caller(world, now_s, row, verdict)
    row.tried.add(row.server_id)
    queue = world.queues.queue_of(row.route.pool)
    if is_quarantined(world, now_s, row.fingerprint):
        if isinstance(verdict, NotRun):
            return fail_request(world, now_s, row, NotRun(Reason.QUARANTINED))
        return fail_request(world, now_s, row, verdict)
    n_failed = row.n_attempts - row.n_shed
    cannot_retry = n_failed >= row.route.n_max_attempts or now_s >= row.deadline_s
    cannot_retry |= is_too_old(world, row.route, row.arrived_s)
    if cannot_retry or not take_retry(world, queue):
        world.count("retries_refused", row.route.pool)
        return fail_request(world, now_s, row, verdict)
    world.count("retries", row.route.pool)
    row.last_verdict = verdict
    rejoin_queue(world, now_s, row)
    return []
