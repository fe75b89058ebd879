"""A service counts as unreached only while none of its servers can be reached."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.server_reach import STALL_S, ServerReach
from persimmonlink_router.servers import Server

FIRST = Server(
    "s0", 1, "desk", "10.0.0.1:1", "a", 6, is_draining=False, cold_left_s=0.0
)
SERVERS = [replace(FIRST, server_id=f"s{n}", address=f"10.0.0.{n}:1") for n in range(3)]
EVENTS = st.tuples(
    st.sampled_from(["connected", "unreachable", "answer"]), st.integers(0, 2)
)


def apply_event(reach, name, server, now) -> None:
    if name == "connected":
        reach.record_connected(server.key)
    elif name == "unreachable":
        reach.record_unreachable(server.key)
    else:
        reach.record_answer(server, now)
    reach.update({"desk": SERVERS})


@given(st.lists(EVENTS, max_size=40))
def test_a_service_is_unreached_from_the_last_failure_to_a_new_connection(events):
    reach = ServerReach()
    failed: set[int] = set()
    is_lost = False
    for now, (name, number) in enumerate(events):
        if name == "unreachable":
            failed.add(number)
        elif name == "connected" or not is_lost:
            failed.discard(number)
        is_lost = len(failed) == len(SERVERS)
        apply_event(reach, name, SERVERS[number], float(now))
        assert ("desk" in reach.unreached_services) == is_lost


def test_a_server_that_is_silent_for_a_moment_is_checked_and_not_unreached():
    reach = ServerReach()
    reach.record_sent(FIRST.key, 10.0)
    assert reach.list_silent(10.0 + STALL_S / 2) == []
    assert reach.list_silent(10.0 + 2 * STALL_S) == [FIRST.key]
    assert reach.list_silent(10.0 + 2 * STALL_S) == []
    reach.update({"desk": [FIRST]})
    assert not reach.unreached_services
    reach.record_answer(FIRST, 12.0)
    reach.record_done(FIRST.key, 10.0)
    assert reach.list_silent(20.0) == []
