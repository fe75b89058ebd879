"""Parts that end servers are told from parts that were merely there."""

from __future__ import annotations

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.crash_evidence import (
    ENDS_TO_HOLD,
    ENDS_TO_HOLD_REQUEST,
    MORE_DOUBTFUL_ENDS,
    CrashEvidence,
    ServerEnd,
)

LATER_S = 1.0
REQUEST = "request:1"
EXACT = "request:exact:"
CONTACT_S = 3.0  # The users' bound, in seconds after the fifth end.
MAX_LATER_REQUESTS = 3


def record_ends(evidence, cause_ids, count, started_at=0.0, name="s"):
    for index in range(count):
        at = started_at + index
        evidence.record_end(ServerEnd(f"{name}{index}", frozenset(cause_ids), at), at)
    return started_at + count - 1


def test_a_part_is_accused_after_enough_ends_and_a_delay_for_responses():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, ["bad"], ENDS_TO_HOLD)
    assert not evidence.judge(last_at)
    verdict = evidence.judge(last_at + LATER_S)[0]
    assert verdict.cause_ids == {"bad"}
    assert len(verdict.servers) == ENDS_TO_HOLD


def test_one_response_clears_a_part_however_many_servers_ended_before():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, ["half-the-traffic"], 10)
    evidence.record_served("half-the-traffic", last_at + 0.1)
    assert not evidence.judge(last_at + LATER_S)


def test_servers_that_end_at_the_same_time_count_once():
    evidence = CrashEvidence()
    for index in range(10):
        evidence.record_end(ServerEnd(f"s{index}", frozenset(["a"]), 5.0), 5.0)
    assert evidence.count_ends("a") == 1


def test_reports_of_one_end_by_several_nodes_count_once():
    evidence = CrashEvidence()
    for index in range(10):
        end = ServerEnd("s", frozenset(["a", f"b{index}"]), 5.0 + index)
        evidence.record_end(end, 15.0)
    assert evidence.count_ends("a") == 1


def test_parts_that_always_came_together_are_only_accused_together():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, ["first", "bad"], ENDS_TO_HOLD)
    verdicts = evidence.judge(last_at + LATER_S)
    assert {verdict.cause_ids for verdict in verdicts} == {frozenset(["first", "bad"])}


def test_an_end_without_the_other_part_narrows_the_accusation():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, ["first", "bad"], ENDS_TO_HOLD)
    end = ServerEnd("other", frozenset(["bad"]), last_at + LATER_S)
    evidence.record_end(end, last_at + LATER_S)
    verdicts = evidence.judge(last_at + 2 * LATER_S)
    assert frozenset(["bad"]) in {verdict.cause_ids for verdict in verdicts}


def test_a_shared_part_is_not_accused_for_the_ends_under_a_rarer_one():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, ["shared", "bad"], ENDS_TO_HOLD + 1)
    record_ends(evidence, ["shared"], ENDS_TO_HOLD)
    verdicts = evidence.judge(last_at + LATER_S)
    assert [verdict.cause_ids for verdict in verdicts] == [{"bad", "shared"}]
    last_at = record_ends(evidence, ["shared"], 1, last_at + LATER_S, "later")
    verdicts = evidence.judge(last_at + LATER_S)
    assert {"shared"} in [verdict.cause_ids for verdict in verdicts]


def test_a_part_that_comes_with_many_rarer_ones_is_accused():
    evidence = CrashEvidence()
    last_at = 0.0
    for number in range(3):
        last_at = record_ends(
            evidence, ["bad", f"own{number}"], ENDS_TO_HOLD, last_at + 1, f"s{number}-"
        )
    verdicts = evidence.judge(last_at + LATER_S)
    assert {"bad"} in [verdict.cause_ids for verdict in verdicts]


def test_a_part_on_probation_is_accused_again_after_one_more_end():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, ["bad"], ENDS_TO_HOLD + 3)
    evidence.put_on_probation(["bad"])
    assert not evidence.judge(last_at + LATER_S)
    evidence.record_end(ServerEnd("new", frozenset(["bad"]), last_at + 2), last_at + 2)
    assert evidence.judge(last_at + 3)


