"""The pause between watch calls, by the size of the cluster."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.store_follower import choose_watch_pause_s

SHORTEST_DRAIN_S = 2.0  # Shortest time in which a drain must take effect.
STORE_READS_PER_S = 2000  # Least call rate that the store sustains.


def test_a_small_cluster_uses_the_shortest_pause():
    assert choose_watch_pause_s(8) == choose_watch_pause_s(1) == 0.3


def test_a_large_cluster_stays_within_the_read_rate_of_the_store():
    assert 380 / choose_watch_pause_s(380) < STORE_READS_PER_S / 4


@given(st.integers(0, 1000))
def test_every_pause_is_at_most_half_the_shortest_drain_deadline(nodes):
    assert choose_watch_pause_s(nodes) <= SHORTEST_DRAIN_S / 2
