"""All nodes know which services a node does not reach, by its newest notice."""

from __future__ import annotations

from persimmonlink_router.peer_messages import ReachNotice, SharedFacts
from persimmonlink_router.reach_board import NOTICE_LIFETIME_S, ReachBoard


def make_board(node_id: str = "own") -> ReachBoard:
    return ReachBoard(lambda: node_id, lambda: None)


def make_facts(*services: str, age_s: float = 0.0) -> SharedFacts:
    return SharedFacts(unreached=(ReachNotice("peer", services, age_s),))


def test_a_notice_of_a_peer_is_news_once_and_is_passed_on():
    board = make_board()
    assert board.apply_facts(make_facts("desk"), "peer")
    assert not board.apply_facts(make_facts("desk"), "other")
    assert board.lacks("peer", "desk")
    assert [n.node_id for n in board.collect_facts().unreached] == ["peer"]


def test_the_end_of_a_cut_overtakes_older_notices():
    board = make_board()
    board.apply_facts(make_facts("desk", age_s=2.0), "peer")
    assert board.apply_facts(make_facts(), "peer")
    assert not board.apply_facts(make_facts("desk", age_s=1.0), "other")
    assert not board.lacks("peer", "desk")


def test_a_node_that_is_not_heard_of_again_lacks_nothing():
    board = make_board()
    assert not board.apply_facts(make_facts("desk", age_s=NOTICE_LIFETIME_S + 1), "p")
    assert not board.lacks("peer", "desk")


def test_what_others_say_of_this_node_is_ignored():
    board = make_board("peer")
    assert not board.apply_facts(make_facts("desk"), "other")
    board.update_own(["stage"])
    assert board.list_lacking("peer") == {"stage"}
