"""A soak of real processes: planned stops in series that overlap, under load.

The store is restored from copies meanwhile, keys are withdrawn, and the bound on them
changes in the settings files.

By hand: ``python tests/soak.py --seeds 50``; test_planned_stops.py runs two seeds.
"""

import argparse
import asyncio
import contextlib
import random
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from fleet_judges import (
    broken_promises,
    count_unconfirmed,
    cut_lines,
    late_keys,
    lost_sendings,
    sent_to_leaving_servers,
    sound_keys_refused,
)
from process_caller import (
    LARGE_CHUNK,
    LOOKUP_KEEPS,
    TINY_CHUNKS,
    Caller,
    send_chunks,
)
from process_fleet import REVOCATION_S, ProcessFleet, Withdrawal, is_ready
from process_peer import FRAMES, peer_address, send_frames
from rhubarbspan.standins.platform_deployment import send_request
from rhubarbspan.standins.platform_server import Fault
from uncontrolled import BODY_KINDS, Crowd, platform_head

COSTLY_FAULTS = [
    Fault.ENDLESS_HEAD,
    Fault.ENDLESS_INTERIM,
    Fault.ENDLESS_CHUNK_EXTENSION,
    Fault.ENDLESS_TRAILER,
    Fault.ENDLESS_STRAY_BODY,
    Fault.ENDLESS_TINY_CHUNKS,
    Fault.ENDLESS_SHED,
    Fault.ENDLESS_MISDIRECTED,
]
COSTLY_UPLOADS = {"tiny-chunks": TINY_CHUNKS, "large-chunks": LARGE_CHUNK}
# Heartbeats of an instance that nobody knows would change the fleet.
COSTLY_FRAMES = {
    name: frame for name, frame in FRAMES.items() if name != "peer, heartbeats"
}
COSTLY_BYTES = 50_000_000
# Callers of a crowd whose bodies do not end: few, as they run in this process and would
# slow the others down. All their bodies would not fit in the memory of the machines.
N_UNCONTROLLED = 20
# Small chunks would take most of this process's time.
UNCONTROLLED = {k: v for k, v in BODY_KINDS.items() if k != "small chunks"}
MACHINE_LIMITS = {"memoryMb": 100, "fileDescriptors": 1024}
N_FAULTS = 10_000
# Time for which a withdrawn key is tried, and between two tries.
LONG_REVOCATION_S = 8.0
TRIED_S = LONG_REVOCATION_S + 3.0
TRY_INTERVAL_S = 0.2


@dataclass(slots=True)
class SoakResult:
    """What a soak saw."""

    seed: int
    n_sent: int = 0
    n_answered: int = 0
    n_unconfirmed: int = 0
    n_stops: int = 0
    n_killed: int = 0
    n_restores: int = 0
    lost: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    to_leaving: list[str] = field(default_factory=list)
    own_ends: list[str] = field(default_factory=list)
    late_keys: list[str] = field(default_factory=list)
    sound_keys: list[str] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    costly: Counter[str] = field(default_factory=Counter)

    def faults(self) -> list[str]:
        """List all faults that were seen."""
        return [
            *self.lost,
            *self.broken,
            *self.to_leaving,
            *self.own_ends,
            *self.late_keys,
            *self.sound_keys,
        ]

    def describe(self) -> str:
        """Return the result as a line."""
        return (
            f"seed {self.seed}: {self.n_sent} requests, {self.n_answered} answered, "
            f"{self.n_unconfirmed} refused while no key was confirmed, "
            f"{self.n_stops} stops, {self.n_killed} killed, {self.n_restores} "
            f"restores, {len(self.lost)} lost, "
            f"{len(self.broken)} promises broken, {len(self.to_leaving)} to servers "
            f"that leave, {len(self.own_ends)} own ends, "
            f"{len(self.late_keys)} late keys, {len(self.sound_keys)} times of sound "
            f"keys refused, {len(self.cut)} cut lines, "
            f"costly senders {dict(self.costly)}"
        )


