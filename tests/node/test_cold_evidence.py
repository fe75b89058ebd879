"""Signs of a cold server are reported, reduce its limit and end grants on it."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from persimmonlink_interfaces.stage_client import CallFailure, CallFault, StageOutput
from persimmonlink_model.pool import Pool
from persimmonlink_model.pool_grant import NodeReport, PoolTimes
from persimmonlink_model.pool_ownership import PoolKey
from persimmonlink_model.pool_server import ServerLimits
from persimmonlink_model.record import StageSpec
from persimmonlink_node.call_statistics import CallStatistics
from persimmonlink_node.cold_server_detector import ColdServerDetector
from persimmonlink_node.coordinated_pool import CoordinatedPool
from persimmonlink_node.held_grants import HeldGrants
from persimmonlink_node.load_poller import LoadReport, PollOutcome, PollResult
from persimmonlink_peers.grant_messages import PoolReply, ServerProgress

STAGE = StageSpec("encode", "encoder")
KEY = PoolKey("encoder", "midlands-a")
LIMITS = ServerLimits(warm_slots=8, cold_slots=1, warm_after=2)


class _Listener:
    def __init__(self) -> None:
        self.reported: list[tuple[str, str]] = []

    def report_cold_server(
        self, service: str, server_id: str, incarnation: str, reason: str
    ) -> None:
        self.reported.append((incarnation, reason))


def _observe(*calls: Result[StageOutput, CallFailure]) -> list[tuple[str, str]]:
    listener = _Listener()
    detector = ColdServerDetector(CallStatistics(0.05), listener)
    for call in calls:
        detector.observe(STAGE, "s1", call)
    return listener.reported


def _answer(incarnation: str, first_byte_s: float = 0.01) -> Success[StageOutput]:
    return Success(StageOutput("", 0.01, incarnation, first_byte_s))


def test_new_incarnation_is_reported_but_not_the_first() -> None:
    assert _observe(_answer("i1"), _answer("i1")) == []
    assert _observe(_answer("i1"), _answer("i2")) == [("i2", "new incarnation")]


def test_resets_refusals_and_timeouts_are_reported_but_not_cancellation() -> None:
    for fault in CallFault:
        reported = _observe(Failure(CallFailure(fault, "")))
        cold = fault in (CallFault.NOT_RUN, CallFault.BROKEN, CallFault.READ_TIMEOUT)
        assert reported == ([("", fault.value)] if cold else [])


def test_late_first_byte_is_reported() -> None:
    calls = [_answer("i1")] * 30
    assert _observe(*calls, _answer("i1", 0.2)) == []
    assert _observe(*calls, _answer("i1", 0.5)) == [("", "late first byte")]


def _create_pool() -> CoordinatedPool:
    pool = Pool(LIMITS, PoolTimes(), opens_at=0.0)
    pool.set_servers(["s1"])
    owned = CoordinatedPool(pool)
    _poll(owned, "i1", warm=True)
    return owned


def _poll(owned: CoordinatedPool, incarnation: str, *, warm: bool) -> list[str]:
    report = LoadReport(incarnation, warm=warm)
    return owned.apply_poll(PollResult("s1", PollOutcome.REPORTED, report), 1.0)


def _limit(owned: CoordinatedPool) -> int:
    return owned.pool.server_by_id["s1"].limit(LIMITS)


def test_notice_reduces_the_limit_and_lists_the_holders() -> None:
    owned = _create_pool()
    report = NodeReport("n1/1", 7, demand_by_account={"crew": 4})
    assert owned.pool.grant(report, 1.0, {}) is not None
    assert owned.apply_notice("s1", "i2", 1.1) == ["s1"]
    assert _limit(owned) == LIMITS.cold_slots
    assert owned.pool.list_holders("s1") == {"n1/1": 7}


def test_cold_load_report_reduces_the_limit() -> None:
    owned = _create_pool()
    assert _poll(owned, "i2", warm=False) == ["s1"]
    assert _limit(owned) == LIMITS.cold_slots


def test_unreachable_server_has_no_slots_until_it_answers_a_poll() -> None:
    owned = _create_pool()
    unreachable = PollResult("s1", PollOutcome.UNREACHABLE)
    assert owned.apply_poll(unreachable, 1.0) == ["s1"]
    owned.apply_poll(unreachable, 1.2)
    assert _limit(owned) == 0
    owned.apply_poll(PollResult("s1", PollOutcome.NO_REPORT), 1.4)
    assert _limit(owned) == LIMITS.cold_slots


def test_completions_warm_a_server_without_load_reports() -> None:
    owned = _create_pool()
    owned.apply_poll(PollResult("s1", PollOutcome.NO_REPORT), 1.0)
    owned.apply_progress("n1/1", {"s1": ServerProgress("i2", 1)}, 1.1)
    assert _limit(owned) == LIMITS.cold_slots
    owned.apply_progress("n1/1", {"s1": ServerProgress("i2", 2)}, 1.2)
    owned.apply_progress("n1/1", {"s1": ServerProgress("i2", 5)}, 1.3)
    assert _limit(owned) == LIMITS.cold_slots + 3


def test_late_reply_does_not_restore_a_revoked_grant() -> None:
    held = HeldGrants("n1")
    reply = PoolReply(*KEY_FIELDS, {"s1": 4}, {}, 8)
    held.apply(KEY, reply, 5, "n1", 9.0)
    held.discard_grants("s1", 6)
    assert held.collect([KEY], ["s1"]) == ({}, {})
    held.apply(KEY, reply, 6, "n1", 9.0)
    assert held.collect([KEY], ["s1"])[0] == {}
    held.apply(KEY, reply, 7, "n1", 9.0)
    assert held.collect([KEY], ["s1"])[0]["s1"].slots == 4


def test_slots_of_another_coordinator_are_reported_until_they_expire() -> None:
    held = HeldGrants("n1")
    held.apply(KEY, PoolReply(*KEY_FIELDS, {"s1": 4}, {}, 8), 5, "n1", 9.0)
    assert held.get_other_coordinator_slots(KEY, "n2", 8.0) == {"s1": 4}
    assert held.get_other_coordinator_slots(KEY, "n2", 9.0) == {}
    assert held.find_applied_sequence(KEY, "n1", 8.0) == 5
    assert held.find_applied_sequence(KEY, "n2", 8.0) == 0


def test_reply_of_the_previous_coordinator_is_ignored() -> None:
    held = HeldGrants("n1")
    held.set_requested_coordinator(KEY, "n1")
    held.set_requested_coordinator(KEY, "n2")
    held.apply(KEY, PoolReply(*KEY_FIELDS, {"s1": 4}, {}, 8), 5, "n1", 9.0)
    assert held.collect([KEY], ["s1"]) == ({}, {})
    held.apply(KEY, PoolReply(*KEY_FIELDS, {"s1": 2}, {}, 8), 6, "n2", 9.0)
    assert held.collect([KEY], ["s1"])[0]["s1"].slots == 2


KEY_FIELDS = (KEY.service, KEY.domain)
