"""Weighted fair queueing between accounts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_model.request_queue import FairQueue, QueueEntry

WEIGHTS = st.dictionaries(
    st.sampled_from("abcde"), st.sampled_from([1.0, 2.0, 4.0]), min_size=2
)


def _serve(queue: FairQueue) -> QueueEntry:
    queue_entry = next(queue.iterate())
    queue.remove(queue_entry)
    queue.charge(queue_entry, queue_entry.cost)
    return queue_entry


@given(WEIGHTS, st.lists(st.floats(0.1, 2.0), min_size=5, max_size=5))
def test_backlogged_accounts_share_cost_by_weight(
    weight_by_account: dict[str, float], costs: list[float]
) -> None:
    queue = FairQueue()
    number = 0
    served_by_account = dict.fromkeys(weight_by_account, 0.0)
    cost_by_account = dict(zip("abcde", costs, strict=True))
    for _ in range(400):
        waiting = queue.count_by_account()
        for account, weight in weight_by_account.items():
            if waiting.get(account, 0) < 2:
                number += 1
                cost = cost_by_account[account]
                queue.add(QueueEntry(number, account, weight, cost=cost))
        queue_entry = _serve(queue)
        served_by_account[queue_entry.account] += queue_entry.cost
    shares = [served_by_account[a] / w for a, w in weight_by_account.items()]
    # The weighted service of two accounts differs at most by the largest cost of each,
    # so by at most twice the largest cost.
    assert max(shares) - min(shares) <= 2 * max(costs) + 1e-6


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 10)), min_size=1))
def test_account_is_served_by_priority_then_deadline(
    entries: list[tuple[int, float]],
) -> None:
    queue = FairQueue()
    for number, (priority, deadline_at) in enumerate(entries):
        queue.add(QueueEntry(number, "a", priority=priority, deadline_at=deadline_at))
    served = [_serve(queue) for _ in entries]
    keys = [(queue_entry.priority, queue_entry.deadline_at) for queue_entry in served]
    assert keys == sorted(keys)


def test_idle_account_accumulates_no_credit() -> None:
    queue = FairQueue()
    for number in range(100):
        queue.add(QueueEntry(number, "busy"))
    for _ in range(50):
        _serve(queue)
    for number in range(100, 120):
        queue.add(QueueEntry(number, "late"))
    served = [_serve(queue).account for _ in range(20)]
    assert 9 <= served.count("late") <= 11
