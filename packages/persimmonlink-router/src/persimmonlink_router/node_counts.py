"""How many nodes limits are split over."""

from __future__ import annotations

STARTUP_PERIOD_S = 10.0  # Peers may still be unknown for this long after the start.
# Limits are split over at least this many nodes at startup, when peers may be unknown.
MIN_NODES_AT_STARTUP = 6
NODE_COUNT_WINDOW_S = 15.0  # Limits are split over the peak node count of this time.


class NodeCounts:
    """Keeps the counts of live nodes of the last seconds.

    Parameters
    ----------
    started_at : float
        Boot time of the start of this node, in seconds.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._counts: list[tuple[float, int]] = []

    def record(self, count: int, now: float) -> int:
        """Record the number of live nodes; return the peak of the window."""
        self._counts = [
            (t, n) for t, n in self._counts if now - t < NODE_COUNT_WINDOW_S
        ]
        if not self._counts or self._counts[-1][1] != count:
            self._counts.append((now, count))
        return self.raise_at_startup(max(n for _, n in self._counts), now)

    def raise_at_startup(self, count: int, now: float) -> int:
        """Return a count, raised while nodes may be unknown."""
        if now - self._started_at < STARTUP_PERIOD_S:
            return max(count, MIN_NODES_AT_STARTUP)
        return count


__all__ = ("MIN_NODES_AT_STARTUP", "NodeCounts")
