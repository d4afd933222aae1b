"""Translates the platform's JSON configuration into a configuration document."""

import hashlib
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from ..document import Document, Section
from ..record_checks import MAX_INTEGER
from ..sections import FULL_NAME, is_header_value
from ..verdict import Failure
from .records import CONFIGURATION_KEY, DECODE_ERRORS

# Rate and burst of a client account without a limit.
UNLIMITED = "1000000"
NAME_CHARACTERS = set("abcdefghijklmnopqrstuvwxyz0123456789-_.")
MAX_NAME_LENGTH = 64
# A service that no server can have, and a region that no server can be in. Requests
# that go to them are refused as not run, and callers may repeat them.
NO_SERVICE = ""
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


class _RawHost(msgspec.Struct):
    host: str
    paths: list[msgspec.Raw] = []


class _RawConfiguration(msgspec.Struct):
    """A configuration whose entries are decoded one by one."""

    version: int
    hosts: list[msgspec.Raw] = []
    services: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] | None = None
    limits: msgspec.Raw = msgspec.Raw(b"{}")


class _PathPrefix(msgspec.Struct):
    prefix: str


class _TenantKeys(msgspec.Struct):
    name: str
    apiKeys: list[str] = []


_DECODER = msgspec.json.Decoder(_Configuration, strict=False)
EntryType = TypeVar("EntryType", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class _Decoded:
    """A decoded configuration.

    Attributes:
        refused: Reason for each part that cannot be used as it is.
    """

    configuration: _Configuration
    refused: dict[str, str] = field(default_factory=dict)


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
    value: bytes, regions: dict[str, str]
) -> TranslatedConfiguration | Failure:
    """Decode the operator's JSON configuration and translate it to a document.

    Args:
        value: JSON text from the store.
        regions: Region of each data centre.

    Returns:
        The document and its revision, or a failure with the decoder's message.
    """
    decoded = _decode(value)
    if isinstance(decoded, Failure):
        return decoded
    configuration = decoded.configuration
    document = _to_document(configuration, regions)
    return TranslatedConfiguration(configuration.version, document, decoded.refused)


def list_unused_parts(value: bytes) -> dict[str, str] | Failure:
    """List the parts that a translation leaves out or replaces, with the reasons.

    Args:
        value: JSON text of the operator's configuration.
    """
    read = _decode(value)
    if isinstance(read, Failure):
        return read
    decoded = read.configuration
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


def _decode(value: bytes) -> _Decoded | Failure:
    """Decode a configuration, one by one if an entry cannot be read with the others."""
    try:
        decoded = _Decoded(_DECODER.decode(value))
    except DECODE_ERRORS:
        reasons: dict[str, str] = {}
        text = msgspec.Raw(value)
        raw = _decode_entry(text, _RawConfiguration, CONFIGURATION_KEY, reasons)
        if raw is None:
            return Failure("malformed", f"configuration: {reasons[CONFIGURATION_KEY]}")
        decoded = _decode_entries(raw)
    if not 0 < decoded.configuration.version <= MAX_INTEGER:
        return Failure("malformed", f"version: accepted: 1 to {MAX_INTEGER}")
    _refuse_unusable(decoded)
    return decoded


def _decode_entries(raw: _RawConfiguration) -> _Decoded:
    """Decode each entry of a configuration, and keep what is known of the others."""
    decoded = _Decoded(_Configuration(raw.version))
    configuration, refused = decoded.configuration, decoded.refused
    for number, text in enumerate(raw.hosts):
        host = _decode_entry(text, _RawHost, f"host {number}", refused)
        if host is not None:
            paths = _decode_paths(host, refused)
            configuration.hosts.append(_Host(host.host, paths))
    for number, text in enumerate(raw.services):
        service = _decode_entry(text, _Service, f"service {number}", refused)
        if service is not None:
            configuration.services.append(service)
    if raw.tenants is not None:
        configuration.tenants = _decode_tenants(raw.tenants, refused)
    configuration.limits = _decode_limits(raw.limits, refused)
    return decoded


def _decode_entry(
    text: msgspec.Raw, kind: type[EntryType], place: str, refused: dict[str, str]
) -> EntryType | None:
    """Decode an entry, in which null stands for a field that is left out."""
    try:
        fields = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        given = {name: raw for name, raw in fields.items() if bytes(raw) != b"null"}
        return msgspec.json.decode(msgspec.json.encode(given), type=kind, strict=False)
    except DECODE_ERRORS as error:
        refused[place] = str(error)
        return None


def _decode_paths(host: _RawHost, refused: dict[str, str]) -> list[_Path]:
    paths: list[_Path] = []
    for number, text in enumerate(host.paths):
        place = f"host {host.host} path {number}"
        path = _decode_entry(text, _Path, place, refused)
        if path is None:
            known = _decode_entry(text, _PathPrefix, f"{place} prefix", refused)
            if known is None:
                continue
            path = _Path(known.prefix, allowAnonymous=True)
        paths.append(path)
    return paths


