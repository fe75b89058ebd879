"""Runs the stages of all nodes' requests: one place at which their pieces meet."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.calls import PieceFailure
from persimmonlink_router.stage_admission import (
    LATE_PATIENCE,
    AccountShares,
    Admission,
    Lane,
    compute_cost_s,
    decide,
    list_tails_s,
)
from persimmonlink_router.stage_backlog import StageBacklog
from persimmonlink_router.stage_calls import StageCalls
from persimmonlink_router.stage_chain import StageChain
from persimmonlink_router.stage_demand import StageDemand
from persimmonlink_router.stage_dispatcher import StageDispatcher
from persimmonlink_router.stage_job import StageResult
from persimmonlink_router.stage_log import log_admission, log_done
from persimmonlink_router.stage_outcome import StageOutcome, StageState
from persimmonlink_router.stage_servers import StageServers
from persimmonlink_router.stage_tickets import make_tickets

if TYPE_CHECKING:
    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.calls import Wire
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.send_limits import RetryBudget
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.stage_dispatcher import BatchOutcome
    from persimmonlink_router.stage_job import StageJob
    from persimmonlink_router.stage_queue import Ticket

GIVEN_UP_RETRY_S = 1.0  # When to come back after the stages could not end in time.
TAKEOVER_S = 3.0  # Time without requests after which a node has not coordinated.
MAX_TRIES = 4  # Times that pieces of a request are sent again, for each stage.
PUMP_INTERVAL_S = 0.1  # How often waiting pieces are looked at without a cause.
UNCLAIMED_S = 5.0  # Time after which results that nobody freed have ended.
FORGET_S = 1.0  # Time after its deadline at which a request is forgotten.


@dataclass(slots=True, eq=False)
class _Run:
    """A chain, and who waits for it."""

    chain: StageChain
    done: asyncio.Future[StageOutcome]
    predicted_s: float = 0.0
    tries: int = 0
    has_moved: bool = False
    done_at: float = 0.0


class StageScheduler:
    """Takes requests, queues their pieces, and keeps their results.

    Parameters
    ----------
    beliefs : Beliefs
        Configuration and servers.
    pool : ConnectionPool
        Connections to the servers.
    wire : Wire
        Messages of the stage servers.
    health : ServerHealth
        Speed and failures of the servers.
    budget : RetryBudget
        Second sends of pieces.
    metrics : RouterMetrics
        Counters.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        pool: ConnectionPool,
        wire: Wire,
        health: ServerHealth,
        budget: RetryBudget,
        metrics: RouterMetrics,
    ) -> None:
        self._beliefs = beliefs
        self._metrics = metrics
        self._budget = budget
        self.servers = StageServers(beliefs, health)
        self._calls = StageCalls(beliefs, pool, wire, self.servers)
        self.dispatcher = StageDispatcher(
            beliefs, self.servers, self._calls, self._take_outcome, self._note_sent
        )
        self._run_by_request: dict[str, _Run] = {}
        self._deferred: list[_Run] = []
        self._backlog = StageBacklog()
        self._demand = StageDemand(beliefs, self.servers, self._backlog)
        self._shares = AccountShares()
        self._active_at = -TAKEOVER_S

    async def run(self, job: StageJob) -> StageOutcome:
        """Run a request's stages; cancelling it withdraws what has not started."""
        now = boot_time()
        self._note_activity(now)
        former = self._run_by_request.get(job.request_id)
        if former is not None:
            self._finish(former, StageOutcome(StageState.FAILED))
            self.release(job.request_id)
        load_by_service = self._demand.list_loads(job, now)
        if load_by_service is None:
            return StageOutcome(StageState.UNKNOWN_SERVICE)
        if self.dispatcher.is_stopped:
            return StageOutcome(StageState.MOVED, made=job.made)
        is_over = self._shares.is_over(job.account, now)
        admission = decide(job, load_by_service, is_over_share=is_over)
        if job.made:
            # It was taken before, by a coordinator that has left.
            admission = Admission(Lane.ON_TIME, admission.predicted_s)
        log_admission(job, admission, self.dispatcher.count_waiting(), is_over=is_over)
        self._metrics.count("stage_admissions_total", f'lane="{admission.lane}"')
        if admission.lane is Lane.REFUSED:
            return StageOutcome(
                StageState.REFUSED,
                retry_after_s=admission.retry_after_s,
                predicted_s=admission.predicted_s,
            )
        self._shares.note(job.account, compute_cost_s(job, load_by_service), now)
        is_late = admission.lane is Lane.LATE
        tails_s = list_tails_s(job, load_by_service)
        chain = StageChain(job, now, tails_s, is_admitted_late=is_late)
        self._restore(chain)
        done: asyncio.Future[StageOutcome] = asyncio.get_running_loop().create_future()
        return await self._see_through(_Run(chain, done, admission.predicted_s))

    def _restore(self, chain: StageChain) -> None:
        """Take over the results that a former coordinator had."""
        for made in chain.job.made:
            server = self._beliefs.servers.server_by_id.get(made.server_id)
            if server is None:
                continue
            chain.restore(made, server)
            if made.handle:
                self.servers.state(server).held_bytes += made.size

    def release(self, request_id: str) -> None:
        """Free the results of a request, which is started or over."""
        run = self._run_by_request.pop(request_id, None)
        if run is None:
            return
        run.chain.is_over = True
        self._backlog.remove(run.chain)
        if run.has_moved:
            return
        self._calls.release(run.chain.take_all())

    def count_running(self) -> int:
        """Return the requests whose stages are being run."""
        return sum(1 for r in self._run_by_request.values() if not r.done.done())

    def hand_over(self) -> None:
        """Give all requests to the next coordinator, with the results they have.

        Those of which pieces are being run follow when these have ended.
        """
        self.dispatcher.is_stopped = True
        for run in list(self._run_by_request.values()):
            self._move_if_idle(run)

    def _move_if_idle(self, run: _Run) -> None:
        if run.done.done() or run.chain.in_flight > 0:
            return
        run.has_moved = True
        self._finish(run, StageOutcome(StageState.MOVED, made=run.chain.list_made()))

    def tick(self) -> None:
        """Give waiting pieces another chance, and up what can't end in time."""
        now = boot_time()
        for request_id, run in list(self._run_by_request.items()):
            is_unclaimed = run.done.done() and now > run.done_at + UNCLAIMED_S
            if is_unclaimed or now > run.chain.deadline_at + FORGET_S:
                self.release(request_id)
            elif not run.done.done():
                self._give_up_if_hopeless(run, now)
        self.dispatcher.pump_all()
        self._begin_deferred()

    async def _see_through(self, run: _Run) -> StageOutcome:
        job = run.chain.job
        is_deferred = run.chain.is_admitted_late
        self._run_by_request[job.request_id] = run
        self._backlog.add(run.chain, is_deferred=is_deferred)
        if is_deferred:
            self._deferred.append(run)
            self._begin_deferred()
        else:
            self._demand.note_admitted(job, boot_time())
            self._queue_ready(run)
        try:
            async with asyncio.timeout(job.deadline_left_s):
                # Shielded: who waits may leave, which must not look like an outcome.
                outcome = await asyncio.shield(run.done)
        except TimeoutError:
            self.release(job.request_id)
            return StageOutcome(StageState.FAILED)
        except asyncio.CancelledError:
            self.release(job.request_id)
            raise
        if outcome.state is not StageState.DONE:
            self.release(job.request_id)
        return outcome

    def _note_activity(self, now: float) -> None:
        if now - self._active_at > TAKEOVER_S:
            self.servers.note_takeover(now)
        self._active_at = now

    def _note_sent(self, chain: StageChain, index: int) -> None:
        service = chain.job.stages[index].service
        self._budget.note_request(service, boot_time())
        self._backlog.note_sent(chain, index)

    def _begin_deferred(self) -> None:
        """Begin late requests for which others leave room, the most urgent first."""
        self._deferred = [run for run in self._deferred if not run.done.done()]
        self._deferred.sort(key=lambda r: (r.chain.job.priority, r.chain.arrived_at))
        while self._deferred:
            run = self._deferred[0]
            if not self._demand.has_slack(run.chain.job, boot_time()):
                return
            del self._deferred[0]
            self._backlog.begin(run.chain)
            self._queue_ready(run)

    def _give_up_if_hopeless(self, run: _Run, now: float) -> None:
        chain = run.chain
        waited_s = now - chain.arrived_at
        limit_s = LATE_PATIENCE * chain.job.deadline_left_s
        is_stuck = not chain.has_started and waited_s > limit_s
        if not is_stuck and now + chain.least_left_s() <= chain.deadline_at:
            return
        self._metrics.count("stage_given_up_total", f'started="{chain.has_started}"')
        logger.bind(
            request=chain.job.request_id,
            waited_s=round(waited_s, 3),
            started=chain.has_started,
        ).info("stages.given_up")
        self._finish(
            run, StageOutcome(StageState.REFUSED, retry_after_s=GIVEN_UP_RETRY_S)
        )

    def _queue_ready(self, run: _Run) -> None:
        chain = run.chain
        now = boot_time()
        for index in chain.take_ready_stages():
            chain.times[index].ready_at = now
            self.dispatcher.put(make_tickets(chain, index, self._beliefs, now))
        for service in {need.service for need in chain.job.stages}:
            self.dispatcher.pump(service)

    def _take_outcome(self, outcome: BatchOutcome) -> None:
        """Take in the results of a batch."""
        changed: dict[str, _Run] = {}
        state = self.servers.state(outcome.server)
        for index, ticket in enumerate(outcome.tickets):
            ticket.chain.in_flight -= 1
            run = self._find_wanting(ticket)
            made = outcome.results[index] if outcome.results is not None else None
            if made is not None and made.handle:
                result = StageResult(made.handle, outcome.server, ticket.result_bytes)
                if run is None or not ticket.chain.put(
                    ticket.stage, ticket.number, result
                ):
                    self._calls.release([result])
            elif made is not None:
                state.give_back(ticket.result_bytes)
            if run is None:
                continue
            changed[run.chain.job.request_id] = run
            if made is None or not made.handle:
                self._handle_missing(run, ticket, made.failure if made else None)
            else:
                run.chain.note_made(ticket.stage, boot_time())
        for run in changed.values():
            self._advance(run)

    def _find_wanting(self, ticket: Ticket) -> _Run | None:
        """Return the run that still wants a piece."""
        run = self._run_by_request.get(ticket.chain.job.request_id)
        if run is None or run.chain is not ticket.chain or run.done.done():
            return None
        return run if ticket.is_current() else None

    def _handle_missing(
        self, run: _Run, ticket: Ticket, failure: PieceFailure | None
    ) -> None:
        """Decide what becomes of a piece without a result."""
        self._metrics.count(
            "stage_pieces_without_result_total", f'failure="{failure or "call"}"'
        )
        chain = ticket.chain
        if run.done.done() or not ticket.is_current():
            return
        now = boot_time()
        if failure is PieceFailure.TOO_LATE or now > chain.deadline_at:
            self._finish(run, StageOutcome(StageState.FAILED))
            return
        service = chain.job.stages[ticket.stage].service
        run.tries += 1
        is_allowed = run.tries <= MAX_TRIES * len(chain.job.stages)
        if not is_allowed or not self._budget.take(service, 1, now):
            self._finish(run, StageOutcome(StageState.FAILED))
            return
        if failure is PieceFailure.INPUT_GONE or chain.lacks_inputs(ticket.stage):
            self._calls.release(chain.reset_inputs(ticket.stage))
            return
        self.dispatcher.put([ticket])

    def _advance(self, run: _Run) -> None:
        if run.done.done():
            return
        chain = run.chain
        if not chain.is_done():
            if self.dispatcher.is_stopped:
                self._move_if_idle(run)
                return
            self._queue_ready(run)
            self._calls.release(chain.take_consumed())
            return
        log_done(chain)
        bytes_by_domain: Counter[str] = Counter()
        for result in chain.list_final():
            bytes_by_domain[result.server.domain] += result.size
        handles = tuple(result.handle for result in chain.list_final())
        self._calls.release(chain.take_consumed())
        self._finish(
            run,
            StageOutcome(
                StageState.DONE,
                handles,
                dict(bytes_by_domain),
                predicted_s=run.predicted_s,
            ),
        )

    def _finish(self, run: _Run, outcome: StageOutcome) -> None:
        self._backlog.remove(run.chain)
        if not run.done.done():
            run.done.set_result(outcome)
            run.done_at = boot_time()
        if outcome.state is not StageState.DONE:
            run.chain.is_over = True


__all__ = ("PUMP_INTERVAL_S", "StageScheduler")
