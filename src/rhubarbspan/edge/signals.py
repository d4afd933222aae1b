"""Receives the signals that ask the process to stop."""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType

from ..inputs import StopRequested
from .ticker import Ticker

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Tells that the process was asked to stop, and since when.

    The time is that at which the interpreter handled the first signal, which it does
    while the event loop is blocked or does not run yet.

    Attributes:
        received_s: When the first signal was handled, or None before it.
    """

    __slots__ = ("_clock", "_event", "received_s")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._event = asyncio.Event()
        self.received_s: float | None = None

    def install(self) -> None:
        """Handle the stop signals of this process from now on."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            # Wakes the loop. The handler set next runs in addition.
            loop.add_signal_handler(number, self._event.set)
            signal.signal(number, self._receive)
            signal.siginterrupt(number, False)

    async def wait(self) -> float:
        """Wait for the first signal and return when it was handled."""
        await self._event.wait()
        return self._clock() if self.received_s is None else self.received_s

    def _receive(self, number: int, frame: FrameType | None) -> None:
        if self.received_s is None:
            self.received_s = self._clock()


async def stop_on_signal(ticker: Ticker, stop: StopSignal) -> None:
    """Ask an instance to leave on the signal, until it does.

    A tick that fails has lost the request.
    """
    signalled_s = await stop.wait()
    ticker.inputs.on_next(StopRequested(signalled_s))
    while ticker.world.departure is None:
        await ticker.wait_for_failure()
        ticker.inputs.on_next(StopRequested(signalled_s))
