"""Intervals of a node's calls to the store while it fails them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

FIRST_INTERVAL_S = 0.5  # Interval of the one quick retry, as single calls get lost.
JITTER = 0.05  # Largest part by which an interval is lengthened: nodes spread out.
MIN_PAUSE_S = 0.1  # Shortest pause after a call that took long to fail.


class StoreBackoff:
    """Retries once soon, then no more often than the node calls in calm times.

    Parameters
    ----------
    get_calm_interval_s : callable
        Returns the interval of this node's calls in calm times, in seconds.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self, get_calm_interval_s: Callable[[], float], rng: random.Random
    ) -> None:
        self._get_calm_interval_s = get_calm_interval_s
        self._rng = rng
        self._failures = 0

    def record_success(self) -> None:
        """Let the next failure be retried soon again."""
        self._failures = 0

    def record_failure(self) -> None:
        """Count a call that failed, after which there is no pause."""
        self._failures += 1

    def next_pause_s(self, spent_s: float) -> float:
        """Count a call that failed; return the pause after it, in seconds.

        Parameters
        ----------
        spent_s : float
            Time that the call took, which is a part of the interval, in seconds.
        """
        self.record_failure()
        interval_s = FIRST_INTERVAL_S
        if self._failures > 1:
            interval_s = self._get_calm_interval_s()
        interval_s *= 1 + JITTER * self._rng.random()
        return max(MIN_PAUSE_S, interval_s - spent_s)


__all__ = ("FIRST_INTERVAL_S", "JITTER", "MIN_PAUSE_S", "StoreBackoff")
