"""Clocks, and the timer service that parts subscribe to."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger


class Clock(Protocol):
    """The two clocks that a process has."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point; never goes back."""
        ...

    def unix_ms(self) -> int:
        """Return Unix time, in milliseconds."""
        ...


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary point."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return Unix time, in milliseconds."""
        return time.time_ns() // 1_000_000


@dataclass(frozen=True)
class Subscription:
    """A callback that a timer service runs at an interval.

    Parameters
    ----------
    name : str
        Name for logs; also names the thread.
    interval_s : float
        Seconds between the end of one run and the start of the next.
    callback : callable
        What is run; its exceptions are logged and don't end the subscription.
    stopped : threading.Event
        Set to end the subscription.
    """

    name: str
    interval_s: float
    callback: Callable[[], None]
    stopped: threading.Event

    def cancel(self) -> None:
        """End the subscription; a run under way goes on to its end."""
        self.stopped.set()


class TimerService(Protocol):
    """Runs callbacks at intervals."""

    def every(
        self, interval_s: float, callback: Callable[[], None], name: str
    ) -> Subscription:
        """Run a callback now and then at an interval until it is cancelled."""
        ...

    def stop(self) -> None:
        """Cancel all subscriptions."""
        ...


class ThreadTimerService:
    """A timer service with one thread a subscription.

    A callback that blocks on a slow platform delays no other.
    """

    def __init__(self) -> None:
        self._subscriptions: list[Subscription] = []

    def every(
        self, interval_s: float, callback: Callable[[], None], name: str
    ) -> Subscription:
        """Run a callback now and then at an interval until it is cancelled.

        Parameters
        ----------
        interval_s : float
            Seconds between two runs.
        callback : callable
            What is run.
        name : str
            Name for logs.
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
            logger.exception("timer {} failed", subscription.name)
        subscription.stopped.wait(subscription.interval_s)


__all__ = ("Clock", "Subscription", "SystemClock", "ThreadTimerService", "TimerService")