def make_callers(
    fleet: ProcessFleet, rng: random.Random, n_callers: int
) -> list[Caller]:
    """Make callers of all kinds, each with a random source of its own."""
    callers = []
    for number in range(n_callers):
        is_chunked = number % 2 == 0
        caller = Caller(
            fleet,
            f"c{number}",
            "a-1" if number % 4 < 2 else "b-1",
            random.Random(rng.random()),
            keeps_connections=number % 3 != 2,
            is_chunked=is_chunked,
            sends_body_for_s=rng.choice([0.0, 0.05, 0.4, 1.5]) if is_chunked else 0.0,
            method="GET" if number % 5 == 4 and not is_chunked else "POST",
            keeps_lookup=rng.choice(LOOKUP_KEEPS),
            timeout_s=rng.choice([2.0, 3.0, 4.0]),
        )
        callers.append(caller)
    return callers


async def stop_in_series(
    fleet: ProcessFleet, rng: random.Random, until_s: float
) -> None:
    """Stop and restart instances in turn; the next stop begins before the last ends."""
    loop = asyncio.get_running_loop()
    tasks: dict[str, asyncio.Task[object]] = {}
    while loop.time() < until_s:
        idle = [row for row in fleet.instances if await is_ready(row)]
        if len(idle) > 1:
            instance = rng.choice(idle)
            tasks[instance.name] = asyncio.create_task(fleet.stop_and_restart(instance))
        if rng.random() < 0.3:
            rng.choice(fleet.instances).send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(1.5, 4.5))
    await asyncio.gather(*tasks.values())


async def change_settings_in_series(
    fleet: ProcessFleet, rng: random.Random, until_s: float
) -> None:
    """Raise and lower the bound on withdrawn keys, with a signal and without."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        instance = rng.choice(fleet.instances)
        bound_s = rng.choice([REVOCATION_S, REVOCATION_S, LONG_REVOCATION_S])
        fleet.change_bound(instance, bound_s)
        if rng.random() < 0.5:
            instance.send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 3.0))


async def leave_in_series(
    fleet: ProcessFleet, rng: random.Random, until_s: float
) -> None:
    """Have servers say that they leave, one after the other."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        server = rng.choice(fleet.deployment.servers)
        await fleet.leave_and_rejoin(server, rng.uniform(4.0, 8.0))


async def restore_in_series(
    fleet: ProcessFleet, rng: random.Random, until_s: float
) -> None:
    """Restore the store again and again, soon after a key was withdrawn."""
    loop = asyncio.get_running_loop()
    trials = []
    version = 1
    while loop.time() < until_s:
        key = f"guest-{version}"
        fleet.write_keys(version + 1, [key])
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        version += 2
        down_s = rng.choice([0.0, 0.3, 1.0, 3.5])
        is_seen = rng.random() < 0.5
        if not is_seen:
            # The store acknowledges the withdrawal and fails before it tells anyone.
            fleet.begin_outage()
        fleet.write_keys(version, [])
        withdrawal = Withdrawal(key, loop.time())
        fleet.withdrawals.append(withdrawal)
        trials.append(asyncio.create_task(try_key(fleet, rng, withdrawal)))
        await asyncio.sleep(rng.uniform(0.1, 2.0) if is_seen else 0.0)
        await fleet.restore_store(rng.uniform(0.0, 5.0), down_s, rng.uniform(0.1, 2.1))
        await asyncio.sleep(rng.uniform(0.0, 5.0))
    await asyncio.gather(*trials)


async def try_key(
    fleet: ProcessFleet, rng: random.Random, withdrawal: Withdrawal
) -> None:
    """Send requests with a withdrawn key for longer than it may work."""
    loop = asyncio.get_running_loop()
    while loop.time() < withdrawal.withdrawn_s + TRIED_S:
        instance = rng.choice(fleet.instances)
        address = instance.addresses["front"]
        sent_s = loop.time()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(TRY_INTERVAL_S * 10):
                reply = await send_request(
                    address, "/look/key", X_Credential=withdrawal.key
                )
                if reply.status < 400:
                    withdrawal.accepted.append((sent_s, instance.name))
        await asyncio.sleep(TRY_INTERVAL_S)


