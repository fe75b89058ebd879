"""Entries of members in the store, current and superseded ones."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.member_registry import MemberRegistry
from persimmonlink_router.peer_messages import RouterMember


def build_entry(revision: int) -> RouterMember:
    return RouterMember(f"n-{revision}", "1", "a", "1:1", "1:2", seniority=revision)


@given(st.permutations([3, 5, 8, 13]))
def test_only_the_newest_entry_of_an_address_is_not_superseded_in_any_order(revisions):
    registry = MemberRegistry()
    for revision in revisions:
        registry.add(build_entry(revision))
    superseded = [
        s for s in sorted(revisions) if registry.is_superseded(build_entry(s))
    ]
    assert superseded == [3, 5, 8]


def test_removing_a_superseded_entry_keeps_the_newest():
    registry = MemberRegistry()
    registry.add(build_entry(5))
    registry.add(build_entry(3))
    registry.remove("n-3")
    assert not registry.is_superseded(build_entry(5))
    assert registry.find("n-3") is None
