"""How long a request may still wait."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import pytest

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.calls import Call
from persimmonlink_router.configuration import RequestKind, Route, Target
from persimmonlink_router.request_state import RequestState

if TYPE_CHECKING:
    from persimmonlink_router.http_server import Exchange


def make_state(deadline_s: float = 12.0, patience_s: float = 5.6) -> RequestState:
    route = Route(
        "r",
        "host",
        "/",
        RequestKind.STREAM,
        (Target("engines"),),
        timeout_s=10.0,
        objective_s=1.4,
        patience_s=patience_s,
    )
    call = Call("id", deadline_s)
    exchange = cast("Exchange", None)
    return RequestState(exchange, call, route, "engines", None, boot_time())


def test_a_stream_without_events_ends_when_its_client_leaves():
    assert make_state().event_left_s == pytest.approx(5.6, abs=0.1)


def test_each_event_lets_the_client_wait_anew():
    state = make_state()
    state.silent_since = boot_time() + 3.0
    assert state.event_left_s == pytest.approx(8.6, abs=0.1)


def test_no_patience_outlasts_the_deadline():
    assert make_state(deadline_s=2.0).event_left_s == pytest.approx(2.0, abs=0.1)


def test_a_client_that_came_back_waits_behind_those_that_can_be_on_time():
    state, returned = make_state(), make_state()
    returned.has_returned = True
    assert returned.stage_priority > 9 >= state.stage_priority
    assert returned.objective_left_s > state.objective_left_s
    assert returned.objective_left_s < returned.event_left_s
