"""Policies for sharing limits between instances and for choosing backend servers."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from .document_rules import OWN_RULES, DocumentRules

# An instance that leaves stops serving this long before its grace period ends.
GRACE_PERIOD_MARGIN_S = 1.6
# Its last response must be ready this long before the end: a late tick and the way to
# the caller must not meet the SIGKILL.
FINISH_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class PooledShares:
    """Seats delegate the shares that they own to the instance that has the demand."""


@dataclass(frozen=True, slots=True)
class StaticShares:
    """Each seat spends only the share that it owns."""


@dataclass(frozen=True, slots=True)
class Uncoordinated:
    """Each instance admits the whole rate, as if it were the only one."""


@dataclass(frozen=True, slots=True)
class DemandShares:
    """Each instance refills a fraction of the limit, its fraction of the demand."""


LimitPolicy = PooledShares | StaticShares | Uncoordinated | DemandShares


@dataclass(frozen=True, slots=True)
class OwnedSlots:
    """Each server's slots belong to one instance at a time, which counts their use."""


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """A random available server, regardless of load."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less loaded of two random servers, as far as this instance knows."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The server with the fewest requests in flight from this instance."""


@dataclass(frozen=True, slots=True)
class ObjectPlacement:
    """The server expected to respond first, most likely one warm for the object."""


ChoicePolicy = OwnedSlots | RandomChoice | TwoChoices | LeastInFlight | ObjectPlacement


@dataclass(frozen=True, slots=True)
class ByArrival:
    """The most urgent priority first, then the request that arrived first."""


@dataclass(frozen=True, slots=True)
class FirstCome:
    """The request that arrived first, whatever its priority."""


@dataclass(frozen=True, slots=True)
class EarliestDeadline:
    """The request with the earliest deadline."""


@dataclass(frozen=True, slots=True)
class ShortestWork:
    """The request of the route with the shortest service time."""


@dataclass(frozen=True, slots=True)
class ByCost:
    """The request with the most value for its slot time; others yield or are refused.

    Attributes:
        needs_speed: Whether it is in force only for pools whose servers report the
            speed of their machines.
    """

    needs_speed: bool = False


QueueOrder = ByArrival | FirstCome | EarliestDeadline | ShortestWork | ByCost


@dataclass(frozen=True, slots=True)
class RouteAge:
    """Each route says how old the configuration may be for its requests."""


@dataclass(frozen=True, slots=True)
class InstanceAge:
    """One bound of the instance holds for all requests that need a key.

    It is no part of a revision: the next one may never come, and other instances, which
    get the revision from this one, have bounds of their own.

    Attributes:
        max_age_s: Largest age of the configuration when such a request arrives.
    """

    max_age_s: float


ConfigAge = RouteAge | InstanceAge


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies of one instance.

    Attributes:
        queue_order: The order of waiting requests, and which yield or are refused.
        has_tickets: Whether the callers in a measurement use tickets.
        heartbeat_interval_s: Interval between heartbeats to peers.
        dead_after_s: Silence after which a peer counts as dead.
        retries_per_request: Retries that each request adds to the retry budget of its
            pool.
        n_max_retries: The largest retry budget of a pool, over all instances together
            if ``is_retry_budget_shared``.
        is_retry_budget_shared: Whether the instances divide that budget equally.
        do_sheds_use_retry_budget: Whether sending a request again after a server shed
            it uses up a retry of the budget.
        burst_slack: Requests of an account that all instances together may admit beyond
            its rate and burst, because they keep no common count.
        limit_overage: Fraction by which the requests of an account in a window may
            exceed its limit.
        limit_window_s: Length of that window.
        demand_half_life_s: Half-life of an arrival in the smoothed demand of an
            account.
        cold_overage: Factor applied to the configured rate of requests to a cold
            server.
        cold_slack: Requests per second to a cold server that are allowed in addition.
        max_region_step: Fraction of the requests that may change the region in which
            they run from one window to the next, or 1 for no bound.
        servers_pause_s: Pause between two readings of the servers.
        max_listing_gap_s: Longest time between two lists of servers while the store can
            be reached.
        max_promises_s: By prefix of the store, the longest time until the next reading
            for which an instance relies on a reader that promises it; others have no
            bound.
        serve_leaving_s: How long an instance that stops gracefully goes on serving.
        finish_leaving_s: How long after the stop request its requests may run. The
            process is killed soon after.
        documents: The rules for the configuration's document.
        config_age: How old the configuration may be by which a request is served.
        regions: Region of each data centre, or None where the document says it.
    """

    limits: LimitPolicy = PooledShares()
    choice: ChoicePolicy = OwnedSlots()
    queue_order: QueueOrder = ByArrival()
    has_tickets: bool = False
    heartbeat_interval_s: float = 0.25
    dead_after_s: float = 0.7
    retries_per_request: float = 0.1
    n_max_retries: float = 20.0
    is_retry_budget_shared: bool = False
    do_sheds_use_retry_budget: bool = False
    burst_slack: float = 0.0
    limit_overage: float = 0.0
    limit_window_s: float = 0.0
    demand_half_life_s: float = 2.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    max_region_step: float = 1.0
    servers_pause_s: float = 0.0
    max_listing_gap_s: float = float("inf")
    max_promises_s: Mapping[str, float] = field(default_factory=dict)
    # The lifetime of a look-up answer, plus one second until peers know of the stop.
    serve_leaving_s: float = 4.0
    finish_leaving_s: float = float("inf")
    documents: DocumentRules = OWN_RULES
    config_age: ConfigAge = RouteAge()
    regions: Mapping[str, str] | None = None


def with_grace_period(policies: Policies, grace_s: float) -> Policies:
    """Return policies under which a graceful stop ends within a grace period.

    Args:
        policies: The policies; an instance that stops serves no longer than they say.
        grace_s: How long after the request to stop the process is killed.
    """
    return replace(
        policies,
        serve_leaving_s=min(
            policies.serve_leaving_s, max(0.0, grace_s - GRACE_PERIOD_MARGIN_S)
        ),
        finish_leaving_s=max(0.0, grace_s - FINISH_MARGIN_S),
    )
