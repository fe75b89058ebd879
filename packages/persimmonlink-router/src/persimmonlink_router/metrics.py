"""Counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

# Upper bounds of the histogram buckets, in seconds; about a factor of two apart.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0)
# Largest number of series of counters, and of histograms; further label sets share one
# series for each metric.
MAX_SERIES = 2000
OVERFLOW_LABEL = "other"


class RouterMetrics:
    """Counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self._count_by_series: Counter[tuple[str, str]] = Counter()
        self._buckets_by_series: dict[tuple[str, str], list[int]] = {}
        self._sum_by_series: dict[tuple[str, str], float] = {}
        self._gauge_by_name: dict[str, float] = {}

    def count(self, name: str, labels: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        series = (name, labels)
        if (
            series not in self._count_by_series
            and len(self._count_by_series) >= MAX_SERIES
        ):
            series = (name, f'series="{OVERFLOW_LABEL}"')
        self._count_by_series[series] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauge_by_name[name] = value

    def observe(self, name: str, labels: str, seconds: float) -> None:
        """Add a duration, in seconds, to a histogram."""
        series = (name, labels)
        if (
            series not in self._buckets_by_series
            and len(self._buckets_by_series) >= MAX_SERIES
        ):
            series = (name, f'series="{OVERFLOW_LABEL}"')
        self._buckets_by_series.setdefault(series, [0] * (len(BUCKETS_S) + 1))
        self._buckets_by_series[series][bisect_left(BUCKETS_S, seconds)] += 1
        self._sum_by_series[series] = self._sum_by_series.get(series, 0.0) + seconds

    def record_request(
        self, route: str, account: str, status: int, seconds: float
    ) -> None:
        """Record the end of a request; status 0 means no complete response.

        The response was aborted, or the client left. The duration is in seconds.
        """
        self.count("requests_total", f'route="{route}",status="{status}"')
        self.observe("request_seconds", f'route="{route}"', seconds)
        self.observe("account_request_seconds", f'account="{account}"', seconds)

    def to_text(self) -> str:
        """Return all metrics, one per line."""
        lines = [
            f"persimmonlink_{name} {value}"
            for name, value in sorted(self._gauge_by_name.items())
        ]
        for (name, labels), value in sorted(self._count_by_series.items()):
            lines.append(f"persimmonlink_{name}{{{labels}}} {value}")
        for (name, labels), counts in sorted(self._buckets_by_series.items()):
            total = 0
            for bound, count in zip((*BUCKETS_S, "+Inf"), counts, strict=True):
                total += count
                lines.append(
                    f'persimmonlink_{name}_bucket{{{labels},le="{bound}"}} {total}'
                )
            seconds = self._sum_by_series[(name, labels)]
            lines.append(f"persimmonlink_{name}_sum{{{labels}}} {seconds:.6f}")
            lines.append(f"persimmonlink_{name}_count{{{labels}}} {total}")
        return "\n".join(lines) + "\n"


__all__ = ("BUCKETS_S", "RouterMetrics")
