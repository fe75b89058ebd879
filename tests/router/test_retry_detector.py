"""Detection of client retries by their shorter deadlines."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.request_service import RETRY_AFTER_JITTER
from persimmonlink_router.retry_detector import (
    MIN_DEADLINES,
    RetryDetector,
    choose_retry_after_s,
)

# A client honours a Retry-After up to this part of the time left to its deadline.
MAX_HONOURED_SHARE = 1 / 3
DEADLINE_SPREAD = 0.15  # Part by which the deadlines of first attempts differ.


def make_detector(deadline_s: float = 12.0) -> RetryDetector:
    detector = RetryDetector()
    for _ in range(MIN_DEADLINES):
        detector.detect_retry("r", deadline_s)
    return detector


def test_first_attempts_are_distinguished_from_client_retries():
    detector = make_detector()
    assert not detector.detect_retry("r", 12.0)
    assert not detector.detect_retry("r", 12.0 * (1 - DEADLINE_SPREAD))
    assert detector.detect_retry("r", 9.4)
    assert not detector.detect_retry("other", 9.4)


def test_a_request_without_a_deadline_counts_as_a_first_attempt():
    assert not RetryDetector().detect_retry("r", None)


@given(
    deadline_s=st.floats(10.2, 12.0),
    available_in_s=st.floats(0.0, 20.0),
    jitter=st.floats(0.0, 1.0),
)
def test_a_client_that_honours_retry_after_is_detected_as_a_retry(
    deadline_s, available_in_s, jitter
):
    detector = make_detector()
    retry_after_s = choose_retry_after_s(available_in_s, deadline_s) * (
        1 + RETRY_AFTER_JITTER * jitter
    )
    assert retry_after_s <= MAX_HONOURED_SHARE * deadline_s
    assert detector.detect_retry("r", deadline_s - retry_after_s)


def test_deadlines_of_removed_routes_are_discarded():
    detector = make_detector()
    detector.retain_only(())
    assert not detector.detect_retry("r", 1.0)


def test_one_unusually_long_deadline_turns_no_other_request_into_a_retry():
    detector = make_detector()
    assert not detector.detect_retry("r", 600.0)
    assert not detector.detect_retry("r", 11.0)
