"""Which requests a stopping node takes."""

from __future__ import annotations

import pytest

from persimmonlink_router.stop_clock import (
    ANSWER_MARGIN_S,
    EARLY_ARRIVAL_S,
    STOP_MARGIN_S,
    StopClock,
)

STOP_S = 8.0
LAST_ANSWER_S = STOP_S - STOP_MARGIN_S - ANSWER_MARGIN_S


def test_a_node_that_does_not_stop_takes_all():
    assert StopClock().admits(100.0, 1000.0)


@pytest.mark.parametrize(
    ("arrived_after_s", "lasts_s", "is_taken"),
    [
        (0.0, 30.0, True),
        (EARLY_ARRIVAL_S, 30.0, True),
        (EARLY_ARRIVAL_S + 0.01, 30.0, False),
        (EARLY_ARRIVAL_S + 0.01, 2.0, True),
        (5.0, LAST_ANSWER_S - 5.0, True),
        (5.0, LAST_ANSWER_S - 5.0 + 0.01, False),
        (LAST_ANSWER_S, 0.01, False),
    ],
)
def test_a_late_request_is_taken_only_if_it_surely_ends_in_time(
    arrived_after_s, lasts_s, is_taken
):
    clock = StopClock()
    clock.begin(100.0, STOP_S)
    arrived_at = 100.0 + arrived_after_s
    assert clock.admits(arrived_at, arrived_at + lasts_s) is is_taken


@pytest.mark.parametrize("stop_s", [1.0, 4.0, 8.0, 30.0])
def test_requests_are_cut_in_the_last_sixth_of_the_time(stop_s):
    clock = StopClock()
    clock.begin(100.0, stop_s)
    assert 100.0 + stop_s * 5 / 6 < clock.ends_at < 100.0 + stop_s
    assert clock.answers_by < clock.ends_at
