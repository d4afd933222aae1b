"""Writes log lines without blocking; bounds lines per second and pending bytes."""

import asyncio
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import logbook
import msgspec

# Lines of each kind per second; rarer kinds that tell an operator more get more.
MAX_LINES_PER_S = {"failure": 200, "belief": 200, "refused": 100, "request": 60}
DEFAULT_MAX_LINES_PER_S = 60
# Bytes that are buffered while the reader of the descriptor does not read.
MAX_PENDING_BYTES = 262_144
WINDOW_S = 1.0

Fields = dict[str, Any]


class LineWriter:
    """Writes JSON objects, one a line, to a file descriptor.

    Attributes:
        n_left_out: Lines dropped by kind since the last ``lines_left_out`` line.
    """

    __slots__ = (
        "n_left_out",
        "_descriptor",
        "_clock",
        "_pending",
        "_n_pending_bytes",
        "_is_writer_registered",
        "_window_start_s",
        "_n_lines",
        "_name",
    )

    def __init__(self, descriptor: int, name: str, clock: Callable[[], float]) -> None:
        self._descriptor = descriptor
        self._name = name
        self._clock = clock
        self._pending: deque[bytes] = deque()
        self._n_pending_bytes = 0
        self._is_writer_registered = False
        self._window_start_s = 0.0
        self._n_lines: Counter[str] = Counter()
        self.n_left_out: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def write(self, kind: str, fields: Fields) -> None:
        """Write a line, or count it as dropped."""
        now_s = self._clock()
        if now_s - self._window_start_s >= WINDOW_S:
            self._start_window(now_s)
        self._n_lines[kind] += 1
        if self._n_lines[kind] > MAX_LINES_PER_S.get(kind, DEFAULT_MAX_LINES_PER_S):
            self.n_left_out[kind] += 1
            return
        self._enqueue(kind, fields)
        self._flush()

    def _start_window(self, now_s: float) -> None:
        self._window_start_s = now_s
        self._n_lines.clear()
        if self.n_left_out and self._n_pending_bytes < MAX_PENDING_BYTES:
            left_out = dict(self.n_left_out)
            self.n_left_out.clear()
            self._enqueue("belief", {"event": "lines_left_out", "n_left_out": left_out})

    def _enqueue(self, kind: str, fields: Fields) -> None:
        head = {"now_s": round(self._clock(), 4), "instance": self._name}
        line = msgspec.json.encode({**head, **fields}) + b"\n"
        if self._n_pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.n_left_out[kind] += 1
            return
        self._pending.append(line)
        self._n_pending_bytes += len(line)

    def _flush(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                n_bytes = os.write(self._descriptor, line)
            except BlockingIOError:
                self._register_writer()
                return
            except OSError:
                # The reader is gone. Dropping the lines keeps requests running.
                self._pending.clear()
                self._n_pending_bytes = 0
                return
            self._n_pending_bytes -= n_bytes
            if n_bytes == len(line):
                self._pending.popleft()
            else:
                self._pending[0] = line[n_bytes:]

    def _register_writer(self) -> None:
        """Ask the event loop to continue when the descriptor is writable."""
        if self._is_writer_registered:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._handle_writable)
        except (RuntimeError, OSError):
            # No event loop, or a regular file, which cannot be watched: the next line
            # retries.
            return
        self._is_writer_registered = True

    def _handle_writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._is_writer_registered = False
        self._flush()


class LineHandler(logbook.Handler):  # type: ignore[misc]
    """Writes the program's log records as lines."""

    def __init__(self, writer: LineWriter, level: str) -> None:
        super().__init__(level=logbook.lookup_level(level))
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a log record as a line."""
        level = record.level_name.lower()
        fields: Fields = {"event": "log", "level": level, "text": record.message}
        if record.exc_info:
            fields["error"] = record.formatted_exception
        kind = "belief" if level in ("info", "debug", "notice") else "failure"
        self._writer.write(kind, fields)
