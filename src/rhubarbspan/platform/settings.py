"""Reads the YAML settings file that the platform provides to a process."""

import math
import sys
from dataclasses import dataclass, field
from typing import TypeGuard

import yaml

from ..bodies import DEFAULT_MEMORY_BYTES
from ..record_checks import is_ip_and_port
from ..verdict import Failure

PATH_VARIABLE = "RHUBARBSPAN_SETTINGS"
DEFAULT_PATH = "/etc/rhubarbspan/local.yaml"
DEFAULT_REPORT_INTERVAL_S = 1.5
BYTES_PER_MB = 1024 * 1024
MAX_FLOAT = sys.float_info.max


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on times, ratios and request counts that the deployment guarantees.

    Attributes:
        leaving_s: How long a leaving server may still receive requests.
        grace_s: How long a process may run after a request to stop.
        revocation_s: Time after which every instance rejects a withdrawn key.
        evacuation_s: How long an evacuated data centre may still receive requests.
        lookup_lifetime_s: Maximum time that callers cache a look-up answer.
        address_reuse_s: Time after which another server may use a server's address.
        retry_ratio: Retries allowed per request, over all instances.
        retry_slack: Retries allowed in a window in addition, over all instances.
        cold_overage: Factor by which requests may exceed a cold server's rate.
        cold_slack: Requests per second that a cold server may get in addition.
        region_step: Fraction of a region's requests that may run in another region than
            in the two seconds before.
        limit_window_s: Window over which a client account's requests are counted.
        limit_overage: Fraction of an account's limit in a window by which it may be
            exceeded.
        limit_slack: Requests of an account allowed in a window in addition.
    """

    leaving_s: float = 2.5
    grace_s: float = 6.0
    revocation_s: float = 5.0
    evacuation_s: float = 5.0
    lookup_lifetime_s: float = 5.0
    address_reuse_s: float = 2.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    region_step: float = 1.0
    limit_window_s: float = 5.0
    limit_overage: float = 0.1
    limit_slack: float = 20.0


# Name in the settings file of each field of PlatformSettings that is read at the start
# of a process only.
START_FIELDS = {
    "name": "nodeName",
    "data_centre": "zone",
    "region": "region",
    "listen": "listenAddresses.front",
    "ready_listen": "listenAddresses.ready",
    "lookup_listen": "listenAddresses.directory",
    "peer_listen": "ipAddress, internalPortRange",
    "store": "platform.address",
}
# Field of Bounds for each name in the settings file.
BOUND_FIELDS = {
    "drainS": "leaving_s",
    "graceS": "grace_s",
    "revocationS": "revocation_s",
    "evacuationS": "evacuation_s",
    "ttl_max_s": "lookup_lifetime_s",
    "addressReuseS": "address_reuse_s",
    "budgetRatio": "retry_ratio",
    "budgetSlack": "retry_slack",
    "coldOverage": "cold_overage",
    "coldSlack": "cold_slack",
    "maxRegionShift": "region_step",
    "quotaWindowS": "limit_window_s",
    "quotaOverage": "limit_overage",
    "quotaSlack": "limit_slack",
}


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform gives to a process at its start.

    Attributes:
        name: Name of the machine, unique in the deployment.
        regions: Region of each data centre.
        listen: IP address and port for requests of callers.
        ready_listen: IP address and port for readiness checks.
        lookup_listen: IP address and port for look-ups, or an empty string.
        peer_listen: IP address and port for other instances.
        store: IP address and port of the platform's store.
        report_interval_s: Interval at which servers update their record in the store.
        lease_min_s: Shortest time to live of a lease that the store grants.
        memory_bytes: Memory that the process may use.
        n_descriptors: Descriptors that the process may use, or 0 if it is not told.
        held_bytes: Bytes that the process holds for others at most, or 0 for a part of
            its memory.
    """

    name: str
    data_centre: str
    region: str
    regions: dict[str, str]
    listen: str
    ready_listen: str
    lookup_listen: str
    peer_listen: str
    store: str
    report_interval_s: float = DEFAULT_REPORT_INTERVAL_S
    lease_min_s: float = 1.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    n_descriptors: int = 0
    held_bytes: int = 0
    bounds: Bounds = field(default_factory=Bounds)


