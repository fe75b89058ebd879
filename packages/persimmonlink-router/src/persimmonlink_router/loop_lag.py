"""How late the event loop runs its timers, and whether the process was busy then."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from persimmonlink_router.metrics import RouterMetrics

STALL_S = 0.3  # Lag that is logged: peers notice two heartbeats that are as late.
PEAK_WINDOW_S = 60.0  # Time over which the metric keeps the largest lag.


@dataclass(frozen=True, slots=True)
class _Tick:
    at: float
    processor_s: float


class LoopLagMonitor:
    """Measures the lag of a periodic timer.

    A node that computes for long without a turn of its loop stands still like one that
    is suspended; the processor time that it used tells them apart.

    Parameters
    ----------
    interval_s : float
        Interval of the timer, in seconds.
    metrics : RouterMetrics
        Gets the largest lag and the number of stalls.
    """

    def __init__(self, interval_s: float, metrics: RouterMetrics) -> None:
        self._interval_s = interval_s
        self._metrics = metrics
        self._last: _Tick | None = None
        self._peak_s = 0.0
        self._peak_at = 0.0

    def tick(self, now: float, processor_s: float) -> float:
        """Record a run of the timer; return its lag, in seconds.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        processor_s : float
            Processor time that the process has used so far, in seconds.
        """
        last, self._last = self._last, _Tick(now, processor_s)
        if last is None:
            return 0.0
        lag_s = max(0.0, now - last.at - self._interval_s)
        if lag_s >= self._peak_s or now - self._peak_at > PEAK_WINDOW_S:
            self._peak_s, self._peak_at = lag_s, now
        self._metrics.set_gauge("loop_lag_seconds_max", round(self._peak_s, 3))
        if lag_s >= STALL_S:
            self._metrics.count("loop_stalls_total")
            logger.bind(
                lag_s=round(lag_s, 3),
                processor_s=round(processor_s - last.processor_s, 3),
            ).warning("process.stalled")
        return lag_s


__all__ = ("STALL_S", "LoopLagMonitor")
