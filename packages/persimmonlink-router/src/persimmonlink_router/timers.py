"""Timer service on the event loop for periodic callbacks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class LoopTimerService:
    """Runs callbacks periodically on the event loop."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def every(self, interval_s: float, callback: Callable[[], None], name: str) -> None:
        """Run a callback at once, then at an interval until the service stops.

        Parameters
        ----------
        interval_s : float
            Pause between the end of one run and the start of the next, in seconds.
        callback : callable
            Called without arguments; an exception is logged and the timer continues.
        name : str
            Name of the timer in logs.
        """
        task = asyncio.get_running_loop().create_task(
            _run(interval_s, callback, name), name=name
        )
        self._tasks.append(task)

    def stop(self) -> None:
        """Stop all timers."""
        for task in self._tasks:
            task.cancel()


async def _run(interval_s: float, callback: Callable[[], None], name: str) -> None:
    while True:
        run_each(name, (callback,))
        await asyncio.sleep(interval_s)


def run_each(name: str, steps: Iterable[Callable[[], object]]) -> None:
    """Run the steps of a timer; an exception is logged, and the next step follows."""
    for step in steps:
        try:
            step()
        except Exception:
            logger.bind(timer=name).exception("timer.failed")


__all__ = ("LoopTimerService", "run_each")
