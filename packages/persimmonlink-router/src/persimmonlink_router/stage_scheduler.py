"""Runs the stages of all nodes' requests in one place, to batch their pieces."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.admission.turn_offers import keep_turn
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.stage_admission import (
    Admission,
    AdmissionOutcome,
    decide_admission,
    estimate_return_s,
    list_critical_paths_s,
)
from persimmonlink_router.stage_backlog import StageBacklog
from persimmonlink_router.stage_calls import StageCalls
from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_demand import StageDemand
from persimmonlink_router.stage_dispatcher import StageDispatcher
from persimmonlink_router.stage_job import StageResult
from persimmonlink_router.stage_load_log import StageLoadLog
from persimmonlink_router.stage_log import log_admission, log_completion
from persimmonlink_router.stage_outcome import StageOutcome, StageState
from persimmonlink_router.stage_pieces import build_pending_pieces
from persimmonlink_router.stage_request import StageRequest, is_held
from persimmonlink_router.stage_servers import StageServers
from persimmonlink_router.wire_messages import PieceFailure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.pending_piece import PendingPiece
    from persimmonlink_router.send_limits import RetryBudget
    from persimmonlink_router.server_ends import ServerEndDetector
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.server_limiter import ServerLimiter
    from persimmonlink_router.server_places import ServerPlaces
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.stage_dispatcher import BatchOutcome
    from persimmonlink_router.stage_job import StageJob
    from persimmonlink_router.wire_messages import Wire

# After this time without requests, another node may have coordinated meanwhile.
TAKEOVER_IDLE_S = 3.0
MAX_RETRIES_PER_STAGE = 4  # Limit for a request's retries, times its number of stages.
DISPATCH_INTERVAL_S = 0.1  # Interval of the dispatches that no event triggers.
# A finished request that no node released is discarded after this time, by which its
# results have expired.
UNCLAIMED_RESULT_LIFE_S = 5.0
EXPIRY_DELAY_S = 1.0  # Time from the deadline of a request until it is discarded.


class StageScheduler:
    """Admits requests, queues their pieces, and tracks their results.

    Parameters
    ----------
    cluster_view : ClusterView
        Configuration and servers.
    pool : ConnectionPool
        Connections to the servers.
    wire : Wire
        Format of the messages of stage servers.
    health : ServerHealth
        Latency and failures of the servers.
    budget : RetryBudget
        Limit for retries of pieces.
    metrics : RouterMetrics
        Counters of admissions and failures.
    limiter : ServerLimiter
        Keeps to the rates that servers name.
    crash_guard : CrashGuard
        Knows which requests end servers.
    end_detector : ServerEndDetector
        Finds out which servers ended while they ran batches.
    reach : ServerReach
        Which servers this node reaches.
    places : ServerPlaces
        Keeps brittle servers from rejecting.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        pool: ConnectionPool,
        wire: Wire,
        health: ServerHealth,
        budget: RetryBudget,
        metrics: RouterMetrics,
        limiter: ServerLimiter,
        crash_guard: CrashGuard,
        end_detector: ServerEndDetector,
        reach: ServerReach,
        places: ServerPlaces,
    ) -> None:
        self._cluster_view = cluster_view
        self._metrics = metrics
        self._crash_guard = crash_guard
        self._budget = budget
        self.servers = StageServers(cluster_view, health)
        self._calls = StageCalls(
            cluster_view, pool, wire, self.servers, limiter, reach, places
        )
        self.dispatcher = StageDispatcher(
            cluster_view,
            self.servers,
            self._calls,
            self._on_batch_outcome,
            self._on_piece_sent,
            crash_guard,
            end_detector,
        )
        self._request_by_id: dict[str, StageRequest] = {}
        self._backlog = StageBacklog()
        self._demand = StageDemand(
            cluster_view, self.servers, self._backlog, self.dispatcher
        )
        self._load_log = StageLoadLog(metrics)
        self._last_request_at = -TAKEOVER_IDLE_S

    async def run(self, job: StageJob) -> StageOutcome:
        """Run a request's stages; if cancelled, drop what was not sent."""
        now = boot_time()
        self._record_activity(now)
        previous = self._request_by_id.get(job.request_id)
        if previous is not None:
            self._drop(previous)
        has_turn = self._demand.turns.take(job.return_key, now)
        load_by_service = self._demand.list_loads(job, now)
        if load_by_service is None:
            return StageOutcome(StageState.UNKNOWN_SERVICE)
        if self._is_held(job):
            return StageOutcome(StageState.FAILED)
        if self.dispatcher.is_stopped:
            return StageOutcome(StageState.MOVED, made=job.made)
        admission = decide_admission(job, load_by_service, has_turn=has_turn)
        if admission.outcome is AdmissionOutcome.REFUSED:
            admission = keep_turn(
                job, admission, load_by_service, self._demand.turns, now
            )
        if job.made:
            # The previous coordinator admitted it before it stopped.
            admission = Admission(AdmissionOutcome.ADMITTED, admission.predicted_s)
        self._load_log.record_job()
        log_admission(job, admission, self.dispatcher.count_waiting())
        self._metrics.count("stage_admissions_total", f'outcome="{admission.outcome}"')
        if admission.outcome is AdmissionOutcome.REFUSED:
            self.dispatcher.record_refusal(admission.full_queues, now)
            return StageOutcome(
                StageState.REFUSED,
                retry_after_s=admission.retry_after_s,
                predicted_s=admission.predicted_s,
                has_turn=admission.has_turn,
            )
        critical_paths_s = list_critical_paths_s(job, load_by_service)
        chain = StageChain(job, now, critical_paths_s)
        self._restore_results(chain)
        outcome_future: asyncio.Future[StageOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        return await self._start_and_wait(
            StageRequest(chain, outcome_future, admission.predicted_s)
        )

    def _restore_results(self, chain: StageChain) -> None:
        """Add the results that the previous coordinator transferred."""
        for transferred in chain.job.made:
            server = self._cluster_view.servers.server_by_id.get(transferred.server_id)
            if server is None:
                continue
            chain.restore_result(transferred, server)
            if transferred.handle:
                self.servers.state(server).held_bytes += transferred.size

    def release(self, request_id: str, attempt: str = "") -> None:
        """Stop a request, running or finished, and release its results.

        A release that names an attempt leaves other runs of the request alone.
        """
        request = self._request_by_id.get(request_id)
        if request is None or attempt not in ("", request.chain.job.attempt):
            return
        self._drop(request)

    def _drop(self, request: StageRequest) -> None:
        """Stop a request and release its results, unless this was done already."""
        request_id = request.chain.job.request_id
        if self._request_by_id.get(request_id) is not request:
            return
        del self._request_by_id[request_id]
        self._finish(request, StageOutcome(StageState.FAILED))
        if request.is_transferred:
            return
        self._calls.release(request.chain.pop_all_results())

    def count_running(self) -> int:
        """Return the number of requests whose stages are being run."""
        return sum(
            1 for r in self._request_by_id.values() if not r.outcome_future.done()
        )

    def transfer_requests(self) -> None:
        """Stop dispatching, and transfer all requests to the next coordinator.

        A request with pieces in flight is transferred once these have ended.
        """
        self.dispatcher.is_stopped = True
        for request in list(self._request_by_id.values()):
            self._transfer_if_idle(request)

    def resume(self) -> None:
        """Dispatch again after `transfer_requests`."""
        self.dispatcher.is_stopped = False

    def _transfer_if_idle(self, request: StageRequest) -> None:
        if request.outcome_future.done() or request.chain.pieces_in_flight > 0:
            return
        request.is_transferred = True
        self._finish(
            request,
            StageOutcome(
                StageState.MOVED, made=request.chain.list_transferable_results()
            ),
        )

    def tick(self) -> None:
        """Expire and abandon requests, and dispatch pieces."""
        now = boot_time()
        for request in list(self._request_by_id.values()):
            is_unclaimed = (
                request.outcome_future.done()
                and now > request.finished_at + UNCLAIMED_RESULT_LIFE_S
            )
            if is_unclaimed or now > request.chain.deadline_at + EXPIRY_DELAY_S:
                self._drop(request)
            elif not request.outcome_future.done() and self._is_held(request.chain.job):
                self._finish(request, StageOutcome(StageState.FAILED))
            elif now + request.chain.min_remaining_s() > request.chain.deadline_at:
                self._give_up(request, now)
        for chain in self.dispatcher.list_hopeless(now):
            hopeless = self._request_by_id.get(chain.job.request_id)
            if hopeless is not None and hopeless.chain is chain:
                self._give_up(hopeless, now)
        self.dispatcher.dispatch_all()
        self._load_log.tick(self.dispatcher.count_waiting(), now, time.process_time())

    async def _start_and_wait(self, request: StageRequest) -> StageOutcome:
        job = request.chain.job
        self._request_by_id[job.request_id] = request
        self._backlog.add(request.chain)
        self._dispatch(self._queue_ready_stages(request))
        try:
            async with asyncio.timeout(job.deadline_left_s):
                # Shielded: a cancelled caller must not leave a cancelled future behind.
                outcome = await asyncio.shield(request.outcome_future)
        except TimeoutError:
            self._drop(request)
            return StageOutcome(StageState.FAILED)
        except asyncio.CancelledError:
            self._drop(request)
            raise
        if outcome.state is not StageState.DONE:
            self._drop(request)
        return outcome

    def _record_activity(self, now: float) -> None:
        """Record a request; mark servers as shared if this node may have taken over."""
        if now - self._last_request_at > TAKEOVER_IDLE_S:
            self.servers.mark_all_shared(now)
        self._last_request_at = now

    def _on_piece_sent(self, chain: StageChain, index: int) -> None:
        service = chain.job.stages[index].service
        self._budget.record_request(service, boot_time())
        self._backlog.record_sent(chain, index)

    def _give_up(self, request: StageRequest, now: float) -> None:
        """Refuse a request that can't be answered by its deadline any more."""
        if request.outcome_future.done():
            return
        chain = request.chain
        load_by_service = self._demand.list_loads(chain.job, now) or {}
        retry_after_s = estimate_return_s(chain.job, load_by_service)
        self._metrics.count("stage_given_up_total", f'started="{chain.has_started}"')
        logger.bind(
            request=chain.job.request_id,
            waited_s=round(now - chain.arrived_at, 3),
            started=chain.has_started,
        ).info("stages.abandoned")
        self._finish(
            request,
            StageOutcome(StageState.REFUSED, retry_after_s=retry_after_s),
        )

    def _queue_ready_stages(self, request: StageRequest) -> set[str]:
        """Queue the stages whose inputs exist; return the services that run them."""
        chain = request.chain
        services = set()
        now = boot_time()
        for index in chain.pop_ready_stages():
            chain.times[index].ready_at = now
            self._backlog.record_ready(chain, index)
            self.dispatcher.put(
                build_pending_pieces(chain, index, self._cluster_view, now)
            )
            services.add(chain.job.stages[index].service)
        return services

    def _dispatch(self, services: Iterable[str]) -> None:
        for service in services:
            self.dispatcher.dispatch(service)

    def _on_batch_outcome(self, outcome: BatchOutcome) -> None:
        """Apply the results of a batch to the requests of its pieces."""
        self._load_log.record_call()
        changed_by_id: dict[str, StageRequest] = {}
        state = self.servers.state(outcome.server)
        for index, piece in enumerate(outcome.pieces):
            piece.chain.pieces_in_flight -= 1
            request = self._find_awaiting_request(piece)
            piece_result = (
                outcome.results[index] if outcome.results is not None else None
            )
            if piece_result is not None and piece_result.handle:
                result = StageResult(
                    piece_result.handle, outcome.server, piece.result_bytes
                )
                if request is None or not piece.chain.add_result(
                    piece.stage, piece.number, result
                ):
                    self._calls.release([result])
            elif piece_result is not None:
                state.free_memory(piece.result_bytes)
            if request is None:
                continue
            changed_by_id[request.chain.job.request_id] = request
            if piece_result is None or not piece_result.handle:
                self._handle_missing_result(
                    request, piece, piece_result.failure if piece_result else None
                )
            else:
                request.chain.record_result_time(piece.stage, boot_time())
        services: set[str] = set()
        for request in changed_by_id.values():
            services |= self._advance(request)
        self._dispatch(services)

    def _find_awaiting_request(self, piece: PendingPiece) -> StageRequest | None:
        """Return the request that still needs the result of a piece, if any."""
        request = self._request_by_id.get(piece.chain.job.request_id)
        if (
            request is None
            or request.chain is not piece.chain
            or request.outcome_future.done()
        ):
            return None
        return request if piece.is_current() else None

    def _handle_missing_result(
        self, request: StageRequest, piece: PendingPiece, failure: PieceFailure | None
    ) -> None:
        """Retry a piece without a result, or fail its request."""
        self._metrics.count(
            "stage_pieces_without_result_total", f'failure="{failure or "call"}"'
        )
        chain = piece.chain
        if request.outcome_future.done() or not piece.is_current():
            return
        now = boot_time()
        is_late = failure is PieceFailure.TOO_LATE or now > chain.deadline_at
        if is_late or self._is_held(chain.job):
            self._finish(request, StageOutcome(StageState.FAILED))
            return
        service = chain.job.stages[piece.stage].service
        request.retries += 1
        is_allowed = request.retries <= MAX_RETRIES_PER_STAGE * len(chain.job.stages)
        if not is_allowed or not self._budget.try_acquire(service, 1, now):
            self._finish(request, StageOutcome(StageState.FAILED))
            return
        if failure is PieceFailure.INPUT_GONE or chain.has_released_inputs(piece.stage):
            self._calls.release(chain.reset_inputs(piece.stage))
            return
        self.dispatcher.put([piece])

    def _is_held(self, job: StageJob) -> bool:
        return is_held(job, self._crash_guard, self._cluster_view.servers)

    def _advance(self, request: StageRequest) -> set[str]:
        """Queue the next stages of a request, or finish it if all are done.

        Returns the services that have more pieces to run.
        """
        if request.outcome_future.done():
            return set()
        chain = request.chain
        if not chain.is_done():
            if self.dispatcher.is_stopped:
                self._transfer_if_idle(request)
                return set()
            services = self._queue_ready_stages(request)
            self._calls.release(chain.pop_consumed_results())
            return services
        log_completion(chain)
        bytes_by_domain: Counter[str] = Counter()
        for result in chain.list_final_results():
            bytes_by_domain[result.server.domain] += result.size
        handles = tuple(result.handle for result in chain.list_final_results())
        self._calls.release(chain.pop_consumed_results())
        self._finish(
            request,
            StageOutcome(
                StageState.DONE,
                handles,
                dict(bytes_by_domain),
                predicted_s=request.predicted_s,
            ),
        )
        return set()

    def _finish(self, request: StageRequest, outcome: StageOutcome) -> None:
        self._backlog.remove(request.chain)
        if not request.outcome_future.done():
            request.outcome_future.set_result(outcome)
            request.finished_at = boot_time()
        if outcome.state is not StageState.DONE:
            request.chain.is_closed = True


__all__ = ("DISPATCH_INTERVAL_S", "StageScheduler")
