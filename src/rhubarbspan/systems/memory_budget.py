"""Decides what an instance holds for others, so that its machine's memory suffices.

The load pattern: many callers at once send large bodies, stop short of their end and
keep their connections open. Without a bound each of them holds its body; with 600
callers that was 767 to 957 MB on machines of 200 MB.

Near the budget, an instance first stops reading ahead, then refuses new bodies before
they are read, then closes the connections that hold most and make no progress. What is
admitted may grow beyond where new bodies are refused, and small bodies beyond that, so
that no group of callers keeps another, or a small request, from being finished.
"""

from ..tables.memory import Held, HoldingRow, Memory, Phase

BYTES_PER_MB = 1024 * 1024
# A process at rest has 60 MB, and tables of a large fleet take up to a third of that.
PROCESS_BYTES = 80 * BYTES_PER_MB
# Part of the rest that is held for others by count. Buffers exist twice for a moment
# when they grow, are framed or are converted, and freed memory stays in fragments.
HELD_FRACTION = 0.5
# Part of the rest that connections take without what is counted, and what one takes: a
# connection with an unfinished head was measured at 11.6 KB, and 4 KiB that it has
# received are not counted.
CONNECTIONS_FRACTION = 0.25
CONNECTION_BYTES = 16 * 1024
# Least part of the memory that is held for others, where the process needs all of it.
MIN_HELD_FRACTION = 1 / 16
# Parts of the budget up to which an instance reads ahead, takes new bodies, and lets
# those grow that it has taken. Small bodies may fill the rest.
AHEAD_FRACTION = 0.5
NEW_BODY_FRACTION = 0.75
GROWTH_FRACTION = 0.9
SMALL_BODY_BYTES = 16 * 1024
# Bodies in chunks are granted room in such steps.
GROWTH_STEP_BYTES = 65_536
# A connection without progress for this long may be closed to make room. A caller on a
# working link pauses that long only between requests.
STALL_S = 1.0
# The same if there are no descriptors left for a new connection.
DESCRIPTOR_STALL_S = 0.5
# Part of the descriptors for callers; a request needs a second one for its server.
CALLER_DESCRIPTORS_FRACTION = 0.5
# Descriptors for listening, the store, readiness, look-ups, logs and the event loop.
N_RESERVED_DESCRIPTORS = 40
# A body may pause for the idle timeout; beyond that it has to arrive at this rate. Each
# of 2,000 callers that share a link of 5 Mbit/s gets more than that.
MIN_BODY_BYTES_PER_S = 256.0
# A refused body may be sent again after this time, spread by a random factor.
RETRY_S = 1.0


def budget_bytes(memory_bytes: int) -> int:
    """Return how much a process holds for others on a machine of this memory."""
    rest = (memory_bytes - PROCESS_BYTES) * HELD_FRACTION
    return int(max(rest, memory_bytes * MIN_HELD_FRACTION))


def max_connections(memory_bytes: int, n_descriptors: int) -> int:
    """Return how many connections of callers may be open."""
    rest = max(memory_bytes - PROCESS_BYTES, memory_bytes * MIN_HELD_FRACTION)
    n_by_memory = int(rest * CONNECTIONS_FRACTION / CONNECTION_BYTES)
    n_free = n_descriptors - N_RESERVED_DESCRIPTORS
    return max(1, min(n_by_memory, int(n_free * CALLER_DESCRIPTORS_FRACTION)))


def may_read_ahead(memory: Memory) -> bool:
    """Return whether bytes may be read before they are asked for."""
    return memory.n_total_bytes < memory.limit_bytes * AHEAD_FRACTION


def reserve_body(memory: Memory, row: HoldingRow, n_bytes: int, is_new: bool) -> bool:
    """Reserve room for a body, or for more of it, if there is room.

    Args:
        memory: The table.
        row: The caller's connection.
        n_bytes: Bytes that the body will need in addition.
        is_new: Whether none of the body has been read.
    """
    fraction = NEW_BODY_FRACTION if is_new else GROWTH_FRACTION
    if row.n_bytes[Held.BODY] + n_bytes <= SMALL_BODY_BYTES:
        fraction = 1.0
    if memory.n_total_bytes + n_bytes > memory.limit_bytes * fraction:
        return False
    memory.hold(row, Held.BODY, n_bytes)
    return True


def is_body_too_slow(
    n_bytes: int, begun_s: float, now_s: float, idle_timeout_s: float
) -> bool:
    """Return whether a body has arrived at less than the minimum rate.

    >>> is_body_too_slow(1000, 0.0, 14.0, 15.0), is_body_too_slow(1000, 0.0, 20.0, 15.0)
    (False, True)
    """
    return n_bytes < (now_s - begun_s - idle_timeout_s) * MIN_BODY_BYTES_PER_S


def choose_stalled(
    memory: Memory, rows: list[HoldingRow], now_s: float
) -> list[HoldingRow]:
    """Choose the connections that are closed to make room, those with most first.

    Only those are chosen that have made no progress for some time while a request
    arrives or a response waits to be taken; not those that wait for a server.
    """
    excess = memory.n_total_bytes - memory.limit_bytes * AHEAD_FRACTION
    if excess <= 0:
        return []
    stalled = [
        row
        for row in rows
        if not row.is_closing
        and now_s - row.progressed_s >= STALL_S
        and (row.phase is Phase.ARRIVING or row.n_bytes[Held.UNSENT] > 0)
    ]
    stalled.sort(key=HoldingRow.total, reverse=True)
    chosen: list[HoldingRow] = []
    for row in stalled:
        if excess <= 0 or row.total() == 0:
            break
        excess -= row.total()
        row.is_closing = True
        chosen.append(row)
    return chosen


def choose_displaced(memory: Memory, address: str, now_s: float) -> HoldingRow | None:
    """Choose the connection that gives way to a new one of an address.

    Idle connections of the address with the most connections go first, then those of it
    on which a request has stopped arriving.

    Returns:
        The connection, or None if the new one has to be refused.
    """
    if not memory.by_address:
        return None
    largest = max(memory.by_address, key=memory.n_of)
    if memory.n_of(largest) < memory.n_of(address):
        largest = address
    rows = [row for row in memory.by_address[largest] if not row.is_closing]
    idle = [row for row in rows if row.phase is Phase.IDLE]
    stalled = [
        row
        for row in rows
        if row.phase is Phase.ARRIVING
        and now_s - row.progressed_s >= DESCRIPTOR_STALL_S
    ]
    return min(idle or stalled, key=lambda row: row.progressed_s, default=None)
