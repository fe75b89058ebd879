"""Runs a stage of a request on a backend server, with retries."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_interfaces.stage_client import CallFailure, CallFault
from persimmonlink_model.request_queue import QueueEntry
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.stage_task import StageFailure, StageResult, StageTask

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.record import StageSpec
    from persimmonlink_node.call_statistics import CallObserver
    from persimmonlink_node.deadline_policy import DeadlinePolicy, StagePlan
    from persimmonlink_node.dispatcher import SlotLease
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.pipeline_request import PipelineRequest
    from persimmonlink_node.service_dispatchers import ServiceDispatchers
    from persimmonlink_node.stage_caller import StageCaller

MAX_ATTEMPTS = 4


class StageRunner:
    """Runs stages: waits for a slot, calls the server, retries within a budget.

    Parameters
    ----------
    state : NodeState
        Configured services and servers.
    dispatchers : ServiceDispatchers
        Dispatchers of slots, by service.
    caller : StageCaller
        Sends single calls.
    deadlines : DeadlinePolicy
        Decides until when a stage may wait for a slot.
    observer : CallObserver
        Estimates the cost of stages and keeps the retry budget.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        state: NodeState,
        dispatchers: ServiceDispatchers,
        caller: StageCaller,
        deadlines: DeadlinePolicy,
        observer: CallObserver,
        clock: Clock,
    ) -> None:
        self._state = state
        self._dispatchers = dispatchers
        self._caller = caller
        self._deadlines = deadlines
        self._observer = observer
        self._clock = clock

    def run(
        self,
        request: PipelineRequest,
        stage: StageSpec,
        text: str,
        on_text: Callable[[str], None],
    ) -> Result[StageResult, StageFailure]:
        """Run a stage until it has a result or a final failure.

        Parameters
        ----------
        request : PipelineRequest
            The request that the stage belongs to.
        stage : StageSpec
            The stage.
        text : str
            Input of the stage.
        on_text : callable
            Called with each piece of the output as it arrives. After the first piece
            the stage is not retried.
        """
        task = StageTask(request, stage, text, on_text, self._clock.monotonic())
        try:
            return self._run_with_retries(task)
        finally:
            if task.has_reserved_retry:
                self._observer.release_retry()

    def end_request(self, request: PipelineRequest) -> None:
        """Record that no further stage of a request will run at this node."""
        self._deadlines.on_request_ended(request)

    def _run_with_retries(self, task: StageTask) -> Result[StageResult, StageFailure]:
        service = self._state.find_service(task.stage.service)
        if service is None:
            detail = f"there is no service {task.stage.service}"
            return self._build_stage_failure(
                task, "", Failure(ResultCode.NO_SERVER, detail)
            )
        while True:
            acquired = self._acquire_slot(task)
            if isinstance(acquired, Err):
                failure = acquired.failure()
                if task.may_have_run:
                    failure = replace(failure, run_state=RunState.RAN)
                return self._build_stage_failure(task, "", failure)
            lease = acquired.unwrap()
            called = self._caller.call(task, service, lease)
            if isinstance(called, Success):
                output = called.unwrap()
                now = self._clock.monotonic()
                report = task.build_report(lease.server_id, output.cost, now)
                return Success(StageResult(output.text, report))
            call_failure = called.failure()
            if not self._may_retry(task, call_failure):
                return self._build_stage_failure(
                    task, lease.server_id, _to_failure(task, call_failure)
                )
            self._exclude_server(task, lease.server_id)

    def _build_stage_failure(
        self, task: StageTask, server_id: str, failure: Failure
    ) -> Result[StageResult, StageFailure]:
        report = task.build_report(server_id, 0.0, self._clock.monotonic())
        return Err(StageFailure(failure, report))

    def _acquire_slot(self, task: StageTask) -> Result[SlotLease, Failure]:
        request = task.request
        planned = self._deadlines.plan(request, task.stage)
        if isinstance(planned, Err):
            return planned
        plan: StagePlan = planned.unwrap()
        task.slow_after_s = plan.slow_after_s
        queue_entry = QueueEntry(
            0,
            request.body.account,
            request.account.weight,
            request.priority,
            plan.start_by.expires_at,
            self._observer.estimate_cost(task.stage),
            task.input,
            task.excluded_server_ids,
        )
        wait_entry = self._deadlines.on_wait_started(request, task.stage)
        started_at = self._clock.monotonic()
        acquired = self._dispatchers.get(task.stage.service).acquire(
            queue_entry, request.account.max_queued, plan.start_by, request.cancelled
        )
        waited_s = self._clock.monotonic() - started_at
        task.waited_s += waited_s
        served = isinstance(acquired, Success)
        self._deadlines.on_wait_ended(task.stage, wait_entry, served=served)
        return acquired

    def _exclude_server(self, task: StageTask, server_id: str) -> None:
        """Exclude a server from later attempts; once all are excluded, allow all."""
        excluded_server_ids = task.excluded_server_ids | {server_id}
        servers = {vm.vm_id for vm in self._state.list_servers(task.stage.service)}
        task.excluded_server_ids = (
            frozenset() if servers <= excluded_server_ids else excluded_server_ids
        )

    def _may_retry(self, task: StageTask, call_failure: CallFailure) -> bool:
        if call_failure.fault in (CallFault.CANCELLED, CallFault.DEADLINE_PASSED):
            return False
        if task.request.deadline.is_expired(self._clock.monotonic()):
            return False
        if task.attempts >= MAX_ATTEMPTS or task.has_forwarded_text:
            return False
        if call_failure.fault is CallFault.NOT_RUN:
            return True
        if not task.is_repeatable:
            return False
        if task.has_reserved_retry:
            task.has_reserved_retry = False
            return True
        return self._observer.acquire_retry()


def _to_failure(task: StageTask, call_failure: CallFailure) -> Failure:
    detail = f"{task.stage.name}: {call_failure.detail}"
    if call_failure.fault is CallFault.NOT_RUN and not task.may_have_run:
        return Failure(ResultCode.NO_SERVER, detail, retry_after_s=1.0)
    if not task.is_repeatable:
        return Failure(ResultCode.OUTCOME_UNKNOWN, detail, RunState.UNKNOWN)
    if call_failure.fault is CallFault.CANCELLED:
        return Failure(ResultCode.CANCELLED, detail, RunState.RAN)
    if call_failure.fault is CallFault.DEADLINE_PASSED:
        return Failure(ResultCode.DEADLINE_EXCEEDED, detail, RunState.RAN)
    return Failure(ResultCode.STAGE_FAILED, detail, RunState.RAN, retry_after_s=1.0)


__all__ = ("StageRunner",)
