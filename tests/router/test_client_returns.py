"""Clients that come back after a refusal."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.client_returns import (
    LEAST_KEPT,
    ClientReturns,
    choose_return_s,
)
from persimmonlink_router.request_service import RETRY_SPREAD

HONOURED_SHARE = 1 / 3  # Part of the time left up to which clients comply.
CLIENT_SPREAD = 0.15  # Part by which the deadlines of first tries differ.


def make_returns(deadline_s: float = 12.0) -> ClientReturns:
    returns = ClientReturns()
    for _ in range(LEAST_KEPT):
        returns.note("r", deadline_s)
    return returns


def test_clients_that_come_first_are_told_from_those_that_come_back():
    returns = make_returns()
    assert not returns.note("r", 12.0)
    assert not returns.note("r", 12.0 * (1 - CLIENT_SPREAD))
    assert returns.note("r", 9.4)
    assert not returns.note("other", 9.4)


def test_a_request_without_a_deadline_is_a_first_try():
    assert not ClientReturns().note("r", None)


@given(
    deadline_s=st.floats(10.2, 12.0),
    room_in_s=st.floats(0.0, 20.0),
    spread=st.floats(0.0, 1.0),
)
def test_whoever_complies_is_recognised_on_its_return(deadline_s, room_in_s, spread):
    returns = make_returns()
    wait_s = choose_return_s(room_in_s, deadline_s) * (1 + RETRY_SPREAD * spread)
    assert wait_s <= HONOURED_SHARE * deadline_s
    assert returns.note("r", deadline_s - wait_s)


def test_routes_that_are_gone_are_forgotten():
    returns = make_returns()
    returns.forget_other(())
    assert not returns.note("r", 1.0)


def test_a_client_of_unusual_patience_makes_nobody_else_a_returning_one():
    returns = make_returns()
    assert not returns.note("r", 600.0)
    assert not returns.note("r", 11.0)
