"""CONFIG after a valid manifest that has one route whose prefix begins with /-/."""

import asyncio
import sys
from pathlib import Path

from stage import (
    BROKEN, HELD, CannotRun, Stage, manifest, now_s, path_rule, play, request_bytes,
    send,
)

PROPAGATION_S = 2.5
WATCHED_S = 12.0


def older() -> dict:
    """Return the manifest before: two routes to catalogo, one of them without a key."""
    return manifest(5, [path_rule("stock", "safe", "catalogo", allowAnonymous=True),
                        path_rule("look", "safe", "catalogo")])


def newer(has_trouble: bool) -> dict:
    """Return the next one: a route moves, one is added, and one is under /-/."""
    paths = [path_rule("stock", "safe", "moldes", allowAnonymous=True),
             path_rule("look", "safe", "catalogo"),
             path_rule("fresh", "safe", "moldes", allowAnonymous=True)]
    if has_trouble:
        paths.append(path_rule("-/health", "safe", "moldes", allowAnonymous=True))
    return manifest(6, paths)


async def case(stage: Stage, has_trouble: bool) -> int:
    """Send requests to each daemon after the acknowledgement of the next manifest."""
    await stage.start(older(), 3)
    await asyncio.sleep(3.0)
    for number, daemon in enumerate(stage.daemons):
        for path in ("stock", "look"):
            answer = await send(daemon.front,
                                request_bytes(f"before-{number}-{path}", f"/{path}/a"))
            if answer.status != 200:
                raise CannotRun(f"/{path}/ did not work before: {answer.status}")
    acknowledged_s = stage.put_manifest(newer(has_trouble))
    services = {server.name: server.service for server in stage.servers}
    n_old_service = n_not_found = n_refused = n_sent = 0
    while now_s() < acknowledged_s + WATCHED_S:
        for daemon in stage.daemons:
            for path in ("stock", "fresh", "look"):
                n_sent += 1
                name = f"after-{n_sent}"
                answer = await send(daemon.front, request_bytes(name, f"/{path}/a"))
                age_s = answer.sent_s - acknowledged_s
                ran = [services[s.name] for s in stage.servers if s.runs[name]]
                stage.record.write(f"{name} /{path}/ to {daemon.name}, sent {age_s:.2f} s "
                                   f"after the acknowledgement: {answer.status}, "
                                   f"run by {ran}")
                if age_s <= PROPAGATION_S:
                    continue
                n_old_service += path == "stock" and "catalogo" in ran
                n_not_found += answer.status == 404
                n_refused += path == "look" and answer.status == 503
        await asyncio.sleep(0.3)
    stage.record.write(f"sent over {PROPAGATION_S} s after the acknowledgement: "
                       f"{n_old_service} run by the old service, {n_not_found} answered "
                       f"404 though their route is there, {n_refused} with a key "
                       f"answered 503")
    return BROKEN if n_old_service or n_not_found else HELD


sys.exit(play(Path(__file__).parent, case))
