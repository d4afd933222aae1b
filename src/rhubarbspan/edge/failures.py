"""Reports failures of long-lived tasks and of single entries, each of them seldom."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

import logbook

LOG = logbook.Logger("rhubarbspan")
T = TypeVar("T")
REPEAT_S = 60.0
# Pause after an unexpected error, in case that it repeats.
ERROR_DELAY_S = 1.0
# Bounds the memory for what was reported, and so the lines in the time above.
N_MAX_REPORTED = 100
MAX_SHOWN_LENGTH = 250


class FailureLog:
    """Logs the same failure at most once in ``REPEAT_S``, and counts all."""

    __slots__ = ("_count", "_now_s", "_reported_s")

    def __init__(
        self, count: Callable[[str, str], None], now_s: Callable[[], float]
    ) -> None:
        self._count = count
        self._now_s = now_s
        # Times of the latest lines, the oldest first.
        self._reported_s: dict[str, float] = {}

    def report_entry(self, key: str, reason: str) -> None:
        """Report an entry that is of no use, whatever its value is by now."""
        if self._is_due(key):
            shown = ascii(key[:MAX_SHOWN_LENGTH])
            LOG.warning("entry {}: {}", shown, reason[:MAX_SHOWN_LENGTH])

    def report_pace(self, what: str) -> None:
        """Report that something is read more slowly than it comes."""
        if self._is_due(what):
            LOG.warning("holds back {}", what)

    def report_error(self, task: str) -> None:
        """Report the exception that is being handled, with its traceback.

        Args:
            task: What has failed. It goes on, so that nothing else would tell of it.
        """
        self._count("task_failures", task)
        if self._is_due(f"{task} {_current_place()}"):
            LOG.exception("{} failed and goes on", task)

    def _is_due(self, key: str) -> bool:
        now_s = self._now_s()
        while self._reported_s:
            oldest = next(iter(self._reported_s))
            if now_s - self._reported_s[oldest] < REPEAT_S:
                break
            del self._reported_s[oldest]
        if key in self._reported_s:
            return False
        if len(self._reported_s) >= N_MAX_REPORTED:
            self._count("failure_lines_left_out", "")
            return False
        self._reported_s[key] = now_s
        return True


class CallCancelledError(Exception):
    """A call was cancelled by its library, and not by who awaits it."""


async def own_cancellation_only(work: Awaitable[T]) -> T:
    """Await work that only the cancellation of this task may cancel.

    Raises:
        CallCancelledError: If anything else has cancelled it.
    """
    try:
        return await work
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        raise CallCancelledError from error


async def run_on(
    work: Callable[[], Awaitable[None]], task: str, failures: FailureLog
) -> None:
    """Run work that has no end; run it again after an unexpected error.

    Args:
        work: Starts the work.
        task: What the work is called in reports.
        failures: Receives the errors.
    """
    while True:
        try:
            await own_cancellation_only(work())
        except Exception:
            failures.report_error(task)
        await asyncio.sleep(ERROR_DELAY_S)


def _current_place() -> str:
    """Return the type of the exception being handled, and where it was raised."""
    kind, _, trace = sys.exc_info()
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if kind is None or trace is None:
        return ""
    return f"{kind.__name__} {trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
