"""Thread-safe server latencies, as measured by this node's calls."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

from persimmonlink_model.server_latencies import ServerLatencies

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_interfaces.clock import Clock


class LatencyTracker:
    """Tracks server latencies; thread-safe.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = Lock()
        self._latencies = ServerLatencies()

    def observe(self, server_id: str, seconds: float) -> None:
        """Record the latency of one call, in seconds."""
        with self._lock:
            self._latencies.observe(server_id, seconds, self._clock.monotonic())

    def list_fast(self, server_ids: Iterable[str]) -> set[str]:
        """Return the servers that are not much slower than the fastest of them."""
        with self._lock:
            return self._latencies.list_fast(server_ids, self._clock.monotonic())


__all__ = ("LatencyTracker",)
