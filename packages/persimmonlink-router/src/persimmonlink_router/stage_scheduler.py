"""Runs the stages of all nodes' requests: one place at which their pieces meet."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.calls import Piece, PieceResult, WireFormatError
from persimmonlink_router.http_client import ConnectError, ConnectionLostError
from persimmonlink_router.stage_admission import (
    LATE_PATIENCE,
    AccountShares,
    ArrivalRates,
    Lane,
    ServiceLoad,
    decide,
    list_tails_s,
)
from persimmonlink_router.stage_chain import StageChain, StageResult
from persimmonlink_router.stage_queue import (
    StageQueue,
    StageServerView,
    Ticket,
    estimate_call_s,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Hashable, Sequence

    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.calls import ServerCall, Wire
    from persimmonlink_router.configuration import BatchSpec, Service
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.send_limits import RetryBudget
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.servers import Server
    from persimmonlink_router.stage_chain import StageJob

RELEASE_DELAY_S = 0.01  # Results that become free together are freed in one call.
INPUTS_READ_S = 0.06  # Time in which an idle server reads the inputs of a call.
RELEASE_TIMEOUT_S = 1.0  # Longest wait for the answer to a release.
CALL_PATIENCE = 1.8  # Times the expected time after which a call is given up.
CALL_PATIENCE_EXTRA_S = 0.2  # On top of that, for the way.
SHARED_PATIENCE_S = 0.6  # On top of that, while another node may send calls too.
BACKOFF_S = 0.1  # Time for which a server that refused a call gets none.
DEAD_S = 1.5  # Time for which a server that can't be reached gets no call.
SLOW_FACTOR = 1.6  # Slowness at which waiting for a faster server is considered.
GIVEN_UP_RETRY_S = 1.0  # When to come back after the stages could not end in time.
TAKEOVER_S = 3.0  # Time without requests after which a node has not coordinated.
SHARED_S = 1.0  # Time for which a server is taken to serve another coordinator too.
INTERFERENCE_FACTOR = 1.2  # Times the expected time that show another's calls.
TIGHT_S = 0.6  # Time for which a server that had no room gets smaller batches.
TIGHT_SHARE = 0.75  # Part of its room that these may fill.
MAX_TRIES = 4  # Times that the pieces of one request are sent again.
BATCH_BODY_BYTES = 1048576  # Most bytes of the answer to a batch.
PUMP_INTERVAL_S = 0.1  # How often waiting pieces are looked at without a cause.


@dataclass(frozen=True, slots=True)
class StageOutcome:
    """What became of a request's stages.

    Parameters
    ----------
    state : str
        `done`, `refused`, `failed`, `unknown_service`, or `moved` if another node is
        to be asked.
    handles : tuple of str
        Handles for the request itself, if done.
    bytes_by_domain : dict
        Bytes of these results in each failure domain.
    retry_after_s : float
        When to come back, in seconds, if refused.
    predicted_s : float
        Predicted time to the first event, in seconds.
    """

    state: str
    handles: tuple[str, ...] = ()
    bytes_by_domain: dict[str, float] = field(default_factory=dict)
    retry_after_s: float = 0.0
    predicted_s: float = 0.0


@dataclass(slots=True)
class _StageServer:
    """What is under way at a stage server."""

    calls: int = 0
    held_bytes: float = 0.0
    busy_until: float = 0.0
    blocked_until: float = 0.0
    shared_until: float = 0.0
    tight_until: float = 0.0


@dataclass(slots=True, eq=False)
class _Run:
    """A chain, and who waits for it."""

    chain: StageChain
    done: asyncio.Future[StageOutcome]
    tries: int = 0


class StageScheduler:
    """Queues pieces by service, batches them, and keeps their results.

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
    """

    def __init__(
        self,
        beliefs: Beliefs,
        pool: ConnectionPool,
        wire: Wire,
        health: ServerHealth,
        budget: RetryBudget,
    ) -> None:
        self._beliefs = beliefs
        self._pool = pool
        self._wire = wire
        self._health = health
        self._budget = budget
        self._queue_by_service: dict[str, StageQueue] = {}
        self._run_by_request: dict[str, _Run] = {}
        self._server_by_key: dict[Hashable, _StageServer] = {}
        self._to_release: dict[Hashable, tuple[Server, list[StageResult]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._shares = AccountShares()
        self._arrivals = ArrivalRates()
        self._deferred: list[_Run] = []
        self._active_at = -TAKEOVER_S
        self.batches = 0
        self.batched_pieces = 0

    async def run(self, job: StageJob) -> StageOutcome:
        """Run a request's stages; cancelling it withdraws what has not started."""
        now = boot_time()
        old = self._run_by_request.get(job.request_id)
        if old is not None:
            self._finish(old, StageOutcome("failed"))
        loads = self._list_loads(job, now)
        if len(loads) < len({n.service for n in job.stages if n.pieces}):
            return StageOutcome("unknown_service")
        is_over = self._shares.is_over(job.account, now)
        admission = decide(job, loads, is_over_share=is_over)
        logger.bind(
            request=job.request_id,
            lane=admission.lane.value,
            predicted_s=round(admission.predicted_s, 3),
            objective_left_s=round(job.objective_left_s, 3),
            waiting={s: len(q) for s, q in self._queue_by_service.items()},
            account=job.account,
            over_share=is_over,
        ).info("stages.admission")
        if admission.lane is Lane.REFUSED:
            return StageOutcome(
                "refused",
                retry_after_s=admission.retry_after_s,
                predicted_s=admission.predicted_s,
            )
        self._shares.note(job.account, _cost_s(job, loads), now)
        chain = StageChain(
            job,
            now,
            list_tails_s(job, loads),
            is_admitted_late=admission.lane is Lane.LATE,
        )
        run = _Run(chain, asyncio.get_running_loop().create_future())
        self._run_by_request[job.request_id] = run
        self._note_activity(now)
        if admission.lane is Lane.LATE:
            self._deferred.append(run)
            self._begin_deferred()
        else:
            self._arrivals.note(job, now)
            self._queue_ready(run)
        try:
            async with asyncio.timeout(job.deadline_left_s):
                return await run.done
        except TimeoutError:
            return StageOutcome("failed")
        finally:
            outcome = run.done.result() if run.done.done() else None
            if outcome is None or outcome.state != "done":
                self.release(job.request_id)

    def _note_activity(self, now: float) -> None:
        """After a pause, take the servers to be in use by a former coordinator."""
        if now - self._active_at > TAKEOVER_S:
            for service in self._beliefs.servers.server_by_id.values():
                state = self._server_by_key.setdefault(service.key, _StageServer())
                state.shared_until = now + SHARED_S
        self._active_at = now

    def release(self, request_id: str) -> None:
        """Free the results of a request, which is started or over."""
        run = self._run_by_request.pop(request_id, None)
        if run is None:
            return
        run.chain.is_over = True
        self._free(run.chain.take_all())

    def count_running(self) -> int:
        """Return the requests whose stages are being run."""
        return sum(1 for r in self._run_by_request.values() if not r.done.done())

    def hand_over(self) -> None:
        """Give requests that have not been begun to the next coordinator."""
        for run in list(self._run_by_request.values()):
            if not run.chain.has_started:
                self._finish(run, StageOutcome("moved"))

    def tick(self) -> None:
        """Give waiting pieces another chance, and up what can't end in time."""
        now = boot_time()
        for request_id, run in list(self._run_by_request.items()):
            if now > run.chain.deadline_at + 1.0:
                self.release(request_id)
            elif not run.done.done():
                self._give_up_if_hopeless(run, now)
        for service in list(self._queue_by_service):
            self._pump(service)
        self._begin_deferred()

    def _begin_deferred(self) -> None:
        """Begin late requests for which others leave room, the most urgent first."""
        self._deferred = [run for run in self._deferred if not run.done.done()]
        self._deferred.sort(key=lambda r: (r.chain.job.priority, r.chain.arrived_at))
        now = boot_time()
        for run in list(self._deferred):
            job = run.chain.job
            loads = self._list_loads(job, now)
            pieces: Counter[str] = Counter()
            for need in job.stages:
                pieces[need.service] += need.pieces
            if not all(load.has_slack(pieces[s]) for s, load in loads.items()):
                return
            self._deferred.remove(run)
            self._queue_ready(run)

    def _give_up_if_hopeless(self, run: _Run, now: float) -> None:
        chain = run.chain
        waited_s = now - chain.arrived_at
        limit_s = LATE_PATIENCE * chain.job.deadline_left_s
        is_stuck = not chain.has_started and waited_s > limit_s
        if is_stuck or now + chain.least_left_s() > chain.deadline_at:
            logger.bind(
                request=chain.job.request_id,
                waited_s=round(waited_s, 3),
                started=chain.has_started,
            ).info("stages.given_up")
            self._finish(run, StageOutcome("refused", retry_after_s=GIVEN_UP_RETRY_S))

    def wake(self) -> None:
        """Look at all queues after servers have changed."""
        for service in list(self._queue_by_service):
            self._pump(service)

    def _list_loads(self, job: StageJob, now: float) -> dict[str, ServiceLoad]:
        pieces, late_pieces = self._count_unstarted(now)
        loads: dict[str, ServiceLoad] = {}
        for need in job.stages:
            if need.pieces == 0 or need.service in loads:
                continue
            service = self._beliefs.find_service(need.service)
            if service is None or service.batch is None:
                continue
            servers = self._beliefs.servers.list_usable(need.service)
            speed = 0.0
            busy = []
            for server in servers:
                if self._health.failure_share(server.key, now) > 0.5:
                    continue
                slowness = self._health.slowness(server.key, now)
                speed += 1 / max(1.0, slowness)
                state = self._server_by_key.get(server.key)
                busy.append(max(0.0, state.busy_until - now) if state else 0.0)
            loads[need.service] = ServiceLoad(
                service.batch,
                speed,
                pieces[need.service],
                late_pieces[need.service],
                min(busy, default=0.0),
                self._arrivals.list_rates(need.service, now),
            )
        return loads

    def _count_unstarted(self, now: float) -> tuple[_CounterTable, Counter[str]]:
        counts = _CounterTable()
        late: Counter[str] = Counter()
        for run in self._run_by_request.values():
            chain = run.chain
            if chain.is_over or run.done.done():
                continue
            for index, need in enumerate(chain.job.stages):
                if chain.is_stage_done(index) or chain.is_stage_sent(index):
                    continue
                if run in self._deferred:
                    late[need.service] += need.pieces
                else:
                    counts[need.service][chain.job.priority] += need.pieces
        return counts, late

    def _queue_ready(self, run: _Run) -> None:
        chain = run.chain
        now = boot_time()
        for index in chain.take_ready_stages():
            need = chain.job.stages[index]
            domain, crossing = _choose_domain(chain, index)
            epoch = chain.epoch(index)
            end_at = self._find_inputs_end(chain, index)
            held = float(sum(r.size for r in chain.find_inputs(index)))
            tickets = [
                Ticket(chain, index, n, epoch, now, domain, crossing, end_at, held)
                for n in range(need.pieces)
            ]
            queue = self._queue_by_service.setdefault(need.service, StageQueue())
            queue.put(tickets)
            chain.note_unsent(index, need.pieces)
            chain.times[index].ready_at = now
        for service in {need.service for need in chain.job.stages}:
            self._pump(service)

    def _find_inputs_end(self, chain: StageChain, index: int) -> float:
        """Return when the first of a stage's inputs is no longer kept."""
        end_at = float("inf")
        for other in chain.job.stages[index].after:
            service = self._beliefs.find_service(chain.job.stages[other].service)
            if service is None or service.batch is None:
                continue
            made_at = chain.times[other].first_done_at or boot_time()
            end_at = min(end_at, made_at + service.batch.result_life_s)
        return end_at

    def _pump(self, name: str) -> None:
        """Send batches to the servers that have nothing to do."""
        queue = self._queue_by_service.get(name)
        service = self._beliefs.find_service(name)
        if queue is None or service is None or service.batch is None:
            return
        queue.drop_over()
        is_progress = True
        while is_progress and len(queue):
            is_progress = False
            for server in self._list_idle(service, queue):
                if self._offer(service, server, queue):
                    is_progress = True
                    break

    def _offer(self, service: Service, server: Server, queue: StageQueue) -> bool:
        """Send a batch to a server if some pieces suit it."""
        spec = service.batch
        if spec is None:
            return False
        state = self._server_by_key.setdefault(server.key, _StageServer())
        usable = self._beliefs.servers.list_usable(service.name)
        domains = {s.domain for s in usable if not self._is_blocked(s)}
        now = boot_time()
        view = StageServerView(server.domain, _room(spec, state, now), domains)
        batch = queue.take_batch(spec, view, now)
        if not batch:
            return False
        self._start_batch(service, server, state, batch)
        return True

    def _is_blocked(self, server: Server) -> bool:
        state = self._server_by_key.get(server.key)
        now = boot_time()
        if state is not None and state.blocked_until > now:
            return True
        return self._slowness(server, now) > SLOW_FACTOR

    def _list_idle(self, service: Service, queue: StageQueue) -> list[Server]:
        """Return the servers that should get a call now, the fastest first."""
        spec = service.batch
        if spec is None:
            return []
        now = boot_time()
        idle: list[tuple[float, str, Server]] = []
        soonest = float("inf")
        pieces = min(len(queue), spec.size)
        for server in self._beliefs.servers.list_usable(service.name):
            state = self._server_by_key.setdefault(server.key, _StageServer())
            slowness = self._slowness(server, now)
            call_s = estimate_call_s(spec, pieces) * slowness
            if state.blocked_until > now:
                continue
            if state.calls >= spec.calls:
                soonest = min(soonest, max(0.0, state.busy_until - now) + call_s)
                continue
            if state.held_bytes and _room(spec, state, now) < queue.least_bytes():
                continue
            idle.append((round(slowness, 1), server.server_id, server))
        idle.sort(key=lambda entry: entry[:2])
        chosen = []
        for slowness, _, server in idle:
            is_slow = slowness > SLOW_FACTOR and len(queue) <= spec.size
            # A faster server that is busy now would still be done sooner.
            if is_slow and soonest < estimate_call_s(spec, pieces) * slowness:
                continue
            chosen.append(server)
        return chosen

    def _slowness(self, server: Server, now: float) -> float:
        slowness = max(1.0, self._health.slowness(server.key, now))
        return slowness * (1 + 4 * self._health.failure_share(server.key, now))

    def _start_batch(
        self,
        service: Service,
        server: Server,
        state: _StageServer,
        batch: list[Ticket],
    ) -> None:
        spec = service.batch
        if spec is None:
            return
        state.calls += 1
        state.held_bytes += sum(ticket.result_bytes for ticket in batch)
        expected_s = estimate_call_s(spec, len(batch))
        now = boot_time()
        state.busy_until = now + expected_s * self._health.slowness(server.key, now)
        for ticket in batch:
            self._budget.note_request(service.name, now)
            ticket.chain.note_unsent(ticket.stage, -1)
            ticket.chain.note_sent(ticket.stage, now)
        self.batches += 1
        self.batched_pieces += len(batch)
        self._spawn(self._run_batch(service, server, state, batch, expected_s))
        if state.shared_until < now:
            self._spawn(self._release_read(batch))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release_read(self, batch: list[Ticket]) -> None:
        """Free the inputs of a batch once its server has surely read them."""
        if not any(ticket.chain.job.stages[ticket.stage].after for ticket in batch):
            return
        await asyncio.sleep(INPUTS_READ_S)
        stages = {(id(t.chain), t.stage): t for t in batch}
        for ticket in stages.values():
            if ticket.is_current():
                self._free(ticket.chain.take_read_inputs(ticket.stage))

    async def _run_batch(
        self,
        service: Service,
        server: Server,
        state: _StageServer,
        batch: list[Ticket],
        expected_s: float,
    ) -> None:
        started = boot_time()
        results: Sequence[PieceResult] | None = None
        is_lost = False
        try:
            pieces = [self._make_piece(ticket, started) for ticket in batch]
            call = self._wire.make_batch(server, pieces)
            limit_s = self._limit_call_s(server, state, expected_s)
            results = await self._call_batch(server, call, len(batch), limit_s)
            took_s = boot_time() - started
            self._note_interference(state, results, took_s / expected_s)
            if results is None:
                state.blocked_until = boot_time() + BACKOFF_S
            else:
                self._health.note_success(server.key, took_s / expected_s, boot_time())
        except ConnectError as error:
            self._note_failed(server, state, error, is_dead=True)
        except (ConnectionLostError, WireFormatError, TimeoutError) as error:
            self._note_failed(server, state, error, is_dead=False)
            # The results may have been made, and last until they end by themselves.
            is_lost = True
            lost_bytes = sum(ticket.result_bytes for ticket in batch)
            life_s = service.batch.result_life_s if service.batch is not None else 0.0
            asyncio.get_running_loop().call_later(life_s, _give_back, state, lost_bytes)
        finally:
            state.calls -= 1
            state.busy_until = boot_time()
        self._log_batch(server, batch, results, boot_time() - started, expected_s)
        self._take_results(server, state, batch, results, is_lost=is_lost)
        self._pump(service.name)

    def _limit_call_s(
        self, server: Server, state: _StageServer, expected_s: float
    ) -> float:
        """Return the time after which a call is given up, in seconds."""
        now = boot_time()
        slowness = max(1.0, self._health.slowness(server.key, now))
        limit_s = expected_s * slowness * CALL_PATIENCE + CALL_PATIENCE_EXTRA_S
        return limit_s + (SHARED_PATIENCE_S if state.shared_until > now else 0.0)

    def _note_interference(
        self, state: _StageServer, results: Sequence[PieceResult] | None, ratio: float
    ) -> None:
        """Note signs that another node sends to the server, as after a change."""
        is_without_room = any(r.reason == "room" for r in results or ())
        if is_without_room:
            state.tight_until = boot_time() + TIGHT_S
        if results is None or is_without_room or ratio > INTERFERENCE_FACTOR:
            state.shared_until = boot_time() + SHARED_S

    def _make_piece(self, ticket: Ticket, now: float) -> Piece:
        chain = ticket.chain
        inputs = tuple(r.handle for r in chain.find_inputs(ticket.stage))
        return Piece(
            chain.job.request_id,
            ticket.stage,
            ticket.number,
            max(0.05, chain.deadline_at - now),
            "" if inputs else chain.job.piece_key,
            inputs,
        )

    async def _call_batch(
        self, server: Server, call: ServerCall, pieces: int, limit_s: float
    ) -> Sequence[PieceResult] | None:
        """Return the results, or None if the server refused the call unexecuted."""
        if not self._beliefs.may_send(server):
            return None
        async with asyncio.timeout(limit_s):
            connection = await self._pool.acquire(server.key, server.address)
            try:
                if not self._beliefs.may_send(server):
                    self._pool.release(server.key, connection)
                    return None
                connection.send(call.method, call.target, call.headers, call.body)
                head = await connection.read_head()
                body = await connection.read_body(BATCH_BODY_BYTES)
            except BaseException:
                connection.close()
                raise
        info = self._wire.read_answer(head)
        self._pool.release(server.key, connection)
        if info.was_not_run or info.is_other_server:
            return None
        if head.status != 200:
            raise ConnectionLostError(f"{server.address}: status {head.status}")
        return self._wire.read_batch(body, pieces)

    def _note_failed(
        self, server: Server, state: _StageServer, error: Exception, *, is_dead: bool
    ) -> None:
        now = boot_time()
        if is_dead:
            self._health.note_dead(server.key, now)
        else:
            self._health.note_failure(server.key, now)
        state.blocked_until = now + (DEAD_S if is_dead else BACKOFF_S)
        logger.bind(server=server.server_id, error=repr(error)).warning("stages.failed")

    def _take_results(
        self,
        server: Server,
        state: _StageServer,
        batch: list[Ticket],
        results: Sequence[PieceResult] | None,
        *,
        is_lost: bool,
    ) -> None:
        again: list[Ticket] = []
        runs: dict[str, _Run] = {}
        for index, ticket in enumerate(batch):
            result = results[index] if results is not None else PieceResult(reason="")
            run = self._run_by_request.get(ticket.chain.job.request_id)
            is_current = run is not None and run.chain is ticket.chain
            if not result.handle:
                if not is_lost:
                    _give_back(state, ticket.result_bytes)
                if run is not None and is_current:
                    self._handle_missing(run, ticket, result.reason, again)
                    runs[run.chain.job.request_id] = run
                continue
            made = StageResult(result.handle, server, ticket.result_bytes)
            if run is None or not is_current or run.done.done():
                self._free([made])
                continue
            is_wanted = ticket.is_current()
            if not is_wanted or not ticket.chain.put(ticket.stage, ticket.number, made):
                self._free([made])
                continue
            ticket.chain.note_made(ticket.stage, boot_time())
            runs[run.chain.job.request_id] = run
        for ticket in again:
            ticket.chain.note_unsent(ticket.stage, 1)
            name = ticket.chain.job.stages[ticket.stage].service
            self._queue_by_service.setdefault(name, StageQueue()).put([ticket])
        for run in runs.values():
            self._advance(run)

    def _handle_missing(
        self, run: _Run, ticket: Ticket, reason: str, again: list[Ticket]
    ) -> None:
        """Decide what becomes of a piece without a result."""
        chain = ticket.chain
        if run.done.done():
            return
        if reason == "late" or boot_time() > chain.deadline_at:
            self._finish(run, StageOutcome("failed"))
            return
        service = chain.job.stages[ticket.stage].service
        now = boot_time()
        run.tries += 1
        is_allowed = run.tries <= MAX_TRIES * len(chain.job.stages)
        if not is_allowed or not self._budget.take(service, 1, now):
            self._finish(run, StageOutcome("failed"))
            return
        if reason == "gone" or chain.lacks_inputs(ticket.stage):
            for index in chain.job.stages[ticket.stage].after:
                self._free(chain.reset_stage(index))
            return
        again.append(ticket)

    def _advance(self, run: _Run) -> None:
        if run.done.done():
            return
        if not run.chain.is_done():
            self._queue_ready(run)
            self._free(run.chain.take_consumed())
            return
        self._log_done(run.chain)
        final = run.chain.list_final()
        bytes_by_domain: dict[str, float] = {}
        for result in final:
            domain = result.server.domain
            bytes_by_domain[domain] = bytes_by_domain.get(domain, 0.0) + result.size
        handles = tuple(result.handle for result in final)
        self._free(run.chain.take_consumed())
        self._finish(run, StageOutcome("done", handles, bytes_by_domain))

    def _finish(self, run: _Run, outcome: StageOutcome) -> None:
        if not run.done.done():
            run.done.set_result(outcome)
        if outcome.state != "done":
            run.chain.is_over = True

    def _free(self, results: list[StageResult]) -> None:
        if not results:
            return
        for result in results:
            key = result.server.key
            if key not in self._to_release:
                self._to_release[key] = (result.server, [])
                self._spawn(self._send_release(key))
            self._to_release[key][1].append(result)

    async def _send_release(self, key: Hashable) -> None:
        await asyncio.sleep(RELEASE_DELAY_S)
        server, results = self._to_release.pop(key)
        call = self._wire.make_release(server, [r.handle for r in results])
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                connection = await self._pool.acquire(server.key, server.address)
                try:
                    connection.send(call.method, call.target, call.headers, call.body)
                    await connection.read_head()
                    await connection.read_body(BATCH_BODY_BYTES)
                except BaseException:
                    connection.close()
                    raise
            self._pool.release(server.key, connection)
        except (ConnectError, ConnectionLostError, TimeoutError) as error:
            # The results end by themselves after a while.
            logger.bind(server=server.server_id, error=repr(error)).info(
                "stages.release_failed"
            )
        state = self._server_by_key.get(key)
        if state is not None:
            _give_back(state, sum(result.size for result in results))
        self._pump(server.service)

    def _log_done(self, chain: StageChain) -> None:
        logger.bind(
            request=chain.job.request_id,
            took_s=round(boot_time() - chain.arrived_at, 3),
            objective_left_s=round(chain.objective_at - boot_time(), 3),
            stages=[
                {
                    "service": need.service,
                    "pieces": need.pieces,
                    "waited_s": round(times.sent_at - times.ready_at, 3),
                    "ran_s": round(times.done_at - times.sent_at, 3),
                }
                for need, times in zip(chain.job.stages, chain.times, strict=True)
                if need.pieces
            ],
        ).info("stages.done")

    def _log_batch(
        self,
        server: Server,
        batch: list[Ticket],
        results: Sequence[PieceResult] | None,
        took_s: float,
        expected_s: float,
    ) -> None:
        reasons = Counter(r.reason for r in results or () if not r.handle)
        logger.bind(
            server=server.server_id,
            service=server.service,
            pieces=len(batch),
            requests=sorted({t.chain.job.request_id for t in batch}),
            took_s=round(took_s, 3),
            expected_s=round(expected_s, 3),
            outcome="unexecuted" if results is None else "done",
            reasons=dict(reasons),
        ).info("stages.batch")


