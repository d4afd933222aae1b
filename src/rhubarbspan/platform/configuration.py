"""Translates the platform's JSON configuration into a configuration document."""

import hashlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..document import Document, Section
from ..record_checks import MAX_INTEGER
from ..sections import FULL_NAME, is_header_value
from ..verdict import Failure
from .records import DECODE_ERRORS

# Rate and burst of a client account without a limit.
UNLIMITED = "1000000"
NAME_CHARACTERS = set("abcdefghijklmnopqrstuvwxyz0123456789-_.")
MAX_NAME_LENGTH = 64
ROUTE_KINDS = {
    "safe": "idempotent",
    "unsafe": "non_idempotent",
    "upload": "non_idempotent",
}


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Path(msgspec.Struct):
    prefix: str
    name: str = ""
    kind: str = "unsafe"
    # Limits how long the caller waits for its response.
    timeoutS: float = 10.0
    targetLatencyS: float = 1.0
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    attempts: int = 1
    allowAnonymous: bool = False
    sessionAffinity: bool = False
    # The only regions that may serve the request; not an order of preference.
    allowedRegions: list[str] = []


class _Host(msgspec.Struct):
    host: str
    paths: list[_Path] = []


class _Service(msgspec.Struct):
    name: str
    connectionLimit: int = 350
    coldStartS: float = 0.0
    # Requests per second that a server can run while it is cold.
    coldPerS: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: int | None = None
    # 0 means no limit.
    ratePerS: float = 0.0
    burst: float = 0.0
    allowedRegions: list[str] = []


class _Limits(msgspec.Struct):
    headerBytes: int = 16_384
    bodyBytes: int = 67_108_864
    headerTimeoutS: float = 10.0
    idleTimeoutS: float = 60.0


class _Configuration(msgspec.Struct):
    version: int
    hosts: list[_Host] = []
    services: list[_Service] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Configuration, strict=False)


@dataclass(frozen=True, slots=True)
class TranslatedConfiguration:
    """A configuration of the platform as a document, with its revision.

    Attributes:
        refused: Reason for each part that cannot be used as it is.
    """

    revision: int
    document: Document
    refused: dict[str, str] = field(default_factory=dict)


def translate_configuration(
    value: bytes, regions: dict[str, str], max_age_s: float
) -> TranslatedConfiguration | Failure:
    """Decode the operator's JSON configuration and translate it to a document.

    Args:
        value: JSON text from the store.
        regions: Region of each data centre.
        max_age_s: Maximum age of the configuration, in seconds, for requests that
            need a key.

    Returns:
        The document and its revision, or a failure with the decoder's message.
    """
    try:
        decoded = _DECODER.decode(value)
        refused = _refuse_names(decoded)
        document = _to_document(decoded, regions, max_age_s)
    except (*DECODE_ERRORS, ArithmeticError) as error:
        return Failure("malformed", f"configuration: {error}")
    if not 0 < decoded.version <= MAX_INTEGER:
        return Failure("malformed", f"version: accepted: 1 to {MAX_INTEGER}")
    return TranslatedConfiguration(decoded.version, document, refused)


def list_unused_parts(value: bytes) -> dict[str, str] | Failure:
    """List the parts that a translation leaves out or replaces, with the reasons.

    Args:
        value: JSON text of the operator's configuration.
    """
    try:
        decoded = _DECODER.decode(value)
    except DECODE_ERRORS as error:
        return Failure("malformed", f"configuration: {error}")
    unused: dict[str, str] = {}
    for host in decoded.hosts:
        if not host.paths:
            unused[f"host {host.host}"] = "it has no paths"
        for path in host.paths:
            if path.kind not in ROUTE_KINDS:
                reason = f"kind {path.kind!r} is unknown and taken for unsafe"
                unused[f"host {host.host} prefix {path.prefix}"] = reason
    # The translation keeps the last of the parts with the same name.
    for name in _repeated(service.name for service in decoded.services):
        unused[f"service {name}"] = "only the last service of this name is used"
    tenants = decoded.tenants or []
    for name in _repeated(tenant.name for tenant in tenants):
        unused[f"tenant {name}"] = "only the last tenant of this name is used"
    for tenant in tenants:
        if tenant.ratePerS > 0 and tenant.burst < 1:
            reason = f"burst {tenant.burst:g} is below 1 and replaced by 1"
            unused[f"tenant {tenant.name} burst"] = reason
    return unused


