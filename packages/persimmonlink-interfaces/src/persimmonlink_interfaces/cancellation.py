"""Cancellation of a request that may be waiting or calling a server."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Cancellation:
    """A flag that wakes those who wait when it is set."""

    def __init__(self) -> None:
        self._event = threading.Event()
        self._lock = threading.Lock()
        self._wake_by_id: dict[int, Callable[[], None]] = {}

    def set(self) -> None:
        """Cancel, and wake whoever waits."""
        self._event.set()
        with self._lock:
            wakers = list(self._wake_by_id.values())
        for wake in wakers:
            wake()

    def is_set(self) -> bool:
        """Whether it was cancelled."""
        return self._event.is_set()

    def subscribe(self, wake: Callable[[], None]) -> int:
        """Have `wake` called on cancellation; return a number to unsubscribe by."""
        with self._lock:
            number = id(wake)
            self._wake_by_id[number] = wake
        if self.is_set():
            wake()
        return number

    def unsubscribe(self, number: int) -> None:
        """Undo a subscription."""
        with self._lock:
            self._wake_by_id.pop(number, None)


__all__ = ("Cancellation",)