class _CounterTable(dict[str, "Counter[int]"]):
    """Counts by service and priority."""

    def __missing__(self, key: str) -> Counter[int]:
        counter: Counter[int] = Counter()
        self[key] = counter
        return counter


def _room(spec: BatchSpec, state: _StageServer, now: float) -> float:
    if not state.held_bytes:
        # A single result is never too large for an empty server.
        return max(spec.result_room_bytes, 1e12 if spec.size == 1 else 0.0)
    share = TIGHT_SHARE if state.tight_until > now else 1.0
    return spec.result_room_bytes * share - state.held_bytes


def _give_back(state: _StageServer, size: float) -> None:
    """Count memory of a server as free again."""
    state.held_bytes = max(0.0, state.held_bytes - size)


def _choose_domain(chain: StageChain, index: int) -> tuple[str, float]:
    """Return where a stage is run best, and the bytes that cross otherwise.

    Each piece reads all inputs of its stage, and the request itself the results of
    the last stages.
    """
    need = chain.job.stages[index]
    bytes_by_domain: Counter[str] = Counter()
    for result in chain.find_inputs(index):
        bytes_by_domain[result.server.domain] += result.size * need.pieces
    if chain.is_last(index) and chain.job.answer_domain:
        bytes_by_domain[chain.job.answer_domain] += need.result_bytes * need.pieces
    if not bytes_by_domain:
        return "", 0.0
    domain = max(bytes_by_domain, key=lambda z: (bytes_by_domain[z], z))
    return domain, float(bytes_by_domain[domain])


def _cost_s(job: StageJob, loads: dict[str, ServiceLoad]) -> float:
    cost = 0.0
    for need in job.stages:
        load = loads.get(need.service)
        if load is None:
            continue
        piece_s = load.spec.call_s / load.spec.size + load.spec.piece_s
        cost += need.pieces * piece_s
    return cost


__all__ = ("StageOutcome", "StageScheduler")
