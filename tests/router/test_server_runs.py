"""Ends of one run are told from the ends of a server that started again."""

from __future__ import annotations

from dataclasses import replace

from persimmonlink_router.server_ends import InterruptedRequest
from persimmonlink_router.server_runs import MIN_RESTART_S, ServerRuns
from persimmonlink_router.servers import Server

SERVER = Server(
    "s", 1, "engines", "10.0.0.1:1", "a", 6, is_draining=False, cold_left_s=0.0
)
OTHER = replace(SERVER, started_at_ms=2)


def interrupt(sent_at: float, interrupted_at: float) -> InterruptedRequest:
    return InterruptedRequest("r", "request:1", ("a",), sent_at, None, interrupted_at)


def test_late_reports_of_one_end_name_one_run():
    runs = ServerRuns()
    first = runs.name_ended_run(SERVER, [interrupt(0.0, 5.0)])
    assert runs.name_ended_run(SERVER, [interrupt(4.9, 9.0)]) == first
    assert runs.name_ended_run(SERVER, [interrupt(5.0 + MIN_RESTART_S, 9.0)]) == first


def test_a_server_that_took_a_request_after_its_end_has_started_again():
    runs = ServerRuns()
    names = {
        runs.name_ended_run(SERVER, [interrupt(float(at), at + 0.1)]) for at in range(5)
    }
    assert len(names) == 5


def test_a_start_that_the_store_tells_is_a_run_of_its_own():
    runs = ServerRuns()
    first = runs.name_ended_run(SERVER, [interrupt(0.0, 1.0)])
    assert runs.name_ended_run(OTHER, [interrupt(0.0, 1.0)]) != first
