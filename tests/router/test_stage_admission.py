"""Admission of requests when the load exceeds the capacity of the stage servers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.router.chains import SPEC, make_job

from persimmonlink_router.stage_admission import (
    AccountShares,
    ArrivalRates,
    Lane,
    ServiceLoad,
    decide_admission,
    list_critical_paths_s,
)


def make_load(ahead: int = 0, *, late: int = 0, servers: float = 3) -> ServiceLoad:
    return ServiceLoad(SPEC, servers, {0: ahead}, late, 0.0)


def test_request_that_meets_its_objective_is_admitted_on_time():
    admission = decide_admission(
        make_job(), {"stage": make_load()}, is_over_share=False
    )
    assert admission.lane is Lane.ON_TIME


def test_request_that_misses_its_objective_is_admitted_late():
    admission = decide_admission(
        make_job(), {"stage": make_load(80)}, is_over_share=False
    )
    assert admission.lane is Lane.LATE


def test_request_that_would_wait_too_long_is_refused_with_retry_after():
    admission = decide_admission(
        make_job(), {"stage": make_load(500)}, is_over_share=False
    )
    assert admission.lane is Lane.REFUSED
    assert admission.retry_after_s >= 0.5


def test_late_pieces_do_not_delay_on_time_requests():
    load = {"stage": make_load(0, late=1000)}
    assert decide_admission(make_job(), load, is_over_share=False).lane is Lane.ON_TIME


def test_pieces_of_lower_priority_do_not_delay_requests_of_higher_priority():
    load = ServiceLoad(SPEC, 3, {2: 1000}, 0, 0.0)
    admission = decide_admission(
        make_job(priority=1), {"stage": load}, is_over_share=False
    )
    assert admission.lane is Lane.ON_TIME


def test_request_is_refused_without_servers():
    load = {"stage": make_load(servers=0)}
    assert decide_admission(make_job(), load, is_over_share=False).lane is Lane.REFUSED


def test_account_over_its_share_is_admitted_late_where_others_are_on_time():
    load = {"stage": make_load(40)}
    job = make_job()
    assert decide_admission(job, load, is_over_share=False).lane is Lane.ON_TIME
    assert decide_admission(job, load, is_over_share=True).lane is Lane.LATE


def test_account_shares_are_compared_over_a_window():
    shares = AccountShares()
    shares.record_cost("large", 9.0, 0.0)
    shares.record_cost("small", 1.0, 0.0)
    assert shares.exceeds_share("large", 1.0)
    assert not shares.exceeds_share("small", 1.0)
    assert not shares.exceeds_share("large", 20.0)


def test_single_account_is_never_over_its_share():
    shares = AccountShares()
    shares.record_cost("only", 9.0, 0.0)
    assert not shares.exceeds_share("only", 0.0)


def test_earlier_stages_have_longer_critical_paths():
    paths_s = list_critical_paths_s(
        make_job(piece_counts=(1, 1, 1)), {"stage": make_load()}
    )
    assert paths_s[0] == pytest.approx(3 * 0.28 + 0.1)
    assert paths_s[2] == pytest.approx(0.28 + 0.1)


def test_arrivals_of_higher_priority_delay_requests_of_lower_priority():
    without_arrivals = ServiceLoad(SPEC, 3, {1: 20}, 0, 0.0)
    with_arrivals = ServiceLoad(SPEC, 3, {1: 30}, 0, 0.0, {0: 15.0})
    job = make_job(priority=1)
    assert (
        decide_admission(job, {"stage": without_arrivals}, is_over_share=False).lane
        is Lane.ON_TIME
    )
    assert (
        decide_admission(job, {"stage": with_arrivals}, is_over_share=False).lane
        is Lane.LATE
    )


def test_arrival_rates_decay():
    rates = ArrivalRates()
    rates.record_arrival(make_job(piece_counts=(4,), priority=1), 0.0)
    assert rates.list_rates("stage", 0.0)[1] == pytest.approx(2.0)
    assert rates.list_rates("stage", 10.0)[1] < 0.1


def test_service_has_slack_only_while_few_pieces_wait():
    assert make_load(5).has_slack(2)
    assert not make_load(20).has_slack(1)


@given(st.integers(0, 2000), st.integers(0, 2000), st.floats(0.1, 8))
def test_more_waiting_pieces_never_improve_the_lane(ahead, more, servers):
    order = [Lane.ON_TIME, Lane.LATE, Lane.REFUSED]
    job = make_job()
    first = decide_admission(
        job, {"stage": make_load(ahead, servers=servers)}, is_over_share=False
    )
    second = decide_admission(
        job, {"stage": make_load(ahead + more, servers=servers)}, is_over_share=False
    )
    assert order.index(first.lane) <= order.index(second.lane)
