"""Ends requests whose deadline has passed."""

from ..effects import AbortAttempt, Effects
from ..inputs import Inbox, Timer
from ..tables.requests import RequestRow, RequestState
from ..verdict import MayHaveRun, NotRun, Reason
from ..world import World
from .completion import fail_request


def expire_requests(world: World, now_s: float, inbox: Inbox) -> Effects:
    """End waiting requests whose deadline has passed, and abort running ones."""
    effects: Effects = []
    for key in inbox.due(Timer.REQUEST):
        row = world.requests.get(int(key))
        if row is not None and now_s >= row.deadline_s:
            effects += _expire(world, now_s, row)
    return effects


def _expire(world: World, now_s: float, row: RequestRow) -> Effects:
    if row.state is RequestState.RUNNING:
        # The slot is freed when the edge reports the end of the attempt.
        return [AbortAttempt(row.request_id, row.n_attempts)]
    if isinstance(row.last_verdict, MayHaveRun):
        return fail_request(world, now_s, row, row.last_verdict)
    return fail_request(world, now_s, row, NotRun(Reason.DEADLINE))
