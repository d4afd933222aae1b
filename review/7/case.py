"""QUOTA after two of three regions lose each other, one of them with the store."""

import asyncio
import sys
from pathlib import Path

from network import STORE, Network
from stage import (
    BROKEN, HELD, CannotRun, Server, Stage, manifest, now_s, path_rule, play,
    request_bytes, send,
)

SUR, CENTRO, NORTE = 1, 2, 3
RATE_PER_S, BURST = 40, 40
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
# Both parts of the tenant's clients ask for more than the whole limit.
ASKED_PER_S = 60
SETTLE_S, CUT_S = 6.0, 26.0


async def ask(stage: Stage, daemon, name: str, per_s: float, until_s: float,
              sent: dict[str, float]) -> None:
    """Have clients of one region ask at a rate."""

    async def one(request_id: str) -> None:
        sent[request_id] = now_s()
        answer = await send(daemon.front,
                            request_bytes(request_id, f"/look/{number % 40}"))
        stage.record.write(f"{request_id} sent to {daemon.name}: {answer.status}")

    tasks, number = [], 0
    while now_s() < until_s:
        number += 1
        tasks.append(asyncio.create_task(one(f"{name}-{number}")))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)


def most_in_window(sent: dict[str, float], stage: Stage) -> tuple[int, float]:
    """Return the most requests that were sent and run in some window, and its start."""
    run_s: dict[str, float] = {}
    for server in stage.servers:
        run_s.update(server.first_run_s)
    rows = sorted((sent[name], at_s) for name, at_s in run_s.items())
    return max((sum(row[1] <= begin_s + WINDOW_S for row in rows[first:]), begin_s)
               for first, (begin_s, _) in enumerate(rows))


async def case(stage: Stage, has_trouble: bool) -> int:
    """Cut the link between sur and centro, with the store in centro."""
    document = manifest(5, [path_rule("look", "safe")])
    document["tenants"][0].update(ratePerS=RATE_PER_S, burst=BURST)
    await stage.store.start()
    stage.put_manifest(document)
    # The servers stand in norte, which both of the others go on reaching.
    for number in range(8):
        server = Server(f"i-{number}", "catalogo", "norte-a", stage.record, work_s=0.02)
        await server.start()
        stage.servers.append(server)
        stage.store.put(f"servers/{server.name}", server.entry())
    network = Network([SUR, CENTRO, NORTE])
    await network.start()
    try:
        sur = await network.add_daemon(stage, SUR, "sur-a")
        centro = await network.add_daemon(stage, CENTRO, "centro-a")
        await network.add_daemon(stage, NORTE, "norte-a")
        for daemon in stage.daemons:
            await daemon.start()
        await stage.wait_ready()
        await asyncio.sleep(3.0)
        sent: dict[str, float] = {}
        begun_s = now_s()
        end_s = begun_s + SETTLE_S + CUT_S
        rows = [asyncio.create_task(ask(stage, sur, "sur", ASKED_PER_S, end_s, sent))]
        await asyncio.sleep(SETTLE_S)
        if has_trouble:
            network.cut(SUR, CENTRO)
            network.cut(SUR, STORE)
            stage.record.write("sur and centro, where the store is, lose each other")
        rows.append(asyncio.create_task(
            ask(stage, centro, "centro", ASKED_PER_S, end_s, sent)))
        await asyncio.gather(*rows)
    finally:
        await network.stop()
    if not any(server.runs for server in stage.servers):
        raise CannotRun("nothing was run")
    n_most, at_s = most_in_window(sent, stage)
    n_allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    stage.record.write(f"most requests of the tenant sent and run within 5 s: {n_most}, "
                       f"from {at_s - begun_s:.1f} s of the traffic; allowed: "
                       f"{n_allowed:.0f}")
    return BROKEN if n_most > n_allowed else HELD


sys.exit(play(Path(__file__).parent, case))
