"""When clients that were refused may come back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.request_service import RETRY_AFTER_JITTER
from persimmonlink_router.retry_after import choose_retry_after_s

# A client honours a Retry-After up to this part of the time left to its deadline.
MAX_HONOURED_SHARE = 1 / 3


@given(
    deadline_s=st.floats(0.1, 600.0),
    available_in_s=st.floats(0.0, 20.0),
    jitter=st.floats(0.0, 1.0),
)
def test_a_client_honours_what_it_is_told(deadline_s, available_in_s, jitter):
    retry_after_s = choose_retry_after_s(available_in_s, deadline_s) * (
        1 + RETRY_AFTER_JITTER * jitter
    )
    assert retry_after_s <= MAX_HONOURED_SHARE * deadline_s
