"""The status of one instance, for operators."""

from dataclasses import dataclass, field

from ..systems.bucketing import capacity, n_lent, refill, refill_rate_per_s
from ..systems.config_age import config_age_s
from ..systems.shifting import link_share_bytes_per_s
from ..systems.slots import n_free_slots, n_usable_slots, owned_servers
from ..world import World

# Upper limit of reported ages, also for "never".
MAX_AGE_S = 1e6


@dataclass(slots=True)
class PoolStatus:
    """A pool as one instance sees it.

    Attributes:
        n_slots: Usable slots that this instance hands out.
    """

    pool: str
    n_slots: int
    n_free: int
    n_queued: int
    n_servers: int
    n_leaving: int


@dataclass(slots=True)
class BucketStatus:
    """An account's limit as one instance sees it.

    Attributes:
        rate_per_s: Rate at which this instance refills its tokens.
        burst: Largest number of tokens that this instance may hold.
        n_lent: Tokens on loan to other instances.
        holder: Seat that should refill the account's shares.
    """

    account: str
    rate_per_s: float
    burst: float
    n_tokens: float
    n_lent: int
    holder: str
    demand_per_s: float


@dataclass(slots=True)
class PeerStatus:
    """Another instance as one instance sees it."""

    seat: str
    region: str
    is_alive: bool
    is_leaving: bool
    revision: int
    heard_ago_s: float


@dataclass(slots=True)
class LinkStatus:
    """A link and this instance's share of its capacity."""

    link: str
    cap_mbit_per_s: float
    share_bytes_per_s: float


@dataclass(slots=True)
class PlannedStatus:
    """A drain or a shift under way."""

    kind: str
    name: str
    detail: str
    n_moved: int = 0


@dataclass(slots=True)
class InstanceStatus:
    """The status of one instance, as shown by ``rhubarbspan status``.

    Attributes:
        store_era: Era of the store that it reads, 0 if the store tells none.
    """

    seat: str
    data_centre: str
    region: str
    incarnation: int
    is_leaving: bool
    revision: int
    config_age_s: float
    n_requests: int
    unconfirmed_seats: list[str]
    pools: list[PoolStatus] = field(default_factory=list)
    accounts: list[BucketStatus] = field(default_factory=list)
    peers: list[PeerStatus] = field(default_factory=list)
    links: list[LinkStatus] = field(default_factory=list)
    planned: list[PlannedStatus] = field(default_factory=list)
    quarantined: list[str] = field(default_factory=list)
    drained_servers: list[str] = field(default_factory=list)
    store_era: int = 0


def describe_status(world: World, now_s: float) -> InstanceStatus:
    """Return the status of this instance."""
    own_identity = world.identity
    return InstanceStatus(
        own_identity.seat,
        own_identity.data_centre,
        own_identity.region,
        own_identity.incarnation,
        world.departure is not None,
        world.configuration.revision,
        min(MAX_AGE_S, config_age_s(world, now_s)),
        len(world.requests),
        sorted(world.unconfirmed_seats),
        _pool_statuses(world, now_s),
        _bucket_statuses(world, now_s),
        _peer_statuses(world, now_s),
        _link_statuses(world),
        _planned_statuses(world),
        [r.fingerprint for r in world.suspects.rows() if r.quarantined_until_s > now_s],
        sorted(r.server_id for r in world.servers.rows() if r.is_leaving),
        max(0, world.store_era.number),
    )


def _pool_statuses(world: World, now_s: float) -> list[PoolStatus]:
    rows = []
    for pool in world.configuration.pools.values():
        owned = owned_servers(world, pool.name)
        rows.append(
            PoolStatus(
                pool.name,
                sum(n_usable_slots(row, pool, now_s) for row in owned),
                sum(n_free_slots(row, pool, now_s) for row in owned),
                world.queues.queue_of(pool.name).n_queued,
                len(owned),
                sum(row.is_leaving for row in owned),
            )
        )
    return rows


def _bucket_statuses(world: World, now_s: float) -> list[BucketStatus]:
    for bucket in world.buckets.rows():
        refill(bucket, now_s)
    return [
        BucketStatus(
            bucket.account,
            round(refill_rate_per_s(bucket), 3),
            capacity(bucket),
            round(bucket.n_tokens, 3),
            n_lent(bucket),
            bucket.holder,
            round(bucket.demand_per_s, 3),
        )
        for bucket in world.buckets.rows()
    ]


def _peer_statuses(world: World, now_s: float) -> list[PeerStatus]:
    return [
        PeerStatus(
            peer.seat,
            peer.region,
            peer.is_alive,
            peer.is_leaving,
            peer.revision,
            min(MAX_AGE_S, now_s - peer.last_heard_s),
        )
        for peer in world.peers.rows()
    ]


def _link_statuses(world: World) -> list[LinkStatus]:
    return [
        LinkStatus(
            link.name, link.cap_mbit_per_s, link_share_bytes_per_s(world, link.name)
        )
        for link in world.configuration.links.values()
        if world.identity.region in link.regions
    ]


def _planned_statuses(world: World) -> list[PlannedStatus]:
    drains = [
        PlannedStatus("drain", drain.name, f"{drain.kind.value} {drain.target}")
        for drain in world.configuration.drains.values()
    ]
    shifts = [
        PlannedStatus(
            "shift",
            shift.name,
            f"{shift.pool}: {shift.from_region} to {shift.to_region}",
            world.counters["shifted", shift.name],
        )
        for shift in world.configuration.shifts.values()
    ]
    return [*drains, *shifts]
