"""Each step of a rollout is decided in time, once enough is known, by some node."""

from __future__ import annotations

from dataclasses import replace

import pytest

from persimmonlink_router.rollouts.rollout_book import Rollout
from persimmonlink_router.rollouts.rollout_decision import (
    ABANDON_AFTER_S,
    TAKEOVER_S,
    RolloutFacts,
    RolloutFault,
    decide,
)
from persimmonlink_router.rollouts.rollout_phase import RolloutPhase
from persimmonlink_router.rollouts.rollout_records import RolloutOrder, RolloutRecord

PERIOD_S = 12.0
FACTS = RolloutFacts(0, True, True, 0, ("v1",), True, 2.0)


def make_rollout(phase=None, outcomes=100, **order_changes):
    order = replace(RolloutOrder("desk", "v2", PERIOD_S), **order_changes)
    rollout = Rollout(order, 5, 0.0)
    for _ in range(outcomes):
        rollout.evidence.record_answer("/look/", 0.1, is_new=True)
        rollout.evidence.record_answer("/look/", 0.1, is_new=False)
    rollout.judge.update(rollout.evidence.counts_by_side, 1.0)
    if phase is not None:
        rollout.record = RolloutRecord(5, "desk", "v2", phase, 0.0, "n")
    return rollout


def find_first_decision(rollout, facts=FACTS, until_s=30.0):
    """Return the first decision that is due, and when, in seconds."""
    for step in range(int(until_s * 10)):
        decision = decide(rollout, facts, step / 10)
        if decision is not None:
            return decision, step / 10
    return None, until_s


def test_a_trial_begins_at_once_and_at_the_next_node_if_the_first_does_nothing():
    assert find_first_decision(make_rollout())[1] == 0.0
    decision, at_s = find_first_decision(make_rollout(), replace(FACTS, rank=1))
    assert decision.phase is RolloutPhase.TRIAL
    assert TAKEOVER_S <= at_s < TAKEOVER_S + 0.2


def test_a_sound_version_takes_over_in_time_for_old_servers_to_end_their_work():
    rollout = make_rollout(RolloutPhase.TRIAL)
    decision, shift_at_s = find_first_decision(rollout)
    assert decision.phase is RolloutPhase.SHIFT
    assert shift_at_s <= PERIOD_S - FACTS.longest_response_s
    # A version that is bad late is still found: it isn't taken over long before.
    assert shift_at_s >= PERIOD_S / 2


def test_a_version_of_which_too_little_is_known_is_taken_back():
    decision, at_s = find_first_decision(make_rollout(RolloutPhase.TRIAL, outcomes=5))
    assert decision.phase is RolloutPhase.REVERTED
    assert decision.fault is RolloutFault.TOO_LITTLE_KNOWN
    assert at_s < PERIOD_S


def test_old_servers_are_given_up_once_they_have_ended_their_work_or_time_is_up():
    rollout = make_rollout(RolloutPhase.SHIFT)
    rollout.shifted_at = 4.0
    busy = replace(FACTS, old_in_flight=3)
    decision, at_s = find_first_decision(rollout)
    assert decision.phase is RolloutPhase.COMPLETE
    assert 4.0 < at_s < 6.0
    decision, at_s = find_first_decision(rollout, busy)
    assert decision.phase is RolloutPhase.COMPLETE
    assert PERIOD_S - 1.0 < at_s < PERIOD_S
    unheard = replace(FACTS, has_all_reports=False)
    assert find_first_decision(rollout, unheard)[1] == at_s


@pytest.mark.parametrize("phase", [RolloutPhase.TRIAL, RolloutPhase.SHIFT])
def test_a_version_found_bad_is_taken_back_at_once_by_any_node(phase):
    rollout = make_rollout(phase)
    for _ in range(20):
        rollout.evidence.record_failure("/look/", is_new=True)
    rollout.judge.update(rollout.evidence.counts_by_side, 2.0)
    far = RolloutFacts(40, False, False, 9, ("v1",), True, 2.0)
    decision, at_s = find_first_decision(rollout, far)
    assert decision.phase is RolloutPhase.REVERTED
    assert decision.fault is RolloutFault.VERSION_WORSE
    assert at_s == 0.0


def test_a_node_without_the_others_reports_doesn_t_end_a_trial_before_they_should():
    lone = replace(FACTS, has_reports=False, has_all_reports=False)
    rollout = make_rollout(RolloutPhase.TRIAL, outcomes=3)
    decision, at_s = find_first_decision(rollout, lone)
    assert decision.phase is RolloutPhase.REVERTED
    assert at_s >= PERIOD_S + ABANDON_AFTER_S


@pytest.mark.parametrize(
    ("changes", "facts", "fault"),
    [
        ({"error": "`to` is missing"}, FACTS, RolloutFault.ORDER_INVALID),
        ({}, replace(FACTS, has_new_servers=False), RolloutFault.NO_SERVER_OF_VERSION),
    ],
)
def test_an_order_that_can_t_be_followed_ends_with_a_numbered_reason(
    changes, facts, fault
):
    rollout = make_rollout(RolloutPhase.TRIAL, **changes)
    decision, _ = find_first_decision(rollout, facts)
    assert decision.phase is RolloutPhase.REVERTED
    assert decision.fault is fault


def test_a_withdrawn_order_is_taken_back():
    rollout = make_rollout(RolloutPhase.TRIAL)
    rollout.is_withdrawn = True
    decision, _ = find_first_decision(rollout)
    assert decision.fault is RolloutFault.ORDER_WITHDRAWN
