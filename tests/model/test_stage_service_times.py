"""Quantiles of measured service times of stages."""

from __future__ import annotations

import pytest

from persimmonlink_model.stage_service_times import (
    WINDOW_S,
    StageServiceTime,
    StageServiceTimes,
)


def test_too_few_samples_give_no_estimate() -> None:
    service_times = StageServiceTimes()
    for _ in range(9):
        service_times.observe("a", 1.0, 0.0)
    assert service_times.get("a") == StageServiceTime()


def test_median_and_tail_are_estimated_separately() -> None:
    service_times = StageServiceTimes()
    for number in range(100):
        service_times.observe("a", 1.0 if number % 5 else 9.0, 0.0)
    service_time = service_times.get("a")
    assert service_time.median_s == pytest.approx(1.0, rel=0.05)
    assert service_time.tail_s == pytest.approx(9.0, rel=0.05)


def test_new_window_keeps_the_old_summary_until_it_has_enough_samples() -> None:
    service_times = StageServiceTimes()
    for _ in range(10):
        service_times.observe("a", 1.0, 0.0)
    service_times.observe("a", 3.0, WINDOW_S)
    assert service_times.get("a").median_s == pytest.approx(1.0, rel=0.05)
    for _ in range(9):
        service_times.observe("a", 3.0, WINDOW_S)
    assert service_times.get("a").median_s == pytest.approx(3.0, rel=0.05)
