"""Quantiles of the recently measured service times of stages."""

from __future__ import annotations

from dataclasses import dataclass, field

from ddsketch import DDSketch

WINDOW_S = 10.0
SAMPLES_PER_SUMMARY = 10
TAIL_QUANTILE = 0.95
RELATIVE_ACCURACY = 0.02


@dataclass(frozen=True)
class StageServiceTime:
    """Time that a stage takes on a server, without the wait for a slot.

    Parameters
    ----------
    median_s : float
        Median, in seconds; 0 while there are too few samples.
    tail_s : float
        The `TAIL_QUANTILE`, in seconds; 0 while there are too few samples.
    """

    median_s: float = 0.0
    tail_s: float = 0.0


@dataclass
class _Window:
    started_at: float
    sketch: DDSketch = field(default_factory=lambda: DDSketch(RELATIVE_ACCURACY))
    summary: StageServiceTime = StageServiceTime()


class StageServiceTimes:
    """Service times by stage key.

    Quantiles are computed over the current window of `WINDOW_S`; a new window keeps
    the previous window's quantiles until it has enough samples.

    Not thread-safe; the owner serializes access.
    """

    def __init__(self) -> None:
        self._window_by_key: dict[str, _Window] = {}

    def observe(self, key: str, seconds: float, now: float) -> None:
        """Record one service time; an abandoned call counts with its time so far."""
        window = self._window_by_key.get(key)
        if window is None:
            window = _Window(now)
            self._window_by_key[key] = window
        if now - window.started_at >= WINDOW_S:
            window = _Window(now, summary=window.summary)
            self._window_by_key[key] = window
        window.sketch.add(seconds)
        if window.sketch.count % SAMPLES_PER_SUMMARY == 0:
            window.summary = _summarize(window.sketch)

    def get(self, key: str) -> StageServiceTime:
        """Return the latest quantiles of a stage's service time."""
        window = self._window_by_key.get(key)
        return StageServiceTime() if window is None else window.summary


def _summarize(sketch: DDSketch) -> StageServiceTime:
    median_s = sketch.get_quantile_value(0.5)
    tail_s = sketch.get_quantile_value(TAIL_QUANTILE)
    return StageServiceTime(median_s or 0.0, tail_s or 0.0)


__all__ = ("StageServiceTime", "StageServiceTimes")
