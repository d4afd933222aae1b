"""Generates arrivals of requests for the two deployments from fixed seeds."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..checking import check_document
from ..configuration import ClientAccount, Configuration, Route, RouteKind
from ..document import Document
from ..inputs import RequestArrived
from ..standins.virtual_fleet import RequestOutcome, VirtualFleet
from ..systems.ticketing import issue_tickets

USUAL_SEAT_FRACTION = 0.8
ORDER_FRACTION = 0.08
UPLOAD_FRACTION = 0.02


@dataclass(frozen=True, slots=True)
class DeploymentProfile:
    """Network delays, servers and service times of a deployment.

    Attributes:
        same_data_centre_delay_s: One-way delay within a data centre.
        same_region_delay_s: One-way delay between data centres of a region.
        other_region_delay_s: One-way delay between regions.
        n_servers: Number of backend servers in the whole deployment, by pool.
        service_s: Mean service time, by pool.
    """

    name: str
    same_data_centre_delay_s: float
    same_region_delay_s: float
    other_region_delay_s: float
    n_servers: dict[str, int]
    service_s: dict[str, float]


PROFILES = {
    "parrilla": DeploymentProfile(
        "parrilla",
        0.0003,
        0.0015,
        0.020,
        {"catalogo": 30, "moldes": 10},
        {"catalogo": 0.12, "moldes": 0.5},
    ),
    "tamarind": DeploymentProfile(
        "tamarind",
        0.0003,
        0.0005,
        0.035,
        {"label-desk": 20, "menu-intake": 10},
        {"label-desk": 0.10, "menu-intake": 0.5},
    ),
}


def make_delay_function(
    profile: DeploymentProfile, document: Document
) -> Callable[[str, str], float]:
    """Return a function that returns the one-way delay between two data centres."""
    configuration, _ = check_document(document)

    def delay_s(sender: str, receiver: str) -> float:
        if sender == receiver:
            return profile.same_data_centre_delay_s
        is_same_region = configuration.region_of(sender) == configuration.region_of(
            receiver
        )
        return (
            profile.same_region_delay_s
            if is_same_region
            else profile.other_region_delay_s
        )

    return delay_s


@dataclass(slots=True)
class Workload:
    """Poisson arrivals of all client accounts.

    Attributes:
        load_fraction: Demand of each account as a fraction of its rate.
        demand_factors: Factors by which the demand of accounts is multiplied, 1 where
            none is given.
        only_route: If set, all requests are for this route.
        uses_tickets: Whether callers send at-most-once requests with tickets that
            their instance issued as idempotency keys.
    """

    profile: DeploymentProfile
    configuration: Configuration
    rng: random.Random
    load_fraction: float
    demand_factors: dict[str, float] = field(default_factory=dict)
    only_route: str = ""
    uses_tickets: bool = False

    def start(self, fleet: VirtualFleet, duration_s: float) -> None:
        """Schedule all arrivals up to a duration from now."""
        seats = self.configuration.seats()
        accounts = self.configuration.client_accounts.values()
        for number, account in enumerate(accounts):
            usual_seat = seats[number % len(seats)]
            demand_per_s = (
                account.rate_per_s
                * self.load_fraction
                * self.demand_factors.get(account.name, 1.0)
            )
            when_s = self.rng.expovariate(demand_per_s)
            while when_s < duration_s:
                uses_usual_seat = self.rng.random() < USUAL_SEAT_FRACTION
                seat = usual_seat if uses_usual_seat else self.rng.choice(seats)
                self._schedule(fleet, when_s, seat, account)
                when_s += self.rng.expovariate(demand_per_s)

    def _schedule(
        self, fleet: VirtualFleet, when_s: float, seat: str, account: ClientAccount
    ) -> None:
        route = self._draw_route()
        mean_s = self.profile.service_s[route.pool]
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
            live_seat = choose_live_seat(fleet, seat)
            if is_once and self.uses_tickets:
                tickets = issue_tickets(fleet.hosts[live_seat].world, 1)
                arrived.idempotency_key = tickets[0] if tickets else key
            fleet.send(live_seat, arrived, account.name, service_s)

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


def choose_live_seat(fleet: VirtualFleet, seat: str) -> str:
    """Return the seat to which a caller sends its request.

    This is its own if that instance responds, else a random live one, in the same
    region if there is any.
    """
    host = fleet.hosts[seat]
    if not host.is_stopped and not host.is_paused:
        return seat
    live_seats = [
        name for name, h in fleet.hosts.items() if not (h.is_stopped or h.is_paused)
    ]
    region = host.world.identity.region
    in_region = [
        name for name in live_seats if fleet.hosts[name].world.identity.region == region
    ]
    return (in_region or live_seats)[fleet.rng.randrange(len(in_region or live_seats))]


def group_by_account(outcomes: list[RequestOutcome]) -> dict[str, list[RequestOutcome]]:
    """Group outcomes of requests by client account."""
    groups: dict[str, list[RequestOutcome]] = {}
    for outcome in outcomes:
        groups.setdefault(outcome.account, []).append(outcome)
    return groups
