"""Judges what the callers and servers of a fleet of processes have seen."""

import re
from dataclasses import dataclass

from process_fleet import REVOCATION_S, ProcessFleet, Sending, Stop
from rhubarbspan.verdict import Reason

# Time after its last byte from which a request counts as read, by the platform's bound.
LOSS_SLACK_S = 0.2
# Log lines of refusals that are further apart belong to two times.
MAX_LINE_GAP_S = 1.0
# Time between a refusal and its log line, and the way to the caller.
LINE_DELAY_S = 0.3
# Least time for which keys hold that were confirmed before an outage: the bound on
# withdrawn keys, less the age of a confirmation.
CONFIRMED_S = 1.0


@dataclass(slots=True)
class UnconfirmedTime:
    """A time in which an instance refused keys, as nothing confirmed them."""

    instance: str
    from_s: float
    to_s: float


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


def unconfirmed_times(fleet: ProcessFleet) -> list[UnconfirmedTime]:
    """List when instances logged that the configuration was too old for keys."""
    times: list[UnconfirmedTime] = []
    newest: dict[str, UnconfirmedTime] = {}
    lines = [
        (float(str(line["now_s"])), str(line["instance"]))
        for line in fleet.log_lines("refused")
        if line.get("reason") == Reason.STALE_CONFIGURATION.value
    ]
    for at_s, instance in sorted(lines):
        row = newest.get(instance)
        if row is None or at_s - row.to_s > MAX_LINE_GAP_S:
            row = newest[instance] = UnconfirmedTime(instance, at_s, at_s)
            times.append(row)
        row.to_s = at_s
    return times


def count_unconfirmed(fleet: ProcessFleet) -> int:
    """Count the refusals in such times; the log has only some of them."""
    times = unconfirmed_times(fleet)
    return sum(
        sending.status == 503
        and any(
            row.instance == sending.instance
            and row.from_s - LINE_DELAY_S <= sending.ended_s <= row.to_s + LINE_DELAY_S
            for row in times
        )
        for sending in fleet.sendings
    )


def sound_keys_refused(fleet: ProcessFleet) -> list[str]:
    """List the times in which keys were refused and could have been confirmed.

    Excused are outages of the store, from when what was confirmed before no longer
    holds, and starts, each and the bound on withdrawn keys after it.
    """
    excused = [(row.from_s + CONFIRMED_S, row.to_s, "") for row in fleet.outages]
    excused += [(row.exited_s, row.exited_s, row.instance) for row in fleet.stops]
    return [
        f"{row.instance} refused keys from {row.from_s:.2f} to {row.to_s:.2f} s"
        for row in unconfirmed_times(fleet)
        if not any(
            instance in ("", row.instance)
            and from_s <= row.from_s
            and row.to_s <= to_s + REVOCATION_S
            for from_s, to_s, instance in excused
        )
    ]
