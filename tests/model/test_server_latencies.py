"""Slow servers are left out and are tried again after their means expire."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_model.server_latencies import VALIDITY_S, ServerLatencies


@given(st.dictionaries(st.sampled_from("abcd"), st.floats(0.001, 10), min_size=1))
def test_fastest_server_is_always_listed(seconds_by_server: dict[str, float]) -> None:
    latencies = ServerLatencies()
    for server_id, seconds in seconds_by_server.items():
        latencies.observe(server_id, seconds, 0.0)
    assert latencies.list_fast(seconds_by_server, 0.0)
    assert latencies.list_fast("z", 0.0) == {"z"}


def test_slow_server_is_left_out_until_its_mean_expires() -> None:
    latencies = ServerLatencies()
    latencies.observe("slow", 1.0, 0.0)
    for now in (0.0, VALIDITY_S):
        latencies.observe("fast", 0.1, now)
    assert latencies.list_fast(["slow", "fast"], 0.0) == {"fast"}
    assert latencies.list_fast(["slow", "fast"], VALIDITY_S) == {"slow", "fast"}