def test_a_request_is_accused_after_its_third_end():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, [REQUEST], ENDS_TO_HOLD_REQUEST)
    assert evidence.judge(last_at + LATER_S)[0].cause_ids == {REQUEST}


def test_more_ends_accuse_a_request_if_something_else_may_have_caused_them():
    evidence = CrashEvidence()
    causes = frozenset([REQUEST])
    for index in range(ENDS_TO_HOLD_REQUEST + MORE_DOUBTFUL_ENDS):
        assert not evidence.judge(index + LATER_S)
        end = ServerEnd(f"s{index}", causes, index, is_doubtful=True)
        evidence.record_end(end, index)
    assert evidence.judge(index + LATER_S)[0].cause_ids == causes


def test_doubtful_ends_are_no_substitute_for_a_certain_one():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, [REQUEST], ENDS_TO_HOLD_REQUEST - 1)
    end = ServerEnd("other", frozenset([REQUEST]), last_at + 1, is_doubtful=True)
    evidence.record_end(end, end.ended_at)
    assert not evidence.judge(end.ended_at + LATER_S)
    record_ends(evidence, [REQUEST], 1, last_at + 2, "certain")
    assert evidence.judge(last_at + 2 + LATER_S)


def test_a_request_that_is_repeated_at_once_ends_each_server_on_its_own():
    evidence = CrashEvidence()
    for index in range(3):
        ended_at = 5.0 + 0.03 * index
        end = ServerEnd(f"s{index}", frozenset([REQUEST]), ended_at, ended_at - 0.02)
        evidence.record_end(end, ended_at)
    assert evidence.count_ends(REQUEST) == 3


def test_a_request_that_is_repeated_at_once_counts_each_end_for_its_part():
    evidence = CrashEvidence()
    for index in range(2):
        ended_at = 5.0 + 0.03 * index
        for causes in (["part", "request:sound"], ["part", REQUEST]):
            sent_at = ended_at - 0.02
            end = ServerEnd(f"s{index}", frozenset(causes), ended_at, sent_at)
            evidence.record_end(end, ended_at)
    assert evidence.count_ends("part") == 2


def test_ends_of_different_requests_at_the_same_time_count_once_for_their_part():
    evidence = CrashEvidence()
    for index in range(10):
        ended_at = 5.0 + 0.005 * index
        causes = frozenset(["part", f"request:{index}"])
        end = ServerEnd(f"s{index}", causes, ended_at, ended_at - 0.001)
        evidence.record_end(end, ended_at)
    assert evidence.count_ends("part") == 1


def test_servers_that_end_at_the_same_time_under_one_request_count_once():
    evidence = CrashEvidence()
    for index in range(10):
        end = ServerEnd(f"s{index}", frozenset([REQUEST]), 5.0 + index / 200, 4.9)
        evidence.record_end(end, 5.1)
    assert evidence.count_ends(REQUEST) == 1


def test_a_query_that_ends_servers_is_accused_among_sound_ones_of_its_path():
    evidence = CrashEvidence()
    fatal = f"{EXACT}fatal"
    for index in range(ENDS_TO_HOLD_REQUEST):
        record_ends(evidence, [REQUEST, fatal], 1, 2.0 * index, f"s{index}-")
        for cause_id in (REQUEST, f"{EXACT}sound"):
            evidence.record_served(cause_id, 2.0 * index + 1.0)
    verdicts = evidence.judge(2.0 * index + 2.0)
    assert [verdict.cause_ids for verdict in verdicts] == [{fatal}]


def test_ends_under_one_query_accuse_no_other_one_of_its_path():
    evidence = CrashEvidence()
    last_at = record_ends(evidence, [REQUEST, f"{EXACT}1"], 2 * ENDS_TO_HOLD_REQUEST)
    verdicts = evidence.judge(last_at + LATER_S)
    assert [verdict.cause_ids for verdict in verdicts] == [{REQUEST, f"{EXACT}1"}]
    assert evidence.list_suspects() == [f"{EXACT}1"]


