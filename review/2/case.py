"""One unreadable entry of another writer, and no daemon hears of servers any more."""

import asyncio
import json

from harness import BOUNDS, BROKEN, HAS_TROUBLE, HELD, Server, Site, ask, run

N_SERVERS = 6
SERVICE_S = 0.7
ORDER_INTERVAL_S = 0.05
ENTRY_AT_S = 2.0
DRAIN_AT_S = 5.0
# A draining server serves for drainS and a little longer, and exits then.
SERVES_ON_S = 4.6
END_AT_S = 14.0
# JSON that breaks off inside nested lists.
UNREADABLE = b'{"x":' + b"[" * 2000


async def script(site: Site) -> int:
    servers = await site.start(["centro-a", "centro-a"], N_SERVERS, SERVICE_S)
    leaving, runs_at = servers[3], []
    await asyncio.sleep(2)
    begin_s = site.now_s()
    ends: dict[str, int] = {}

    async def order(number: int) -> None:
        daemon = site.daemons[number % 2]
        name = f"order-{number}"
        ends[name], _, _ = await ask(daemon.front, "POST", "/pedido/1", name, b"pour")
        if ends[name] != 200:
            site.note(f"{name} ends with {ends[name] or 'a closed connection'}")

    async def watch_runs() -> None:
        known: set[str] = set()
        while True:
            for name in leaving.runs.keys() - known:
                runs_at.append((site.now_s(), name))
            known |= leaving.runs.keys()
            await asyncio.sleep(0.005)

    async def trouble() -> None:
        if not HAS_TROUBLE:
            return
        await asyncio.sleep(ENTRY_AT_S)
        site.store.put("servers/i-0000beef", UNREADABLE)
        site.note(f"another writer's entry, {len(UNREADABLE)} bytes that can't be read")

    accepted_s = float("inf")

    async def drain() -> None:
        nonlocal accepted_s
        await asyncio.sleep(DRAIN_AT_S)
        leaving.state = "draining"
        site.report(leaving)
        accepted_s = site.now_s()
        site.note(f"the store has accepted that {leaving.server_id} is draining")
        added = Server(site, "i-0000aaaa")
        await added.start()
        site.servers.append(added)
        site.report(added)
        await asyncio.sleep(SERVES_ON_S)
        site.note(f"{leaving.server_id} exits with {leaving.n_running} requests at work")
        leaving.down_s = 0.0
        leaving.crash()
        site.store.delete(f"servers/{leaving.server_id}")

    works = [asyncio.create_task(work()) for work in (watch_runs, trouble, drain)]
    tasks = []
    number = 0
    while site.now_s() < begin_s + END_AT_S:
        number += 1
        tasks.append(asyncio.create_task(order(number)))
        await asyncio.sleep(ORDER_INTERVAL_S)
    await asyncio.gather(*tasks)
    works[0].cancel()
    late = [(at, name) for at, name in runs_at if at > accepted_s + BOUNDS["drainS"]]
    for at, name in late:
        site.note(
            f"DRAIN: {name} reached {leaving.server_id} {at - accepted_s:.2f} s after "
            f"its leaving was accepted; it ended with {ends[name] or 'a closed connection'}"
        )
    n_lost = sum(status != 200 for status in ends.values())
    n_added = sum(site.servers[-1].runs.values())
    site.note(
        f"{len(ends)} orders, {n_lost} without an answer of a server; {len(late)} reached "
        f"the draining server too late; the added server ran {n_added}"
    )
    if HAS_TROUBLE:
        for daemon in site.daemons:
            daemon.process.kill()
            await daemon.process.wait()
            await site.start_daemon(daemon)
        for daemon in site.daemons:
            await site.wait_until_ready(daemon)
        await asyncio.sleep(2)
        answers = [
            (await ask(d.front, "POST", "/pedido/1", f"again-{i}", b"pour"))[0]
            for i in range(5)
            for d in site.daemons
        ]
        site.note(f"not judged: both daemons were started anew; ten orders end with {answers}")
    return BROKEN if late else HELD


run(__file__, script)
