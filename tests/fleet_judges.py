"""Judges what the callers and servers of a fleet of processes have seen."""

import re

from process_fleet import ProcessFleet, Sending, Stop

# Time after its last byte from which a request counts as read, by the platform's bound.
LOSS_SLACK_S = 0.2


def lost_sendings(fleet: ProcessFleet) -> list[str]:
    """List requests that were read and got no whole response around a planned stop.

    Excused are those that their caller sent early in the grace period and whose server
    was still at work in its last sixth, and those that crossed the closing of their
    connection: no server ran them, and it ended within ``LOSS_SLACK_S`` of their last
    byte.
    """
    lost: list[str] = []
    for row in fleet.sendings:
        if row.status != 0:
            continue
        has_crossed = row.ended_s - row.sent_s <= LOSS_SLACK_S
        if has_crossed and not fleet.runs_of(row.request_id):
            continue
        for stop in fleet.stops:
            since_s = row.sent_s - stop.terminated_s
            end_s = row.ended_s - stop.terminated_s
            is_near = row.instance == stop.instance and end_s >= 0
            if not is_near or since_s > fleet.grace_s or end_s > fleet.grace_s + 1:
                continue
            if since_s <= 3.0 and end_s >= fleet.grace_s * 5 / 6:
                continue
            lost.append(_describe_loss(fleet, row, stop))
            break
    return lost


def _describe_loss(fleet: ProcessFleet, row: Sending, stop: Stop) -> str:
    body = "chunks" if row.is_chunked else "by length"
    how = "was killed" if stop.killed_s < float("inf") else "exited"
    sent_s, ended_s, exited_s = (
        round(at_s - stop.terminated_s, 2)
        for at_s in (row.sent_s, row.ended_s, stop.exited_s)
    )
    return (
        f"{row.request_id} {row.method} ({body}), run {fleet.runs_of(row.request_id)} "
        f"times: sent {sent_s} s after the SIGTERM to {row.instance}, which {how} "
        f"{exited_s} s after it; its connection ended at {ended_s} s"
    )


def sent_to_leaving_servers(fleet: ProcessFleet) -> list[str]:
    """List requests that reached a server long after it had said that it leaves.

    The time counts for each instance from the first such response that it passed on.
    """
    late: list[str] = []
    for leave in fleet.leaves:
        told_s: dict[str, float] = {}
        rows = [row for row in fleet.sendings if leave.server.runs[row.request_id]]
        for row in sorted(rows, key=lambda row: row.ended_s):
            if row.status == 200 and leave.from_s < row.ended_s < leave.to_s:
                told_s.setdefault(row.instance, row.ended_s)
        for row in rows:
            since_s = told_s.get(row.instance, float("inf"))
            limit_s = since_s + fleet.drain_s
            late += [
                f"{row.request_id} reached {leave.server.server_id} from "
                f"{row.instance} {arrived_s - limit_s:.2f} s too late"
                for arrived_s in leave.server.arrivals_s[row.request_id]
                if limit_s < arrived_s < leave.to_s
                and not _has_restarted(fleet, row.instance, since_s, arrived_s)
            ]
    return late


def _has_restarted(
    fleet: ProcessFleet, instance: str, from_s: float, to_s: float
) -> bool:
    return any(
        stop.instance == instance and from_s <= stop.exited_s <= to_s
        for stop in fleet.stops
    )


def cut_lines(fleet: ProcessFleet) -> list[str]:
    """List the log lines about requests or connections that a stop has cut.

    Excused are connections whose caller never sent its request to the end: no instance
    can answer it, and it is waited for until the end of the grace period.
    """
    cut = [
        line
        for line in fleet.log_lines("connection cut")
        if _peer_of(line) not in fleet.unfinished_callers
    ]
    return [str(line) for line in [*cut, *fleet.log_lines("unfinished")]]


def _peer_of(line: dict[str, object]) -> str:
    """Return the address of the caller that a line about a cut connection names."""
    found = re.search(r"connection cut at the stop: from (\S+),", str(line["text"]))
    return found.group(1) if found else ""


def late_keys(fleet: ProcessFleet) -> list[str]:
    """List keys that worked for longer than the bound after their withdrawal."""
    return [
        f"{row.key} worked at {name} {sent_s - row.withdrawn_s:.2f} s after it was "
        f"withdrawn, where {fleet.bound_s(name, sent_s):g} s are allowed"
        for row in fleet.withdrawals
        for sent_s, name in row.accepted
        if sent_s > row.withdrawn_s + fleet.bound_s(name, sent_s)
    ]


def broken_promises(fleet: ProcessFleet) -> list[str]:
    """List orders that ran twice, and orders that were refused and ran."""
    broken: list[str] = []
    for row in fleet.sendings:
        n_runs = fleet.runs_of(row.request_id)
        if row.method == "POST" and n_runs > 1:
            broken.append(f"{row.request_id} ran {n_runs} times")
        if row.method == "POST" and row.status in (408, 421, 429, 503) and n_runs:
            broken.append(f"{row.request_id} was refused with {row.status}, and ran")
        if row.status == 200 and not n_runs:
            broken.append(f"{row.request_id} was answered, and no server ran it")
    return broken
