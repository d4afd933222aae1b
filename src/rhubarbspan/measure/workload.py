"""Arrivals of requests for the two deployments, from fixed seeds."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..checking import check_document
from ..configuration import ClientAccount, Configuration, Route, RouteKind
from ..document import Document
from ..inputs import RequestArrived
from ..standins.virtual_fleet import RequestOutcome, VirtualFleet
from ..systems.ticketing import issue_tickets

HOME_FRACTION = 0.8
ORDER_FRACTION = 0.08
UPLOAD_FRACTION = 0.02


@dataclass(frozen=True, slots=True)
class Place:
    """The network and the servers of a deployment.

    Attributes:
        inside_s: One-way delay within a data centre.
        near_s: One-way delay between data centres of a region.
        far_s: One-way delay between regions.
        n_servers: Backend servers by pool.
        service_s: Mean service time by pool.
    """

    name: str
    inside_s: float
    near_s: float
    far_s: float
    n_servers: dict[str, int]
    service_s: dict[str, float]


PLACES = {
    "parrilla": Place(
        "parrilla",
        0.0003,
        0.0015,
        0.020,
        {"catalogo": 30, "moldes": 10},
        {"catalogo": 0.12, "moldes": 0.5},
    ),
    "tamarind": Place(
        "tamarind",
        0.0003,
        0.0005,
        0.035,
        {"label-desk": 20, "menu-intake": 10},
        {"label-desk": 0.10, "menu-intake": 0.5},
    ),
}


def delays(place: Place, document: Document) -> Callable[[str, str], float]:
    """Return a function that gives the delay between two data centres."""
    configuration, _ = check_document(document)

    def delay_s(here: str, there: str) -> float:
        if here == there:
            return place.inside_s
        is_near = configuration.region_of(here) == configuration.region_of(there)
        return place.near_s if is_near else place.far_s

    return delay_s


@dataclass(slots=True)
class Workload:
    """Poisson arrivals of all client accounts.

    Attributes:
        load: Demand of each account as a fraction of its rate.
        factors: Further factors of the demand, by account.
        only_route: If set, all requests are for this route.
        uses_tickets: Whether callers send orders under tickets of their instance.
    """

    place: Place
    configuration: Configuration
    rng: random.Random
    load: float
    factors: dict[str, float] = field(default_factory=dict)
    only_route: str = ""
    uses_tickets: bool = False

    def start(self, fleet: VirtualFleet, duration_s: float) -> None:
        """Schedule the arrivals of a duration."""
        seats = self.configuration.seats()
        accounts = self.configuration.client_accounts.values()
        for number, account in enumerate(accounts):
            home = seats[number % len(seats)]
            rate = account.rate_per_s * self.load * self.factors.get(account.name, 1.0)
            when_s = self.rng.expovariate(rate)
            while when_s < duration_s:
                is_home = self.rng.random() < HOME_FRACTION
                seat = home if is_home else self.rng.choice(seats)
                self._schedule(fleet, when_s, seat, account)
                when_s += self.rng.expovariate(rate)

    def _schedule(
        self, fleet: VirtualFleet, when_s: float, seat: str, account: ClientAccount
    ) -> None:
        route = self._draw_route()
        mean_s = self.place.service_s[route.pool]
        service_s = self.rng.expovariate(1.0 / mean_s)
        key = f"key-{self.rng.getrandbits(64):x}"
        is_once = route.kind is RouteKind.AT_MOST_ONCE
        arrived = RequestArrived(
            0,
            route.path_prefix,
            account.key_hashes[0],
            key if is_once else "",
            key,
        )

        def send() -> None:
            live = choose_live(fleet, seat)
            if is_once and self.uses_tickets:
                tickets = issue_tickets(fleet.hosts[live].world, 1)
                arrived.idempotency_key = tickets[0] if tickets else key
            fleet.send(live, arrived, account.name, service_s)

        fleet.schedule(when_s, send)

    def _draw_route(self) -> Route:
        routes = self.configuration.routes
        if self.only_route:
            return routes[self.only_route]
        drawn = self.rng.random()
        kind = RouteKind.IDEMPOTENT
        if drawn < UPLOAD_FRACTION:
            kind = RouteKind.NON_IDEMPOTENT
        elif drawn < UPLOAD_FRACTION + ORDER_FRACTION:
            kind = RouteKind.AT_MOST_ONCE
        return next(r for r in routes.values() if r.kind is kind and not r.is_open)


def choose_live(fleet: VirtualFleet, seat: str) -> str:
    """Return an instance that a caller would use if its own does not answer."""
    host = fleet.hosts[seat]
    if not host.is_stopped and not host.is_paused:
        return seat
    live = [
        name for name, h in fleet.hosts.items() if not (h.is_stopped or h.is_paused)
    ]
    region = host.world.identity.region
    near = [name for name in live if fleet.hosts[name].world.identity.region == region]
    return (near or live)[fleet.rng.randrange(len(near or live))]


def by_account(outcomes: list[RequestOutcome]) -> dict[str, list[RequestOutcome]]:
    """Group requests by client account."""
    groups: dict[str, list[RequestOutcome]] = {}
    for outcome in outcomes:
        groups.setdefault(outcome.account, []).append(outcome)
    return groups
