"""Reports what other callers see beside senders whose messages have no end.

By hand: ``python tests/costly_report.py``. It runs one instance and twenty servers with
none, one and ten such senders of each kind, and prints a row for each. Callers and
peers that send so are processes of their own, as they would slow the others' down.
"""

import argparse
import asyncio
import os
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from process_caller import LARGE_CHUNK, TINY_CHUNKS, Caller, send_chunks_to
from process_fleet import ProcessFleet
from process_peer import FRAMES, PeerFrame, peer_address, send_frames
from rhubarbspan.standins.platform_server import Fault

N_SERVERS = 20
SERVICE_S = 0.05
N_CALLERS = 8
N_FAULTS = 100_000
N_CHUNKS = 50_000
KINDS: dict[str, Fault | PeerFrame | bytes] = {
    "server, tiny chunks": Fault.ENDLESS_TINY_CHUNKS,
    "server, 421 in tiny chunks": Fault.ENDLESS_MISDIRECTED,
    "server, 503 not run": Fault.ENDLESS_SHED,
    "callers, tiny chunks": TINY_CHUNKS,
    "callers, large chunks": LARGE_CHUNK,
    **FRAMES,
}


@dataclass(slots=True)
class Row:
    """What the other callers saw in one run.

    Attributes:
        latencies_s: Latency of each of their requests.
        processor_s: Processor time of the instance.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    processor_s: float = 0.0

    def describe(self) -> str:
        """Return the row as text."""
        rows = sorted(self.latencies_s)
        p50_s, p99_s = (rows[int(len(rows) * q)] if rows else 0.0 for q in (0.5, 0.99))
        n_other = sum(n for status, n in self.statuses.items() if status != 200)
        return (
            f"{len(rows)} requests, {n_other} not 200, p50 {p50_s * 1000:.0f} ms, "
            f"p99 {p99_s * 1000:.0f} ms, {self.processor_s:.2f} s of processor"
        )


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_kind(name: str, n_senders: int, for_s: float) -> Row:
    """Run a fleet with a number of senders of a kind."""
    kind = KINDS[name]
    row = Row()
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder), random.Random(1))
        senders: list[asyncio.subprocess.Process] = []
        try:
            await fleet.start(1, [SERVICE_S] * N_SERVERS)
            await asyncio.sleep(1.0)
            process = fleet.instances[0].running
            assert process is not None
            started_s = processor_s(process.pid)
            senders = await start_senders(fleet, kind, name, n_senders)
            until_s = asyncio.get_running_loop().time() + for_s
            callers = [
                Caller(fleet, f"c{number}", "a-1", random.Random(number), method="GET")
                for number in range(N_CALLERS)
            ]
            await asyncio.gather(*(caller.run(until_s) for caller in callers))
            row.processor_s = processor_s(process.pid) - started_s
            row.statuses.update(sending.status for sending in fleet.sendings)
            row.latencies_s = [s.ended_s - s.begun_s for s in fleet.sendings]
        finally:
            for sender in senders:
                sender.kill()
                await sender.wait()
            await fleet.close()
    return row


async def start_senders(
    fleet: ProcessFleet, kind: Fault | PeerFrame | bytes, name: str, n_senders: int
) -> list[asyncio.subprocess.Process]:
    """Start the senders; servers among them are those of the fleet."""
    if isinstance(kind, Fault):
        for server in fleet.deployment.servers[:n_senders]:
            server.faults = [kind] * N_FAULTS
        return []
    (instance,) = fleet.instances
    is_peer = isinstance(kind, PeerFrame)
    address = peer_address(instance) if is_peer else instance.addresses["front"]
    return [
        await asyncio.create_subprocess_exec(
            *(sys.executable, __file__, "--kind", name, "--send-to", address)
        )
        for _ in range(n_senders)
    ]


async def send_without_end(kind: Fault | PeerFrame | bytes, address: str) -> None:
    """Be a sender of a kind; callers begin anew when they are cut off."""
    match kind:
        case PeerFrame(data=data):
            await send_frames(address, data)
        case bytes():
            while True:
                await send_chunks_to(address, kind, N_CHUNKS, f"costly-{os.getpid()}")
                await asyncio.sleep(0.1)
        case Fault():
            raise ValueError("servers belong to the fleet")


def main() -> None:
    """Print a row for each kind and number of senders."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--kind", default="", help="part of the names of kinds")
    parser.add_argument("--send-to", default="", help="be a sender to this address")
    arguments = parser.parse_args()
    if arguments.send_to:
        asyncio.run(send_without_end(KINDS[arguments.kind], arguments.send_to))
    for name in KINDS:
        if arguments.kind not in name:
            continue
        for n_senders in (0, 1, 10):
            row = asyncio.run(run_kind(name, n_senders, arguments.seconds))
            print(f"{name}, {n_senders} senders: {row.describe()}", flush=True)


if __name__ == "__main__":
    main()
