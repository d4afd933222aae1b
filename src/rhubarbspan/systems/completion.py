"""Ends requests: sends the verdict to the caller and updates counters and history."""

from collections.abc import Mapping

from ..effects import Effects, FinishRequest, LogRequest
from ..tables.requests import RequestRow, RequestState
from ..verdict import Answered, MayHaveRun, NotRun, Reason, Verdict
from ..world import World
from .local_claims import release_claim
from .queueing import leave_queue

SERVER_ERROR_STATUS = 500
# Refusals for these reasons don't count as failures of the system.
UNCOUNTED_REASONS = frozenset(
    {Reason.CANCELLED, Reason.BAD_REQUEST, Reason.DUPLICATE, Reason.QUARANTINED}
)


def fail_request(
    world: World,
    now_s: float,
    row: RequestRow,
    verdict: NotRun | MayHaveRun,
    retry_after_s: float = 0.0,
    inputs: Mapping[str, float] | None = None,
) -> Effects:
    """End a request that got no complete response.

    Args:
        world: The tables.
        now_s: The present time.
        row: The request.
        verdict: Whether the request may have run, and why it failed.
        retry_after_s: Delay after which the caller should retry, or 0 for no advice.
        inputs: Figures behind the decision, added to the log line.
    """
    if isinstance(verdict, NotRun):
        release_claim(world, row)
    _remove_and_count(world, now_s, row, verdict)
    event = "refused" if isinstance(verdict, NotRun) else "failed"
    line = describe_outcome(world, now_s, row, event)
    line.is_failure = True
    line.fields["reason"] = verdict.reason.value
    line.fields.update(inputs or {})
    return [FinishRequest(row.request_id, verdict, retry_after_s), line]


def complete_request(
    world: World, now_s: float, row: RequestRow, status: int
) -> Effects:
    """End a request whose complete response was sent to the caller."""
    verdict = Answered(status)
    _remove_and_count(world, now_s, row, verdict)
    line = describe_outcome(world, now_s, row, "answered")
    line.fields["status"] = status
    line.is_failure = status >= SERVER_ERROR_STATUS
    return [FinishRequest(row.request_id, verdict), line]


def describe_outcome(
    world: World, now_s: float, row: RequestRow, event: str
) -> LogRequest:
    """Return the log line of an ended request, with its times, server and warmth."""
    config_age_s = now_s - world.configuration_state.confirmed_s
    admitted_s = _admitted_s(now_s, row)
    fields: dict[str, str | float] = {
        "route": row.route.name,
        "account": row.account,
        "pool": row.route.pool,
        "server": row.server_id,
        "n_attempts": row.n_attempts,
        "is_warm": row.was_warm,
        "took_s": round(now_s - row.arrived_s, 4),
        "queued_s": round((row.sent_s or now_s) - row.arrived_s, 4),
        "token_wait_s": round(admitted_s - row.arrived_s, 4),
        "slot_wait_s": round(max(0.0, (row.sent_s or now_s) - admitted_s), 4),
        "revision": world.configuration.revision,
        "config_age_s": round(min(config_age_s, 1e6), 3),
    }
    return LogRequest(event, row.arrived.caller_request_id, fields)


def _admitted_s(now_s: float, row: RequestRow) -> float:
    """Return when a request had its token, or now if it has none yet."""
    if not row.account:
        return row.arrived_s
    return now_s if row.state is RequestState.ADMITTING else row.admitted_s


def _remove_and_count(
    world: World, now_s: float, row: RequestRow, verdict: Verdict
) -> None:
    if row.state is RequestState.QUEUED:
        leave_queue(world, row)
    world.requests.remove(row)
    interval = world.history.interval_at(row.route.name, row.account, now_s)
    world.latencies.record(
        row.route.name, _outcome_label(verdict), now_s - row.arrived_s
    )
    match verdict:
        case Answered(status=status) if status < SERVER_ERROR_STATUS:
            is_slow = now_s - row.arrived_s > row.route.latency_objective_s
            interval.n_good += 1
            interval.n_slow += is_slow
            world.count("answered", row.route.name)
        case Answered():
            interval.n_failed += 1
            world.count("answered_with_error", row.route.name)
        case NotRun(reason=Reason.OVER_RATE):
            interval.n_over_rate += 1
            world.count("not_run", Reason.OVER_RATE.value)
        case NotRun(reason=reason):
            interval.n_failed += reason not in UNCOUNTED_REASONS
            world.count("not_run", reason.value)
        case MayHaveRun(reason=reason):
            interval.n_failed += reason not in UNCOUNTED_REASONS
            world.count("may_have_run", reason.value)


def _outcome_label(verdict: Verdict) -> str:
    match verdict:
        case Answered(status=status):
            return "answered" if status < SERVER_ERROR_STATUS else "server-error"
        case NotRun(reason=reason) | MayHaveRun(reason=reason):
            return reason.value
