"""Sends waiting pieces to stage servers in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.calls import Piece, PieceFailure, PieceResult, WireFormatError
from persimmonlink_router.http_client import ConnectError, ConnectionLostError
from persimmonlink_router.servers import Server
from persimmonlink_router.stage_log import log_batch
from persimmonlink_router.stage_queue import StageQueue, Ticket, estimate_call_s

if TYPE_CHECKING:
    from persimmonlink_router.beliefs import Beliefs
    from persimmonlink_router.configuration import Service
    from persimmonlink_router.stage_calls import StageCalls
    from persimmonlink_router.stage_chain import StageChain
    from persimmonlink_router.stage_servers import StageServers

INPUTS_READ_S = 0.06  # Time in which an idle server reads the inputs of a call.
MIN_PIECE_TIME_S = 0.05  # Least time that a server is given for a piece.


@dataclass(frozen=True, slots=True)
class BatchOutcome:
    """What became of a batch.

    Parameters
    ----------
    server : Server
        Where it was sent.
    tickets : tuple of Ticket
        Its pieces.
    results : sequence of PieceResult or None
        A result a piece; None if the call failed or was not taken.
    """

    server: Server
    tickets: Sequence[Ticket]
    results: Sequence[PieceResult] | None


class StageDispatcher:
    """The queues of all services, and the batches that are made of them.

    Parameters
    ----------
    beliefs : Beliefs
        Configuration and servers.
    servers : StageServers
        Which of them should get a call.
    calls : StageCalls
        Sends the calls.
    on_outcome : callable
        Told what became of each batch.
    on_sent : callable
        Told each chain and stage of which a piece is sent.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        servers: StageServers,
        calls: StageCalls,
        on_outcome: Callable[[BatchOutcome], None],
        on_sent: Callable[[StageChain, int], None],
    ) -> None:
        self._beliefs = beliefs
        self._servers = servers
        self._calls = calls
        self._on_outcome = on_outcome
        self._on_sent = on_sent
        self._queue_by_service: dict[str, StageQueue] = {}
        self.is_stopped = False
        self.batches = 0
        self.batched_pieces = 0

    def put(self, tickets: Sequence[Ticket]) -> None:
        """Queue pieces."""
        for ticket in tickets:
            service = ticket.chain.job.stages[ticket.stage].service
            ticket.chain.note_unsent(ticket.stage, 1)
            self._queue_by_service.setdefault(service, StageQueue()).put([ticket])

    def count_waiting(self) -> dict[str, int]:
        """Return the pieces that wait, by service."""
        return {service: len(q) for service, q in self._queue_by_service.items()}

    def pump_all(self) -> None:
        """Look at all queues."""
        for service in list(self._queue_by_service):
            self.pump(service)

    def pump(self, name: str) -> None:
        """Send batches of a service to the servers that should get a call."""
        queue = self._queue_by_service.get(name)
        service = self._beliefs.find_service(name)
        if queue is None or service is None or self.is_stopped:
            return
        queue.drop_over()
        is_progress = True
        while is_progress and len(queue):
            is_progress = False
            for server in self._servers.list_idle(service, queue, boot_time()):
                if self._offer(service, server, queue):
                    is_progress = True
                    break

    def _offer(self, service: Service, server: Server, queue: StageQueue) -> bool:
        """Send a batch to a server if some pieces suit it."""
        spec = service.batch
        if spec is None:
            return False
        now = boot_time()
        view = self._servers.view(service, server, now)
        taken = queue.take_batch(spec, view, now)
        batch = taken.tickets
        if not batch:
            return False
        if taken.has_left_some:
            self._servers.note_fill(service.name, len(batch) / spec.size)
        expected_s = estimate_call_s(spec, len(batch))
        size = sum(ticket.result_bytes for ticket in batch)
        is_shared = self._servers.state(server).shared_until > now
        self._servers.note_started(server, size, expected_s, now)
        for ticket in batch:
            ticket.chain.note_unsent(ticket.stage, -1)
            ticket.chain.note_sent(ticket.stage, now)
            ticket.chain.in_flight += 1
            self._on_sent(ticket.chain, ticket.stage)
        self.batches += 1
        self.batched_pieces += len(batch)
        # Made before anything else runs: a client that leaves takes its results away.
        pieces = [_make_piece(ticket, now) for ticket in batch]
        self._calls.spawn(self._run_batch(service, server, batch, pieces))
        if not is_shared:
            self._calls.spawn(self._release_read(batch))
        return True

    async def _release_read(self, batch: Sequence[Ticket]) -> None:
        """Free the inputs of a batch once its server has surely read them."""
        if not any(ticket.chain.job.stages[ticket.stage].after for ticket in batch):
            return
        await asyncio.sleep(INPUTS_READ_S)
        ticket_by_stage = {(id(t.chain), t.stage): t for t in batch}
        for ticket in ticket_by_stage.values():
            if ticket.is_current():
                self._calls.release(ticket.chain.take_read_inputs(ticket.stage))

    async def _run_batch(
        self,
        service: Service,
        server: Server,
        batch: Sequence[Ticket],
        pieces: Sequence[Piece],
    ) -> None:
        started = boot_time()
        results: Sequence[PieceResult] | None = None
        expected_s = 0.0
        if service.batch is not None:
            expected_s = estimate_call_s(service.batch, len(batch))
        limit_s = self._servers.limit_call_s(server, expected_s, started)
        size = sum(ticket.result_bytes for ticket in batch)
        try:
            results = await self._calls.run_batch(server, pieces, limit_s)
            ratio = (boot_time() - started) / expected_s
            self._servers.note_answered(server, results, ratio, boot_time())
            if results is None:
                self._servers.state(server).give_back(size)
            else:
                self._note_lacking(service, server, batch, results)
        except ConnectError as error:
            self._servers.state(server).give_back(size)
            self._note_failed(server, error, is_dead=True)
        except (ConnectionLostError, WireFormatError, TimeoutError) as error:
            self._note_failed(server, error, is_dead=False)
            self._give_back_later(service, server, size)
        finally:
            self._servers.note_ended(server, boot_time())
        log_batch(server, batch, results, boot_time() - started, expected_s)
        self._on_outcome(BatchOutcome(server, batch, results))
        self.pump(service.name)

    def _note_lacking(
        self,
        service: Service,
        server: Server,
        batch: Sequence[Ticket],
        results: Sequence[PieceResult],
    ) -> None:
        """Learn from results that found no room what else takes the memory."""
        lacking_bytes = sum(
            ticket.result_bytes
            for ticket, result in zip(batch, results, strict=True)
            if result.failure is PieceFailure.NO_ROOM
        )
        if lacking_bytes and service.batch is not None:
            state = self._servers.state(server)
            state.note_lacking(service.batch, lacking_bytes, boot_time())

    def _give_back_later(self, service: Service, server: Server, size: float) -> None:
        """Keep room for results that may have been made, until they end."""
        life_s = service.batch.result_life_s if service.batch is not None else 0.0
        give_back = self._servers.state(server).give_back
        asyncio.get_running_loop().call_later(life_s, give_back, size)

    def _note_failed(self, server: Server, error: Exception, *, is_dead: bool) -> None:
        self._servers.note_failed(server, boot_time(), is_dead=is_dead)
        logger.bind(server=server.server_id, error=repr(error)).warning("stages.failed")


def _make_piece(ticket: Ticket, now: float) -> Piece:
    chain = ticket.chain
    inputs = tuple(r.handle for r in chain.find_inputs(ticket.stage))
    return Piece(
        chain.job.request_id,
        ticket.stage,
        ticket.number,
        max(MIN_PIECE_TIME_S, chain.deadline_at - now),
        "" if inputs else chain.job.piece_key,
        inputs,
    )


__all__ = ("BatchOutcome", "StageDispatcher")
