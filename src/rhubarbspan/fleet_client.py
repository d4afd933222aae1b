"""Fetches status and history from the instances, for the operators' commands."""

import asyncio
from dataclasses import dataclass, field

import aiohttp
import logbook
import msgspec

from .bodies import read_body
from .client_session import open_session
from .edge.store import HttpStore
from .report.burn import HistorySummary
from .report.status import InstanceStatus
from .verdict import Failure
from .wire.consul import to_peer_listing

LOG = logbook.Logger("rhubarbspan.fleet_client")
REQUEST_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.2


@dataclass(slots=True)
class Target:
    """An instance to send requests to.

    Attributes:
        seat: The instance's seat, or its address if an operator gave only that.
        data_centre: Name of its data centre, empty if unknown.
        address: IP address and port for callers.
    """

    seat: str
    data_centre: str
    address: str


@dataclass(slots=True)
class FleetStatus:
    """The status of the instances that responded.

    Attributes:
        not_asked: Instances without a valid response, with their data centres.
    """

    instances: list[InstanceStatus] = field(default_factory=list)
    not_asked: list[str] = field(default_factory=list)


@dataclass(slots=True)
class WaitResult:
    """The instances on which a revision is in force, and the others.

    Attributes:
        in_force: Seats of instances that reported the revision or a later one.
        behind: Seats of instances that reported an older revision.
        not_asked: Instances without a valid response, with their data centres.
    """

    in_force: list[str] = field(default_factory=list)
    behind: list[str] = field(default_factory=list)
    not_asked: list[str] = field(default_factory=list)


async def find_instances(
    store: HttpStore, service: str, entries: list[str]
) -> list[Target] | Failure:
    """List the instances given by address and those registered with the platform.

    Args:
        store: The platform's store.
        service: Name of the instances' service in the platform's list.
        entries: Addresses that an operator gave.

    Returns:
        The instances. A failure to read the platform's list is returned only if no
        address was given.
    """
    targets = [Target(entry, "", entry) for entry in entries]
    services = await store.list_processes(service)
    if isinstance(services, Failure):
        return targets or services
    for position, process in enumerate(services):
        peer = process if isinstance(process, Failure) else to_peer_listing(process)
        if isinstance(peer, Failure):
            LOG.warning("entry {}[{}]: {}", service, position, peer.reason)
        elif peer.address not in entries:
            targets.append(Target(peer.seat, peer.data_centre, peer.address))
    return targets


async def fetch_status(targets: list[Target]) -> FleetStatus:
    """Fetch the status of all instances at the same time."""
    status = FleetStatus()
    bodies = await asyncio.gather(*(_fetch(t, "/-/status") for t in targets))
    for target, body in zip(targets, bodies, strict=True):
        decoded = _decode(body, InstanceStatus)
        if isinstance(decoded, InstanceStatus):
            status.instances.append(decoded)
        else:
            status.not_asked.append(_describe(target))
    status.instances.sort(key=lambda row: row.seat)
    return status


async def fetch_history(
    targets: list[Target],
) -> tuple[list[HistorySummary], list[str]]:
    """Fetch the history of all instances; also list those without a valid response."""
    summaries: list[HistorySummary] = []
    not_asked: list[str] = []
    bodies = await asyncio.gather(*(_fetch(t, "/-/history") for t in targets))
    for target, body in zip(targets, bodies, strict=True):
        decoded = _decode(body, HistorySummary)
        if isinstance(decoded, HistorySummary):
            summaries.append(decoded)
        else:
            not_asked.append(_describe(target))
    return summaries, not_asked


async def wait_until_in_force(
    targets: list[Target], revision: int, timeout_s: float
) -> WaitResult:
    """Wait until a revision is in force on all instances, or for ``timeout_s``."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        status = await fetch_status(targets)
        result = WaitResult(not_asked=status.not_asked)
        for row in status.instances:
            is_in_force = row.revision >= revision
            (result.in_force if is_in_force else result.behind).append(row.seat)
        is_done = not result.behind and not result.not_asked
        if is_done or loop.time() >= deadline_s:
            return result
        await asyncio.sleep(POLL_INTERVAL_S)


def _describe(target: Target) -> str:
    if target.data_centre:
        return f"{target.seat} in {target.data_centre}"
    return target.seat


def _decode(body: bytes | None, kind: type) -> object:
    if body is None:
        return None
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError:
        return None


async def _fetch(target: Target, path: str) -> bytes | None:
    timeout = aiohttp.ClientTimeout(REQUEST_TIMEOUT_S)
    try:
        async with (
            open_session(timeout=timeout) as session,
            session.get(f"http://{target.address}{path}") as response,
        ):
            body = await read_body(response)
            return None if isinstance(body, Failure) else body
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
