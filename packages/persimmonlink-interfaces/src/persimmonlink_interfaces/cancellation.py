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
        self._callback_by_id: dict[int, Callable[[], None]] = {}

    def set(self) -> None:
        """Cancel, and wake whoever waits."""
        self._event.set()
        with self._lock:
            callbacks = list(self._callback_by_id.values())
        for callback in callbacks:
            callback()

    def is_set(self) -> bool:
        """Whether it was cancelled."""
        return self._event.is_set()

    def subscribe(self, callback: Callable[[], None]) -> int:
        """Have `wake` called on cancellation; return a number to unsubscribe by."""
        with self._lock:
            subscription_id = id(callback)
            self._callback_by_id[subscription_id] = callback
        if self.is_set():
            callback()
        return subscription_id

    def unsubscribe(self, subscription_id: int) -> None:
        """Undo a subscription."""
        with self._lock:
            self._callback_by_id.pop(subscription_id, None)


__all__ = ("Cancellation",)