@dataclass(slots=True)
class _FieldReader:
    """Reads fields by their dotted path and keeps the first problem found."""

    file: str
    tree: dict[str, object]
    problem: str = ""

    def find(self, path: str) -> object:
        value: object = self.tree
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def reject(self, path: str, value: object, accepted: str) -> None:
        shown = "missing" if value is None else repr(value)
        self.problem = self.problem or f"{path}: {shown}; accepted: {accepted}"

    def text(self, path: str) -> str:
        value = self.find(path)
        if isinstance(value, str) and value:
            return value
        self.reject(path, value, "a text")
        return ""

    def address(self, path: str, is_required: bool = True) -> str:
        value = self.find(path)
        if value is None and not is_required:
            return ""
        if isinstance(value, str) and is_ip_and_port(value):
            return value
        self.reject(path, value, "an IP number and port")
        return ""

    def seconds(self, path: str, default: float) -> float:
        value = self.find(path)
        if value is None:
            return default
        if _is_positive(value):
            return float(value)
        self.reject(path, value, "a positive number of seconds")
        return default


def read_platform_settings(text: str, file: str) -> PlatformSettings | Failure:
    """Parse and validate the settings; unknown fields are ignored.

    Returns:
        The settings, or a failure whose reason is one line with the file, the field,
        its value and the accepted values.
    """
    try:
        tree = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Failure("malformed", f"{file}: {' '.join(str(error).split())}")
    if not isinstance(tree, dict):
        return Failure("malformed", f"{file}: accepted: a table of fields")
    reader = _FieldReader(file, tree)
    settings = PlatformSettings(
        reader.text("nodeName"),
        reader.text("zone"),
        reader.text("region"),
        _read_regions(reader),
        reader.address("listenAddresses.front"),
        reader.address("listenAddresses.ready"),
        reader.address("listenAddresses.directory", is_required=False),
        _read_peer_address(reader),
        reader.address("platform.address"),
        reader.seconds("heartbeatS", DEFAULT_REPORT_INTERVAL_S),
        reader.seconds("platform.ttlMinimumS", 1.0),
        _read_memory_bytes(reader),
        _read_descriptors(reader),
        _read_held_bytes(reader),
        _read_bounds(reader),
    )
    if not reader.problem and settings.data_centre not in settings.regions:
        reader.reject("zone", settings.data_centre, "one of zones")
    if reader.problem:
        return Failure("settings", f"{file}: {reader.problem}")
    return settings


def _is_positive(value: object) -> TypeGuard[int | float]:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Compared with the largest float: an integer may be larger than any float.
    return is_number and isinstance(value, int | float) and 0 < value <= MAX_FLOAT


def _read_memory_bytes(reader: _FieldReader) -> int:
    """Return the memory limit, or the default where none is set."""
    value = reader.find("limits.memoryMb")
    return int(value * BYTES_PER_MB) if _is_positive(value) else DEFAULT_MEMORY_BYTES


def _read_descriptors(reader: _FieldReader) -> int:
    """Return the limit on descriptors, or 0 where none is set."""
    value = reader.find("limits.fileDescriptors")
    return int(value) if _is_positive(value) else 0


def _read_held_bytes(reader: _FieldReader) -> int:
    """Return the budget for what is held for others, or 0 for the default."""
    value = reader.find("limits.heldMb")
    if value is None:
        return 0
    memory_bytes = _read_memory_bytes(reader)
    if _is_positive(value) and value * BYTES_PER_MB < memory_bytes:
        return int(value * BYTES_PER_MB)
    accepted = (
        f"a positive number below {memory_bytes // BYTES_PER_MB} (limits.memoryMb)"
    )
    reader.reject("limits.heldMb", value, accepted)
    return 0


def _read_regions(reader: _FieldReader) -> dict[str, str]:
    value = reader.find("zones")
    if isinstance(value, dict) and value:
        return {str(zone): str(region) for zone, region in value.items()}
    reader.reject("zones", value, "a table of zones and their regions")
    return {}


def _read_peer_address(reader: _FieldReader) -> str:
    ports = reader.find("internalPortRange")
    is_range = isinstance(ports, list) and len(ports) == 2
    if not isinstance(ports, list) or not is_range or not isinstance(ports[0], int):
        reader.reject("internalPortRange", ports, "a first and a last port")
        return ""
    address = f"{reader.text('ipAddress')}:{ports[0]}"
    if not reader.problem and not is_ip_and_port(address):
        reader.reject("ipAddress", reader.find("ipAddress"), "an IP number")
    return address


def _read_bounds(reader: _FieldReader) -> Bounds:
    listed = reader.find("bounds")
    if listed is None:
        return Bounds()
    lines = listed.split(",") if isinstance(listed, str) else listed
    if not isinstance(lines, list):
        reader.reject("bounds", listed, "a list of name=value")
        return Bounds()
    found: dict[str, float] = {}
    for line in lines:
        name, _, value = str(line).strip().partition("=")
        target = BOUND_FIELDS.get(name)
        if target is None:
            continue
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            reader.reject(f"bounds {name}", value, "a number")
            continue
        found[target] = number
    return Bounds(**found)
