"""Connections give way in an order that spares requests and single clients."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.client_pressure.eviction_order import (
    MIN_BEHIND_S,
    MIN_IDLE_S,
    MIN_UNREAD_S,
    EvictionCandidate,
    rank_candidates,
)


def test_idle_connections_evict_before_clients_that_are_behind():
    behind = EvictionCandidate("behind", "a", behind_s=9.0)
    idle = EvictionCandidate("idle", "b", idle_s=MIN_IDLE_S)
    assert [each.holder for each in rank_candidates([behind, idle])] == [
        "idle",
        "behind",
    ]


def test_an_address_with_many_places_gives_way_before_one_with_few():
    few = EvictionCandidate("few", "a", behind_s=9.0)
    many = [EvictionCandidate(f"many-{i}", "b", behind_s=1.0 + i) for i in range(3)]
    ranked = [each.holder for each in rank_candidates([few, *many])]
    assert ranked == ["many-2", "many-1", "many-0", "few"]


def test_clients_that_have_just_come_keep_their_places():
    new = [
        EvictionCandidate("sends", "a", behind_s=MIN_BEHIND_S / 2),
        EvictionCandidate("has-answer", "a", idle_s=MIN_IDLE_S / 2),
        EvictionCandidate("reads", "a", unread_s=MIN_UNREAD_S / 2),
    ]
    assert rank_candidates(new) == []


@given(
    st.lists(
        st.builds(
            EvictionCandidate,
            st.integers(),
            st.sampled_from("abc"),
            st.floats(0, 30),
            st.floats(0, 30),
            st.floats(0, 30),
        ),
        max_size=30,
    )
)
def test_only_those_who_may_evict_do_and_each_once(candidates):
    ranked = rank_candidates(candidates)
    may = [
        each
        for each in candidates
        if each.idle_s >= MIN_IDLE_S
        or each.behind_s >= MIN_BEHIND_S
        or each.unread_s >= MIN_UNREAD_S
    ]
    assert len(ranked) == len(may)
    assert all(each in may for each in ranked)
