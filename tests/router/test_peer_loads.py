"""Load reports of other nodes are summed and expire."""

from __future__ import annotations

import time

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.peer_loads import PeerLoads
from persimmonlink_router.peer_messages import EngineLoad


def test_loads_of_all_nodes_are_summed():
    loads = PeerLoads(1.0)
    loads.record("a", {"s": EngineLoad(2, 100)}, 0.0)
    loads.record("b", {"s": EngineLoad(1, 50), "t": EngineLoad(9, 9)}, 0.5)
    assert loads.sum("s", 0.6) == EngineLoad(3, 150)


def test_expired_loads_do_not_count():
    loads = PeerLoads(1.0)
    loads.record("a", {"s": EngineLoad(2, 100)}, 0.0)
    assert loads.sum("s", 1.5) == EngineLoad(0, 0)
    loads.discard_expired(10.0)
    assert loads.sum("s", 0.5) == EngineLoad(0, 0)


REPORTS = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.dictionaries(
            st.sampled_from("stu"),
            st.builds(EngineLoad, st.integers(0, 9), st.integers(0, 99)),
        ),
        st.floats(0.0, 0.9),
    ),
    max_size=12,
)


@given(REPORTS)
def test_the_sum_is_that_of_each_node_s_last_valid_report(reports):
    loads, now = PeerLoads(1.0), 0.0
    last_by_node = {}
    for node, load_by_server, pause_s in reports:
        now += pause_s
        loads.record(node, load_by_server, now)
        last_by_node[node] = (now, load_by_server)
        for server in "stu":
            valid = [
                each.get(server, EngineLoad(0, 0))
                for at, each in last_by_node.values()
                if now - at <= 1.0
            ]
            assert loads.sum(server, now) == EngineLoad(
                sum(load.in_flight for load in valid),
                sum(load.unread_tokens for load in valid),
            )


def measure_sums_s(nodes: int) -> float:
    """Return the processor time of the sums that some choices of an engine need."""
    loads = PeerLoads(1.0)
    for node in range(nodes):
        loads.record(str(node), {"s": EngineLoad(1, 1)}, 0.0)
    started_s = time.process_time()
    for _ in range(3000):
        loads.sum("s", 0.5)
    return time.process_time() - started_s


def test_a_sum_costs_no_more_as_more_nodes_report():
    few_s = min(measure_sums_s(20) for _ in range(5))
    many_s = min(measure_sums_s(400) for _ in range(5))
    assert many_s <= 3 * few_s, (few_s, many_s)
