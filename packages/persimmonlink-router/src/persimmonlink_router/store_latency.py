"""How long calls to the store take at present."""

from __future__ import annotations

from persimmonlink_router.store_intervals import WATCH_LATENCY_S


class StoreLatency:
    """Tells after which time a call to the store is likely to be lost.

    It rests on the last call whose time is known without its wait for a change, unless
    one has been answered sooner since.
    """

    def __init__(self) -> None:
        self.latency_s = 0.0

    def record_call(self, took_s: float) -> None:
        """Record a call that took a time beside its wait, in seconds."""
        self.latency_s = max(0.0, took_s)

    def record_change(self, took_s: float) -> None:
        """Record a watch that was ended by a change at an unknown moment."""
        self.latency_s = min(self.latency_s, took_s)

    def find_limit_s(self) -> float:
        """Return the time in which a call is answered, at most times."""
        return self.latency_s + WATCH_LATENCY_S


__all__ = ("StoreLatency",)
