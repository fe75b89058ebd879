"""Requests are refused at once after a long time without slot grants."""

from __future__ import annotations

import random

from returns.result import Failure as Err

from persimmonlink_interfaces.cancellation import Cancellation
from persimmonlink_model.deadline import Deadline
from persimmonlink_model.request_queue import FairQueue, QueueEntry
from persimmonlink_model.result_code import ResultCode, RunState
from persimmonlink_model.slots import SlotGrant
from persimmonlink_node.dispatcher import MAX_TIME_WITHOUT_GRANT_S, ServiceDispatcher
from persimmonlink_node.server_chooser import MostFreeChooser


class FixedClock:
    """A clock whose time is set by the test."""

    now = 0.0

    def monotonic(self) -> float:
        return self.now

    def unix_ms(self) -> int:
        return int(self.now * 1000)


def _create_dispatcher(clock: FixedClock) -> ServiceDispatcher:
    chooser = MostFreeChooser(random.Random(0))
    return ServiceDispatcher("encoder", FairQueue(), chooser, clock)


def _acquire(dispatcher: ServiceDispatcher, clock: FixedClock, left_s: float):
    deadline = Deadline(clock.now + left_s)
    return dispatcher.acquire(QueueEntry(0, "a"), 10, deadline, Cancellation())


def test_refuses_at_once_after_a_long_time_without_grants() -> None:
    clock = FixedClock()
    dispatcher = _create_dispatcher(clock)
    clock.now = MAX_TIME_WITHOUT_GRANT_S
    failure = _acquire(dispatcher, clock, left_s=3600.0).failure()
    assert failure.code is ResultCode.NO_SERVER
    assert failure.run_state is RunState.NOT_RUN
    assert failure.retry_after_s is not None


def test_waits_while_other_nodes_hold_all_slots() -> None:
    clock = FixedClock()
    dispatcher = _create_dispatcher(clock)
    clock.now = MAX_TIME_WITHOUT_GRANT_S
    dispatcher.set_grants({}, shared_slots=3)
    failed = _acquire(dispatcher, clock, left_s=0.01)
    assert isinstance(failed, Err)
    assert failed.failure().code is ResultCode.DEADLINE_UNREACHABLE


def test_accepts_requests_again_after_a_grant() -> None:
    clock = FixedClock()
    dispatcher = _create_dispatcher(clock)
    clock.now = 2 * MAX_TIME_WITHOUT_GRANT_S
    dispatcher.set_grants({"s": SlotGrant("s", 1, clock.now + 1.0)})
    assert _acquire(dispatcher, clock, left_s=1.0).unwrap().server_id == "s"
