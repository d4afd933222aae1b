"""Stops the instance gracefully, without interrupting requests."""

from ..effects import Effects, Exit, LogChange, LogLevel
from ..inputs import Inbox, StopRequested, Timer
from ..tables.requests import WAITING_STATES, RequestState
from ..verdict import NotRun, Reason
from ..world import Departure, World
from .completion import describe_outcome, fail_request
from .steering import usable_seats

# Other instances can serve a refused request at once; the time allows for the caller's
# new connection.
LEAVING_RETRY_S = 0.05
# As long as no other instance is named to callers, one of them has to start first.
ALONE_RETRY_S = 1.0
# How late a tick may be, beyond the interval between heartbeats, without a pause.
TICK_LATENESS_S = 0.1


def may_finish(world: World, now_s: float, deadline_s: float) -> bool:
    """Return whether a request with a deadline is certain to end before the process.

    An instance that isn't stopping finishes any request. One that is stopping takes
    further requests until it has waited for the look-up answers that name it to expire.
    """
    departure = world.departure
    if departure is None:
        return True
    return now_s < departure.serve_until_s and deadline_s <= departure.finish_until_s


def leaving_retry_s(world: World) -> float:
    """Return when the caller of a request that was refused may send it again."""
    if any(usable_seats(world).values()):
        return LEAVING_RETRY_S
    return ALONE_RETRY_S * (0.5 + world.rng.random())


def leave_fleet(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Start to leave on a stop request, and refuse what could not be finished.

    Callers may use a look-up answer until its lifetime ends, so the instance goes on
    serving for that long after peers know that it is leaving.
    """
    effects: Effects = []
    _note_pause(world, now_s)
    requests = inbox.of(StopRequested)
    if requests and world.departure is None:
        world.departure = _start_departure(world, now_s, requests)
        text = f"leaving with {len(world.requests)} requests in progress"
        effects.append(LogChange(LogLevel.INFO, text))
    departure = world.departure
    if departure is None:
        return effects
    _update_ends(world, departure)
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


def _start_departure(
    world: World, now_s: float, requests: list[StopRequested]
) -> Departure:
    world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
    world.deadlines.arm(now_s, Timer.STEERING, "extra")
    known_s = [row.signalled_s for row in requests if row.signalled_s is not None]
    return Departure(_signalled_s(world, min([now_s, *known_s])))


def _note_pause(world: World, now_s: float) -> None:
    """Note when the process was paused last.

    Ticks follow each other within a heartbeat's interval, so a longer gap shows it.
    """
    max_gap_s = world.policies.heartbeat_interval_s + TICK_LATENESS_S
    if now_s - world.ticked_s > max_gap_s:
        world.paused_s = max(world.started_s, world.ticked_s)
        world.resumed_s = now_s


def _signalled_s(world: World, handled_s: float) -> float:
    """Return a time at or before that of the stop request's signal.

    A process that was paused handles the signal when it resumes, perhaps after other
    inputs.

    Args:
        world: The state.
        handled_s: When the process handled the signal.
    """
    if handled_s - world.resumed_s < TICK_LATENESS_S:
        return min(handled_s, world.paused_s)
    return handled_s


def _update_ends(world: World, departure: Departure) -> None:
    """Set the ends of the departure; changed settings may shorten it only."""
    policies = world.policies
    serve_until_s = departure.started_s + policies.serve_leaving_s
    if serve_until_s < departure.serve_until_s:
        departure.serve_until_s = serve_until_s
        world.deadlines.arm(serve_until_s, Timer.DEPARTURE, "serve")
    finish_until_s = departure.started_s + policies.finish_leaving_s
    if finish_until_s < departure.finish_until_s:
        departure.finish_until_s = finish_until_s
        world.deadlines.arm(finish_until_s, Timer.DEPARTURE, "finish")


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
            retry_s = leaving_retry_s(world)
            effects += fail_request(world, now_s, row, verdict, retry_s)
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
