"""Response times of services, as a node saw them."""

from __future__ import annotations

import pytest

from persimmonlink_router.response_times import MIN_RESPONSES, ResponseTimes


def make_times(responses: list[tuple[float, int]]) -> ResponseTimes:
    times = ResponseTimes()
    for time_s, tokens in responses:
        times.record("s", time_s, tokens)
    return times


def test_nothing_is_known_of_a_service_without_responses():
    times = ResponseTimes()
    assert times.median_s("s") is None
    assert times.estimate_s("s", 100) is None
    assert times.late_after_s("s") is None


def test_a_response_is_late_after_the_tail_and_a_typical_response():
    times = make_times([(0.4, 0)] * 95 + [(0.5, 0)] * 5)
    assert times.late_after_s("s") == pytest.approx(0.8, abs=0.1)


def test_the_tail_is_unknown_with_few_responses():
    assert make_times([(0.4, 0)] * (MIN_RESPONSES - 1)).late_after_s("s") is None


def test_one_hung_attempt_does_not_make_all_others_wait():
    times = make_times([(0.05, 0)] * 40 + [(5.0, 0)])
    assert times.late_after_s("s") == pytest.approx(0.1, abs=0.05)


def test_a_service_that_turns_slow_is_soon_known_as_slow():
    times = make_times([(0.05, 0)] * 100 + [(0.5, 0)] * 8)
    assert times.late_after_s("s") > 0.5


def test_the_time_of_a_prompt_is_that_of_the_responses():
    times = make_times([(0.05 + n * 2e-5, n) for n in range(100, 4100, 100)])
    assert times.token_s("s") == pytest.approx(2e-5)
    assert times.estimate_s("s", 8000) == pytest.approx(0.21)


def test_times_of_other_services_are_discarded():
    times = make_times([(0.4, 0)])
    times.retain_only(("other",))
    assert times.median_s("s") is None
