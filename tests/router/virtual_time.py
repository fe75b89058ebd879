"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from contextlib import contextmanager
from types import SimpleNamespace
from typing import TYPE_CHECKING

from persimmonlink_router import boot_clock

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator, Mapping
    from typing import Any


class _Selector:
    """Selects nothing, and advances a clock by the time that it was to wait.

    Attributes
    ----------
    now : float
        Time of the clock, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._selector = selectors.DefaultSelector()

    def select(self, timeout: float | None) -> list[Any]:
        """Return no events; raise `RuntimeError` if nothing can ever happen."""
        if timeout is None:
            raise RuntimeError("no timer is set, so the loop would wait forever")
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        """Register a file object, which is never reported as ready."""
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> Any:
        """Unregister a file object."""
        return self._selector.unregister(fileobj)

    def get_map(self) -> Mapping[Any, Any]:
        """Return the registered file objects."""
        return self._selector.get_map()

    def get_key(self, fileobj: Any) -> Any:
        """Return the key of a registered file object."""
        return self._selector.get_key(fileobj)

    def close(self) -> None:
        """Close the selector."""
        self._selector.close()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that never waits; timers come in order, at their own time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)  # type: ignore[arg-type]

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual.now


@contextmanager
def _boot_time_of(loop: VirtualTimeLoop) -> Iterator[None]:
    clock = SimpleNamespace(
        CLOCK_BOOTTIME=0, clock_gettime=lambda _: loop.time() + 1000.0
    )
    real, boot_clock.time = boot_clock.time, clock  # type: ignore[assignment]
    try:
        yield
    finally:
        boot_clock.time = real


def run_in_virtual_time(scenario: Coroutine[Any, Any, Any]) -> Any:
    """Run a scenario that uses no sockets; return its result."""
    loop = VirtualTimeLoop()
    with _boot_time_of(loop), asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(scenario)


__all__ = ("VirtualTimeLoop", "run_in_virtual_time")
