"""Cancellation flag of a request, set and observed by different threads."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Cancellation:
    """A thread-safe flag that calls its subscribers when it is set."""

    def __init__(self) -> None:
        self._event = threading.Event()
        self._lock = threading.Lock()
        self._callback_by_id: dict[int, Callable[[], None]] = {}

    def set(self) -> None:
        """Set the flag and call every subscriber."""
        self._event.set()
        with self._lock:
            callbacks = list(self._callback_by_id.values())
        for callback in callbacks:
            callback()

    def is_set(self) -> bool:
        """Return whether the flag is set."""
        return self._event.is_set()

    def subscribe(self, callback: Callable[[], None]) -> int:
        """Call a function on cancellation, or at once if it has already happened.

        A cancellation at the same time as the subscription may call it twice.

        Parameters
        ----------
        callback : callable
            Function to call, in the thread that cancels or else in this one.

        Returns
        -------
        int
            Id for `unsubscribe`.
        """
        with self._lock:
            subscription_id = id(callback)
            self._callback_by_id[subscription_id] = callback
        if self.is_set():
            callback()
        return subscription_id

    def unsubscribe(self, subscription_id: int) -> None:
        """Remove a subscription by its id."""
        with self._lock:
            self._callback_by_id.pop(subscription_id, None)


__all__ = ("Cancellation",)
