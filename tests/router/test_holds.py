"""Decisions on prompts: what they hold back, what releases them, and how many fit."""

from __future__ import annotations

from persimmonlink_router.holds import MAX_HOLDS, Hold, Holds

NOW = 100.0


def make_hold(*cause_ids: str, at: float = NOW) -> Hold:
    return Hold(frozenset(cause_ids), "n", at, at + 60.0, 4)


def test_only_prompts_with_all_parts_of_a_decision_are_held_back():
    holds = Holds()
    holds.add(make_hold("a", "bad"))
    assert holds.find(["a", "bad", "c"], NOW) is not None
    assert holds.find(["other", "bad"], NOW) is None


def test_a_release_covers_what_later_decisions_say_of_more_parts():
    holds = Holds()
    holds.add(make_hold("bad"))
    holds.release(frozenset(["bad"]), "n", NOW + 1)
    assert holds.covers(frozenset(["a", "bad"]), frozenset(), NOW + 2)
    holds.add(make_hold("a", "bad", at=NOW + 2))
    assert holds.find(["a", "bad"], NOW + 3) is None


def test_a_decision_ends_with_its_time():
    holds = Holds()
    holds.add(make_hold("bad"))
    assert holds.find(["bad"], NOW + 61) is None
    assert len(holds.remove_expired(NOW + 61)) == 1


def test_decisions_that_do_not_fit_are_not_news_again_and_again():
    nodes = [Holds(), Holds()]
    numbers = range(MAX_HOLDS + 20)
    for node, order in zip(nodes, (numbers, reversed(numbers)), strict=True):
        for number in order:
            node.add(make_hold(f"p{number}"))
    news = [
        nodes[0].add_notice(notice, NOW + 1) for notice in nodes[1].build_notices(NOW)
    ]
    assert not any(news)
    assert len(nodes[0]) == MAX_HOLDS
