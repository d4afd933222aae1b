"""Edits of the configuration by operators, as functions from document to document."""

from dataclasses import dataclass

from .document import Document
from .verdict import Failure


@dataclass(frozen=True, slots=True)
class GrantKey:
    """Add the hash of a new key to a client account."""

    account: str
    key_hash: str


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Remove the key whose hash starts with a prefix from a client account."""

    account: str
    hash_prefix: str


@dataclass(frozen=True, slots=True)
class StartDrain:
    """Drain an instance, a backend server or a data centre.

    Attributes:
        kind: A value of ``DrainKind``.
        target: Name of what is drained.
    """

    kind: str
    target: str


@dataclass(frozen=True, slots=True)
class EndDrain:
    """End a drain.

    Attributes:
        kind: A value of ``DrainKind``.
        target: Name of what was drained.
    """

    kind: str
    target: str


@dataclass(frozen=True, slots=True)
class StartShift:
    """Start a planned shift of a fraction of a pool's requests to another region.

    Attributes:
        cap_requests_per_s: Maximum rate that the shift moves.
        pace_requests_per_s2: Increase of that rate per second, up to the cap.
        fraction: Fraction of the region's requests to move, 0 to 1.
    """

    name: str
    pool: str
    from_region: str
    to_region: str
    cap_requests_per_s: float
    pace_requests_per_s2: float
    fraction: float


@dataclass(frozen=True, slots=True)
class StopShift:
    """End a planned shift."""

    name: str


Edit = GrantKey | WithdrawKey | StartDrain | EndDrain | StartShift | StopShift

MIN_HASH_PREFIX_LENGTH = 6


def apply_edit(document: Document, edit: Edit) -> Document | Failure:
    """Return an edited copy of a document, or why the edit cannot be applied.

    Example:
        >>> apply_edit({}, StopShift("move"))
        Failure(code='unknown', reason='there is no shift move')
    """
    copy = {title: dict(body) for title, body in document.items()}
    match edit:
        case GrantKey(account=account, key_hash=key_hash):
            return _grant_key(copy, account, key_hash)
        case WithdrawKey(account=account, hash_prefix=prefix):
            return _withdraw_key(copy, account, prefix)
        case StartDrain(kind=kind, target=target):
            copy[_drain_title(kind, target)] = {"kind": kind, "target": target}
            return copy
        case EndDrain(kind=kind, target=target):
            if copy.pop(_drain_title(kind, target), None) is None:
                return Failure("unknown", f"{kind} {target} is not drained")
            return copy
        case StartShift():
            return _start_shift(copy, edit)
        case StopShift(name=name):
            if copy.pop(f"shift {name}", None) is None:
                return Failure("unknown", f"there is no shift {name}")
            return copy


def list_key_hashes(document: Document, account: str) -> list[str] | Failure:
    """List the hashes of a client account's keys."""
    section = document.get(f"client_account {account}")
    if section is None:
        return Failure("unknown", f"there is no client account {account}")
    parts = section.get("key_hashes", "").split(",")
    return [part.strip() for part in parts if part.strip()]


def _drain_title(kind: str, target: str) -> str:
    return f"drain {kind}.{target}"


def _grant_key(document: Document, account: str, key_hash: str) -> Document | Failure:
    hashes = list_key_hashes(document, account)
    if isinstance(hashes, Failure):
        return hashes
    joined = ", ".join([*hashes, key_hash])
    document[f"client_account {account}"]["key_hashes"] = joined
    return document


def _withdraw_key(document: Document, account: str, prefix: str) -> Document | Failure:
    hashes = list_key_hashes(document, account)
    if isinstance(hashes, Failure):
        return hashes
    if len(prefix) < MIN_HASH_PREFIX_LENGTH:
        reason = f"give at least {MIN_HASH_PREFIX_LENGTH} characters of the key's hash"
        return Failure("ambiguous", reason)
    matching = [value for value in hashes if value.startswith(prefix)]
    if len(matching) != 1:
        reason = (
            f"{len(matching)} keys of {account} have a hash that starts with {prefix}"
        )
        return Failure("ambiguous" if matching else "unknown", reason)
    kept = [value for value in hashes if value not in matching]
    document[f"client_account {account}"]["key_hashes"] = ", ".join(kept)
    return document


def _start_shift(document: Document, shift: StartShift) -> Document | Failure:
    title = f"shift {shift.name}"
    if title in document:
        return Failure("exists", f"there is a shift {shift.name} already")
    document[title] = {
        "pool": shift.pool,
        "from_region": shift.from_region,
        "to_region": shift.to_region,
        "cap_requests_per_s": f"{shift.cap_requests_per_s:g}",
        "pace_requests_per_s2": f"{shift.pace_requests_per_s2:g}",
        "fraction": f"{shift.fraction:g}",
    }
    return document
