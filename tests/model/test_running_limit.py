"""No single account uses the whole request capacity of a node."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_model.running_limit import RunningLimit


@given(st.integers(10, 500))
def test_one_busy_account_leaves_capacity_for_others(max_running: int) -> None:
    limit = RunningLimit(max_running)
    for _ in range(2 * max_running):
        limit.admit("busy", 1.0, 1.0)
    assert max_running // 2 <= limit.total < max_running
    assert limit.admit("late", 1.0, 1.0)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans())), st.integers(1, 20))
def test_admitted_and_released_requests_are_counted_exactly(
    steps: list[tuple[str, bool]], max_running: int
) -> None:
    limit = RunningLimit(max_running)
    held: dict[str, int] = dict.fromkeys("abc", 0)
    for account, is_arrival in steps:
        if is_arrival:
            held[account] += limit.admit(account, 1.0, 1.0)
        elif held[account]:
            limit.release(account)
            held[account] -= 1
        assert limit.total == sum(held.values()) <= max_running
