"""Nodes that request slots in turn end up with the shares of a single division."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_model.pool import ROTATION_PERIOD_S, Pool
from persimmonlink_model.pool_grant import NodeReport, PoolGrant, PoolTimes
from persimmonlink_model.pool_server import ServerLimits
from persimmonlink_model.share_division import divide_slots

LIMITS = ServerLimits(warm_slots=6, cold_slots=1, warm_after=3)
SERVERS = ("s1", "s2")
SLOTS = LIMITS.warm_slots * len(SERVERS)
ROUNDS = 4
NODES = ("n1/1", "n2/1", "n3/1")
ACCOUNTS = ("crew", "members", "gate")
PAIRS = st.tuples(st.sampled_from(NODES), st.sampled_from(ACCOUNTS))
DEMAND = st.dictionaries(PAIRS, st.integers(1, 15), min_size=1)
WEIGHTS = st.fixed_dictionaries({a: st.sampled_from([1.0, 2.0, 4.0]) for a in ACCOUNTS})


def _run_rounds(demand, weights) -> dict[str, PoolGrant]:
    """Let all nodes request slots in turn, each one using its whole grant."""
    pool = Pool(LIMITS, PoolTimes(), opens_at=0.0)
    pool.set_servers(SERVERS)
    for server in pool.server_by_id.values():
        server.apply_report("i", warm=True, limits=LIMITS, now=0.0)
    grant_by_node = dict.fromkeys(NODES, PoolGrant())
    sequence = 0
    for _ in range(ROUNDS):
        for node in NODES:
            sequence += 1
            wanted = {a: float(n) for (who, a), n in demand.items() if who == node}
            in_flight = grant_by_node[node].slots_by_server
            applied = max(0, sequence - len(NODES))
            report = NodeReport(node, sequence, applied, in_flight, wanted)
            granted = pool.grant(report, ROTATION_PERIOD_S, weights)
            assert granted is not None
            grant_by_node[node] = granted
    return grant_by_node


@given(DEMAND, WEIGHTS)
def test_contended_slots_are_shared_over_all_nodes(demand, weights) -> None:
    grant_by_node = _run_rounds(demand, weights)
    given_slots = {
        (node, account): slots
        for node, grant in grant_by_node.items()
        for account, slots in grant.slots_by_account.items()
        if slots
    }
    expected = divide_slots(SLOTS, demand, weights, rotation=1)
    assert given_slots == expected


@given(DEMAND, WEIGHTS)
def test_no_slot_stays_unused_while_a_node_has_demand(demand, weights) -> None:
    grant_by_node = _run_rounds(demand, weights)
    granted = sum(sum(g.slots_by_server.values()) for g in grant_by_node.values())
    assert min(SLOTS, sum(demand.values())) <= granted <= SLOTS
