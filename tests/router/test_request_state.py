"""Time left and priority of a request in progress."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, cast

import pytest
from tests.router.chains import SPEC, make_job

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.configuration import RequestKind, Route, Target
from persimmonlink_router.request_state import RequestState
from persimmonlink_router.stage_admission import (
    AdmissionOutcome,
    ServiceLoad,
    decide_admission,
)
from persimmonlink_router.wire_messages import RequestMetadata

if TYPE_CHECKING:
    from persimmonlink_router.http_server import Exchange


def make_state(deadline_s: float = 12.0, max_silence_s: float = 5.6) -> RequestState:
    route = Route(
        "r",
        "host",
        "/",
        RequestKind.STREAM,
        (Target("engines"),),
        timeout_s=10.0,
        objective_s=1.4,
        max_silence_s=max_silence_s,
    )
    metadata = RequestMetadata("id", deadline_s)
    exchange = cast("Exchange", None)
    return RequestState(exchange, metadata, route, "engines", None, boot_time())


def test_a_stream_without_events_times_out_after_max_silence():
    assert make_state().event_time_left_s == pytest.approx(5.6, abs=0.1)


def test_each_event_restarts_max_silence():
    state = make_state()
    state.silent_since = boot_time() + 3.0
    assert state.event_time_left_s == pytest.approx(8.6, abs=0.1)


def test_max_silence_does_not_extend_the_deadline():
    assert make_state(deadline_s=2.0).event_time_left_s == pytest.approx(2.0, abs=0.1)


@pytest.mark.parametrize("deadline_s", [3.0, 9.6, 12.0, 600.0])
def test_the_rank_of_a_request_does_not_depend_on_the_deadline_that_it_states(
    deadline_s,
):
    """Callers with 9.6 s were taken for ones that had returned."""
    state = make_state(deadline_s)
    assert state.stage_priority == make_state().stage_priority
    assert state.objective_left_s == pytest.approx(1.4, abs=0.1)


def resume(state: RequestState) -> RequestState:
    """Return the state of a request that takes the stream of another one up."""
    return replace(state, metadata=replace(state.metadata, last_event_id=b"7"))


def test_a_resumed_stream_ranks_before_new_ones():
    state = make_state()
    resumed = resume(make_state())
    assert resumed.stage_priority < state.stage_priority
    assert resumed.objective_left_s > state.objective_left_s


def test_a_resumed_stream_is_admitted_while_new_ones_fill_the_stages():
    def decide(state: RequestState) -> AdmissionOutcome:
        job = replace(
            make_job(),
            priority=state.stage_priority,
            objective_left_s=state.objective_left_s,
            deadline_left_s=state.event_time_left_s,
        )
        # New requests that fill the stages for longer than they have time.
        load = ServiceLoad(SPEC, 3, {0: {"acme": 300}}, {0: {"acme": 300}})
        return decide_admission(job, {"stage": load}).outcome

    new, resumed = make_state(), resume(make_state())
    assert decide(new) is AdmissionOutcome.REFUSED
    assert decide(resumed) is AdmissionOutcome.ADMITTED
