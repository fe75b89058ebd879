"""Intervals of calls to the store while it fails them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FIRST_INTERVAL_S = 0.5
# Longest interval; a node that the store serves again knows all changes well within
# the time after an outage from which it must act on them.
MAX_INTERVAL_S = 2.0
GROWTH = 2.0  # Ratio of an interval to the one before.
JITTER = 0.1  # Largest part by which one is shortened, so that nodes spread out.
MIN_PAUSE_S = 0.1  # Shortest pause after a call that took long to fail.


class StoreBackoff:
    """Lengthens the interval with each failure in a row: outages cost few calls.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_s = FIRST_INTERVAL_S

    def record_success(self) -> None:
        """Begin with the shortest interval again."""
        self._next_s = FIRST_INTERVAL_S

    def next_pause_s(self, spent_s: float) -> float:
        """Return the pause after a call that failed, in seconds.

        Parameters
        ----------
        spent_s : float
            Time that the call took, which is a part of the interval, in seconds.
        """
        interval_s = self._next_s * (1 - JITTER * self._rng.random())
        self._next_s = min(MAX_INTERVAL_S, self._next_s * GROWTH)
        return max(MIN_PAUSE_S, interval_s - spent_s)


__all__ = ("FIRST_INTERVAL_S", "MAX_INTERVAL_S", "StoreBackoff")
