"""Runs the asyncio event loop of the control path in a thread of its own."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from concurrent.futures import Future

T = TypeVar("T")


class ControlLoop:
    """Runs the control path's coroutines, which any thread may submit."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="control-loop", daemon=True
        )

    def start(self) -> None:
        """Start the loop's thread."""
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Schedule a coroutine on the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(self, coroutine: Coroutine[Any, Any, T], timeout_s: float) -> T:
        """Run a coroutine on the loop and wait for its result.

        Must not be called on the loop's own thread, which it would block.

        Raises
        ------
        TimeoutError
            If the coroutine takes longer than `timeout_s`; it is cancelled.
        """
        future = self.submit(coroutine)
        try:
            return future.result(timeout_s)
        except TimeoutError:
            future.cancel()
            raise

    def stop(self) -> None:
        """Stop the loop; running tasks are abandoned."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(1.0)


__all__ = ("ControlLoop",)
