"""The era of a store: it rises by one each time the store is restored from a copy."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from reactivex import Subject

T = TypeVar("T")
ERA_HEADER = "Store-Era"
# Longer texts are no eras; with this length an era fits in all encodings.
MAX_DIGITS = 12


def parse_era(text: str | None) -> int:
    """Return the era that a response of the store names, 0 if it names none.

    Example:
        >>> parse_era("3"), parse_era(None), parse_era("-1"), parse_era("9" * 30)
        (3, 0, 0, 0)
    """
    if text is None or len(text) > MAX_DIGITS:
        return 0
    return int(text) if text.isascii() and text.isdigit() else 0


class Eras:
    """The eras that the responses to a client of the store were of.

    Attributes:
        newest: The newest one.
        are_named: Whether the store has named its era in any response.
        risen: Publishes each newer era as soon as the head of a response names it.
    """

    __slots__ = ("newest", "are_named", "risen", "_ended")

    def __init__(self) -> None:
        self.newest = 0
        self.are_named = False
        self.risen: Subject[int] = Subject()
        self._ended: asyncio.Future[None] | None = None

    def note(self, era: int) -> None:
        """Note the era of a response."""
        if era <= self.newest:
            return
        self.newest = era
        if self._ended is not None:
            self._ended.set_result(None)
            self._ended = None
        self.risen.on_next(era)

    async def until_risen(self, call: Coroutine[None, None, T]) -> T | None:
        """Return the result of a call, or None as soon as a newer era is noted."""
        if self._ended is None:
            self._ended = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(call)
        waited: set[asyncio.Future[Any]] = {task, self._ended}
        try:
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            return task.result() if task.done() else None
        finally:
            task.cancel()
