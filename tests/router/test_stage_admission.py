"""Admission of requests when the load exceeds the capacity of the stage servers."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.router.chains import SPEC, make_job

from persimmonlink_router.stage_admission import (
    Admission,
    AdmissionOutcome,
    ServiceLoad,
    decide_admission,
    list_critical_paths_s,
)

FULL_CALL_S = SPEC.call_overhead_s + SPEC.time_per_piece_s * SPEC.max_pieces


def make_load(
    ahead: int = 0, *, servers: float = 3, priority: int = 0, is_standing: bool = False
) -> ServiceLoad:
    waiting = {priority: {"acme": ahead}}
    return ServiceLoad(SPEC, servers, waiting, waiting, is_standing=is_standing)


def decide(load: ServiceLoad, **changes) -> Admission:
    return decide_admission(make_job(**changes), {"stage": load})


def is_admitted(load: ServiceLoad, **changes) -> bool:
    return decide(load, **changes).outcome is AdmissionOutcome.ADMITTED


def test_a_request_that_can_be_answered_by_its_deadline_is_admitted():
    assert is_admitted(make_load())
    assert is_admitted(make_load(80))


@given(st.integers(0, 600), st.floats(0.5, 30.0))
def test_a_request_is_refused_exactly_if_it_can_not_be_answered_by_its_deadline(
    ahead, deadline_s
):
    """With 12 s it was refused when its first event was due in over 4.8 s."""
    admission = decide(make_load(ahead), deadline_s=deadline_s)
    can_be_answered = admission.predicted_s <= deadline_s
    assert (admission.outcome is AdmissionOutcome.ADMITTED) == can_be_answered


@given(st.integers(0, 600), st.floats(0.01, 60.0), st.booleans())
def test_the_objective_of_a_route_refuses_nobody(ahead, objective_s, is_standing):
    """What could be answered in time was deferred or refused for its objective."""
    load = make_load(ahead, is_standing=is_standing)
    assert decide(load, objective_s=objective_s) == decide(load, objective_s=2.0)


def test_work_of_lower_priority_does_not_delay_a_request():
    assert is_admitted(make_load(1000, priority=2), priority=1)
    assert not is_admitted(make_load(1000, priority=1), priority=1)


def test_an_account_waits_for_no_more_of_others_than_it_has_itself():
    waiting = {0: {"large": 400, "acme": 2}}
    load = ServiceLoad(SPEC, 3, waiting, waiting, is_standing=True)
    assert is_admitted(load)
    assert not is_admitted(load, account="large")


def test_request_is_refused_without_servers():
    admission = decide(make_load(servers=0))
    assert admission.outcome is AdmissionOutcome.REFUSED
    assert admission.retry_after_s > 0


def test_a_queue_that_stands_takes_as_much_as_the_next_calls():
    """A queue as long as the deadlines makes all wait, and serves nobody more."""
    assert is_admitted(make_load(10, is_standing=True))
    assert not is_admitted(make_load(40, is_standing=True))
    assert is_admitted(make_load(40))


@given(st.integers(0, 600), st.floats(4.0, 60.0))
def test_in_a_queue_that_stands_the_stated_deadline_does_not_decide(ahead, deadline_s):
    """First tries with 9.6 s were shut out by those with 12 s."""
    load = make_load(ahead, is_standing=True)
    assert decide(load, deadline_s=deadline_s) == decide(load, deadline_s=4.0)


def test_time_in_earlier_stages_does_not_count_as_waiting():
    load_by_service = {
        "first": make_load(),
        "second": make_load(8, is_standing=True),
    }
    job = make_job(piece_counts=(5, 1), services=("first", "second"))
    admission = decide_admission(job, load_by_service)
    assert admission.outcome is AdmissionOutcome.ADMITTED


def test_earlier_stages_have_longer_critical_paths():
    paths_s = list_critical_paths_s(
        make_job(piece_counts=(1, 1, 1)), {"stage": make_load()}
    )
    assert paths_s[0] == pytest.approx(3 * 0.28 + 0.1)
    assert paths_s[2] == pytest.approx(0.28 + 0.1)


@given(st.integers(0, 2000), st.integers(0, 2000), st.floats(0.1, 8), st.booleans())
def test_more_waiting_pieces_never_admit_a_request(ahead, more, servers, is_standing):
    load = make_load(ahead, servers=servers, is_standing=is_standing)
    longer = make_load(ahead + more, servers=servers, is_standing=is_standing)
    assert is_admitted(load) or not is_admitted(longer)


def test_slow_servers_lengthen_the_wait():
    load = replace(make_load(100), effective_servers=0.5)
    assert decide(load).predicted_s > decide(make_load(100)).predicted_s
