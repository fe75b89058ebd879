"""The checks of bounds find what breaks them."""

from __future__ import annotations

import pytest
from tests.planned_work.bound_checks import check_bounds
from tests.planned_work.checks import Checker
from tests.planned_work.history import History
from tests.planned_work.record import (
    Arrival,
    Attempt,
    DirectoryAnswer,
    Event,
    Record,
)
from tests.planned_work.sheet import BOOKING, CLASSES

from persimmonlink_stand_ins.raw_server import RawRequest

STOCK_CHECK = CLASSES[-1]
NODES = ("front-0", "front-1")


def make_record() -> Record:
    record = Record(began_at=0.0)
    record.events = [Event(0.0, "ready", node) for node in NODES]
    return record


def add_attempt(record, entry=BOOKING, *, sent_at=10.0, ended_at=10.1, **fields):
    headers = {"Persimmonlink-Deadline-Ms": "2500"}
    request_id = f"r{len(record.attempts)}"
    attempt = Attempt(request_id, entry, "/x", "front-0", headers, b"", **fields)
    attempt.sent_first = attempt.sent_last = sent_at
    attempt.ended_at = ended_at
    record.attempts.append(attempt)
    return attempt


def add_arrival(record, attempt, *, at=10.0, ended_at=10.05, deadline_ms=2500, end=""):
    headers = {"persimmonlink-deadline-ms": str(deadline_ms)}
    request = RawRequest("POST", "/x", headers, b"")
    arrival = Arrival(
        f"i-{len(record.arrivals)}",
        attempt.entry.service,
        "v1",
        (attempt.request_id,),
        request,
        at,
        False,
        [],
        has_run=True,
        ended_at=ended_at,
        end=end,
    )
    record.arrivals.append(arrival)


def list_rules(record: Record) -> list[str]:
    return [finding.rule for finding in check_bounds(record, History(record))]


def test_a_record_without_faults_has_no_findings():
    record = make_record()
    for _ in range(40):
        add_arrival(record, add_attempt(record, end="complete"))
    assert list_rules(record) == []


@pytest.mark.parametrize(("count", "expected"), [(3, []), (4, ["GONE"])])
def test_requests_sent_on_long_after_their_client_left(count, expected):
    record = make_record()
    for _ in range(count):
        attempt = add_attempt(record, end="gave up")
        add_arrival(record, attempt, at=10.7, ended_at=10.8)
    assert list_rules(record) == expected


@pytest.mark.parametrize(("lag_s", "expected"), [(0.0, ["GONE"]), (0.5, [])])
def test_servers_at_work_long_after_the_client_left(lag_s, expected):
    record = make_record()
    record.lags.append((10.5, lag_s))
    for _ in range(5):
        attempt = add_attempt(record, STOCK_CHECK, end="gave up")
        add_arrival(record, attempt, ended_at=10.9, end="caller left")
    assert list_rules(record) == expected


@pytest.mark.parametrize(("count", "expected"), [(3, []), (4, ["BUDGET"])])
def test_requests_that_run_more_often_than_their_route_allows(count, expected):
    record = make_record()
    for _ in range(count):
        attempt = add_attempt(record, end="complete")
        add_arrival(record, attempt)
        add_arrival(record, attempt)
    assert list_rules(record) == expected


@pytest.mark.parametrize(("count", "expected"), [(20, []), (21, ["BUDGET"])])
def test_requests_that_are_handed_too_much_time(count, expected):
    record = make_record()
    for _ in range(count):
        attempt = add_attempt(record, end="complete")
        add_arrival(record, attempt, deadline_ms=3100)
    assert list_rules(record) == expected


@pytest.mark.parametrize(("count", "expected"), [(58, []), (70, ["BUDGET"])])
def test_retries_over_the_budget_of_a_window(count, expected):
    record = make_record()
    for _ in range(30):
        attempt = add_attempt(record, STOCK_CHECK, end="complete")
        add_arrival(record, attempt)
    for _ in range(count):
        add_arrival(record, attempt, at=11.0, end="broke off")
    assert list_rules(record) == expected


@pytest.mark.parametrize(("count", "expected"), [(7, []), (8, ["CONFIG"])])
def test_requests_without_an_answer_long_after_their_timeout(count, expected):
    record = make_record()
    for _ in range(count):
        add_attempt(record, ended_at=12.0, end="gave up")
    assert list_rules(record) == expected


@pytest.mark.parametrize(("at", "expected"), [(25.0, []), (27.0, ["DRAIN"])])
def test_directories_that_name_a_node_that_has_long_ended(at, expected):
    record = make_record()
    record.events.append(Event(20.0, "kill", "front-1"))
    record.directory_answers += [DirectoryAnswer(at, "front-0", NODES)] * 4
    assert list_rules(record) == expected


def test_nodes_that_are_ready_long_after_sigterm():
    record = make_record()
    record.events += [Event(20.0, "ready in its stop", node) for node in NODES]
    assert list_rules(record) == ["DRAIN"]


@pytest.mark.parametrize(("sent_at", "expected"), [(11.9, ["LOST"]), (12.1, ["CUT"])])
def test_a_request_that_is_cut_beside_a_reload(tmp_path, sent_at, expected):
    record = make_record()
    record.events.append(Event(10.0, "SIGHUP", "front-0"))
    attempt = add_attempt(record, sent_at=sent_at, ended_at=sent_at + 0.4, end="closed")
    add_arrival(record, attempt, at=sent_at, ended_at=sent_at + 0.1)
    checker = Checker(record, tmp_path)
    checker._check_end(attempt)
    assert [finding.rule for finding in checker.findings] == expected
