"""All nodes together stay within a server's limit under any network faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from persimmonlink_model.pool import Pool
from persimmonlink_model.pool_grant import NodeReport, PoolGrant, PoolTimes
from persimmonlink_model.pool_server import PoolServer, ServerLimits, ServerPhase

TTL_S = 1.0
LONGEST_REQUEST_S = 5.0
LIMITS = ServerLimits(warm_slots=4, cold_slots=1, warm_after=3, report_lag_s=0.5)
TIMES = PoolTimes(TTL_S, LONGEST_REQUEST_S)
SERVERS = ("s1", "s2")
NODES = ("n1", "n2", "n3")
NODE = st.sampled_from(NODES)
SERVER = st.sampled_from(SERVERS)
DELIVERY_FAULTS = ("reply lost", "reply late", "request late", "request doubled")
DELIVERY = st.one_of(st.just("kept"), st.sampled_from(("kept", *DELIVERY_FAULTS)))
SERVER_EVENTS = ("fault", "restart", "taken out", "other coordinator")


@dataclass
class _Node:
    """Node that starts requests only under live grants."""

    sequence: int = 0
    pending: int = 0
    requested_at: float = 0.0
    applied: int = 0
    expires_at: float = 0.0
    grant: PoolGrant = field(default_factory=PoolGrant)
    started_at_by_server: dict[str, list[float]] = field(default_factory=dict)

    def count(self, server_id: str) -> int:
        return len(self.started_at_by_server.get(server_id, ()))


class PoolMachine(RuleBasedStateMachine):
    """Nodes, a coordinator that may change, and lost, late or duplicate messages."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.pool = self._build_pool(opens_at=0.0, expected=())
        self.node_by_id = {node_id: _Node() for node_id in NODES}
        self.requests: list[NodeReport] = []
        self.replies: list[tuple[str, int, PoolGrant | None]] = []
        self.limit_history: list[tuple[float, dict[str, int]]] = []
        self._record_limits()

    def _build_pool(self, opens_at: float, expected) -> Pool:
        pool = Pool(LIMITS, TIMES, opens_at, expected)
        pool.set_servers(SERVERS)
        return pool

    def _record_limits(self) -> None:
        limit_by_server = {
            server_id: server.limit(LIMITS)
            for server_id, server in self.pool.server_by_id.items()
        }
        self.limit_history.append((self.now, limit_by_server))

    @initialize(warm=st.sampled_from([True, True, False]))
    def apply_first_reports(self, warm: bool) -> None:
        for server in self.pool.server_by_id.values():
            server.apply_report("i0", warm=warm, limits=LIMITS, now=self.now)
        self._record_limits()

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.7, 1.1]))
    def advance_clock(self, seconds: float) -> None:
        self.now += seconds
        for node in self.node_by_id.values():
            for started in node.started_at_by_server.values():
                started[:] = [at for at in started if self.now - at < LONGEST_REQUEST_S]

    @rule(node_id=NODE, wanted=st.integers(0, 9), delivery=DELIVERY)
    def request_slots(self, node_id: str, wanted: int, delivery: str) -> None:
        node = self.node_by_id[node_id]
        node.sequence += 1
        node.pending = node.sequence
        node.requested_at = self.now
        held = node.applied if node.expires_at > self.now else 0
        in_flight = {s: node.count(s) for s in SERVERS}
        demand = {"crew": float(wanted)}
        report = NodeReport(f"{node_id}/1", node.sequence, held, in_flight, demand)
        if delivery in ("request late", "request doubled"):
            self.requests.append(report)
        if delivery == "request late":
            return
        granted = self.pool.grant(report, self.now, {})
        if delivery == "reply lost":
            return
        if delivery == "reply late":
            self.replies.append((node_id, report.sequence, granted))
            return
        self._apply_reply(node_id, report.sequence, granted)

    @precondition(lambda self: self.requests)
    @rule(which=st.integers(0))
    def deliver_late_request(self, which: int) -> None:
        report = self.requests.pop(which % len(self.requests))
        granted = self.pool.grant(report, self.now, {})
        self._apply_reply(report.holder.partition("/")[0], report.sequence, granted)

    @precondition(lambda self: self.replies)
    @rule(which=st.integers(0))
    def deliver_late_reply(self, which: int) -> None:
        self._apply_reply(*self.replies.pop(which % len(self.replies)))

    def _apply_reply(
        self, node_id: str, sequence: int, granted: PoolGrant | None
    ) -> None:
        node = self.node_by_id[node_id]
        if granted is None or sequence != node.pending:
            return
        node.pending = 0
        node.grant, node.applied = granted, sequence
        node.expires_at = node.requested_at + TTL_S

    @rule(node_id=NODE, count=st.integers(1, 8))
    def start_requests(self, node_id: str, count: int) -> None:
        node = self.node_by_id[node_id]
        for server_id, allowed in node.grant.slots_by_server.items():
            for _ in range(count):
                if node.expires_at <= self.now or node.count(server_id) >= allowed:
                    break
                node.started_at_by_server.setdefault(server_id, []).append(self.now)
                running = sum(n.count(server_id) for n in self.node_by_id.values())
                assert running <= self._max_limit_in_force(server_id)

    def _max_limit_in_force(self, server_id: str) -> int:
        """Return the highest limit in force within the lifetime of a grant."""
        max_limit = 0
        for index, (_, limits) in enumerate(self.limit_history):
            following = self.limit_history[index + 1 : index + 2]
            ended_at = following[0][0] if following else self.now
            if ended_at >= self.now - TTL_S:
                max_limit = max(max_limit, limits.get(server_id, 0))
        return max_limit

    @rule(node_id=NODE, server_id=SERVER)
    def finish_request(self, node_id: str, server_id: str) -> None:
        started = self.node_by_id[node_id].started_at_by_server.get(server_id)
        if started:
            started.pop(0)

    @rule(server_id=SERVER, kind=st.sampled_from(("done", "warm")))
    def warm_up_server(self, server_id: str, kind: str) -> None:
        server = self.pool.server_by_id[server_id]
        if kind == "done":
            server.record_completions(2, server.incarnation, LIMITS)
        else:
            incarnation = server.incarnation
            server.apply_report(incarnation, warm=True, limits=LIMITS, now=self.now)
        self._record_limits()

    @rule(server_id=SERVER, kind=st.sampled_from(SERVER_EVENTS))
    def disturb_server(self, server_id: str, kind: str) -> None:
        server = self.pool.server_by_id[server_id]
        if kind == "fault":
            server.record_fault(LIMITS, self.now)
        elif kind == "restart":
            server.record_incarnation(f"i{self.now}", LIMITS, self.now)
        elif kind == "taken out":
            self.pool.set_servers(set(SERVERS) - {server_id})
        else:
            self.pool = self._build_pool(self.now + TTL_S, NODES)
            # Messages to the old coordinator do not reach the new one.
            self.requests.clear()
        self._record_limits()

    @invariant()
    def cold_servers_stay_within_cold_slots(self) -> None:
        for server in self.pool.server_by_id.values():
            if server.phase is ServerPhase.COLD:
                assert server.limit(LIMITS) <= LIMITS.cold_slots


