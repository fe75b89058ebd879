"""Runs the stages of a request and claims its id before non-repeatable work."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from returns.result import Failure as Err
from returns.result import Success

from persimmonlink_model.kept_results import Progress
from persimmonlink_model.request import Answer, StageReport
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.outcomes import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.record import StageSpec
    from persimmonlink_node.answer_fetcher import AnswerFetcher
    from persimmonlink_node.metrics import Metrics
    from persimmonlink_node.node_state import NodeIdentity
    from persimmonlink_node.pipeline_request import PipelineRequest
    from persimmonlink_node.request_claimer import RequestClaimer
    from persimmonlink_node.request_trace import TraceStore
    from persimmonlink_node.stage_runner import StageRunner
    from persimmonlink_node.stage_task import StageFailure


@dataclass(frozen=True)
class PipelineOutcome:
    """How a run of a pipeline ended.

    Parameters
    ----------
    outcome : Result of Answer
        Answer or failure for the caller.
    is_final : bool
        Whether the outcome must be kept, so that a retry doesn't run the request again.
    is_local : bool
        Whether this node produced the outcome; else it was fetched from another node.
    progress : Progress or None
        Finished stages after which a retry may resume.
    """

    outcome: Outcome
    is_final: bool
    is_local: bool = True
    progress: Progress | None = None


@dataclass
class _PipelineRun:
    """Progress of one run of a pipeline; `text` is the latest output."""

    text: str
    reports: list[StageReport] = field(default_factory=list)
    is_claimed: bool = False
    has_run_stage: bool = False
    non_repeatable_sent: bool = False


class PipelineRunner:
    """Runs requests stage by stage.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    stages : StageRunner
        Runs single stages.
    claimer : RequestClaimer
        Claims request ids before non-repeatable stages.
    fetcher : AnswerFetcher
        Fetches outcomes of requests that another node has claimed.
    metrics : Metrics
        Counters and histograms.
    traces : TraceStore
        Records the decisions about each request, for operators.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        stages: StageRunner,
        claimer: RequestClaimer,
        fetcher: AnswerFetcher,
        metrics: Metrics,
        traces: TraceStore,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._stages = stages
        self._claimer = claimer
        self._fetcher = fetcher
        self._metrics = metrics
        self._traces = traces
        self._clock = clock

    def run(
        self,
        request: PipelineRequest,
        on_text: Callable[[str], None],
        progress: Progress | None = None,
    ) -> PipelineOutcome:
        """Run all stages, or those that remain after earlier progress.

        Parameters
        ----------
        request : PipelineRequest
            The request; its id must be registered, so that no other thread runs it.
        on_text : callable
            Called with each piece of the last stage's output.
        progress : Progress or None
            Stages that an earlier attempt finished, a non-repeatable one among them.
        """
        try:
            return self._run_stages(request, on_text, progress)
        finally:
            self._stages.end_request(request)

    def _run_stages(
        self,
        request: PipelineRequest,
        on_text: Callable[[str], None],
        progress: Progress | None,
    ) -> PipelineOutcome:
        run = _PipelineRun(request.body.input)
        if progress is not None:
            run = _PipelineRun(progress.text, list(progress.reports), True, True, True)
            if not _matches_pipeline(progress, request):
                detail = "the pipeline was changed after its first stages ran"
                changed = Failure(ResultCode.STAGE_FAILED, detail, RunState.RAN)
                return self._end_with_failure(changed, run, may_resume=True)
        for stage in request.pipeline.stages[len(run.reports) :]:
            if not request.is_repeatable(stage) and not run.is_claimed:
                early_outcome = self._claim(request, run)
                if early_outcome is not None:
                    return early_outcome
            early_outcome = self._run_stage(request, stage, run, on_text)
            if early_outcome is not None:
                return early_outcome
        answer = Answer(request.request_id.text, run.text, tuple(run.reports))
        return PipelineOutcome(Success(answer), is_final=True)

    def _run_stage(
        self,
        request: PipelineRequest,
        stage: StageSpec,
        run: _PipelineRun,
        on_text: Callable[[str], None],
    ) -> PipelineOutcome | None:
        stop_reason = self._find_stop_reason(request)
        if stop_reason is not None:
            return self._end_with_failure(
                stop_reason, run, may_resume=run.non_repeatable_sent
            )
        is_last = stage is request.pipeline.stages[-1]
        result = self._stages.run(
            request, stage, run.text, on_text if is_last else _discard_text
        )
        if isinstance(result, Err):
            return self._handle_stage_failure(request, stage, result.failure(), run)
        stage_result = result.unwrap()
        run.text = stage_result.text
        run.has_run_stage = True
        run.non_repeatable_sent |= not request.is_repeatable(stage)
        run.reports.append(stage_result.report)
        self._metrics.record_stage(request.body.account, stage_result.report)
        return None

    def _find_stop_reason(self, request: PipelineRequest) -> Failure | None:
        """Return why the next stage must not be started, or None."""
        if request.cancelled.is_set():
            return Failure(ResultCode.CANCELLED, "cancelled between stages")
        if request.deadline.is_expired(self._clock.monotonic()):
            return Failure(
                ResultCode.DEADLINE_EXCEEDED, "the deadline passed between stages"
            )
        return None

    def _handle_stage_failure(
        self,
        request: PipelineRequest,
        stage: StageSpec,
        stage_failure: StageFailure,
        run: _PipelineRun,
    ) -> PipelineOutcome:
        failure = stage_failure.failure
        self._metrics.record_stage(request.body.account, stage_failure.report)
        was_sent = failure.run_state is not RunState.NOT_RUN
        # After non-repeatable work, a retry may run the remaining stages, unless this
        # stage is non-repeatable too and may have run.
        may_resume = run.non_repeatable_sent
        if was_sent and not request.is_repeatable(stage):
            run.non_repeatable_sent = True
            may_resume = False
        return self._end_with_failure(failure, run, may_resume=may_resume)

    def _end_with_failure(
        self, failure: Failure, run: _PipelineRun, *, may_resume: bool
    ) -> PipelineOutcome:
        progress = Progress(run.text, tuple(run.reports)) if may_resume else None
        if progress is None:
            for report in run.reports:
                self._metrics.count(f"cost_wasted.{report.stage}", report.cost)
        return PipelineOutcome(
            Err(_to_request_failure(failure, run)),
            run.non_repeatable_sent,
            progress=progress,
        )

    def _claim(
        self, request: PipelineRequest, run: _PipelineRun
    ) -> PipelineOutcome | None:
        """Claim the id; return the outcome of the run if this node doesn't hold it."""
        started_at = self._clock.monotonic()
        claimed = self._claimer.claim(request.request_id, request.deadline)
        if not request.request_id.is_pinned:
            self._metrics.observe("claim", self._clock.monotonic() - started_at)
        if isinstance(claimed, Err):
            return self._end_with_failure(claimed.failure(), run, may_resume=False)
        holder = claimed.unwrap()
        identity = self._identity
        own_incarnation = (identity.node_id, identity.incarnation)
        if (holder.node_id, holder.incarnation) == own_incarnation:
            run.is_claimed = True
            self._trace(request, "claimed")
            return None
        self._trace(request, f"claimed by {holder.node_id}")
        self._stages.end_request(request)
        outcome = self._fetcher.fetch_or_forward(request, holder)
        if isinstance(outcome, Err):
            outcome = Err(_to_request_failure(outcome.failure(), run))
        return PipelineOutcome(outcome, is_final=False, is_local=False)

    def _trace(self, request: PipelineRequest, what: str) -> None:
        self._traces.add(request.request_id.text, self._clock.monotonic(), what)


def _matches_pipeline(progress: Progress, request: PipelineRequest) -> bool:
    """Whether the finished stages are the first ones of the current pipeline."""
    done = [report.stage for report in progress.reports]
    stages = request.pipeline.stages[: len(done)]
    return done == [stage.name for stage in stages]


def _to_request_failure(failure: Failure, run: _PipelineRun) -> Failure:
    """Return a stage's failure with the run state of the whole request."""
    if run.has_run_stage and failure.run_state is RunState.NOT_RUN:
        return replace(failure, run_state=RunState.RAN)
    return failure


def _discard_text(_piece: str) -> None:
    pass


__all__ = ("PipelineOutcome", "PipelineRunner")
