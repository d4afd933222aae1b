"""Tests of planned stops of processes that the deploy file's command starts."""

import asyncio
import contextlib
import random
from dataclasses import replace
from pathlib import Path

import pytest

from conftest import RunFleet
from fleet_judges import cut_lines, lost_sendings
from held_up import describe_machine
from process_caller import LOOKUP_KEEPS, Caller
from process_fleet import ProcessFleet, Sending, Stop
from rhubarbspan.edge.instance import choose_policies, lookup_lifetime_s
from rhubarbspan.platform.settings import Bounds, PlatformSettings
from soak import MACHINE_LIMITS, N_UNCONTROLLED, soak
from uncontrolled import BODY_KINDS, COMPLETE_EVERY, BodyKind, Crowd, platform_head

SOAK_S = 30.0


def sent_after(
    fleet: ProcessFleet, stop: Stop, from_s: float, to_s: float
) -> list[Sending]:
    """List the requests that a stopped instance got in a time after its SIGTERM."""
    return [
        row
        for row in fleet.sendings
        if row.instance == stop.instance
        and from_s < row.sent_s - stop.terminated_s < to_s
    ]


def make_caller(fleet: ProcessFleet, number: int) -> Caller:
    """Make one of several callers that start one after the other.

    Each sends orders on connections of their own, and uses a look-up answer for as long
    as any caller does.
    """
    return Caller(
        fleet,
        f"c{number}",
        "a-1",
        random.Random(number),
        keeps_connections=False,
        keeps_lookup=max(LOOKUP_KEEPS),
        starts_after_s=number * 0.06,
    )


def test_order_late_in_the_grace_period_is_not_cut_by_the_kill(
    run_fleet: RunFleet,
) -> None:
    async def work(fleet: ProcessFleet) -> None:
        end_s = asyncio.get_running_loop().time() + 11.0
        callers = [make_caller(fleet, number) for number in range(40)]
        for number, caller in enumerate(callers):
            caller.is_chunked = number % 2 == 0
            # They go on sending to the instance that stops.
            caller.named = fleet.instances[:1]
            caller.looked_up_until_s = end_s
        tasks = [asyncio.create_task(caller.run(end_s)) for caller in callers]
        await asyncio.sleep(2.5)
        stop = await fleet.stop_and_restart(fleet.instances[0])
        await asyncio.gather(*tasks)
        exited_s = stop.exited_s - stop.terminated_s
        late = sent_after(fleet, stop, 3.0, exited_s)
        assert late, "no order was sent late in the grace period"
        assert lost_sendings(fleet) == []
        assert fleet.log_lines("unfinished") == []
        refused = [row for row in late if row.status == 503]
        assert refused
        assert all(row.ended_s - row.sent_s < 1.0 for row in refused)
        assert all(row.retry_after_s > 0 for row in refused)

    run_fleet(work, 2)


def test_body_that_arrives_in_chunks_during_the_stop_gets_a_response(
    run_fleet: RunFleet,
) -> None:
    async def work(fleet: ProcessFleet) -> None:
        loop = asyncio.get_running_loop()
        callers = [make_caller(fleet, number) for number in range(20)]
        for caller in callers:
            caller.is_chunked = True
            caller.sends_body_for_s = 2.0
            caller.starts_after_s += 1.5
            await caller.look_up()
        tasks = [asyncio.create_task(row.run(loop.time() + 3.3)) for row in callers]
        stop = await fleet.stop_and_restart(fleet.instances[0])
        await asyncio.gather(*tasks)
        rows = [row for row in fleet.sendings if row.instance == stop.instance]
        assert len(rows) >= len(callers)
        assert [row for row in rows if row.status not in (200, 503)] == []
        assert fleet.log_lines("connection cut") == []

    run_fleet(work, 2)


# The soak failed once with six connections cut in a stop: callers whose bodies never
# end had chosen the instance that was stopping, and had room for seven bodies.
def test_only_callers_that_never_end_their_requests_are_cut_by_a_stop(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        fleet = ProcessFleet(tmp_path, random.Random(1), machine_limits=MACHINE_LIMITS)
        crowd = Crowd(platform_head)
        try:
            await fleet.start(2, [0.2] * 4)
            instance = fleet.instances[0]
            kind = BODY_KINDS["announced, in pieces"]
            caller = make_caller(fleet, 0)
            caller.is_chunked, caller.sends_body_for_s = True, 1.0
            caller.named = [instance]
            now_s = asyncio.get_running_loop().time()
            caller.looked_up_until_s = now_s + 60
            calling = asyncio.create_task(caller.run(now_s + 4.0))
            address = instance.addresses["front"]
            await crowd.send_bodies(address, kind, N_UNCONTROLLED)
            await fleet.stop_and_restart(instance)
            await calling
            assert fleet.log_lines("connection cut")
            assert cut_lines(fleet)
            fleet.unfinished_callers |= crowd.unfinished
            assert cut_lines(fleet) == []
            assert lost_sendings(fleet) == []
            assert any(row.status == 200 for row in fleet.sendings)
        finally:
            await crowd.close()
            await fleet.close()

    asyncio.run(run())


# Excusing ended bodies too would hide a stop that cuts callers with whole requests.
def test_caller_that_sends_its_body_to_the_end_is_not_excused() -> None:
    n_unfinished = []

    async def run(kind: BodyKind) -> None:
        reading: set[asyncio.Task[None]] = set()

        def read_all(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            reading.add(asyncio.create_task(_read_all(reader, writer)))

        server = await asyncio.start_server(read_all, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        crowd = Crowd(platform_head)
        await crowd.send_bodies(f"{host}:{port}", kind, 2 * COMPLETE_EVERY)
        n_unfinished.append(len(crowd.unfinished))
        await crowd.close()
        server.close()
        await asyncio.wait(reading)

    for name in ("announced, in pieces", "large chunks", "announced over the limit"):
        asyncio.run(run(BODY_KINDS[name]))
    n_all = 2 * COMPLETE_EVERY
    assert n_unfinished == [n_all - 2, n_all - 2, n_all]


async def _read_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass
    writer.transport.abort()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


@pytest.mark.parametrize("grace_s", [5.0, 6.0, 10.0, 30.0])
def test_lookup_answers_expire_before_a_stopping_instance_refuses_all(
    grace_s: float,
) -> None:
    settings = PlatformSettings("f", "a-1", "a", {"a-1": "a"}, "", "", "", "", "")
    settings = replace(settings, bounds=Bounds(grace_s=grace_s))
    kept_s = max(LOOKUP_KEEPS) * lookup_lifetime_s(settings.bounds)
    heard_s = choose_policies(settings).heartbeat_interval_s
    assert heard_s + kept_s <= choose_policies(settings).serve_leaving_s


@pytest.mark.parametrize("seed", [1, 2])
def test_overlapping_stops_in_series_lose_nothing(seed: int, tmp_path: Path) -> None:
    result = asyncio.run(soak(seed, tmp_path, SOAK_S, n_instances=3, n_callers=30))
    assert result.n_answered > result.n_sent / 3, describe_machine()
    n_servable = result.n_sent - result.n_unconfirmed
    assert result.n_answered > n_servable / 2, describe_machine()
    assert result.n_stops >= 3
    assert result.faults() == []
    assert result.cut == []
