"""Bounds that hold over all nodes although none asks another."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.send_limits import ColdLimit, RetryBudget


@given(
    st.integers(1, 12),
    st.floats(1, 40),
    st.lists(st.tuples(st.integers(0, 11), st.floats(0, 0.05)), max_size=400),
)
def test_cold_servers_bear_what_all_nodes_send_together(nodes, rate, attempts):
    limits = [ColdLimit(1.5, 5.0) for _ in range(nodes)]
    now = 0.0
    sent = []
    for node, pause_s in attempts:
        now += pause_s
        limit = limits[node % nodes]
        if limit.may_send("s", rate, nodes, now):
            limit.note_send("s", now)
            sent.append(now)
    bound = max(rate * 1.5 + 5, nodes)
    for start in sent:
        assert sum(1 for t in sent if start <= t < start + 1) <= bound


def test_a_part_below_one_is_spread_over_seconds():
    limit = ColdLimit(1.0, 0.0)
    assert limit.may_send("s", 2.0, 8, 0.0)
    limit.note_send("s", 0.0)
    assert not limit.may_send("s", 2.0, 8, 3.0)
    assert limit.may_send("s", 2.0, 8, 5.0)


@given(
    st.integers(1, 10),
    st.lists(
        st.tuples(st.integers(0, 9), st.booleans(), st.floats(0, 0.2)), max_size=300
    ),
)
def test_second_sends_stay_within_the_budget_of_all_nodes(nodes, events):
    budgets = [RetryBudget(0.2, 52, 10.0) for _ in range(nodes)]
    now = 0.0
    requests, retries = [], []
    for node, is_retry, pause_s in events:
        now += pause_s
        budget = budgets[node % nodes]
        if not is_retry:
            budget.note_request("s", now)
            requests.append(now)
        elif budget.take("s", nodes, now):
            retries.append(now)
    for end in retries:
        in_window = [t for t in retries if end - 10 < t <= end]
        asked = [t for t in requests if end - 20 < t <= end]
        assert len(in_window) <= 0.2 * len(asked) + 52


def test_a_budget_is_free_again_after_its_window():
    budget = RetryBudget(0.0, 2, 10.0)
    assert budget.take("s", 1, 0.0)
    assert not budget.allows("s", 1, 1.0)
    assert budget.allows("s", 1, 11.0)
