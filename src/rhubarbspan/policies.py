"""Policies that vary: how limits are shared and how backend servers are chosen."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PooledShares:
    """Home shares are delegated to the instance where the demand is."""


@dataclass(frozen=True, slots=True)
class StaticShares:
    """Each seat spends its own home share only."""


@dataclass(frozen=True, slots=True)
class Uncoordinated:
    """Each instance admits the whole rate, as if it were alone."""


@dataclass(frozen=True, slots=True)
class DemandShares:
    """Each instance mints a part of the limit by its part of the demand."""


LimitPolicy = PooledShares | StaticShares | Uncoordinated | DemandShares


@dataclass(frozen=True, slots=True)
class OwnedSlots:
    """Each server's slots belong to one instance at a time, which counts them."""


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Any available server, whatever its load."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The less loaded of two random servers, by this instance's own view."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The server with the fewest requests of this instance."""


@dataclass(frozen=True, slots=True)
class ObjectPlacement:
    """The server that answers soonest, most likely one that knows the object."""


ChoicePolicy = OwnedSlots | RandomChoice | TwoChoices | LeastInFlight | ObjectPlacement


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies of one instance.

    Attributes:
        has_tickets: Whether the callers that are measured use tickets.
        heartbeat_interval_s: How often peers hear of the instance.
        dead_after_s: After which silence a peer counts as dead.
        retries_per_request: Retries earned by each request.
        n_max_retries: The most retries that may be saved up for a pool.
        do_sheds_use_retry_budget: Whether a request that a server shed costs a retry.
        burst_slack: Requests of an account that may run beyond its rate and burst,
            over all instances, because instances do not count together.
        limit_overage: Part of what an account may run in a window that may run beyond.
        limit_window_s: The window in which that is counted.
        demand_half_life_s: How long an arrival counts half in the demand of an account.
        cold_overage: Factor on the rate that a cold server bears.
        cold_slack: Requests to a cold server in a second allowed besides.
        max_region_step: Part of the requests that may change the region in which
            they run from one window to the next, or 1 for no bound.
        serve_leaving_s: How long an instance that leaves goes on serving.
    """

    limits: LimitPolicy = PooledShares()
    choice: ChoicePolicy = OwnedSlots()
    has_tickets: bool = False
    heartbeat_interval_s: float = 0.25
    dead_after_s: float = 0.7
    retries_per_request: float = 0.1
    n_max_retries: float = 20.0
    do_sheds_use_retry_budget: bool = False
    burst_slack: float = 0.0
    limit_overage: float = 0.0
    limit_window_s: float = 0.0
    demand_half_life_s: float = 2.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    max_region_step: float = 1.0
    # The lifetime of a look-up answer, and a second for peers to hear of it.
    serve_leaving_s: float = 4.0
