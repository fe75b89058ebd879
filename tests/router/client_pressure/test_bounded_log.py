"""Many lines of one cause are counted, and do not hide those of another."""

from __future__ import annotations

import pytest
from loguru import logger

from persimmonlink_router.client_pressure import bounded_log
from persimmonlink_router.client_pressure.bounded_log import (
    INTERVAL_S,
    MAX_LINES,
    BoundedLog,
)


@pytest.fixture
def lines():
    written = []
    sink = logger.add(lambda message: written.append(message.record))
    yield written
    logger.remove(sink)


def test_further_lines_of_a_cause_are_left_out_and_counted(lines, monkeypatch):
    now = 100.0
    monkeypatch.setattr(bounded_log, "boot_time", lambda: now)
    log = BoundedLog()
    for _ in range(MAX_LINES + 7):
        log.write("INFO", "connection.refused", "places")
    log.write("INFO", "connection.refused", "memory")
    assert len(lines) == MAX_LINES + 1
    now += INTERVAL_S + 0.1
    log.write("INFO", "connection.refused", "places")
    assert lines[-1]["extra"]["left_out"] == 7
