"""Serves requests from end to end, running each id at most once at this node."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure as Err

from persimmonlink_model.kept_results import KeptResults, Registration, RequestPhase
from persimmonlink_model.request_id import RequestId, parse_request_id
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.outcomes import (
    Outcome,
    create_other_body_failure,
    create_still_running_failure,
    replay_output,
    wrap_outcome,
)
from persimmonlink_node.pipeline_request import PipelineRequest
from persimmonlink_node.pipeline_runner import PipelineOutcome
from persimmonlink_node.request_claimer import ClaimHolder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_model.deadline import Deadline
    from persimmonlink_model.kept_results import KeptResult, Progress
    from persimmonlink_model.request_id import RetryHorizon
    from persimmonlink_model.running_limit import RunningLimit
    from persimmonlink_node.answer_fetcher import AnswerFetcher
    from persimmonlink_node.metrics import Metrics
    from persimmonlink_node.node_state import NodeIdentity
    from persimmonlink_node.pipeline_runner import PipelineRunner
    from persimmonlink_node.request_trace import TraceStore

OVERLOAD_RETRY_AFTER_S = 1.0


@dataclass
class _RunningRequest:
    request: PipelineRequest
    is_admitted: bool
    finished: threading.Event = field(default_factory=threading.Event)
    outcome: Outcome | None = None


class RequestService:
    """Serves validated requests and returns to each the outcome of its id.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    runner : PipelineRunner
        Runs the stages of a request.
    fetcher : AnswerFetcher
        Fetches outcomes of requests that another node holds.
    kept : KeptResults
        Results kept for callers that retry or fetch them later; guarded by this
        object's lock.
    horizon : RetryHorizon
        Maximum age of request ids.
    metrics : Metrics
        Counters and histograms.
    traces : TraceStore
        Records the decisions about each request, for operators.
    clock : Clock
        Source of monotonic and Unix time.
    limit : RunningLimit
        Bounds the requests that run at once; guarded by this object's lock.
    compute_mean_weight : callable
        Returns the mean weight of the client accounts.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        runner: PipelineRunner,
        fetcher: AnswerFetcher,
        kept: KeptResults,
        horizon: RetryHorizon,
        metrics: Metrics,
        traces: TraceStore,
        clock: Clock,
        limit: RunningLimit,
        compute_mean_weight: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._runner = runner
        self._fetcher = fetcher
        self._kept = kept
        self._horizon = horizon
        self._metrics = metrics
        self._traces = traces
        self._clock = clock
        self._limit = limit
        self._compute_mean_weight = compute_mean_weight
        self._refuses_new_requests = False
        self._lock = threading.Lock()
        self._running_by_id: dict[str, _RunningRequest] = {}

    def handle(
        self, request: PipelineRequest, on_text: Callable[[str], None]
    ) -> Outcome:
        """Run a request, or return the outcome of the first run of its id."""
        started_at = self._clock.monotonic()
        outcome = self._handle(request, on_text)
        now = self._clock.monotonic()
        code: ResultCode | None = None
        what = "answered"
        if isinstance(outcome, Err):
            failure = outcome.failure()
            code = failure.code
            what = f"failed, {code.name}: {failure.detail}"
        body = request.body
        self._metrics.record_request(
            body.account, body.request_class, code, now - started_at
        )
        self._traces.add(request.request_id.text, now, what)
        return outcome

    def fetch(self, request_id: str) -> Outcome:
        """Return the outcome of a request, kept at this node or at a peer."""
        local_outcome = self.fetch_local(request_id)
        if not isinstance(local_outcome, Err):
            return local_outcome
        if local_outcome.failure().code is not ResultCode.ANSWER_NOT_HERE:
            return local_outcome
        parsed = parse_request_id(request_id)
        if isinstance(parsed, Err):
            return parsed
        holder = self._find_pinned_holder(parsed.unwrap())
        if holder is None:
            return self._fetcher.fetch_transferred(request_id) or local_outcome
        return self._fetcher.fetch(request_id, holder) or local_outcome

    def fetch_local(self, request_id: str, body_digest: str = "") -> Outcome:
        """Return the outcome of a request that is kept at this node.

        Fails with `DUPLICATE_ID_OTHER_BODY` if a digest is given and the id was used
        with another body.
        """
        with self._lock:
            self._kept.discard_expired(self._clock.monotonic())
            kept_result = self._kept.find(request_id)
        if kept_result is None:
            return Err(Failure(ResultCode.ANSWER_NOT_HERE, request_id))
        if body_digest not in ("", kept_result.body_digest):
            return Err(create_other_body_failure(request_id))
        if kept_result.phase is RequestPhase.RUNNING:
            return Err(create_still_running_failure(request_id, self._identity.node_id))
        if kept_result.outcome is None:
            failure = Failure(ResultCode.ANSWER_EXPIRED, request_id, RunState.RAN)
            return Err(failure)
        return wrap_outcome(kept_result.outcome)

    def is_registered(self, request_id: str) -> bool:
        """Whether this node keeps a running or finished request under an id."""
        with self._lock:
            return self._kept.find(request_id) is not None

    def refuse_new_requests(self) -> None:
        """Refuse requests with unknown ids from now on; known ids are still served."""
        with self._lock:
            self._refuses_new_requests = True

    def list_finished(self, max_bytes: int) -> tuple[float, list[KeptResult]]:
        """Return the current time and the finished results to transfer to peers."""
        now = self._clock.monotonic()
        with self._lock:
            self._kept.discard_expired(now)
            return now, self._kept.list_finished(max_bytes)

    def import_results(self, results: Iterable[KeptResult]) -> int:
        """Keep results of a stopping peer; return how many had an unknown id."""
        with self._lock:
            return sum(self._kept.import_result(result) for result in results)

    def cancel(self, request_id: str) -> bool:
        """Cancel a running request; return False if none runs under the id."""
        with self._lock:
            running = self._running_by_id.get(request_id)
        if running is None:
            return False
        running.request.cancelled.set()
        return True

    def compute_load(self) -> float:
        """Return the running requests as a fraction of the limit."""
        return self.count_running() / self._limit.max_running

    def count_running(self) -> int:
        """Return the number of running requests."""
        with self._lock:
            return len(self._running_by_id)

    def _handle(
        self, request: PipelineRequest, on_text: Callable[[str], None]
    ) -> Outcome:
        id_text = request.request_id.text
        mean_weight = self._compute_mean_weight()
        pinned_holder = self._find_pinned_holder(request.request_id)
        if pinned_holder is not None and not self.is_registered(id_text):
            return replay_output(
                self._fetcher.fetch_or_forward(request, pinned_holder), on_text
            )
        with self._lock:
            # The age is checked at a later clock reading than the one by which
            # results expire, so that an id whose result has just been discarded is
            # never accepted as new.
            now = self._clock.monotonic()
            age_failure = self._horizon.check_age(
                request.request_id, self._clock.unix_ms()
            )
            if age_failure is not None:
                return Err(age_failure)
            is_retry = self._kept.find(id_text) is not None
            refusal = None if is_retry else self._admit(request, mean_weight)
            if refusal is not None:
                return Err(refusal)
            registration = self._kept.register(id_text, request.body_digest, now)
            kept_result = self._kept.find(id_text)
            if registration in (Registration.NEW, Registration.RESUMED):
                running = _RunningRequest(request, is_admitted=not is_retry)
                self._running_by_id[id_text] = running
            first_run = self._running_by_id.get(id_text)
        if registration is Registration.OTHER_BODY:
            return Err(create_other_body_failure(id_text))
        if registration is Registration.KNOWN:
            return replay_output(
                self._wait_for_first_run(first_run, request.deadline, id_text), on_text
            )
        progress = kept_result.progress if kept_result is not None else None
        return self._run_registered(running, on_text, progress)

    def _admit(self, request: PipelineRequest, mean_weight: float) -> Failure | None:
        """Count a new request as running, or return why it is refused."""
        if self._refuses_new_requests:
            return Failure(ResultCode.NODE_STOPPING, "", retry_after_s=0.0)
        account = request.body.account
        if self._limit.admit(account, request.account.weight, mean_weight):
            return None
        running = self._limit.running_by_account.get(account, 0)
        detail = (
            f"{running} requests of {account} run at this node and {self._limit.total} "
            f"in all; the limit of the node is {self._limit.max_running}"
        )
        return Failure(
            ResultCode.OVERLOADED, detail, retry_after_s=OVERLOAD_RETRY_AFTER_S
        )

    def _find_pinned_holder(self, request_id: RequestId) -> ClaimHolder | None:
        """Return the holder of an id that is pinned to another incarnation, or None."""
        if not request_id.is_pinned:
            return None
        pinned_holder = ClaimHolder(request_id.node_id, request_id.incarnation)
        identity = self._identity
        if pinned_holder == ClaimHolder(identity.node_id, identity.incarnation):
            return None
        return pinned_holder

    def _wait_for_first_run(
        self, first_run: _RunningRequest | None, deadline: Deadline, request_id: str
    ) -> Outcome:
        if first_run is None:
            return self.fetch_local(request_id)
        first_run.finished.wait(deadline.remaining_s(self._clock.monotonic()))
        if first_run.outcome is None:
            return Err(create_still_running_failure(request_id, self._identity.node_id))
        return first_run.outcome

    def _run_registered(
        self,
        running: _RunningRequest,
        on_text: Callable[[str], None],
        progress: Progress | None,
    ) -> Outcome:
        request = running.request
        bug = Failure(ResultCode.INTERNAL_ERROR, "", RunState.UNKNOWN)
        pipeline_outcome = PipelineOutcome(Err(bug), is_final=True)
        try:
            pipeline_outcome = self._runner.run(request, on_text, progress)
        finally:
            with self._lock:
                self._store_outcome(request, pipeline_outcome)
                running.outcome = pipeline_outcome.outcome
                del self._running_by_id[request.request_id.text]
                if running.is_admitted:
                    self._limit.release(request.body.account)
            running.finished.set()
        if pipeline_outcome.is_local:
            return pipeline_outcome.outcome
        return replay_output(pipeline_outcome.outcome, on_text)

    def _store_outcome(
        self, request: PipelineRequest, pipeline_outcome: PipelineOutcome
    ) -> None:
        id_text = request.request_id.text
        if not pipeline_outcome.is_final:
            self._kept.unregister(id_text)
            return
        outcome = pipeline_outcome.outcome
        value = outcome.failure() if isinstance(outcome, Err) else outcome.unwrap()
        size = _count_encoded_bytes(value) + _count_encoded_bytes(
            pipeline_outcome.progress
        )
        self._kept.finish(id_text, value, size, pipeline_outcome.progress)


def _count_encoded_bytes(value: object) -> int:
    return 0 if value is None else len(msgspec.msgpack.encode(value))


__all__ = ("RequestService",)
