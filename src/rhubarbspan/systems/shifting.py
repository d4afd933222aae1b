"""Decides on planned shifts between regions and divides the capacity of links."""

from ..tables.requests import RequestRow
from ..world import World
from .bucketing import record_arrivals, refill, spend_token
from .share_ownership import SHIFT_PREFIX

NO_SHIFT = "-"
LINK_USABLE_FRACTION = 0.9
BITS_PER_BYTE = 8
BYTES_PER_MBYTE = 1_000_000


def choose_shift(world: World, now_s: float, row: RequestRow) -> str:
    """Choose the planned shift, if any, that moves a request to another region.

    It is called once for a request, since it spends a token of the shift.

    Returns:
        The name of the shift, or ``NO_SHIFT``.
    """
    for shift in world.configuration.shifts.values():
        if shift.pool != row.route.pool:
            continue
        if shift.from_region != world.identity.region:
            continue
        if world.rng.random() >= shift.fraction:
            continue
        bucket = world.buckets.get(SHIFT_PREFIX + shift.name)
        if bucket is None:
            continue
        record_arrivals(bucket, now_s, 1)
        world.changed_accounts[bucket.account] = None
        refill(bucket, now_s)
        if spend_token(bucket, now_s):
            world.count("shifted", shift.name)
            return shift.name
    return NO_SHIFT


def shift_target(world: World, row: RequestRow) -> str:
    """Return the region that a shift moves a request to, or an empty string."""
    shift = world.configuration.shifts.get(row.shift)
    return shift.to_region if shift else ""


def link_between(world: World, region: str, other_region: str) -> str:
    """Return the name of the link between two regions, or an empty string."""
    if region == other_region:
        return ""
    for link in world.configuration.links.values():
        if {region, other_region} == set(link.regions):
            return link.name
    return ""


def link_share_bytes_per_s(world: World, name: str) -> float:
    """Return how fast this instance may send over a link, in each direction.

    The link's capacity, less a reserve for other traffic, is divided over all seats
    at its ends, whether alive or not, so that their sum stays below the capacity.
    """
    link = world.configuration.links.get(name)
    if link is None:
        return 0.0
    configured = world.configuration.data_centres.values()
    n_seats = sum(
        data_centre.n_seats
        for data_centre in configured
        if data_centre.region in link.regions
    )
    bytes_per_s = link.cap_mbit_per_s * BYTES_PER_MBYTE / BITS_PER_BYTE
    return bytes_per_s * LINK_USABLE_FRACTION / max(1, n_seats)
