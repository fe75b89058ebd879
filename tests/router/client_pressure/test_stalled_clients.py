"""Room is given up by who makes no progress, only when others need it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.client_pressure.stalled_clients import (
    HIGH_MARK,
    LOW_MARK,
    STALLED_S,
    HeldBytes,
    choose_stalled,
)

ROOM = 1000
CLIENTS = st.lists(
    st.builds(HeldBytes, st.integers(), st.integers(0, 400), st.floats(0, 5)),
    max_size=40,
)


@given(CLIENTS)
def test_only_stalled_clients_give_up_and_no_more_than_is_needed(held):
    total = sum(each.size for each in held)
    chosen = choose_stalled(held, ROOM)
    assert all(each.stalled_s >= STALLED_S and each.size for each in chosen)
    if total <= HIGH_MARK * ROOM:
        assert not chosen
        return
    left = total - sum(each.size for each in chosen)
    stalled = [each for each in held if each.stalled_s >= STALLED_S and each.size]
    assert left <= LOW_MARK * ROOM or len(chosen) == len(stalled)
    if chosen:
        assert left + chosen[-1].size > LOW_MARK * ROOM


@given(st.integers(0, int(HIGH_MARK * ROOM)), st.floats(0, 1e6))
def test_a_single_slow_client_in_calm_is_served_however_slow(size, stalled_s):
    assert not choose_stalled([HeldBytes("slow", size, stalled_s)], ROOM)


def test_who_holds_most_goes_first():
    held = [HeldBytes(name, 100 + name, 2.0) for name in range(9)]
    chosen = [each.holder for each in choose_stalled(held, ROOM)]
    assert chosen == [8, 7, 6, 5, 4]
