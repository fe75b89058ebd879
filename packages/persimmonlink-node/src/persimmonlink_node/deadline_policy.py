"""Plans a request's stages within its deadline and refuses what cannot meet it."""

from __future__ import annotations

from dataclasses import dataclass
from threading import Lock
from typing import TYPE_CHECKING, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_model.deadline import Deadline
from persimmonlink_model.result_code import Failure, ResultCode
from persimmonlink_model.stage_service_times import StageServiceTimes
from persimmonlink_model.wait_predictor import WaitEntry, WaitPredictor

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.record import StageSpec
    from persimmonlink_node.pipeline_request import PipelineRequest

# A call without a first byte is slow after this multiple of the stage's tail service
# time.
SLOW_CALL_FACTOR = 4.0
MIN_CALL_TIMEOUT_S = 0.1
MIN_RETRY_AFTER_S = 0.1


@dataclass(frozen=True)
class StagePlan:
    """Latest start of a stage, and the wait after which a call counts as slow.

    Parameters
    ----------
    start_by : Deadline
        Latest start at which the rest of the pipeline still meets the deadline.
    slow_after_s : float
        Wait for the first byte after which a call is worth retrying on another
        server, in seconds; infinite without enough samples.
    """

    start_by: Deadline
    slow_after_s: float = float("inf")


class DeadlinePolicy(Protocol):
    """Decides whether a stage may wait for a slot, and until when."""

    def plan(
        self, request: PipelineRequest, stage: StageSpec
    ) -> Result[StagePlan, Failure]:
        """Return the plan for a stage, or fail with `DEADLINE_UNREACHABLE`."""
        ...

    def on_wait_started(self, request: PipelineRequest, stage: StageSpec) -> WaitEntry:
        """Record that a stage starts to wait for a slot."""
        ...

    def on_wait_ended(
        self, stage: StageSpec, entry: WaitEntry, *, served: bool
    ) -> None:
        """Record that a stage got a slot (`served`) or gave up waiting."""
        ...

    def observe(
        self, request: PipelineRequest, stage: StageSpec, seconds: float
    ) -> None:
        """Record the service time of a call, in seconds."""
        ...

    def on_request_ended(self, request: PipelineRequest) -> None:
        """Record that no further stage of a request will wait for a slot here."""
        ...


class PatientPolicy:
    """Lets every stage wait until the request's deadline; a baseline."""

    def plan(
        self, request: PipelineRequest, stage: StageSpec
    ) -> Result[StagePlan, Failure]:
        """Return a plan that waits until the request's deadline."""
        return Success(StagePlan(request.deadline))

    def on_wait_started(self, request: PipelineRequest, stage: StageSpec) -> WaitEntry:
        """Return an entry without recording it."""
        return WaitEntry(request.body.account, request.priority)

    def on_wait_ended(
        self, stage: StageSpec, entry: WaitEntry, *, served: bool
    ) -> None:
        """Do nothing: this baseline uses no measurements."""

    def observe(
        self, request: PipelineRequest, stage: StageSpec, seconds: float
    ) -> None:
        """Do nothing: this baseline uses no measurements."""

    def on_request_ended(self, request: PipelineRequest) -> None:
        """Do nothing: this baseline expects no requests."""


