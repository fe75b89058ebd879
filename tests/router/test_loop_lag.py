"""A node that stands still says so, and whether it was busy."""

from __future__ import annotations

from loguru import logger

from persimmonlink_router.loop_lag import STALL_S, LoopLagMonitor
from persimmonlink_router.metrics import RouterMetrics


def record_warnings(monitor: LoopLagMonitor, ticks) -> list[dict]:
    lines: list[dict] = []
    sink = logger.add(lambda message: lines.append(message.record), level="WARNING")
    try:
        for now, processor_s in ticks:
            monitor.tick(now, processor_s)
    finally:
        logger.remove(sink)
    return [{"event": line["message"], **line["extra"]} for line in lines]


def test_a_busy_standstill_differs_from_a_suspension():
    metrics = RouterMetrics()
    monitor = LoopLagMonitor(0.1, metrics)
    lines = record_warnings(
        monitor, [(10.0, 1.0), (10.1, 1.01), (11.2, 2.01), (11.3, 2.02), (13.4, 2.03)]
    )
    assert lines == [
        {"event": "process.stalled", "lag_s": 1.0, "processor_s": 1.0},
        {"event": "process.stalled", "lag_s": 2.0, "processor_s": 0.01},
    ]
    text = metrics.to_text()
    assert "loop_lag_seconds_max 2" in text
    assert "loop_stalls_total{} 2" in text


def test_a_lag_below_the_bound_is_only_counted_in_the_metric():
    metrics = RouterMetrics()
    monitor = LoopLagMonitor(0.1, metrics)
    ticks = [(0.0, 0.0), (0.1 + 0.9 * STALL_S, 0.0)]
    assert record_warnings(monitor, ticks) == []
    assert "loop_lag_seconds_max 0.27" in metrics.to_text()
