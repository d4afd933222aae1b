"""Refuses requests for which the configuration was confirmed too long ago.

An instance that is cut off does not learn which keys were withdrawn. So it serves a
request that needs a key only if the configuration was known to be the newest shortly
before the request arrived.
"""

from ..configuration import Route
from ..effects import Effects
from ..inputs import Inbox, PoliciesChanged
from ..policies import InstanceAge, RouteAge
from ..tables.requests import WAITING_STATES
from ..verdict import NotRun, Reason
from ..world import World
from .completion import fail_request


def config_age_s(world: World, now_s: float) -> float:
    """Return the time since the configuration was last known to be the newest."""
    return max(0.0, now_s - world.configuration_state.confirmed_s)


def max_config_age_s(world: World, route: Route) -> float:
    """Return how old the configuration may be for a route's requests, or infinity."""
    match world.policies.config_age:
        case RouteAge():
            return route.max_config_age_s or float("inf")
        case InstanceAge(max_age_s=max_age_s):
            return float("inf") if route.is_open else max_age_s


def is_too_old(world: World, route: Route, arrived_s: float) -> bool:
    """Return whether the configuration is too old for a request that arrived then.

    What was confirmed since the request arrived holds for it too.
    """
    return config_age_s(world, arrived_s) > max_config_age_s(world, route)


def refuse_unconfirmed(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Refuse requests that wait and that a lowered bound no longer lets run."""
    effects: Effects = []
    if not inbox.of(PoliciesChanged):
        return effects
    for state in WAITING_STATES:
        for row in world.requests.in_state(state):
            if is_too_old(world, row.route, row.arrived_s):
                verdict = row.last_verdict or NotRun(Reason.STALE_CONFIGURATION)
                effects += fail_request(world, now_s, row, verdict)
    return effects
