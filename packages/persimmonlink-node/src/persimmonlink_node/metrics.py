"""Counters and histograms by account, class and stage, also sent to statsd."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

import statsd
from ddsketch import DDSketch

if TYPE_CHECKING:
    from persimmonlink_model.request import StageReport
    from persimmonlink_model.result_code import ResultCode
    from persimmonlink_node.settings import MetricsSettings

QUANTILES = (0.5, 0.95, 0.99)
RELATIVE_ACCURACY = 0.02


class Metrics:
    """Counters and histograms of one node.

    Parameters
    ----------
    settings : MetricsSettings
        Address of statsd.
    node_id : str
        Id of this node, part of the prefix of all names sent to statsd.
    """

    def __init__(self, settings: MetricsSettings, node_id: str) -> None:
        prefix = f"persimmonlink.{node_id.replace('.', '_')}"
        self._statsd = statsd.StatsClient(
            settings.statsd_host, settings.statsd_port, prefix=prefix
        )
        self._lock = Lock()
        self._sketch_by_name: dict[str, DDSketch] = {}
        self._count_by_name: dict[str, float] = {}

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter."""
        self._statsd.incr(name, amount)
        with self._lock:
            self._count_by_name[name] = self._count_by_name.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration in seconds to a histogram."""
        self._statsd.timing(name, seconds * 1000)
        with self._lock:
            sketch = self._sketch_by_name.get(name)
            if sketch is None:
                sketch = DDSketch(RELATIVE_ACCURACY)
                self._sketch_by_name[name] = sketch
            sketch.add(seconds)

    def record_request(
        self, account: str, request_class: str, code: ResultCode | None, seconds: float
    ) -> None:
        """Record a finished request; a code of None means success."""
        outcome = "ok" if code is None else str(code.value)
        self.count(f"request.{_sanitize_name(account)}.{outcome}")
        self.observe(f"request.account.{_sanitize_name(account)}", seconds)
        self.observe(f"request.class.{_sanitize_name(request_class)}", seconds)

    def record_stage(self, account: str, report: StageReport) -> None:
        """Record a finished stage."""
        self.observe(f"stage.{report.stage}.{_sanitize_name(account)}", report.seconds)
        self.observe(f"stage_wait.{report.stage}", report.waited_s)
        self.count(f"cost.{report.stage}.{_sanitize_name(account)}", report.cost)
        if report.wasted_cost:
            self.count(f"cost_wasted.{report.stage}", report.wasted_cost)

    def to_json(self) -> dict[str, object]:
        """Return all counters and the quantiles of all histograms, in seconds."""
        with self._lock:
            quantiles_by_name = {}
            for name, sketch in self._sketch_by_name.items():
                values = {
                    f"p{int(q * 100)}": sketch.get_quantile_value(q) for q in QUANTILES
                }
                quantiles_by_name[name] = {"count": sketch.count, **values}
            return {
                "counters": dict(self._count_by_name),
                "histograms": quantiles_by_name,
            }


def _sanitize_name(name: str) -> str:
    return name.replace(".", "_") or "none"


__all__ = ("Metrics",)
