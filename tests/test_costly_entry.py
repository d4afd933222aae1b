"""Tests of bodies without end on the own interface: others are served as without."""

import asyncio
from collections import Counter

import pytest

from edge_site import KEY
from entry_process import Entry, RunEntry, send_body
from process_caller import LARGE_CHUNK, TINY_CHUNKS
from rhubarbspan.standins.caller import CallerStandIn

RUN_S = 3.0
N_CALLERS = 8
BODY_BYTES = 4_000_000
N_CHUNKS = 100_000


async def call_others(entry: Entry) -> Counter[int]:
    """Send look-ups of other callers for some time, and count their statuses."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + RUN_S
    statuses: Counter[int] = Counter()

    async def call() -> None:
        async with CallerStandIn([entry.address], KEY) as caller:
            while loop.time() < until_s:
                statuses[(await caller.send(entry.address, "/look/x")).status] += 1
                await asyncio.sleep(0.02)

    await asyncio.gather(*(call() for _ in range(N_CALLERS)))
    return statuses


def n_body_bytes(entry: Entry) -> int:
    """Return how many bytes of complete bodies the servers have received."""
    return sum(row.n_body_bytes for row in entry.deployment.backends.values())


# An operator's limit on bodies had no effect: 6.4 GB were taken in 4 s.
@pytest.mark.parametrize(
    ("framing", "verdict"),
    [
        ("Transfer-Encoding: chunked", "may-have-run"),
        (f"Content-Length: {2 * BODY_BYTES}", "not-run"),
    ],
)
def test_body_beyond_the_limit_of_the_own_interface_is_rejected(
    run_entry: RunEntry, framing: str, verdict: str
) -> None:
    async def work(entry: Entry) -> None:
        n_chunks = BODY_BYTES // 65_536 + 2
        reply = await send_body(entry, framing, LARGE_CHUNK, n_chunks, 0.005)
        assert reply is not None
        assert reply.status == 413
        assert reply.headers["rhubarbspan-reason"] == "body-too-large"
        assert reply.headers["rhubarbspan-verdict"] == verdict
        assert n_body_bytes(entry) == 0

    run_entry(work, body_bytes=str(BODY_BYTES))


# One upload took the whole processor, and the others' p99 rose from 119 to 417 ms.
@pytest.mark.parametrize(("chunk", "status"), [(TINY_CHUNKS, 400), (LARGE_CHUNK, 413)])
def test_callers_of_an_entry_are_served_beside_an_upload_without_end(
    run_entry: RunEntry, chunk: bytes, status: int
) -> None:
    async def work(entry: Entry) -> None:
        framing = "Transfer-Encoding: chunked"
        uploading = asyncio.create_task(send_body(entry, framing, chunk, N_CHUNKS))
        statuses = await call_others(entry)
        reply = await asyncio.wait_for(uploading, 1.0)
        assert set(statuses) == {200}
        assert reply is None or reply.status == status
        assert n_body_bytes(entry) == 0

    run_entry(work, body_bytes=str(BODY_BYTES))


def test_upload_to_an_entry_in_tiny_chunks_at_a_human_pace_is_taken(
    run_entry: RunEntry,
) -> None:
    async def work(entry: Entry) -> None:
        framing = "Transfer-Encoding: chunked"
        reply = await send_body(entry, framing, b"1\r\nx\r\n", 100, 0.01)
        assert reply is not None
        assert reply.status == 200
        assert n_body_bytes(entry) == 100

    run_entry(work)


def test_refusal_reaches_a_caller_that_is_still_sending_its_body(
    run_entry: RunEntry,
) -> None:
    async def work(entry: Entry) -> None:
        framing = "Transfer-Encoding: chunked\r\nX-Timeout-Ms: none"
        reply = await send_body(entry, framing, LARGE_CHUNK, 12, 0.005)
        assert reply is not None
        assert reply.status == 400
        assert reply.headers["rhubarbspan-verdict"] == "not-run"

    run_entry(work)
