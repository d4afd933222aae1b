"""Log lines: limited in rate, never blocking, and without secrets.

A reader of the log that stops must cost lines, not time of the event loop.
"""

import asyncio
import json
import os
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from platform_site import (
    PlatformSite,
)
from rhubarbspan.edge.lines import MAX_LINES_PER_S, MAX_PENDING_BYTES, LineWriter
from rhubarbspan.standins.platform_deployment import (
    KEY,
    configuration_document,
)
from rhubarbspan.standins.platform_server import Fault

BODY = b"a-secret-body"


@dataclass(slots=True)
class Pipe:
    """A pipe for log lines and the clock of their writer."""

    reader: int
    writer: int
    now_s: list[float] = field(default_factory=lambda: [100.0])

    def lines(self) -> LineWriter:
        """Make a writer of log lines to the pipe."""
        return LineWriter(self.writer, "n-1", lambda: self.now_s[0])

    def read(self) -> list[dict[str, object]]:
        """Read and decode the lines that were written so far."""
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                piece = os.read(self.reader, 65_536)
            except BlockingIOError:
                break
            if not piece:
                break
            data += piece
        return [json.loads(line) for line in data.splitlines()]


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    """Return a pipe that is closed after the test."""
    reader, writer = os.pipe()
    opened = Pipe(reader, writer)
    yield opened
    for descriptor in (reader, writer):
        os.close(descriptor)


def test_lines_keep_a_cap_and_tell_what_was_left_out(pipe: Pipe) -> None:
    lines = pipe.lines()
    for number in range(MAX_LINES_PER_S["request"] + 40):
        lines.write("request", {"event": "sent", "number": number})
    for _ in range(10):
        lines.write("refused", {"event": "refused"})
    pipe.now_s[0] += 1.1
    lines.write("request", {"event": "sent"})
    written = pipe.read()
    events = [line["event"] for line in written]
    assert events.count("sent") == MAX_LINES_PER_S["request"] + 1
    assert events.count("refused") == 10
    (left_out,) = [line for line in written if line["event"] == "lines_left_out"]
    assert left_out["n_left_out"] == {"request": 40}


def test_reader_that_has_stopped_costs_lines_and_no_time(pipe: Pipe) -> None:
    async def work() -> tuple[LineWriter, float]:
        lines = pipe.lines()
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for number in range(5_000):
            pipe.now_s[0] += 0.02
            lines.write("refused", {"event": "refused", "text": "x" * 200})
            if number % 100 == 0:
                await asyncio.sleep(0)
        took_s = loop.time() - start_s
        assert sum(lines.n_left_out.values()) > 0
        assert lines._n_pending_bytes <= MAX_PENDING_BYTES
        pipe.read()
        await asyncio.sleep(0.05)
        pipe.read()
        await asyncio.sleep(0.05)
        pipe.now_s[0] += 5
        lines.write("refused", {"event": "refused"})
        return lines, took_s

    _, took_s = asyncio.run(work())
    assert took_s < 2.0


def test_closed_pipe_loses_lines_only() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    lines = LineWriter(writer, "n-1", lambda: 1.0)
    lines.write("request", {"event": "sent"})
    lines.write("request", {"event": "sent"})
    os.close(writer)


def test_no_line_holds_a_key_or_a_body(pipe: Pipe) -> None:
    loop = asyncio.new_event_loop()
    site = PlatformSite(loop)

    async def start() -> None:
        await site.start(n_instances=0)
        await site.add_instance("front-a-1", pipe.lines())

    loop.run_until_complete(start())
    world = site.instances[0].world
    site.wait_for(
        lambda: (
            bool(world.configuration.revision and world.servers.rows())
            and world.buckets.get("ana") is not None
            and world.buckets.get("ana").n_tokens > 9
        ),  # type: ignore[union-attr]
        "the instance serves",
    )
    secret_headers = {"Authorization": "Bearer other-secret", "X_Own": "own-secret"}
    site.send("/order/x", "POST", BODY, **secret_headers)
    site.send("/look/x", X_Credential="wrong-secret")
    for server in site.servers:
        server.faults = [Fault.LOST]
    site.send("/order/y", "POST", BODY)
    site.store.put("op/config", configuration_document(3, tenants=[]))
    site.wait_for(lambda: world.configuration.revision == 3, "in force")
    site.send("/look/x")
    loop.run_until_complete(site.stop())
    loop.close()
    written = pipe.read()
    events = {line["event"] for line in written}
    assert {"sent", "answered", "refused", "failed"} <= events
    text = json.dumps(written)
    for secret in (KEY, BODY.decode(), "other-secret", "own-secret", "wrong-secret"):
        assert secret not in text
    request_lines = [line for line in written if line["event"] != "log"]
    assert all(line["request"] for line in request_lines)
    ends = [line for line in written if line["event"] in ("refused", "failed")]
    assert all(line["reason"] for line in ends)
