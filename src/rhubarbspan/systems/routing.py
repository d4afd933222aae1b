"""Settles what a request's route and account say of it: pool, rank and regions."""

from dataclasses import replace

from ..configuration import Route
from ..tables.splits import SplitRow
from ..world import World


def choose_split_pool(world: World, route: Route) -> Route:
    """Choose the pool of a request on a route that is split.

    The pool that is furthest behind its weight is chosen, so that the parts keep
    their weights at each instance and so over all of them.
    """
    if not route.parts:
        return route
    row = world.splits.get(route.name)
    if row is None or row.parts != route.parts:
        # New weights hold for the requests from now on, not for those before.
        row = SplitRow(route.parts)
        world.splits[route.name] = row
    n_requests = 1 + row.n_chosen.total()
    total = sum(weight for _, weight in route.parts)
    deficits = {
        pool: n_requests * weight / total - row.n_chosen[pool]
        for pool, weight in route.parts
        if weight > 0
    }
    pool = max(deficits, key=lambda name: deficits[name])
    row.n_chosen[pool] += 1
    return replace(route, pool=pool)


def remove_deleted_routes(world: World) -> None:
    """Forget what was counted and measured for routes and pools that are gone."""
    configuration = world.configuration
    for name in set(world.splits) - set(configuration.routes):
        del world.splits[name]
    known = set(configuration.routes) | set(configuration.pools)
    for name in set(world.objects.service_times) - known:
        del world.objects.service_times[name]


def update_rules(world: World) -> None:
    """Work out what the configuration in force means for placing requests."""
    configuration = world.configuration
    world.rules.lowest_priorities.clear()
    for route in configuration.routes.values():
        for pool in [route.pool, *(name for name, _ in route.parts)]:
            lowest = world.rules.lowest_priorities.get(pool, route.priority)
            world.rules.lowest_priorities[pool] = max(lowest, route.priority)


def priority_and_regions(
    world: World, route: Route, account_name: str
) -> tuple[int, frozenset[str] | None]:
    """Return a request's priority, and the regions that may serve it or None."""
    account = world.configuration.client_accounts.get(account_name)
    priority = route.priority
    region_sets = [frozenset(route.regions)] if route.regions else []
    if account is not None:
        if account.priority >= 0:
            priority = account.priority
        if account.regions:
            region_sets.append(frozenset(account.regions))
    if not region_sets:
        return priority, None
    return priority, frozenset.intersection(*region_sets)
