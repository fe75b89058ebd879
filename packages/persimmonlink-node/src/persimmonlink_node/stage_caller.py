"""Sends a call of a stage to a server under a valid grant and records its outcome."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure as Err
from returns.result import Result

from persimmonlink_interfaces.stage_client import CallFailure, CallFault, StageCall

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_interfaces.stage_client import StageClient, StageOutput
    from persimmonlink_model.record import ServiceKind, ServiceSpec
    from persimmonlink_node.call_statistics import CallObserver
    from persimmonlink_node.deadline_policy import DeadlinePolicy
    from persimmonlink_node.dispatcher import SlotLease
    from persimmonlink_node.latency_tracker import LatencyTracker
    from persimmonlink_node.metrics import Metrics
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.request_trace import TraceStore
    from persimmonlink_node.service_dispatchers import ServiceDispatchers
    from persimmonlink_node.stage_task import StageTask


class StageCaller:
    """Calls servers and releases their slots.

    Parameters
    ----------
    state : NodeState
        Addresses of the servers.
    dispatchers : ServiceDispatchers
        Dispatchers of slots, by service.
    client_by_kind : Mapping of ServiceKind to StageClient
        Client for each kind of service.
    deadlines : DeadlinePolicy
        Records the service times of calls that succeeded or timed out.
    latencies : LatencyTracker
        Records the latencies of the same calls, by server.
    observer : CallObserver
        Records the outcome of each call and keeps the retry budget.
    metrics : Metrics
        Counters and histograms.
    traces : TraceStore
        Records the decisions about each request, for operators.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        state: NodeState,
        dispatchers: ServiceDispatchers,
        client_by_kind: Mapping[ServiceKind, StageClient],
        deadlines: DeadlinePolicy,
        latencies: LatencyTracker,
        observer: CallObserver,
        metrics: Metrics,
        traces: TraceStore,
        clock: Clock,
    ) -> None:
        self._state = state
        self._dispatchers = dispatchers
        self._client_by_kind = client_by_kind
        self._deadlines = deadlines
        self._latencies = latencies
        self._observer = observer
        self._metrics = metrics
        self._traces = traces
        self._clock = clock

    def call(
        self, task: StageTask, service: ServiceSpec, lease: SlotLease
    ) -> Result[StageOutput, CallFailure]:
        """Send the task's next call to the leased server."""
        dispatcher = self._dispatchers.get(task.stage.service)
        vm = self._state.find_vm(lease.server_id)
        # Checked just before the call, so that a grant that expired meanwhile is not
        # used.
        if vm is None or not dispatcher.may_send(lease.server_id):
            dispatcher.release(lease, 0.0)
            return Err(
                CallFailure(
                    CallFault.NOT_RUN,
                    "the grant has expired or the server is no longer listed",
                )
            )
        task.attempts += 1
        self._trace(task, f"calling {lease.server_id}")
        started_at = self._clock.monotonic()
        called = self._client_by_kind[service.kind].run(
            vm.address,
            self._shorten_first_byte_timeout(task, task.build_call(service)),
            task.request.deadline,
            task.request.cancelled,
            task.forward_text,
        )
        seconds = self._clock.monotonic() - started_at
        self._observer.observe(task.stage, lease.server_id, called)
        if isinstance(called, Err):
            cost = self._record_failure(task, lease, called.failure(), seconds)
        else:
            cost = called.unwrap().cost
            self._record_success(task, lease, seconds)
        dispatcher.release(lease, cost)
        return called

    def _shorten_first_byte_timeout(
        self, task: StageTask, call: StageCall
    ) -> StageCall:
        """Shorten the first-byte timeout if the budget allows another attempt."""
        # Only the first attempt gets the short timeout: if a second server is slow too,
        # the cause is not a single slow server.
        if task.attempts > 1:
            return call
        if not call.repeatable or task.slow_after_s >= call.first_byte_timeout_s:
            return call
        if not task.has_reserved_retry:
            task.has_reserved_retry = self._observer.acquire_retry()
        if not task.has_reserved_retry:
            return call
        return replace(call, first_byte_timeout_s=task.slow_after_s)

    def _record_success(
        self, task: StageTask, lease: SlotLease, seconds: float
    ) -> None:
        task.may_have_run = True
        self._latencies.observe(lease.server_id, seconds)
        self._deadlines.observe(task.request, task.stage, seconds)

    def _record_failure(
        self,
        task: StageTask,
        lease: SlotLease,
        call_failure: CallFailure,
        seconds: float,
    ) -> float:
        """Record a failed call; return its cost, in server seconds."""
        fault = call_failure.fault
        self._trace(
            task, f"{lease.server_id} failed, {fault.value}: {call_failure.detail}"
        )
        self._metrics.count(f"call_failed.{task.stage.name}.{fault.value}")
        if fault is CallFault.NOT_RUN:
            return 0.0
        task.may_have_run = True
        if fault in (CallFault.READ_TIMEOUT, CallFault.DEADLINE_PASSED):
            self._deadlines.observe(task.request, task.stage, seconds)
            self._latencies.observe(lease.server_id, seconds)
        # A call of unknown cost is charged the time for which it held its slot.
        cost = call_failure.cost or seconds
        task.wasted_cost += cost
        return cost

    def _trace(self, task: StageTask, what: str) -> None:
        request_id = task.request.request_id.text
        now = self._clock.monotonic()
        self._traces.add(request_id, now, f"{task.stage.name}: {what}")


__all__ = ("StageCaller",)