def test_a_request_that_comes_with_another_query_each_time_is_accused():
    evidence = CrashEvidence()
    for index in range(ENDS_TO_HOLD_REQUEST):
        # The node sent it once more, to another server, each time.
        causes = [REQUEST, f"{EXACT}{index}"]
        last_at = record_ends(evidence, causes, 2, 3.0 * index, f"s{index}-")
    verdicts = evidence.judge(last_at + LATER_S)
    assert [verdict.cause_ids for verdict in verdicts] == [{REQUEST}]


def test_others_that_ran_on_the_servers_under_a_fatal_query_count_once_with_it():
    evidence = CrashEvidence()
    fatal = f"{EXACT}fatal"
    for index in range(ENDS_TO_HOLD_REQUEST):
        for exact in (fatal, f"{EXACT}{index}"):
            causes = frozenset([REQUEST, exact])
            evidence.record_end(ServerEnd(f"s{index}", causes, float(index)), index)
    verdicts = evidence.judge(index + LATER_S)
    assert [verdict.cause_ids for verdict in verdicts] == [{REQUEST, fatal}]


def test_ends_that_an_older_build_reports_without_the_query_count_for_the_path():
    evidence = CrashEvidence()
    record_ends(evidence, [REQUEST, f"{EXACT}1"], ENDS_TO_HOLD_REQUEST - 1)
    last_at = record_ends(evidence, [REQUEST], 1, 5.0, "older")
    verdicts = evidence.judge(last_at + LATER_S)
    assert [verdict.cause_ids for verdict in verdicts] == [{REQUEST}]


def test_a_query_on_probation_is_accused_again_after_one_more_end():
    evidence = CrashEvidence()
    causes = [REQUEST, f"{EXACT}1"]
    last_at = record_ends(evidence, causes, ENDS_TO_HOLD_REQUEST + 2)
    evidence.put_on_probation(causes)
    assert not evidence.judge(last_at + LATER_S)
    record_ends(evidence, causes, 1, last_at + 2, "new")
    assert evidence.judge(last_at + 3)


def record_outcome(keepers, ended_server, parts, now):
    """Record at all keepers that a server ended under a prompt, or served it."""
    for keeper in keepers:
        if ended_server:
            keeper.record_end(ServerEnd(ended_server, frozenset(parts), now), now)
            continue
        for cause_id in parts:
            keeper.record_served(cause_id, now)


@given(
    seed=st.integers(0, 2**32),
    fatal_count=st.integers(1, 3),
    position=st.integers(0, 2),
    keeper_count=st.integers(2, 4),
    other_ends_per_s=st.floats(0.0, 1.0),
)
def test_fatal_parts_are_held_in_time_and_parts_of_much_traffic_are_not(
    seed, fatal_count, position, keeper_count, other_ends_per_s
):
    """Draws place and number of the parts, unrelated ends and a keeper's restart."""
    rng = random.Random(seed)
    keepers = [CrashEvidence() for _ in range(keeper_count)]
    ended_at_by_part = {f"bad{index}": [] for index in range(fatal_count)}
    restart_at = rng.uniform(0.0, 20.0)
    held = set()
    now = 0.0
    for number in range(900):
        now += rng.expovariate(30)
        parts = [f"{place}-{rng.randrange(4)}" for place in range(3)]
        is_fatal = rng.random() < 0.15
        fatal = rng.choice(sorted(ended_at_by_part))
        if is_fatal:
            parts[position] = fatal
        if now > restart_at:
            restart_at = math.inf
            keepers[0] = CrashEvidence()
        for keeper in keepers:
            held.update(verdict.cause_ids for verdict in keeper.judge(now))
        if any(cause_ids <= frozenset(parts) for cause_ids in held):
            assert is_fatal, f"{parts} held by {held}"
            continue
        if is_fatal:
            ended_at_by_part[fatal].append(now)
        has_ended = is_fatal or rng.random() < other_ends_per_s / 30
        record_outcome(keepers, f"s{number}" if has_ended else "", parts, now)
    for ended_at in ended_at_by_part.values():
        late = [at for at in ended_at[5:] if at > ended_at[4] + CONTACT_S]
        assert len(late) <= MAX_LATER_REQUESTS