TestPool = PoolMachine.TestCase
TestPool.settings = settings(max_examples=400, stateful_step_count=40)


def _report(sequence: int, holder: str = "n1/1", **fields: Any) -> NodeReport:
    return NodeReport(holder, sequence, **fields)


def _build_warm_pool() -> Pool:
    pool = Pool(LIMITS, TIMES, opens_at=0.0)
    pool.set_servers(["s1"])
    pool.server_by_id["s1"].apply_report("i", warm=True, limits=LIMITS, now=0.0)
    return pool


def test_request_older_than_an_answered_one_is_ignored() -> None:
    pool = _build_warm_pool()
    assert pool.grant(_report(2), 1.0, {}) is not None
    assert pool.grant(_report(1), 1.0, {}) is None


def test_slots_of_a_silent_node_count_for_the_longest_request() -> None:
    pool = _build_warm_pool()
    first = pool.grant(_report(1, demand_by_account={"a": 4}), 1.0, {})
    assert first is not None
    assert first.slots_by_server == {"s1": 4}
    wants = {"a": 4.0}
    later = pool.grant(_report(1, "n2/1", demand_by_account=wants), 3.0, {})
    assert later is not None
    assert later.slots_by_server == {}
    last = pool.grant(_report(2, "n2/1", demand_by_account=wants), 6.5, {})
    assert last is not None
    assert last.slots_by_server == {"s1": 4}


def test_new_coordinator_awaits_old_grants_and_first_reports() -> None:
    pool = Pool(LIMITS, TIMES, opens_at=2.0, expected_nodes=["n1", "n2"])
    assert not pool.is_open(1.9)
    pool.grant(_report(1), 1.0, {})
    assert not pool.is_open(2.0)
    pool.stop_awaiting("n2")
    assert pool.is_open(2.0)


def test_lagging_report_of_an_earlier_incarnation_does_not_warm_a_server() -> None:
    server = PoolServer("s1")
    server.apply_report("i1", warm=True, limits=LIMITS, now=0.0)
    assert server.limit(LIMITS) == LIMITS.warm_slots
    assert server.record_incarnation("i2", LIMITS, 1.0)
    server.apply_report("i1", warm=True, limits=LIMITS, now=9.0)
    assert server.limit(LIMITS) == LIMITS.cold_slots


def test_lagging_report_after_a_reset_does_not_warm_a_server() -> None:
    server = PoolServer("s1")
    server.apply_report("i1", warm=True, limits=LIMITS, now=0.0)
    server.record_fault(LIMITS, 1.0)
    server.apply_report("i1", warm=True, limits=LIMITS, now=1.4)
    assert server.phase is ServerPhase.COLD
    server.apply_report("i1", warm=True, limits=LIMITS, now=1.6)
    assert server.phase is ServerPhase.RAMPING


def test_limit_grows_with_completions_and_not_with_time() -> None:
    server = PoolServer("s1")
    server.record_incarnation("i1", LIMITS, 0.0)
    server.record_completions(2, "i1", LIMITS)
    assert server.limit(LIMITS) == 1
    server.record_completions(1, "i1", LIMITS)
    assert server.phase is ServerPhase.RAMPING
    assert server.limit(LIMITS) == 1
    server.record_completions(2, "other", LIMITS)
    assert server.limit(LIMITS) == 1
    server.record_completions(2, "i1", LIMITS)
    assert server.limit(LIMITS) == 3


def test_applied_grant_counts_until_its_replacement_is_confirmed() -> None:
    pool = _build_warm_pool()
    pool.grant(_report(1, demand_by_account={"a": 4}), 1.0, {})
    pool.grant(_report(2, applied_sequence=1), 1.1, {})
    wants = {"a": 4.0}
    other = pool.grant(_report(1, "n2/1", demand_by_account=wants), 1.2, {})
    assert other is not None
    assert other.slots_by_server == {}
    pool.grant(_report(3, applied_sequence=2), 1.3, {})
    other = pool.grant(_report(2, "n2/1", demand_by_account=wants), 1.4, {})
    assert other is not None
    assert other.slots_by_server == {"s1": 3}
