"""When clients that were refused may come back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.retry_after import RETRY_AFTER_JITTER, bound_retry_after_s

# A client honours a Retry-After up to this part of the time left to its deadline.
MAX_HONOURED_SHARE = 1 / 3
AVAILABLE_IN_S = st.floats(0.0, 20.0)


@given(AVAILABLE_IN_S, st.floats(0.0, 600.0), st.floats(0.0, 1.0))
def test_a_client_honours_what_it_is_told(available_in_s, time_left_s, jitter):
    told_s = bound_retry_after_s(available_in_s, time_left_s)
    longest_s = told_s * (1 + RETRY_AFTER_JITTER * jitter)
    assert 0.0 <= longest_s <= MAX_HONOURED_SHARE * time_left_s * (1 + 1e-9)


@given(AVAILABLE_IN_S, st.floats(90.0, 600.0))
def test_the_time_that_a_client_has_does_not_change_what_it_is_told(
    available_in_s, time_left_s
):
    """With 6 s it was told 1.6 s, and with 24 s 6.0 s, for the same work ahead."""
    assert bound_retry_after_s(available_in_s, time_left_s) == available_in_s


@pytest.mark.parametrize("time_left_s", [0.0, -1.0])
def test_a_client_without_time_is_told_no_time(time_left_s):
    assert bound_retry_after_s(1.0, time_left_s) == 0.0
