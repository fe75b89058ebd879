"""Runs requests from end to end, each id at most once at this node."""

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
    make_outcome,
    replay,
    tell_other_body,
    tell_still_running,
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
class _Running:
    request: PipelineRequest
    is_admitted: bool
    finished: threading.Event = field(default_factory=threading.Event)
    outcome: Outcome | None = None


class RequestService:
    """Takes checked requests and answers each with its own outcome.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    runner : PipelineRunner
        Runs requests.
    fetcher : AnswerFetcher
        Gets outcomes of requests that another node holds.
    kept : KeptResults
        Outcomes kept for callers that come back; guarded by this object's lock.
    horizon : RetryHorizon
        Age up to which ids are taken.
    metrics : Metrics
        Counters and histograms.
    traces : TraceStore
        Decisions, for operators.
    clock : Clock
        Time.
    limit : RunningLimit
        Bounds the requests served at once; guarded by this object's lock.
    find_mean_weight : callable
        Mean share of the client accounts.
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
        find_mean_weight: Callable[[], float],
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
        self._find_mean_weight = find_mean_weight
        self._refuses_new = False
        self._lock = threading.Lock()
        self._running_by_id: dict[str, _Running] = {}

    def handle(
        self, request: PipelineRequest, on_text: Callable[[str], None]
    ) -> Outcome:
        """Answer a request: run it, or hand out the outcome of its first run."""
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
        """Return the outcome of a request, wherever it is kept."""
        here = self.fetch_here(request_id)
        if not isinstance(here, Err):
            return here
        if here.failure().code is not ResultCode.ANSWER_NOT_HERE:
            return here
        parsed = parse_request_id(request_id)
        if isinstance(parsed, Err):
            return parsed
        holder = self._find_pin(parsed.unwrap())
        if holder is None:
            return self._fetcher.fetch_kept(request_id) or here
        return self._fetcher.fetch(request_id, holder) or here

    def fetch_here(self, request_id: str, body_digest: str = "") -> Outcome:
        """Return the outcome of a request that is kept at this node.

        A caller whose body is named gets the outcome of no other body.
        """
        with self._lock:
            self._kept.discard_expired(self._clock.monotonic())
            known = self._kept.find(request_id)
        if known is None:
            return Err(Failure(ResultCode.ANSWER_NOT_HERE, request_id))
        if body_digest not in ("", known.body_digest):
            return Err(tell_other_body(request_id))
        if known.phase is RequestPhase.RUNNING:
            return Err(tell_still_running(request_id, self._identity.node_id))
        if known.outcome is None:
            failure = Failure(ResultCode.ANSWER_EXPIRED, request_id, RunState.RAN)
            return Err(failure)
        return make_outcome(known.outcome)

    def knows(self, request_id: str) -> bool:
        """Whether anything is kept of a request at this node."""
        with self._lock:
            return self._kept.find(request_id) is not None

    def refuse_new(self) -> None:
        """Run no request from now on that isn't known here yet."""
        with self._lock:
            self._refuses_new = True

    def list_finished(self, max_bytes: int) -> tuple[float, list[KeptResult]]:
        """Return the time and what is kept for a peer to take over."""
        now = self._clock.monotonic()
        with self._lock:
            self._kept.discard_expired(now)
            return now, self._kept.list_finished(max_bytes)

    def adopt(self, results: Iterable[KeptResult]) -> int:
        """Keep results of a peer that stops; return how many were taken."""
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
        """Return the share of the requests that may run at once which run now."""
        return self.count_running() / self._limit.max_running

    def count_running(self) -> int:
        """Return the requests being served."""
        with self._lock:
            return len(self._running_by_id)

    def _handle(
        self, request: PipelineRequest, on_text: Callable[[str], None]
    ) -> Outcome:
        text = request.request_id.text
        mean_weight = self._find_mean_weight()
        pin = self._find_pin(request.request_id)
        if pin is not None and not self.knows(text):
            return replay(self._fetcher.settle(request, pin), on_text)
        with self._lock:
            # The age is asked for after the time by which results are forgotten, so
            # that an id is never taken whose result has just been forgotten.
            now = self._clock.monotonic()
            too_old = self._horizon.check_age(request.request_id, self._clock.unix_ms())
            if too_old is not None:
                return Err(too_old)
            is_known = self._kept.find(text) is not None
            refused = None if is_known else self._take_place(request, mean_weight)
            if refused is not None:
                return Err(refused)
            registration = self._kept.register(text, request.body_digest, now)
            known = self._kept.find(text)
            if registration in (Registration.NEW, Registration.RESUMED):
                running = _Running(request, is_admitted=not is_known)
                self._running_by_id[text] = running
            first = self._running_by_id.get(text)
        if registration is Registration.OTHER_BODY:
            return Err(tell_other_body(text))
        if registration is Registration.KNOWN:
            return replay(self._await_first(first, request.deadline, text), on_text)
        progress = known.progress if known is not None else None
        return self._run_registered(running, on_text, progress)

    def _take_place(
        self, request: PipelineRequest, mean_weight: float
    ) -> Failure | None:
        """Take a place for a new request, or return why there is none."""
        if self._refuses_new:
            return Failure(ResultCode.NODE_STOPPING, "", retry_after_s=0.0)
        account = request.body.account
        if self._limit.admit(account, request.account.weight, mean_weight):
            return None
        running = self._limit.running_by_account.get(account, 0)
        detail = (
            f"{running} requests of {account} run at this node and {self._limit.total} "
            f"in all; {self._limit.max_running} may"
        )
        return Failure(
            ResultCode.OVERLOADED, detail, retry_after_s=OVERLOAD_RETRY_AFTER_S
        )

    def _find_pin(self, request_id: RequestId) -> ClaimHolder | None:
        """Return the other incarnation that alone may run an id, or None."""
        if not request_id.is_pinned:
            return None
        pin = ClaimHolder(request_id.node_id, request_id.incarnation)
        identity = self._identity
        if pin == ClaimHolder(identity.node_id, identity.incarnation):
            return None
        return pin

    def _await_first(
        self, first: _Running | None, deadline: Deadline, request_id: str
    ) -> Outcome:
        if first is None:
            return self.fetch_here(request_id)
        first.finished.wait(deadline.remaining_s(self._clock.monotonic()))
        if first.outcome is None:
            return Err(tell_still_running(request_id, self._identity.node_id))
        return first.outcome

    def _run_registered(
        self,
        running: _Running,
        on_text: Callable[[str], None],
        progress: Progress | None,
    ) -> Outcome:
        request = running.request
        bug = Failure(ResultCode.INTERNAL_ERROR, "", RunState.UNKNOWN)
        done = PipelineOutcome(Err(bug), is_final=True)
        try:
            done = self._runner.run(request, on_text, progress)
        finally:
            with self._lock:
                self._conclude(request, done)
                running.outcome = done.outcome
                del self._running_by_id[request.request_id.text]
                if running.is_admitted:
                    self._limit.release(request.body.account)
            running.finished.set()
        if done.is_own:
            return done.outcome
        return replay(done.outcome, on_text)

    def _conclude(self, request: PipelineRequest, done: PipelineOutcome) -> None:
        text = request.request_id.text
        if not done.is_final:
            self._kept.unregister(text)
            return
        outcome = done.outcome
        value = outcome.failure() if isinstance(outcome, Err) else outcome.unwrap()
        size = _measure(value) + _measure(done.progress)
        self._kept.finish(text, value, size, done.progress)


def _measure(value: object) -> int:
    return 0 if value is None else len(msgspec.msgpack.encode(value))


__all__ = ("RequestService",)
