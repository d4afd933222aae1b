"""Settles what a request's route and account say of it: pool, rank and regions."""

from dataclasses import replace

from ..configuration import Route
from ..world import World


def choose_part(world: World, route: Route) -> Route:
    """Choose the pool of a request on a route that is split.

    The pool that is furthest behind its weight is chosen, so that the parts keep
    their weights at each instance and so over all of them.
    """
    if not route.parts:
        return route
    chosen = world.n_parts_chosen
    n_all = 1 + sum(chosen[route.name, pool] for pool, _ in route.parts)
    total = sum(weight for _, weight in route.parts)
    behind = {
        pool: n_all * weight / total - chosen[route.name, pool]
        for pool, weight in route.parts
        if weight > 0
    }
    pool = max(behind, key=lambda name: behind[name])
    chosen[route.name, pool] += 1
    return replace(route, pool=pool)


def rank_and_regions(
    world: World, route: Route, account_name: str
) -> tuple[int, frozenset[str] | None]:
    """Return a request's priority, and the regions that may serve it or None."""
    account = world.configuration.client_accounts.get(account_name)
    priority = route.priority
    bound = [frozenset(route.regions)] if route.regions else []
    if account is not None:
        if account.priority >= 0:
            priority = account.priority
        if account.regions:
            bound.append(frozenset(account.regions))
    if not bound:
        return priority, None
    return priority, frozenset.intersection(*bound)
