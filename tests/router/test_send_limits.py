"""Limits on all nodes together that need no messages between them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.send_limits import ColdSendLimit, RetryBudget


@given(
    st.integers(1, 12),
    st.floats(1, 40),
    st.lists(st.tuples(st.integers(0, 11), st.floats(0, 0.05)), max_size=400),
)
def test_all_nodes_together_stay_within_the_cold_limit(nodes, rate, attempts):
    limits = [ColdSendLimit(1.5, 5.0) for _ in range(nodes)]
    now = 0.0
    sent = []
    for node, pause_s in attempts:
        now += pause_s
        limit = limits[node % nodes]
        if limit.may_send("s", rate, nodes, now):
            limit.record_send("s", now)
            sent.append(now)
    bound = max(rate * 1.5 + 5, nodes)
    for start in sent:
        assert sum(1 for t in sent if start <= t < start + 1) <= bound


def test_a_node_share_below_one_request_is_spread_over_seconds():
    limit = ColdSendLimit(1.0, 0.0)
    assert limit.may_send("s", 2.0, 8, 0.0)
    limit.record_send("s", 0.0)
    assert not limit.may_send("s", 2.0, 8, 3.0)
    assert limit.may_send("s", 2.0, 8, 5.0)


@given(
    st.integers(1, 10),
    st.lists(
        st.tuples(st.integers(0, 9), st.booleans(), st.floats(0, 0.2)), max_size=300
    ),
)
def test_retries_of_all_nodes_stay_within_the_budget(nodes, events):
    budgets = [RetryBudget(0.2, 52, 10.0) for _ in range(nodes)]
    now = 0.0
    requests, retries = [], []
    for node, is_retry, pause_s in events:
        now += pause_s
        budget = budgets[node % nodes]
        if not is_retry:
            budget.record_request("s", now)
            requests.append(now)
        elif budget.try_acquire("s", nodes, now):
            retries.append(now)
    for end in retries:
        in_window = [t for t in retries if end - 10 < t <= end]
        first_sends = [t for t in requests if end - 20 < t <= end]
        assert len(in_window) <= 0.2 * len(first_sends) + 52


def test_the_retry_budget_is_restored_after_its_window():
    budget = RetryBudget(0.0, 2, 10.0)
    assert budget.try_acquire("s", 1, 0.0)
    assert not budget.allows("s", 1, 1.0)
    assert budget.allows("s", 1, 11.0)
