"""Stops the instance gracefully, without interrupting requests."""

import math

from ..effects import Effects, Exit, LogChange, LogLevel
from ..inputs import Inbox, StopRequested, Timer
from ..tables.requests import RequestState
from ..verdict import NotRun, Reason
from ..world import Departure, World
from .completion import describe_outcome, fail_request

# Other instances can serve a refused request at once; the time allows for the caller's
# new connection.
LEAVING_RETRY_S = 0.05
WAITING_STATES = (
    RequestState.ADMITTING,
    RequestState.ADMITTED,
    RequestState.QUEUED,
)


def may_finish(world: World, now_s: float, deadline_s: float) -> bool:
    """Return whether a request with a deadline is certain to end before the process.

    An instance that isn't stopping finishes any request. One that is stopping takes
    further requests until it has waited for the look-up answers that name it to expire.
    """
    departure = world.departure
    if departure is None:
        return True
    return now_s < departure.serve_until_s and deadline_s <= departure.finish_until_s


def leave_fleet(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Start to leave on a stop request, and refuse what could not be finished.

    Callers may use a look-up answer until its lifetime ends, so the instance goes on
    serving for that long after peers know that it is leaving.
    """
    effects: Effects = []
    if inbox.of(StopRequested) and world.departure is None:
        world.departure = _start_departure(world, now_s)
        text = f"leaving with {len(world.requests)} requests in progress"
        effects.append(LogChange(LogLevel.INFO, text))
    departure = world.departure
    if departure is None:
        return effects
    effects += _refuse_waiting(world, now_s, departure)
    if now_s >= departure.finish_until_s and not departure.is_overdue:
        departure.is_overdue = True
        effects += _describe_unfinished(world, now_s)
    return effects


def exit_when_idle(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Exit once no request remains and callers no longer use this instance."""
    departure = world.departure
    if departure is None or departure.is_over or now_s < departure.serve_until_s:
        return []
    if len(world.requests) > 0:
        return []
    departure.is_over = True
    return [LogChange(LogLevel.INFO, "left"), Exit()]


def _start_departure(world: World, now_s: float) -> Departure:
    policies = world.policies
    departure = Departure(
        now_s, now_s + policies.serve_leaving_s, now_s + policies.finish_leaving_s
    )
    world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
    world.deadlines.arm(now_s, Timer.STEERING, "extra")
    world.deadlines.arm(departure.serve_until_s, Timer.DEPARTURE, "serve")
    if math.isfinite(departure.finish_until_s):
        world.deadlines.arm(departure.finish_until_s, Timer.DEPARTURE, "finish")
    return departure


def _refuse_waiting(world: World, now_s: float, departure: Departure) -> Effects:
    """Refuse requests that wait and could outlast the grace period once they run.

    They arrived before the stop, or come back from a server that did not run them.
    """
    effects: Effects = []
    for state in WAITING_STATES:
        for row in world.requests.in_state(state):
            if row.deadline_s <= departure.finish_until_s:
                continue
            verdict = row.last_verdict or NotRun(Reason.LEAVING)
            effects += fail_request(world, now_s, row, verdict, LEAVING_RETRY_S)
    return effects


def _describe_unfinished(world: World, now_s: float) -> Effects:
    """Log the requests that the end of the grace period will cut."""
    effects: Effects = []
    for state in RequestState:
        for row in world.requests.in_state(state):
            world.count("unfinished", state.value)
            line = describe_outcome(world, now_s, row, "unfinished")
            line.fields["reason"] = f"still {state.value}"
            line.is_failure = True
            effects.append(line)
    return effects