async def send_costly_messages_in_series(
    fleet: ProcessFleet, rng: random.Random, until_s: float, kinds: Counter[str]
) -> None:
    """Have servers, callers and peers send bytes without end, or in tiny pieces."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        kind = rng.choice(
            [*COSTLY_FAULTS, *COSTLY_UPLOADS, *COSTLY_FRAMES, *UNCONTROLLED]
        )
        if isinstance(kind, Fault):
            kinds[kind.value] += 1
            server = rng.choice(fleet.deployment.servers)
            server.faults = [kind] * N_FAULTS
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            server.faults = []
        elif kind in UNCONTROLLED:
            kinds[kind] += 1
            address = rng.choice(fleet.instances).addresses["front"]
            crowd = Crowd(platform_head)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(rng.uniform(1.0, 4.0)):
                    await crowd.send_bodies(address, UNCONTROLLED[kind], N_UNCONTROLLED)
                    await asyncio.sleep(rng.uniform(0.0, 2.0))
            fleet.unfinished_callers |= crowd.unfinished
            await crowd.close()
        elif kind in COSTLY_FRAMES:
            kinds[kind] += 1
            address = peer_address(rng.choice(fleet.instances))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(rng.uniform(1.0, 3.0)):
                    await send_frames(address, COSTLY_FRAMES[kind].data)
        else:
            kinds[kind] += 1
            chunk = COSTLY_UPLOADS[kind]
            n_chunks = COSTLY_BYTES // len(chunk)
            await send_chunks(fleet, chunk, n_chunks, f"{kind}-{loop.time()}")
        await asyncio.sleep(rng.uniform(0.0, 1.0))


async def soak(
    seed: int, folder: Path, for_s: float, n_instances: int, n_callers: int
) -> SoakResult:
    """Run a fleet under load, planned stops, servers that leave and restores."""
    rng = random.Random(seed)
    fleet = ProcessFleet(folder, rng, machine_limits=MACHINE_LIMITS)
    result = SoakResult(seed)
    try:
        times_s = [0.2, 0.8, 1.6, 2.4] * 6
        await fleet.start(n_instances, times_s)
        until_s = asyncio.get_running_loop().time() + for_s
        callers = make_callers(fleet, rng, n_callers)
        tasks = [asyncio.create_task(caller.run(until_s)) for caller in callers]
        leaving = asyncio.create_task(
            leave_in_series(fleet, random.Random(seed), until_s - fleet.grace_s)
        )
        costly = asyncio.create_task(
            send_costly_messages_in_series(
                fleet, random.Random(-seed), until_s - fleet.grace_s, result.costly
            )
        )
        restoring = asyncio.create_task(
            restore_in_series(fleet, random.Random(seed + 0.5), until_s - fleet.grace_s)
        )
        changing = asyncio.create_task(
            change_settings_in_series(
                fleet, random.Random(seed + 0.25), until_s - fleet.grace_s
            )
        )
        await stop_in_series(fleet, rng, until_s - fleet.grace_s)
        await changing
        await leaving
        await restoring
        await costly
        await asyncio.gather(*tasks)
        result.n_sent = len(fleet.sendings)
        result.n_answered = sum(row.status == 200 for row in fleet.sendings)
        result.n_stops = len(fleet.stops)
        result.n_killed = sum(row.killed_s < float("inf") for row in fleet.stops)
        result.lost = lost_sendings(fleet)
        result.broken = broken_promises(fleet)
        result.to_leaving = sent_to_leaving_servers(fleet)
        result.own_ends = fleet.own_ends
        result.n_restores = fleet.n_restores
        result.late_keys = late_keys(fleet)
        result.sound_keys = sound_keys_refused(fleet)
        result.n_unconfirmed = count_unconfirmed(fleet)
        result.cut = cut_lines(fleet)
    finally:
        await fleet.close()
    return result


def main() -> int:
    """Run seeds one after the other; exit with 1 if any of them found a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--callers", type=int, default=40)
    arguments = parser.parse_args()
    is_faulty = False
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                soak(
                    seed,
                    Path(folder),
                    arguments.seconds,
                    arguments.instances,
                    arguments.callers,
                )
            )
        print(result.describe(), flush=True)
        for text in result.cut:
            print(f"  log: {text}", flush=True)
        for text in result.faults():
            is_faulty = True
            print(f"  {text}", flush=True)
    return 1 if is_faulty else 0


if __name__ == "__main__":
    sys.exit(main())
