"""Stops the instance gracefully, without interrupting requests."""

import math

from ..effects import Effects, Exit, LogChange, LogLevel
from ..inputs import Inbox, StopRequested, Timer
from ..tables.requests import RequestState
from ..world import Departure, World
from .completion import describe_outcome


def leave_fleet(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Start to leave on a stop request, and exit once no request remains.

    Callers may use a look-up answer until its lifetime ends, so the instance goes on
    serving for that long after peers know that it is leaving.
    """
    effects: Effects = []
    if inbox.of(StopRequested) and world.departure is None:
        world.departure = _start_departure(world, now_s)
        text = f"leaving with {len(world.requests)} requests in progress"
        effects.append(LogChange(LogLevel.INFO, text))
    departure = world.departure
    if departure is None or now_s < departure.serve_until_s:
        return effects
    if len(world.requests) == 0 and not departure.is_over:
        departure.is_over = True
        effects.append(LogChange(LogLevel.INFO, "left"))
        effects.append(Exit())
    if now_s >= departure.finish_until_s and not departure.is_overdue:
        departure.is_overdue = True
        effects += _describe_unfinished(world, now_s)
    return effects


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
