"""How long a node accepts new callers during a planned stop."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Failure as Err
from returns.result import Success
from tests.node.simulated_cluster import TTL_S, SimulatedCluster

from persimmonlink_model.result_code import Failure, ResultCode
from persimmonlink_node import graceful_stop
from persimmonlink_node.graceful_stop import CALLER_CONNECT_MARGIN_S, GracefulStop
from persimmonlink_peers.membership_messages import HeartbeatReply


class SteppingClock:
    """A clock that advances 0.05 s at each reading, so that tests don't wait."""

    def __init__(self, start: float) -> None:
        self.now = start

    def monotonic(self) -> float:
        self.now += 0.05
        return self.now


class StopHarness:
    """Stands in for the peers and the request gate, and records the calls in order."""

    def __init__(self, replies: dict[str, list[Any]]) -> None:
        self.cluster = SimulatedCluster(3)
        self.cluster.run_round()
        self.node = self.cluster.node_by_id["entry-0"]
        self.clock = SteppingClock(self.cluster.clock.now)
        self.started_at = self.clock.now
        self.replies = replies
        self.log: list[str] = []
        self.closed_at = 0.0
        self.open_left = 3

    def send_heartbeat(self, node_id: str) -> Any:
        self.log.append(f"notify {node_id}")
        assert self.node.members.is_leaving
        replies = self.replies.get(node_id, [])
        return replies.pop(0) if replies else Success(HeartbeatReply())

    def start_closing(self) -> None:
        self.log.append("close")
        self.closed_at = self.clock.now

    def count_open(self) -> int:
        self.open_left = max(0, self.open_left - 1)
        return self.open_left

    def run(self) -> float:
        """Run the stop; return the seconds for which it accepted new callers."""
        stop = GracefulStop(
            self.node.identity,
            self.node.members,
            self,
            self.node.entry_discovery,
            self,
            self.clock,  # type: ignore[arg-type]
        )
        stop.state_transfers.append(self._fail)
        stop.state_transfers.append(lambda: self.log.append("transfer"))
        stop.run()
        return self.closed_at - self.started_at

    def _fail(self) -> None:
        raise RuntimeError("by the test")


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_stop, "POLL_INTERVAL_S", 0.001)
    monkeypatch.setattr(graceful_stop, "RETRY_INTERVAL_S", 0.001)


UNREACHABLE = Err(Failure(ResultCode.PEER_UNREACHABLE, "down"))


def test_node_that_was_never_advertised_closes_at_once() -> None:
    harness = StopHarness({})
    assert harness.run() < TTL_S
    assert set(harness.log[:2]) == {"notify entry-1", "notify entry-2"}
    assert harness.log[2:] == ["close", "transfer"]
    assert harness.open_left == 0


@pytest.mark.parametrize("age_s", [0.0, 2.0])
def test_node_serves_until_answers_from_peers_have_expired(age_s: float) -> None:
    reply = Success(HeartbeatReply(named_age_s=age_s))
    served_s = StopHarness({"entry-2": [reply]}).run()
    assert served_s >= TTL_S + CALLER_CONNECT_MARGIN_S - age_s


def test_node_serves_until_its_own_last_answer_has_expired() -> None:
    harness = StopHarness({})
    assert harness.node.entry_discovery.build_answer().addresses
    assert harness.run() >= TTL_S + CALLER_CONNECT_MARGIN_S


def test_unreachable_peer_is_notified_again() -> None:
    harness = StopHarness({"entry-1": [UNREACHABLE]})
    assert harness.run() < TTL_S
    assert harness.log.count("notify entry-1") == 2
    assert harness.log.count("notify entry-2") == 1


def test_unreachable_peer_counts_as_advertising_until_it_suspects_the_node() -> None:
    harness = StopHarness({"entry-1": [UNREACHABLE] * 1000})
    assert harness.run() >= TTL_S + CALLER_CONNECT_MARGIN_S + 2.0
