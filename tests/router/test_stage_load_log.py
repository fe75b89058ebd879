"""The coordinator's report on its own load."""

from __future__ import annotations

import pytest
from loguru import logger

from persimmonlink_router.metrics import RouterMetrics
from persimmonlink_router.stage_load_log import StageLoadLog


@pytest.fixture
def logged():
    records = []
    handler = logger.add(lambda message: records.append(message.record))
    yield records
    logger.remove(handler)


def test_each_second_with_jobs_tells_their_processor_time(logged):
    metrics = RouterMetrics()
    log = StageLoadLog(metrics)
    log.tick({}, 10.0, 5.0)
    log.record_job()
    log.record_call()
    log.tick({"encode": 3, "rerank": 4}, 10.5, 5.2)
    assert not logged
    log.tick({"encode": 3, "rerank": 4}, 11.0, 5.4)
    [record] = logged
    assert record["message"] == "stages.load"
    assert record["extra"] == {
        "jobs": 1,
        "calls": 1,
        "waiting": 7,
        "elapsed_s": 1.0,
        "processor_s": 0.4,
    }
    assert "persimmonlink_stage_pieces_waiting 7" in metrics.to_text()


def test_a_second_without_jobs_is_not_logged(logged):
    log = StageLoadLog(RouterMetrics())
    log.tick({}, 10.0, 5.0)
    log.tick({}, 11.0, 5.4)
    assert not logged
