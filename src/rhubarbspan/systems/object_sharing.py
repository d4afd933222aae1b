"""Tells the other instances which servers this one uses for which objects.

In a large fleet an instance sends few of the requests for an object itself. What the
others have sent shows which servers are warm for it, and which objects a server will
evict next, and the responses show how many objects servers keep. Heartbeats tell both
inside a data centre, summaries between data centres.
"""

from ..tables.objects import (
    N_MAX_UNSENT,
    N_MIN_PER_SERVER,
    N_TRACKED_PER_SERVER,
    server_digest,
)
from ..tables.servers import ServerRow
from ..world import World
from .told_uses import record_told_uses

Uses = list[tuple[int, int]]


def record_use(
    world: World, now_s: float, pool: str, server: ServerRow, key: int
) -> None:
    """Record that this instance sends a server a request for an object."""
    objects = world.objects
    objects.record_handled(pool, server.server_id, key, now_s)
    use = (server_digest(server.server_id), key)
    _append(objects.unsent, [use])
    _append(objects.unsent_local, [use])


def apply_uses(
    world: World, now_s: float, handled: dict[int, list[int]], is_local: bool
) -> None:
    """Apply the uses of servers that a message tells.

    Args:
        world: The tables.
        now_s: The present time.
        handled: Digests of objects, by digest of the server.
        is_local: Whether the sender is an instance of the own data centre, whose uses
            the next summary tells to other data centres.
    """
    for digest, keys in handled.items():
        server = world.servers.by_digest(digest)
        if server is None:
            continue
        record_told_uses(server, now_s, len(keys))
        for key in keys:
            world.objects.record_handled(server.pool, server.server_id, key, now_s)
        if is_local:
            _append(world.objects.unsent_local, [(digest, key) for key in keys])


def record_response(world: World, pool: str, depth: int, was_warm: bool) -> None:
    """Learn from a response how many objects the servers of a pool keep.

    Args:
        world: The tables.
        pool: The pool.
        depth: Number of objects that the server handled since it handled the request's.
        was_warm: Whether the response took as long as that of a warm server.
    """
    if depth < N_MIN_PER_SERVER:
        return
    objects = world.objects
    objects.record_response(pool, depth, was_warm)
    response = depth + 1 if was_warm else -depth - 1
    for unsent in (objects.unsent_responses, objects.unsent_local_responses):
        _append_response(unsent, pool, response)


def apply_responses(
    world: World, responses: dict[str, list[int]], is_local: bool
) -> None:
    """Apply the responses that a message tells, encoded as in ``Objects``."""
    objects = world.objects
    for pool, values in responses.items():
        for value in values:
            if not 0 < abs(value) <= N_TRACKED_PER_SERVER:
                continue
            objects.record_response(pool, abs(value) - 1, value > 0)
            if is_local:
                _append_response(objects.unsent_local_responses, pool, value)


def take_responses(unsent: dict[str, list[int]]) -> dict[str, list[int]]:
    """Remove and return the responses that wait to be told, by pool."""
    taken = dict(unsent)
    unsent.clear()
    return taken


def _append_response(unsent: dict[str, list[int]], pool: str, response: int) -> None:
    values = unsent.setdefault(pool, [])
    if len(values) < N_MAX_UNSENT:
        values.append(response)


def take_uses(uses: Uses) -> dict[int, list[int]]:
    """Remove and return uses that wait to be told, by server."""
    handled: dict[int, list[int]] = {}
    for digest, key in uses:
        handled.setdefault(digest, []).append(key)
    uses.clear()
    return handled


def _append(uses: Uses, new: Uses) -> None:
    uses += new
    del uses[:-N_MAX_UNSENT]
