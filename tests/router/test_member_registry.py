"""Entries of members in the store, and those of former starts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.member_registry import MemberRegistry
from persimmonlink_router.peer_messages import RouterMember


def make_entry(start: int) -> RouterMember:
    return RouterMember(f"n-{start}", "1", "a", "1:1", "1:2", seniority=start)


@given(st.permutations([3, 5, 8, 13]))
def test_only_the_last_start_of_a_node_is_not_former_in_any_order(starts):
    registry = MemberRegistry()
    for start in starts:
        registry.put(make_entry(start))
    former = [s for s in sorted(starts) if registry.is_former(make_entry(s))]
    assert former == [3, 5, 8]


def test_a_former_start_whose_entry_ends_leaves_the_last_one():
    registry = MemberRegistry()
    registry.put(make_entry(5))
    registry.put(make_entry(3))
    registry.remove("n-3")
    assert not registry.is_former(make_entry(5))
    assert registry.find("n-3") is None
