"""Tests of planned stops of the product's own interface, as a process."""

import asyncio
import signal
from pathlib import Path

from edge_site import KEY
from entry_process import Entry, RunEntry
from held_up import describe_machine
from soak_entry import soak

SOAK_S = 20.0


# LOST: the own interface took orders for 4 s after the signal, whatever their timeout.
def test_order_late_in_the_stop_of_an_entry_is_not_cut_by_the_kill(
    run_entry: RunEntry,
) -> None:
    async def work(entry: Entry) -> None:
        stop = asyncio.create_task(entry.stop())
        await entry.send_orders(0.1, 5.0, 0.2)
        await stop
        others = [
            (sent_s - entry.terminated_s, result)
            for sent_s, result in entry.results
            if result.verdict not in ("answered", "not-run")
        ]
        assert others == [], entry.stop_report or describe_machine()
        verdicts = {result.verdict for _, result in entry.results}
        assert verdicts == {"answered", "not-run"}
        refused = [result for _, result in entry.results if result.status]
        refused = [result for result in refused if result.verdict == "not-run"]
        assert all(result.latency_s < 1.0 for result in refused)
        assert not entry.was_killed, entry.stop_report

    run_entry(work)


def test_body_that_never_ends_does_not_keep_an_entry_from_its_exit(
    run_entry: RunEntry,
) -> None:
    async def work(entry: Entry) -> None:
        stop = asyncio.create_task(entry.stop())
        await asyncio.sleep(3.0)
        host, _, port = entry.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /put/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        writer.write(f"{head}Content-Length: 100\r\n\r\nabc".encode())
        await stop
        writer.close()
        assert not entry.was_killed, entry.stop_report

    run_entry(work)


# LOST: the signal ended the process at once, with everything in progress.
def test_hangup_does_not_end_an_entry(run_entry: RunEntry) -> None:
    async def work(entry: Entry) -> None:
        orders = asyncio.create_task(entry.send_orders(0.0, 0.4, 0.2))
        await asyncio.sleep(1.0)
        entry.send_signal(signal.SIGHUP)
        await orders
        assert [result.verdict for _, result in entry.results] == ["answered"] * 2
        assert entry.is_running()

    run_entry(work)


def test_soak_of_entries_finds_nothing(tmp_path: Path) -> None:
    fleet = asyncio.run(soak(1, tmp_path, SOAK_S, n_callers=16))
    assert fleet.faults() == []
    reports = [entry.stop_report for entry in fleet.entries]
    assert fleet.n_killed == 0, "\n".join(reports)
    answered = [row for row in fleet.sent if row.result.verdict == "answered"]
    assert len(answered) > len(fleet.sent) / 3
