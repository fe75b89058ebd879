"""How often the nodes call the store."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.store_follower import choose_watch_pause_s

SHORTEST_DRAIN_S = 2.0  # Time within which drains hold, at the least.
READS_A_SECOND = 2000  # Calls that the store bears, at the least.


def test_a_small_fleet_watches_closely():
    assert choose_watch_pause_s(8) == choose_watch_pause_s(1) == 0.3


def test_a_large_fleet_calls_no_more_often_than_the_store_bears():
    assert 380 / choose_watch_pause_s(380) < READS_A_SECOND / 4


@given(st.integers(0, 1000))
def test_no_pause_is_as_long_as_a_drain_may_take(nodes):
    assert choose_watch_pause_s(nodes) <= SHORTEST_DRAIN_S / 2
