"""Stops the instance gracefully, without interrupting requests."""

from ..effects import Effects, Exit, LogChange, LogLevel
from ..inputs import Inbox, StopRequested, Timer
from ..world import Departure, World


def leave_fleet(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Start to leave on a stop request, and exit once no request remains.

    Callers may use a look-up answer until its lifetime ends, so the instance goes on
    serving for that long after peers know that it is leaving.
    """
    effects: Effects = []
    if inbox.of(StopRequested) and world.departure is None:
        serve_until_s = now_s + world.policies.serve_leaving_s
        world.departure = Departure(now_s, serve_until_s)
        world.deadlines.arm(now_s, Timer.HEARTBEAT, "extra")
        world.deadlines.arm(now_s, Timer.STEERING, "extra")
        world.deadlines.arm(serve_until_s, Timer.DEPARTURE, "")
        effects.append(LogChange(LogLevel.INFO, "leaving"))
    departure = world.departure
    if departure is None or now_s < departure.serve_until_s:
        return effects
    if len(world.requests) == 0 and not departure.is_over:
        departure.is_over = True
        effects.append(LogChange(LogLevel.INFO, "left"))
        effects.append(Exit())
    return effects
