"""Formats the reports as text tables for the terminal."""

from ..fleet_client import FleetStatus, WaitResult
from .burn import BurnReport
from .status import InstanceStatus

Row = list[str]


def format_table(header: Row, rows: list[Row]) -> str:
    """Return a table with the first column aligned left and the others right.

    Example:
        >>> print(format_table(["a", "n"], [["x", "10"], ["yy", "2"]]))
        a    n
        x   10
        yy   2
    """
    widths = [max(len(row[i]) for row in [header, *rows]) for i in range(len(header))]
    lines = []
    for row in [header, *rows]:
        cells = [row[0].ljust(widths[0])]
        cells += [cell.rjust(w) for cell, w in zip(row[1:], widths[1:], strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def format_wait(revision: int, result: WaitResult) -> str:
    """List where a revision is in force, where not yet, and where it is unknown."""
    lines = [f"revision {revision} in force on {len(result.in_force)} instances"]
    lines += [f"behind: {seat}" for seat in result.behind]
    lines += [f"could not be asked: {name}" for name in result.not_asked]
    return "\n".join(lines)


def format_status(status: FleetStatus) -> str:
    """Return the status of all instances as tables."""
    parts = [
        _format_instances(status.instances),
        _format_pools(status),
        _format_accounts(status),
    ]
    parts += _format_details(status)
    parts += [f"could not be asked: {name}" for name in status.not_asked]
    return "\n\n".join(part for part in parts if part)


def _format_instances(instances: list[InstanceStatus]) -> str:
    header = ["instance", "region", "state", "revision", "age_s", "requests", "peers"]
    rows = []
    for row in instances:
        n_alive = sum(peer.is_alive for peer in row.peers)
        state = "leaving" if row.is_leaving else "live"
        rows.append(
            [
                row.seat,
                row.region,
                state,
                str(row.revision),
                f"{row.config_age_s:.1f}",
                str(row.n_requests),
                f"{n_alive}/{len(row.peers)}",
            ]
        )
    return format_table(header, rows)


def _format_pools(status: FleetStatus) -> str:
    header = ["pool at instance", "servers", "leaving", "slots", "used", "queued"]
    rows = [
        [
            f"{pool.pool} at {row.seat}",
            str(pool.n_servers),
            str(pool.n_leaving),
            str(pool.n_slots),
            str(pool.n_slots - pool.n_free),
            str(pool.n_queued),
        ]
        for row in status.instances
        for pool in row.pools
    ]
    return format_table(header, rows) if rows else ""


def _format_accounts(status: FleetStatus) -> str:
    header = ["account at instance", "rate_per_s", "burst", "tokens", "lent", "demand"]
    rows = [
        [
            f"{bucket.account} at {row.seat}",
            f"{bucket.rate_per_s:g}",
            f"{bucket.burst:g}",
            f"{bucket.n_tokens:.1f}",
            str(bucket.n_lent),
            f"{bucket.demand_per_s:.1f}",
        ]
        for row in status.instances
        for bucket in row.accounts
        if bucket.burst or bucket.demand_per_s > 0.05
    ]
    return format_table(header, rows) if rows else ""


def _format_details(status: FleetStatus) -> list[str]:
    lines = set()
    for row in status.instances:
        for link in row.links:
            lines.add(f"link {link.link}: cap {link.cap_mbit_per_s:g} Mbit/s")
        for planned in row.planned:
            moved = f", {planned.n_moved} moved" if planned.kind == "shift" else ""
            where = f" at {row.seat}" if planned.kind == "shift" else ""
            lines.add(f"{planned.kind} {planned.name}: {planned.detail}{where}{moved}")
        for fingerprint in row.quarantined:
            lines.add(f"quarantined: {fingerprint}")
        for server in row.drained_servers:
            lines.add(f"leaving backend server: {server}")
        if row.store_era:
            lines.add(f"{row.seat}: store in era {row.store_era}")
        if row.unconfirmed_seats:
            seats = ", ".join(row.unconfirmed_seats)
            lines.add(f"{row.seat}: shares wait for {seats}")
    return ["\n".join(sorted(lines))] if lines else []


def format_burn(report: BurnReport) -> str:
    """Return the burn report as a table, by window and falling burn rate."""
    header = ["route", "account", "window", "requests", "bad", "over rate", "burn"]
    rows = [
        [
            row.route,
            row.account or "(open)",
            row.window,
            str(row.n_requests),
            str(row.n_bad),
            str(row.n_over_rate),
            f"{row.burn_rate:.2f}",
        ]
        for row in report.rows
    ]
    return "\n".join([format_table(header, rows), *report.missing])
