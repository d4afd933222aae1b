"""Derives a request's pool, priority and regions from its route and account."""

from dataclasses import replace

from ..configuration import Route
from ..tables.splits import SplitRow
from ..world import World


def choose_split_pool(world: World, route: Route) -> Route:
    """Return a split route with the pool that its next request goes to.

    The pool whose number of requests is furthest below its weight is chosen, so that
    the parts keep their weights at each instance and thus over all instances. A route
    that is not split is returned unchanged.
    """
    if not route.parts:
        return route
    row = world.splits.get(route.name)
    if row is None or row.parts != route.parts:
        # Counts start again with new weights, which don't apply to earlier requests.
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
    """Remove the counts and service times of routes and pools that no longer exist."""
    configuration = world.configuration
    for name in set(world.splits) - set(configuration.routes):
        del world.splits[name]
    known = set(configuration.routes) | set(configuration.pools)
    for name in set(world.objects.service_times) - known:
        del world.objects.service_times[name]


def update_rules(world: World) -> None:
    """Recompute the priorities of each pool from the configuration in force."""
    configuration = world.configuration
    world.rules.lowest_priorities.clear()
    world.rules.routes_of_pool.clear()
    account_priorities = {
        account.priority
        for account in configuration.client_accounts.values()
        if account.priority >= 0
    }
    priorities: dict[str, set[int]] = {}
    for route in configuration.routes.values():
        for pool in [route.pool, *(name for name, _ in route.parts)]:
            lowest = world.rules.lowest_priorities.get(pool, route.priority)
            world.rules.lowest_priorities[pool] = max(lowest, route.priority)
            world.rules.routes_of_pool.setdefault(pool, []).append(route.name)
            priorities.setdefault(pool, set(account_priorities)).add(route.priority)
    world.rules.mixed_priority_pools = {
        pool for pool, found in priorities.items() if len(found) > 1
    }


def priority_and_regions(
    world: World, route: Route, account_name: str
) -> tuple[int, frozenset[str] | None]:
    """Return a request's priority, and the regions that may serve it.

    The regions are None if neither route nor account restricts them.
    """
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
