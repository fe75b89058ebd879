"""Sends waiting pieces to stage servers in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import RequestOrigin
from persimmonlink_router.http_client import ConnectError, ConnectionLostError
from persimmonlink_router.server_ends import InterruptedRequest
from persimmonlink_router.servers import Server
from persimmonlink_router.stage_log import log_batch
from persimmonlink_router.stage_queue import PendingPiece, StageQueue, estimate_call_s
from persimmonlink_router.wire_messages import (
    Piece,
    PieceFailure,
    PieceResult,
    WireFormatError,
)

if TYPE_CHECKING:
    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.configuration import Service
    from persimmonlink_router.crash_guard import CrashGuard
    from persimmonlink_router.send_basis import SendBasis
    from persimmonlink_router.server_ends import ServerEndDetector
    from persimmonlink_router.stage_calls import StageCalls
    from persimmonlink_router.stage_chain import StageChain
    from persimmonlink_router.stage_servers import StageServers

INPUT_READ_TIME_S = 0.06  # Time in which an idle server reads the inputs of a call.
MIN_PIECE_TIME_S = 0.05  # Shortest time limit sent with a piece to a server.


@dataclass(frozen=True, slots=True)
class BatchOutcome:
    """Results of a batch that was sent to a server.

    Parameters
    ----------
    server : Server
        Server that the batch was sent to.
    pieces : sequence of PendingPiece
        Pieces of the batch.
    results : sequence of PieceResult or None
        One result for each piece; None if the call failed or was refused.
    """

    server: Server
    pieces: Sequence[PendingPiece]
    results: Sequence[PieceResult] | None


class StageDispatcher:
    """Queues pieces by service and sends them to servers in batches.

    Parameters
    ----------
    cluster_view : ClusterView
        Configuration and servers.
    servers : StageServers
        State of the servers, and the choice of the next one.
    calls : StageCalls
        Sends the calls.
    on_outcome : callable
        Called with the outcome of each batch.
    on_piece_sent : callable
        Called with the chain and the stage of each piece that is sent.
    crash_guard : CrashGuard
        Knows under which requests servers have ended.
    end_detector : ServerEndDetector
        Finds out which servers ended while they ran batches.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        servers: StageServers,
        calls: StageCalls,
        on_outcome: Callable[[BatchOutcome], None],
        on_piece_sent: Callable[[StageChain, int], None],
        crash_guard: CrashGuard,
        end_detector: ServerEndDetector,
    ) -> None:
        self._cluster_view = cluster_view
        self._servers = servers
        self._calls = calls
        self._on_outcome = on_outcome
        self._on_piece_sent = on_piece_sent
        self._crash_guard = crash_guard
        self._end_detector = end_detector
        self._queue_by_service: dict[str, StageQueue] = {}
        self.is_stopped = False
        self.sent_batches = 0
        self.sent_pieces = 0

    def put(self, pieces: Sequence[PendingPiece]) -> None:
        """Add pieces to the queues of their services."""
        pieces_by_service: dict[str, list[PendingPiece]] = {}
        for piece in pieces:
            service = piece.chain.job.stages[piece.stage].service
            piece.chain.adjust_unsent_pieces(piece.stage, 1)
            pieces_by_service.setdefault(service, []).append(piece)
        for service, group in pieces_by_service.items():
            self._queue_by_service.setdefault(service, StageQueue()).put(group)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of pieces that wait, by service."""
        return {service: len(q) for service, q in self._queue_by_service.items()}

    def has_standing_queue(self, service: str, now: float) -> bool:
        """Whether a queue stands instead of being worked off."""
        queue = self._queue_by_service.get(service)
        return queue is not None and queue.has_stood(now)

    def record_refusal(self, services: Iterable[str], now: float) -> None:
        """Record that a request was refused because the queues of services stand."""
        for service in services:
            self._queue_by_service[service].record_refusal(now)

    def list_hopeless(self, now: float) -> list[StageChain]:
        """Return the requests whose pieces can't be started in time."""
        hopeless: list[StageChain] = []
        for name, queue in self._queue_by_service.items():
            service = self._cluster_view.find_service(name)
            if service is None or service.batch is None or not len(queue):
                continue
            queue.drop_obsolete()
            servers, until_free_s = self._servers.measure_capacity(name, now)
            if servers > 0:
                hopeless += queue.list_hopeless(
                    service.batch, servers, until_free_s, now
                )
        return hopeless

    def dispatch_all(self) -> None:
        """Send batches of all services."""
        for service in list(self._queue_by_service):
            self.dispatch(service)

    def dispatch(self, service_name: str) -> None:
        """Send batches of a service until no server can take one."""
        queue = self._queue_by_service.get(service_name)
        service = self._cluster_view.find_service(service_name)
        if queue is None or service is None or self.is_stopped:
            return
        has_dispatched = True
        while has_dispatched and len(queue):
            has_dispatched = False
            for server in self._servers.choose_servers(service, queue, boot_time()):
                if not self._calls.prepare(server, lambda: self.dispatch(service_name)):
                    continue
                if self._dispatch_batch(service, server, queue):
                    has_dispatched = True
                    break
        self._record_length(service, queue)

    def _record_length(self, service: Service, queue: StageQueue) -> None:
        if service.batch is None:
            return
        now = boot_time()
        servers = 0.0
        if len(queue):
            servers, _ = self._servers.measure_capacity(service.name, now)
        queue.record_length(service.batch, servers, now)

    def _dispatch_batch(
        self, service: Service, server: Server, queue: StageQueue
    ) -> bool:
        """Send a batch to a server; return False if no piece may run on it."""
        spec = service.batch
        if spec is None:
            return False
        now = boot_time()
        room_bytes = self._servers.state(server).room_bytes(spec, now)
        selected = queue.pop_batch(spec, room_bytes, now, self._crash_guard.is_suspect)
        batch = selected.pieces
        if not batch:
            return False
        if selected.has_unsent_pieces:
            self._servers.record_fill(service.name, len(batch) / spec.max_pieces)
        expected_s = estimate_call_s(spec, len(batch))
        batch_bytes = sum(piece.result_bytes for piece in batch)
        is_shared = self._servers.is_shared(server, now)
        self._servers.record_call_start(server, batch_bytes, expected_s, now)
        for piece in batch:
            piece.chain.adjust_unsent_pieces(piece.stage, -1)
            piece.chain.record_sent(piece.stage, now)
            piece.chain.pieces_in_flight += 1
            self._on_piece_sent(piece.chain, piece.stage)
        self.sent_batches += 1
        self.sent_pieces += len(batch)
        # Built before the task starts: a request that is cancelled in between loses its
        # input handles.
        wire_pieces = [_build_wire_piece(piece, now) for piece in batch]
        self._calls.spawn(self._run_batch(service, server, batch, wire_pieces))
        # A server that another node may use too can read the inputs much later, so they
        # are kept until the results arrive.
        if not is_shared:
            self._calls.spawn(self._release_read_inputs(batch))
        return True

    async def _release_read_inputs(self, batch: Sequence[PendingPiece]) -> None:
        """Release the inputs of a batch once its server has had time to read them."""
        if not any(piece.chain.job.stages[piece.stage].after for piece in batch):
            return
        await asyncio.sleep(INPUT_READ_TIME_S)
        piece_by_stage = {(id(piece.chain), piece.stage): piece for piece in batch}
        for piece in piece_by_stage.values():
            if piece.is_current():
                self._calls.release(piece.chain.pop_read_inputs(piece.stage))

    async def _run_batch(
        self,
        service: Service,
        server: Server,
        batch: Sequence[PendingPiece],
        wire_pieces: Sequence[Piece],
    ) -> None:
        started_at = boot_time()
        results: Sequence[PieceResult] | None = None
        bases: list[SendBasis] = []
        expected_s = 0.0
        if service.batch is not None:
            expected_s = estimate_call_s(service.batch, len(batch))
        timeout_s = self._servers.compute_call_timeout_s(server, expected_s, started_at)
        batch_bytes = sum(piece.result_bytes for piece in batch)
        try:
            results = await self._calls.run_batch(
                server, wire_pieces, timeout_s, bases.append
            )
            ratio = (boot_time() - started_at) / expected_s
            self._servers.record_response(server, results, ratio, boot_time())
            if results is None:
                self._servers.state(server).free_memory(batch_bytes)
            else:
                self._record_no_room(service, server, batch, results)
        except ConnectError as error:
            self._servers.state(server).free_memory(batch_bytes)
            self._record_call_failure(server, error, is_unreachable=True)
        except (ConnectionLostError, WireFormatError, TimeoutError) as error:
            if isinstance(error, ConnectionLostError):
                self._record_interruption(server, batch, started_at)
            self._record_call_failure(server, error, is_unreachable=False)
            if isinstance(error, TimeoutError):
                ratio = timeout_s / expected_s
                self._servers.record_call_timeout(server, ratio, boot_time())
            self._free_memory_later(service, server, batch_bytes)
        except Exception as error:
            # The pieces must not stay in flight; they may have run.
            logger.bind(server=server.server_id, error=repr(error)).exception(
                "stages.batch_internal_error"
            )
            self._free_memory_later(service, server, batch_bytes)
        finally:
            self._servers.record_call_end(server, boot_time())
        log_batch(server, batch, results, started_at, expected_s, bases)
        self._on_outcome(BatchOutcome(server, batch, results))
        self.dispatch(service.name)

    def _record_interruption(
        self, server: Server, batch: Sequence[PendingPiece], sent_at: float
    ) -> None:
        """Record that a server broke off a batch, for each request in it."""
        job_by_id = {piece.chain.job.request_id: piece.chain.job for piece in batch}
        for job in job_by_id.values():
            if not job.fingerprint:
                continue
            self._end_detector.record_interruption(
                server,
                InterruptedRequest(
                    job.request_id,
                    job.fingerprint,
                    (),
                    sent_at,
                    None,
                    boot_time(),
                    RequestOrigin(job.account, job.path),
                    job.exact_fingerprint,
                ),
            )

    def _record_no_room(
        self,
        service: Service,
        server: Server,
        batch: Sequence[PendingPiece],
        results: Sequence[PieceResult],
    ) -> None:
        """Record the size of the results that found no room on the server."""
        rejected_bytes = sum(
            piece.result_bytes
            for piece, result in zip(batch, results, strict=True)
            if result.failure is PieceFailure.NO_ROOM
        )
        if rejected_bytes and service.batch is not None:
            state = self._servers.state(server)
            state.record_no_room(service.batch, rejected_bytes, boot_time())

    def _free_memory_later(
        self, service: Service, server: Server, batch_bytes: float
    ) -> None:
        """Keep memory reserved for results that may exist, until they expire."""
        life_s = service.batch.result_ttl_s if service.batch is not None else 0.0
        free_memory = self._servers.state(server).free_memory
        asyncio.get_running_loop().call_later(life_s, free_memory, batch_bytes)

    def _record_call_failure(
        self, server: Server, error: Exception, *, is_unreachable: bool
    ) -> None:
        self._servers.record_call_failure(
            server, boot_time(), is_unreachable=is_unreachable
        )
        logger.bind(server=server.server_id, error=repr(error)).warning(
            "stages.batch_failed"
        )


def _build_wire_piece(piece: PendingPiece, now: float) -> Piece:
    chain = piece.chain
    inputs = tuple(r.handle for r in chain.list_inputs(piece.stage))
    return Piece(
        chain.job.request_id,
        piece.stage,
        piece.number,
        max(MIN_PIECE_TIME_S, chain.deadline_at - now),
        "" if inputs else chain.job.piece_key,
        inputs,
    )


__all__ = ("BatchOutcome", "StageDispatcher")
