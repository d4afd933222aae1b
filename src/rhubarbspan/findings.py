"""Finds entries without effect, contradicting limits and changes of a configuration."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from .checking import MAX_RATE_PER_S
from .configuration import ClientAccount, Configuration, Pool, Route
from .document import Document, compare_documents
from .sections import Problem


class FindingKind(Enum):
    """What a finding is about."""

    ERROR = "error"
    NEVER_MATCHES = "never-matches"
    CONTRADICTION = "contradiction"
    DIFFERENCE = "difference"


class Severity(Enum):
    """Whether a finding forbids the configuration, needs a look or only informs."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Finding:
    """One result of a check.

    Attributes:
        where: The part of the configuration, such as the title of a section.
    """

    kind: FindingKind
    where: str
    text: str
    severity: Severity


@dataclass(frozen=True, slots=True)
class Capacity:
    """Servers of a pool, which are not part of a configuration.

    Attributes:
        n_slots: Slots of each server.
        service_s: Mean service time of a request.
    """

    n_servers: int
    n_slots: int
    service_s: float

    @property
    def server_rate_per_s(self) -> float:
        """Requests per second that one server can run."""
        return self.n_slots / self.service_s

    @property
    def rate_per_s(self) -> float:
        """Requests per second that all servers can run."""
        return self.n_servers * self.server_rate_per_s


def find_errors(problems: Iterable[Problem]) -> list[Finding]:
    """Return the problems of a document as findings."""
    return [
        Finding(
            FindingKind.ERROR,
            f"[{problem.section}] {problem.key}",
            f"{problem.shown_value()}; accepted: {problem.accepted}",
            Severity.ERROR,
        )
        for problem in problems
    ]


def find_unmatched(configuration: Configuration) -> list[Finding]:
    """Find entries that no request can ever use.

    A longer prefix is never hidden by a shorter one, since the longest one matches.
    """
    findings: list[Finding] = []
    used = {pool for route in configuration.routes.values() for pool in _pools(route)}
    for pool in configuration.pools:
        if pool not in used:
            findings.append(_never(f"pool {pool}", "no route names it"))
    for account in configuration.client_accounts.values():
        where = f"client_account {account.name}"
        if not account.key_hashes:
            findings.append(_never(where, "it has no key"))
        findings += _find_unknown_regions(configuration, where, account.regions)
    for route in configuration.routes.values():
        where = f"route {route.name}"
        findings += _find_unknown_regions(configuration, where, route.regions)
        if not route.is_open and not configuration.account_by_key_hash:
            text = "it needs a key, and no client account has one"
            findings.append(_never(where, text))
    return findings


def find_contradictions(
    configuration: Configuration, capacities: dict[str, Capacity]
) -> list[Finding]:
    """Find limits that contradict each other.

    Args:
        configuration: A configuration without errors.
        capacities: Capacities by the names of pools; rates are compared only with
            those of the pools listed.
    """
    findings: list[Finding] = []
    for route in configuration.routes.values():
        findings += _find_short_timeout(route)
    for pool in configuration.pools.values():
        if pool.name in capacities:
            findings += _find_high_cold_rate(pool, capacities[pool.name])
    pools = _pools_with_key(configuration)
    if pools and pools <= capacities.keys():
        limit_per_s = sum(capacities[pool].rate_per_s for pool in pools)
        for account in configuration.client_accounts.values():
            findings += _find_high_rate(account, limit_per_s)
    return findings


def find_differences(old: Document, new: Document) -> list[Finding]:
    """Describe how a document differs from the one in force, section by section."""
    change = compare_documents(old, new, 0, "", "")
    findings = [_differs(title, "removed") for title in change.removed]
    for title, body in change.replaced.items():
        if title not in old:
            findings.append(_differs(title, "added"))
            continue
        before = old[title]
        changed = [
            f"{key}: {before.get(key)} -> {body.get(key)}"
            for key in sorted(before.keys() | body.keys())
            if before.get(key) != body.get(key)
        ]
        findings.append(_differs(title, "; ".join(changed)))
    return findings


def find_unused(reasons: dict[str, str]) -> list[Finding]:
    """Return the parts of a source that its translation leaves out or replaces.

    Args:
        reasons: Reason for each part.
    """
    return [_never(where, text) for where, text in reasons.items()]


def worst_severity(findings: Iterable[Finding]) -> Severity:
    """Return the worst severity of some findings, INFO if there are none."""
    order = list(Severity)
    found = (order.index(finding.severity) for finding in findings)
    return order[max(found, default=0)]


def _pools(route: Route) -> set[str]:
    return {route.pool, *(pool for pool, _ in route.parts)}


def _pools_with_key(configuration: Configuration) -> set[str]:
    """List the pools of the routes that client accounts use."""
    routes = (r for r in configuration.routes.values() if not r.is_open)
    return {pool for route in routes for pool in _pools(route)}


def _never(where: str, text: str) -> Finding:
    return Finding(FindingKind.NEVER_MATCHES, where, text, Severity.WARNING)


def _contradicts(where: str, text: str) -> Finding:
    return Finding(FindingKind.CONTRADICTION, where, text, Severity.WARNING)


def _differs(title: str, text: str) -> Finding:
    return Finding(FindingKind.DIFFERENCE, title, text, Severity.INFO)


def _find_unknown_regions(
    configuration: Configuration, where: str, regions: tuple[str, ...]
) -> list[Finding]:
    """Find regions without a data centre, if any data centre is known."""
    known = configuration.regions()
    return [
        _never(where, f"region {region} has no data centre")
        for region in regions
        if known and region not in known
    ]


def _find_short_timeout(route: Route) -> list[Finding]:
    where = f"route {route.name}"
    objective_s, timeout_s = route.latency_objective_s, route.timeout_s
    if objective_s > timeout_s:
        text = f"latency objective {objective_s:g} s is above timeout {timeout_s:g} s"
        return [_contradicts(where, text)]
    if route.n_max_attempts * objective_s > timeout_s:
        text = (
            f"timeout {timeout_s:g} s is too short for {route.n_max_attempts} attempts"
            f" at the latency objective {objective_s:g} s"
        )
        return [_contradicts(where, text)]
    return []


def _find_high_cold_rate(pool: Pool, capacity: Capacity) -> list[Finding]:
    rate_per_s, limit_per_s = pool.cold_rate_per_s, capacity.server_rate_per_s
    # The highest rate stands for no limit.
    if limit_per_s < rate_per_s < MAX_RATE_PER_S:
        text = (
            f"cold rate {rate_per_s:g}/s is above the {limit_per_s:g}/s that"
            f" {capacity.n_slots} slots can run"
        )
        return [_contradicts(f"pool {pool.name}", text)]
    return []


def _find_high_rate(account: ClientAccount, limit_per_s: float) -> list[Finding]:
    # The highest rate stands for no limit.
    if limit_per_s < account.rate_per_s < MAX_RATE_PER_S:
        text = (
            f"rate {account.rate_per_s:g}/s is above the {limit_per_s:g}/s that the"
            " pools of all routes with keys can run"
        )
        return [_contradicts(f"client_account {account.name}", text)]
    return []
