"""How long a watch may take, from how long the last ones took."""

from __future__ import annotations

from collections import deque

from persimmonlink_router.store_intervals import WATCH_LATENCY_S

REMEMBERED_WATCHES = 8  # Over two rounds of the servers' writes.


class WatchPatience:
    """Tells when a watch takes so long that its connection is likely to be broken.

    Servers write all the time, so that watches are answered soon; one that takes much
    longer than those before it waits on a connection that has gone silent.
    """

    def __init__(self) -> None:
        self._took_s: deque[float] = deque(maxlen=REMEMBERED_WATCHES)

    def record_response(self, took_s: float) -> None:
        """Record the time that a watch took, in seconds."""
        self._took_s.append(took_s)

    def record_needless(self, took_s: float) -> None:
        """Record a watch that was given up after a time although nothing was missed."""
        self._took_s.append(2 * took_s)

    def find_limit_s(self) -> float | None:
        """Return the time after which to give a watch up, None while unknown."""
        if len(self._took_s) < REMEMBERED_WATCHES:
            return None
        return max(self._took_s) + WATCH_LATENCY_S


__all__ = ("REMEMBERED_WATCHES", "WatchPatience")
