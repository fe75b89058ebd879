"""Coroutines that run in the background, some of them again after an error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

LOOP_RESTART_PAUSE_S = 0.5  # Pause after an unexpected error in a loop, the first one.
# Longest such pause: a loop that fails again and again must not list the store so often
# that all nodes together overload it.
MAX_LOOP_RESTART_PAUSE_S = 30.0
LOOP_RECOVERY_S = 60.0  # Time without an error after which the pause is short again.


class BackgroundTasks:
    """Starts tasks, logs their failures, and cancels them all at the end."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[Any]] = []

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> None:
        """Run a coroutine once."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        task.add_done_callback(_log_task_failure)
        self._tasks.append(task)

    def spawn_loop(
        self, work: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> None:
        """Run a loop that the node can't do without; an error doesn't end it."""
        self.spawn(_run_again_on_error(work, name), name)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()


async def _run_again_on_error(
    work: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    """Run a coroutine to its end, again from the start after an unexpected error."""
    pause_s = LOOP_RESTART_PAUSE_S
    while True:
        began_at = boot_time()
        try:
            await work()
            return
        except Exception as error:
            if boot_time() - began_at > LOOP_RECOVERY_S:
                pause_s = LOOP_RESTART_PAUSE_S
            logger.bind(task=name, pause_s=pause_s, error=repr(error)).exception(
                "task.failed"
            )
        await asyncio.sleep(pause_s)
        pause_s = min(MAX_LOOP_RESTART_PAUSE_S, 2 * pause_s)


def _log_task_failure(task: asyncio.Task[Any]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logger.bind(task=task.get_name(), error=repr(error)).error("task.failed")


__all__ = ("BackgroundTasks",)
