"""A client is behind by the time without a byte, or by a rate under the least."""

from __future__ import annotations

import pytest

from persimmonlink_router.client_pressure.client_progress import (
    LEAST_BYTES_PER_S,
    ClientProgress,
    WaitsFor,
)


def test_a_client_that_sends_a_byte_now_and_then_falls_behind():
    progress = ClientProgress(10.0)
    for tenths in range(1, 51):
        progress.record(1, 10.0 + tenths / 10)
    assert progress.stalled_s(15.0) == 0.0
    assert progress.behind_s(15.0) == pytest.approx(5.0, abs=0.05)


def test_a_client_that_sends_at_the_least_rate_is_not_behind():
    progress = ClientProgress(10.0)
    for second in range(1, 6):
        progress.record(LEAST_BYTES_PER_S, 10.0 + second)
    assert progress.behind_s(15.0) == 0.0


def test_a_client_that_stops_short_of_the_end_is_behind():
    progress = ClientProgress(10.0)
    progress.record(1_000_000, 10.1)
    assert progress.behind_s(12.1) == pytest.approx(2.0)


def test_a_client_whose_request_is_served_has_nothing_to_do():
    progress = ClientProgress(10.0)
    progress.begin(WaitsFor.NOTHING, 11.0)
    assert progress.stalled_s(99.0) == progress.behind_s(99.0) == 0.0
