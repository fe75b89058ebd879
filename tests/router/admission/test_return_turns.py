"""Turns that are kept for refused requests never promise more than the servers run."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.admission.return_turns import (
    EARLY_S,
    KEPT_S,
    PROMISED_PART,
    ReturnTurns,
)
from persimmonlink_router.stage_job import StageJob, StageNeed

RATES = {"encode": 20.0, "rerank": 50.0}
HORIZON_S = 2.0


def make_job(pieces=(1, 4), priority=0, account="acme"):
    needs = (
        StageNeed("encode", (), 1000, pieces[0]),
        StageNeed("rerank", (0,), 1000, pieces[1]),
    )
    return StageJob("id", account, priority, 1.0, 12.0, 0.1, "", "k", needs)


def book(turns, key, now=0.0, **changes):
    return turns.book(key, make_job(**changes), now, now + HORIZON_S, RATES)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 30)), max_size=80))
def test_turns_follow_each_other_no_faster_than_the_promised_part(jobs):
    turns = ReturnTurns()
    booked = []
    for index, pieces in enumerate(jobs):
        at = book(turns, str(index), pieces=pieces)
        if at is not None:
            booked.append((at, pieces))
    for service, rate in enumerate(RATES.values()):
        work_s = 0.0
        for at, pieces in booked:
            if not pieces[service]:
                continue
            assert at >= work_s - 1e-9
            work_s += pieces[service] / (PROMISED_PART * rate)


def test_a_turn_is_taken_once_and_not_before_it_is_due():
    turns = ReturnTurns()
    at = book(turns, "a", now=5.0)
    assert not turns.take("a", at - EARLY_S - 0.01)
    assert turns.take("a", at - EARLY_S / 2)
    assert not turns.take("a", at)
    assert not turns.take("other", at)


def test_room_is_kept_while_a_turn_is_due_and_free_once_it_is_missed():
    turns = ReturnTurns()
    at = book(turns, "a", now=5.0)
    turns.advance(at - EARLY_S - 0.01)
    assert not turns.counts_by_service.get("encode")
    turns.advance(at)
    assert turns.counts_by_service["encode"] == {0: {"acme": 1}}
    assert turns.counts_by_service["rerank"] == {0: {"acme": 4}}
    # Only the first stage competes with what is ready now.
    assert turns.first_counts_by_service["encode"] == {0: {"acme": 1}}
    assert not turns.first_counts_by_service.get("rerank")
    turns.advance(at + KEPT_S + 0.01)
    assert not turns.counts_by_service["encode"]
    assert not turns.take("a", at + KEPT_S + 0.02)


@given(st.permutations(range(6)), st.integers(0, 6))
def test_counts_return_to_nothing_whatever_the_order_of_returns(order, returning):
    turns = ReturnTurns()
    booked = {str(i): book(turns, str(i)) for i in order}
    ats = {key: at for key, at in booked.items() if at is not None}
    for key in list(ats)[:returning]:
        turns.advance(ats[key])
        assert turns.take(key, ats[key])
    turns.advance(max(ats.values()) + KEPT_S + 0.1)
    assert not any(turns.counts_by_service.values())
    assert not any(turns.find(key) is not None for key in ats)


def test_a_request_that_repeats_at_once_keeps_one_turn():
    turns = ReturnTurns()
    first = book(turns, "a")
    assert turns.find("a") == first
    turns.take("a", first)
    assert turns.find("a") is None


def test_less_urgent_turns_never_put_off_more_urgent_ones():
    turns = ReturnTurns()
    for index in range(10):
        book(turns, f"late-{index}", priority=2)
    assert book(turns, "urgent", now=1.0, priority=0) == 1.0


def test_who_gets_no_turn_is_told_when_all_before_could_have_been_run():
    turns = ReturnTurns()
    told = [turns.queue_outside(make_job(), 1.0, 0.0, RATES) for _ in range(4)]
    assert told[0] == 1.0
    gaps = {round(b - a, 6) for a, b in pairwise(told)}
    assert gaps == {round(max(1 / 20.0, 4 / 50.0), 6)}


def test_a_turn_that_was_missed_is_gone_though_nobody_else_has_come():
    turns = ReturnTurns()
    at = book(turns, "a", now=5.0)
    assert not turns.take("a", at + KEPT_S + 0.01)
