"""Collects inputs, runs ticks over the world and publishes the effects."""

import asyncio
from collections.abc import Callable

from reactivex import Subject

from ..effects import Effect, Effects
from ..inputs import Input
from ..tick import run_tick
from ..world import World
from .failures import FailureLog

# A timer that is this close to the next deadline stays. One that fires before the
# deadline leads to a tick that sets it again.
TIMER_TOLERANCE_S = 0.001


class Ticker:
    """Runs a tick when inputs have arrived or a deadline is due; it sleeps otherwise.

    Attributes:
        inputs: Receives inputs from the edge.
        effects: Publishes each effect to its subscribers.
        n_ticks: Ticks that were run.
    """

    __slots__ = (
        "world",
        "inputs",
        "effects",
        "_failures",
        "_clock",
        "_loop",
        "_pending",
        "_is_scheduled",
        "_timer",
        "_subscription",
        "n_ticks",
        "_failed",
    )

    def __init__(self, world: World, clock: Callable[[], float]) -> None:
        self.world = world
        self.inputs: Subject[Input] = Subject()
        self.effects: Subject[Effect] = Subject()
        self._clock = clock
        self._failures = FailureLog(world.count, clock)
        self._loop = asyncio.get_running_loop()
        self._pending: list[Input] = []
        self._is_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._subscription = self.inputs.subscribe(on_next=self._collect)
        self.n_ticks = 0
        self._failed: asyncio.Future[None] = self._loop.create_future()

    async def wait_for_failure(self) -> None:
        """Wait until a tick fails; its inputs are lost."""
        await asyncio.shield(self._failed)

    def now_s(self) -> float:
        """Return the time by the clock of the ticks."""
        return self._clock()

    def start(self) -> None:
        """Schedule the first tick, which sets the first deadlines."""
        self._schedule()

    def stop(self) -> None:
        """Stop running ticks."""
        self._subscription.dispose()
        self._is_scheduled = True
        if self._timer is not None:
            self._timer.cancel()

    def _collect(self, item: Input) -> None:
        self._pending.append(item)
        self._schedule()

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        inputs = self._pending
        self._pending = []
        self.n_ticks += 1
        try:
            effects: Effects = run_tick(self.world, self._clock(), inputs)
        except Exception:
            # An error in one tick must not stop the instance. Later ticks still run,
            # and requests that this one left unfinished end at their deadlines.
            self.world.count("tick_failures")
            self._failures.report_error("tick")
            self._failed.set_result(None)
            self._failed = self._loop.create_future()
            effects = []
        for effect in effects:
            self._publish(effect)
        self._arm_timer()

    def _publish(self, effect: Effect) -> None:
        """Publish an effect; an error in carrying it out costs no other effect."""
        try:
            self.effects.on_next(effect)
        except Exception:
            self._failures.report_error(f"effect {type(effect).__name__}")

    def _arm_timer(self) -> None:
        """Set the timer to the next deadline; it stays if it is set to it."""
        next_s = self.world.deadlines.next_s()
        when_s = float("inf")
        if next_s is not None:
            # The clocks may differ by the time for which the host was suspended.
            when_s = self._loop.time() + max(0.0, next_s - self._clock())
        if self._timer is not None:
            if abs(self._timer.when() - when_s) < TIMER_TOLERANCE_S:
                return
            self._timer.cancel()
            self._timer = None
        if next_s is not None:
            self._timer = self._loop.call_at(when_s, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self._schedule()