def _decode_tenants(texts: list[msgspec.Raw], refused: dict[str, str]) -> list[_Tenant]:
    tenants: list[_Tenant] = []
    for number, text in enumerate(texts):
        place = f"tenant {number}"
        tenant = _decode_entry(text, _Tenant, place, refused)
        if tenant is None:
            known = _decode_entry(text, _TenantKeys, f"{place} keys", refused)
            if known is None:
                continue
            tenant = _unserved_tenant(known.name, known.apiKeys)
        tenants.append(tenant)
    return tenants


def _unserved_tenant(name: str, api_keys: list[str]) -> _Tenant:
    """Return a tenant of unknown limit or regions, whose keys are not wrong."""
    return _Tenant(name, api_keys, allowedRegions=[NO_SERVICE])


def _decode_limits(text: msgspec.Raw, refused: dict[str, str]) -> _Limits:
    limits = _decode_entry(text, _Limits, "limits", refused)
    if limits is not None:
        return limits
    limits = _Limits()
    try:
        fields = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        return limits
    for name, raw in fields.items():
        entry = msgspec.Raw(msgspec.json.encode({name: raw}))
        known = _decode_entry(entry, _Limits, f"limits {name}", refused)
        if known is not None and name in _Limits.__struct_fields__:
            setattr(limits, name, getattr(known, name))
    return limits


def _refuse_unusable(decoded: _Decoded) -> None:
    """Note entries that cannot be used, and change them so that only they are refused.

    Requests with the keys of a tenant without a usable name are refused.
    """
    configuration, refused = decoded.configuration, decoded.refused
    for service in list(configuration.services):
        if not service.name:
            configuration.services.remove(service)
            refused["service"] = "no server can have a service without a name"
    tenants = configuration.tenants or []
    for tenant in list(tenants):
        if not is_header_value(tenant.name):
            tenants.remove(tenant)
            reason = "left out, since the name cannot be the value of a header"
            refused[f"tenant {tenant.name}"] = reason
        elif not (math.isfinite(tenant.ratePerS) and math.isfinite(tenant.burst)):
            position = tenants.index(tenant)
            tenants[position] = _unserved_tenant(tenant.name, tenant.apiKeys)
            refused[f"tenant {tenant.name}"] = "its limit is not a number"
    for host in configuration.hosts:
        for path in host.paths:
            is_usable = all(0 <= part.weight <= MAX_INTEGER for part in path.split)
            is_usable &= not path.split or any(part.weight > 0 for part in path.split)
            if is_usable and (path.split or path.service):
                continue
            path.split, path.service = [], NO_SERVICE
            place = f"host {host.host} prefix {path.prefix}"
            refused[place] = "its requests are refused, as no service is named for them"


def _to_document(decoded: _Configuration, regions: dict[str, str]) -> Document:
    document: Document = {}
    for zone, region in regions.items():
        _add(document, "data_centre", zone, {"region": region, "seats": "0"})
    for service in _list_services(decoded):
        _add(document, "pool", service.name, _translate_service(service))
    for tenant in decoded.tenants or []:
        _add(document, "client_account", tenant.name, _translate_tenant(tenant))
    needs_keys = decoded.tenants is not None
    for host in decoded.hosts:
        for path in host.paths:
            section = _translate_path(host.host, path, needs_keys)
            _add_route(document, path.name or path.prefix, section)
    document["limits callers"] = _translate_limits(decoded.limits)
    return document


def _list_services(decoded: _Configuration) -> list[_Service]:
    """List the services, also those that only a path names."""
    named = {service.name for service in decoded.services}
    services = list(decoded.services)
    for host in decoded.hosts:
        for path in host.paths:
            for name in [part.service for part in path.split] or [path.service]:
                if name not in named:
                    named.add(name)
                    services.append(_Service(name))
    return services


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


def _join_regions(regions: list[str]) -> str:
    """Join regions; one without a name is none that exists, and not left out."""
    return ", ".join(region or _valid_name(NO_SERVICE) for region in regions)


def _translate_tenant(tenant: _Tenant) -> Section:
    hashes = (hashlib.sha256(key.encode()).hexdigest() for key in tenant.apiKeys)
    has_limit = tenant.ratePerS > 0
    return {
        "rate_per_s": str(tenant.ratePerS) if has_limit else UNLIMITED,
        "burst": str(max(1, int(tenant.burst))) if has_limit else UNLIMITED,
        "key_hashes": ", ".join(hashes),
        "priority": str(-1 if tenant.priority is None else tenant.priority),
        "regions": _join_regions(tenant.allowedRegions),
    }


def _translate_path(host: str, path: _Path, needs_keys: bool) -> Section:
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
        "regions": _join_regions(path.allowedRegions),
        "affinity": _yes_or_no(path.sessionAffinity),
        "pool": parts[0][0] if parts else _valid_name(path.service),
    }
    if parts:
        section["split"] = ", ".join(f"{pool}={weight}" for pool, weight in parts)
    return section


def _translate_limits(limits: _Limits) -> Section:
    return {
        "head_bytes": str(limits.headerBytes),
        "body_bytes": str(limits.bodyBytes),
        "head_timeout_s": str(limits.headerTimeoutS),
        "idle_timeout_s": str(limits.idleTimeoutS),
    }
