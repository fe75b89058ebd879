"""Turns of client accounts in one queue."""

from __future__ import annotations

from collections import Counter
from itertools import islice

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.account_turns import AccountTurns

WAITING = st.dictionaries(
    st.sampled_from("abcd"), st.lists(st.integers(), min_size=1), max_size=4
)


def take(turns: AccountTurns, waiting: dict[str, list], count: int) -> list[str]:
    """Take items as a queue does; return the accounts that they were of."""
    labelled = {a: [(a, item) for item in items] for a, items in waiting.items()}
    taken = [account for account, _ in islice(turns.interleave(labelled), count)]
    for account in taken:
        turns.record_turn(account)
        waiting[account].pop(0)
    turns.retain_only({a for a, items in waiting.items() if items})
    return taken


@given(WAITING)
def test_all_items_come_once_and_those_of_an_account_in_order(waiting):
    labelled = {a: [(a, n) for n in range(len(i))] for a, i in waiting.items()}
    ordered = list(AccountTurns().interleave(labelled))
    assert len(ordered) == sum(len(items) for items in waiting.values())
    for account, items in labelled.items():
        assert [item for item in ordered if item[0] == account] == items


@given(st.integers(1, 9), st.integers(2, 40), st.integers(1, 7))
def test_accounts_that_wait_get_as_many_turns_whatever_they_send(small, more, batch):
    turns = AccountTurns()
    waiting = {"large": [0] * small * more, "small": [0] * small}
    taken: Counter[str] = Counter()
    while waiting["small"]:
        taken.update(take(turns, waiting, batch))
        assert abs(taken["large"] - taken["small"]) <= batch


def test_time_without_waiting_work_earns_no_turns():
    turns = AccountTurns()
    waiting = {"busy": [0] * 100}
    take(turns, waiting, 50)
    waiting["new"] = [0] * 20
    assert Counter(take(turns, waiting, 10)) == {"busy": 5, "new": 5}
