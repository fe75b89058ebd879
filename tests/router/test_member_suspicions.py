"""Which members are held for unresponsive, and when they are forgotten."""

from __future__ import annotations

from persimmonlink_router.member_suspicions import MAX_MISSES, MemberSuspicions


def test_the_second_miss_makes_a_member_unresponsive_once():
    suspicions = MemberSuspicions()
    assert [suspicions.record_miss("a") for _ in range(4)] == [
        False,
        True,
        False,
        False,
    ]
    assert suspicions.list_unresponsive() == ("a",)
    assert suspicions.is_suspected("a", 0.0)
    assert suspicions.clear_misses("a")
    assert not suspicions.clear_misses("a")
    assert not suspicions.is_suspected("a", 0.0)


def test_a_report_counts_until_its_time():
    suspicions = MemberSuspicions()
    suspicions.record_report("a", 5.0)
    assert suspicions.is_suspected("a", 4.9)
    assert not suspicions.is_suspected("a", 5.0)
    suspicions.record_report("a", 9.0)
    suspicions.clear_report("a")
    assert not suspicions.is_suspected("a", 4.9)


def test_a_member_that_the_store_lists_is_not_forgotten():
    suspicions = MemberSuspicions()
    for _ in range(MAX_MISSES):
        suspicions.record_miss("listed")
        suspicions.record_miss("gone")
    suspicions.record_miss("new")
    suspicions.forget_gone(lambda node_id: node_id == "listed")
    assert suspicions.list_missed() == ["listed", "new"]