class PredictivePolicy:
    """Refuses requests that predicted waits and service times leave no time for.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = Lock()
        self._service_times = StageServiceTimes()
        self._predictor_by_service: dict[str, WaitPredictor] = {}

    def plan(
        self, request: PipelineRequest, stage: StageSpec
    ) -> Result[StagePlan, Failure]:
        """Return the plan for a stage, or fail with `DEADLINE_UNREACHABLE`."""
        now = self._clock.monotonic()
        with self._lock:
            service_s = self._estimate_service_s(request, stage)
            wait_s = self._estimate_wait_s(request, stage, now)
            service_time = self._service_times.get(_build_stage_key(request, stage))
        left_s = request.deadline.remaining_s(now)
        if service_s + wait_s > left_s:
            detail = (
                f"{stage.name}: {left_s:.3f} s left until the deadline; stages need "
                f"{service_s:.3f} s and waiting for slots {wait_s:.3f} s"
            )
            retry_after_s = max(MIN_RETRY_AFTER_S, service_s + wait_s - left_s)
            return Err(
                Failure(
                    ResultCode.DEADLINE_UNREACHABLE,
                    detail,
                    retry_after_s=retry_after_s,
                )
            )
        if stage.name == request.pipeline.stages[0].name:
            self._add_expected_requests(request)
        # The wait ends while the stage's tail service time still fits. A request with
        # less time left may use a slot that is free now but does not wait for one.
        margin_s = service_time.tail_s - service_time.median_s
        start_by = Deadline(request.deadline.expires_at - service_s - margin_s)
        if not service_time.tail_s:
            return Success(StagePlan(start_by))
        slow_after_s = max(MIN_CALL_TIMEOUT_S, SLOW_CALL_FACTOR * service_time.tail_s)
        return Success(StagePlan(start_by, slow_after_s))

    def on_wait_started(self, request: PipelineRequest, stage: StageSpec) -> WaitEntry:
        """Record that a stage starts to wait for a slot."""
        with self._lock:
            predictor = self._predictor_by_service.setdefault(
                stage.service, WaitPredictor()
            )
            now = self._clock.monotonic()
            return predictor.record_arrival(
                request.body.account, request.priority, now, request.request_id.text
            )

    def on_wait_ended(
        self, stage: StageSpec, entry: WaitEntry, *, served: bool
    ) -> None:
        """Record that a stage got a slot (`served`) or gave up waiting."""
        with self._lock:
            predictor = self._predictor_by_service[stage.service]
            now = self._clock.monotonic()
            predictor.record_departure(entry, now, served=served)

    def observe(
        self, request: PipelineRequest, stage: StageSpec, seconds: float
    ) -> None:
        """Record the service time of a call, in seconds."""
        with self._lock:
            now = self._clock.monotonic()
            self._service_times.observe(_build_stage_key(request, stage), seconds, now)

    def on_request_ended(self, request: PipelineRequest) -> None:
        """Remove a request from the predicted queues of its later stages."""
        with self._lock:
            for later in request.pipeline.stages[1:]:
                predictor = self._predictor_by_service.get(later.service)
                if predictor is None:
                    continue
                predictor.remove_expected(request.body.account, request.request_id.text)

    def _add_expected_requests(self, request: PipelineRequest) -> None:
        """Add an admitted request to the predicted queues of its later stages."""
        with self._lock:
            for later in request.pipeline.stages[1:]:
                predictor = self._predictor_by_service.setdefault(
                    later.service, WaitPredictor()
                )
                predictor.add_expected(
                    request.body.account,
                    request.priority,
                    request.request_id.text,
                    request.deadline.expires_at,
                )

    def _estimate_service_s(self, request: PipelineRequest, stage: StageSpec) -> float:
        """Return the sum of the median service times of this and later stages."""
        seconds = 0.0
        for each in (stage, *request.list_stages_after(stage)):
            seconds += self._service_times.get(_build_stage_key(request, each)).median_s
        return seconds

    def _estimate_wait_s(
        self, request: PipelineRequest, stage: StageSpec, now: float
    ) -> float:
        """Return the predicted wait for slots of all stages; 0 after the first stage.

        Refusing a later stage on a wrong prediction would waste the completed stages,
        so later stages wait as long as the rest of the pipeline still fits.
        """
        if stage.name != request.pipeline.stages[0].name:
            return 0.0
        seconds = 0.0
        for each in request.pipeline.stages:
            predictor = self._predictor_by_service.get(each.service)
            if predictor is None:
                continue
            account = request.body.account
            seconds += predictor.predict_s(account, request.priority, now)
        return seconds


def _build_stage_key(request: PipelineRequest, stage: StageSpec) -> str:
    return f"{request.pipeline_name}/{stage.name}"


__all__ = ("DeadlinePolicy", "PatientPolicy", "PredictivePolicy", "StagePlan")