def _repeated(names: Iterable[str]) -> list[str]:
    return [name for name, n in Counter(names).items() if n > 1]


def _to_document(
    decoded: _Configuration, regions: dict[str, str], max_age_s: float
) -> Document:
    document: Document = {}
    for zone, region in regions.items():
        _add(document, "data_centre", zone, {"region": region, "seats": "0"})
    for service in decoded.services:
        _add(document, "pool", service.name, _translate_service(service))
    for tenant in decoded.tenants or []:
        _add(document, "client_account", tenant.name, _translate_tenant(tenant))
    needs_keys = decoded.tenants is not None
    for host in decoded.hosts:
        for path in host.paths:
            section = _translate_path(host.host, path, needs_keys, max_age_s)
            _add_route(document, path.name or path.prefix, section)
    document["limits callers"] = _translate_limits(decoded.limits)
    return document


def _refuse_names(decoded: _Configuration) -> dict[str, str]:
    """Remove the tenants whose names cannot be told to servers, and say what is unfit.

    Requests with their keys are refused; the others are served.
    """
    refused = {
        f"service {service.name}": "no server can have a service of this name"
        for service in decoded.services
        if not service.name
    }
    for tenant in list(decoded.tenants or []):
        if decoded.tenants and not is_header_value(tenant.name):
            decoded.tenants.remove(tenant)
            reason = "left out, since the name cannot be the value of a header"
            refused[f"tenant {tenant.name}"] = reason
    return refused


def _add(document: Document, kind: str, name: str, section: Section) -> None:
    """Add a section with a valid title, and with the name where the title lacks it."""
    title_name = _valid_name(name)
    if title_name != name and name:
        section[FULL_NAME.key] = name
    document[f"{kind} {title_name}"] = section


def _add_route(document: Document, name: str, section: Section) -> None:
    """Add a route; those with the same name are numbered."""
    number = 1
    numbered = name
    while f"route {_valid_name(numbered)}" in document:
        number += 1
        numbered = f"{name}.{number}"
    _add(document, "route", numbered, section)


def _valid_name(text: str) -> str:
    """Return a text if it is valid as a name in a document, otherwise its hash."""
    if 0 < len(text) <= MAX_NAME_LENGTH and not set(text) - NAME_CHARACTERS:
        return text
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def _translate_service(service: _Service) -> Section:
    section = {
        "connections_per_server": str(service.connectionLimit),
        "ramp_s": str(service.coldStartS),
    }
    if service.coldPerS > 0:
        section["cold_rate_per_s"] = str(service.coldPerS)
    return section


def _translate_tenant(tenant: _Tenant) -> Section:
    hashes = (hashlib.sha256(key.encode()).hexdigest() for key in tenant.apiKeys)
    has_limit = tenant.ratePerS > 0
    return {
        "rate_per_s": str(tenant.ratePerS) if has_limit else UNLIMITED,
        "burst": str(max(1, int(tenant.burst))) if has_limit else UNLIMITED,
        "key_hashes": ", ".join(hashes),
        "priority": str(-1 if tenant.priority is None else tenant.priority),
        "regions": ", ".join(tenant.allowedRegions),
    }


def _translate_path(
    host: str, path: _Path, needs_keys: bool, max_age_s: float
) -> Section:
    is_open = path.allowAnonymous or not needs_keys
    parts = [(_valid_name(part.service), part.weight) for part in path.split]
    section = {
        "host": host.lower(),
        "path_prefix": path.prefix,
        "kind": ROUTE_KINDS.get(path.kind, "non_idempotent"),
        "open": _yes_or_no(is_open),
        "timeout_s": str(path.timeoutS),
        "latency_objective_s": str(path.targetLatencyS),
        "attempts": str(path.attempts),
        "priority": str(path.priority),
        "regions": ", ".join(path.allowedRegions),
        "affinity": _yes_or_no(path.sessionAffinity),
        "pool": parts[0][0] if parts else _valid_name(path.service),
    }
    if parts:
        section["split"] = ", ".join(f"{pool}={weight}" for pool, weight in parts)
    if not is_open:
        section["max_config_age_s"] = str(max_age_s)
    return section


def _translate_limits(limits: _Limits) -> Section:
    return {
        "head_bytes": str(limits.headerBytes),
        "body_bytes": str(limits.bodyBytes),
        "head_timeout_s": str(limits.headerTimeoutS),
        "idle_timeout_s": str(limits.idleTimeoutS),
    }
