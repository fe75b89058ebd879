"""Bodies that grow and shrink share a budget."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.byte_budget import (
    SMALL_BODY_BYTES,
    BudgetExhaustedError,
    ByteBudget,
    Reservation,
)

ROOM_BYTES = 100_000
SIZES = st.lists(st.integers(0, SMALL_BODY_BYTES + 2 * ROOM_BYTES), max_size=20)


def test_small_bodies_need_no_room():
    with ByteBudget(0).open_reservation() as reservation:
        reservation.resize(SMALL_BODY_BYTES)
        with pytest.raises(BudgetExhaustedError):
            reservation.resize(SMALL_BODY_BYTES + 1)


def test_a_body_that_shrinks_leaves_its_room_to_others():
    budget = ByteBudget(ROOM_BYTES)
    with budget.open_reservation() as first, budget.open_reservation() as second:
        first.resize(SMALL_BODY_BYTES + ROOM_BYTES)
        with pytest.raises(BudgetExhaustedError):
            second.resize(SMALL_BODY_BYTES + 1)
        first.resize(10)
        second.resize(SMALL_BODY_BYTES + ROOM_BYTES)


def test_a_body_may_shrink_while_others_hold_more_than_there_is():
    budget = ByteBudget(ROOM_BYTES)
    with budget.open_reservation() as reservation:
        reservation.resize(SMALL_BODY_BYTES + ROOM_BYTES)
        with budget.hold(bytes(SMALL_BODY_BYTES + 1)):
            reservation.resize(SMALL_BODY_BYTES + ROOM_BYTES - 2)
            reservation.resize(0)
        assert budget.try_reserve(ROOM_BYTES)


@given(SIZES, SIZES)
def test_all_room_comes_back(first_sizes, second_sizes):
    budget = ByteBudget(ROOM_BYTES)
    for sizes in (first_sizes, second_sizes):
        try:
            with budget.open_reservation() as reservation:
                for size in sizes:
                    reservation.resize(size)
        except BudgetExhaustedError:
            pass
    assert budget.try_reserve(ROOM_BYTES)
    assert not budget.try_reserve(1)


@given(SIZES, st.integers(0, 200_000))
def test_short_bodies_never_take_more_than_their_part(sizes, small_bytes):
    budget = ByteBudget(ROOM_BYTES, small_bytes)
    held = []
    for size in sizes:
        reservation = Reservation(budget)
        try:
            reservation.resize(size)
        except BudgetExhaustedError:
            continue
        held.append((reservation, min(size, SMALL_BODY_BYTES)))
        assert sum(small for _, small in held) <= small_bytes
    for reservation, _ in held:
        reservation.release()
    assert budget.try_reserve(ROOM_BYTES, small_bytes)
