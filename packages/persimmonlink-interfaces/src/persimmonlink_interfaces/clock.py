"""Clocks, and a timer service that runs callbacks at intervals."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger


class Clock(Protocol):
    """The monotonic clock and the wall clock of a process."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never goes back."""
        ...

    def unix_ms(self) -> int:
        """Return Unix time, in milliseconds."""
        ...


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never goes back."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return Unix time, in milliseconds."""
        return time.time_ns() // 1_000_000


@dataclass(frozen=True)
class Subscription:
    """A callback that a timer service runs periodically.

    Parameters
    ----------
    name : str
        Name in log messages and of the thread.
    interval_s : float
        Seconds between the end of one run and the start of the next.
    callback : callable
        Function to run; its exceptions are logged and don't end the subscription.
    stopped : threading.Event
        Set to end the subscription.
    """

    name: str
    interval_s: float
    callback: Callable[[], None]
    stopped: threading.Event

    def cancel(self) -> None:
        """End the subscription; a run in progress is not interrupted."""
        self.stopped.set()


class TimerService(Protocol):
    """Runs callbacks periodically."""

    def every(
        self, interval_s: float, callback: Callable[[], None], name: str
    ) -> Subscription:
        """Run a callback at once and then at an interval until it is cancelled."""
        ...

    def stop(self) -> None:
        """Cancel all subscriptions."""
        ...


class ThreadTimerService:
    """A timer service with one thread per subscription.

    A callback that blocks on a slow platform call doesn't delay the others.
    """

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []

    def every(
        self, interval_s: float, callback: Callable[[], None], name: str
    ) -> Subscription:
        """Run a callback at once and then at an interval until it is cancelled.

        Parameters
        ----------
        interval_s : float
            Seconds between the end of one run and the start of the next.
        callback : callable
            Function to run.
        name : str
            Name in log messages and of the thread.

        Returns
        -------
        Subscription
            Handle to cancel the callback with.
        """
        subscription = Subscription(name, interval_s, callback, threading.Event())
        self._subscriptions.append(subscription)
        threading.Thread(
            target=_run, args=(subscription,), name=f"timer-{name}", daemon=True
        ).start()
        return subscription

    def stop(self) -> None:
        """Cancel all subscriptions."""
        for subscription in self._subscriptions:
            subscription.cancel()


def _run(subscription: Subscription) -> None:
    while not subscription.stopped.is_set():
        try:
            subscription.callback()
        except Exception:
            logger.exception("callback of timer {} failed", subscription.name)
        subscription.stopped.wait(subscription.interval_s)


__all__ = ("Clock", "Subscription", "SystemClock", "ThreadTimerService", "TimerService")
