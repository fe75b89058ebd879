"""How a node that is told to stop ends its work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.client_use_times import DIRECTORY_EXPIRY_WAIT_S
from persimmonlink_router.stop_record import StopRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmonlink_peers.peer_server import PeerServer
    from persimmonlink_router.http_server import HttpServer
    from persimmonlink_router.request_service import RequestService
    from persimmonlink_router.stage_scheduler import StageScheduler
    from persimmonlink_router.stop_clock import StopClock

PEER_CALL_WAIT_S = 0.3  # Longest wait for replies to peers, requests of clients apart.
STOP_POLL_INTERVAL_S = 0.05  # Interval of checking whether all requests have ended.
# Longest wait for what other nodes and the store have to get, after all requests.
HAND_OVER_WAIT_S = 1.0


class SendingPart(Protocol):
    """Sends to other nodes or the store what nobody else knows."""

    @property
    def has_unsent(self) -> bool:
        """Whether they have not got some of it."""
        ...


class GracefulStop:
    """Waits until a node that stops has ended its work, within a time limit.

    Parameters
    ----------
    clock : StopClock
        When the stop began.
    client_server : HttpServer
        Server of the clients' requests.
    servers : sequence of HttpServer
        That one, and those of the directory, readiness checks and metrics.
    request_service : RequestService
        Serves requests of clients and peers.
    scheduler : StageScheduler
        Runs stages.
    peer_server : PeerServer
        Serves calls of peers.
    sending_parts : sequence of SendingPart
        Parts of the node that send what nobody else knows.
    """

    def __init__(
        self,
        clock: StopClock,
        client_server: HttpServer,
        servers: Sequence[HttpServer],
        request_service: RequestService,
        scheduler: StageScheduler,
        peer_server: PeerServer,
        sending_parts: Sequence[SendingPart],
    ) -> None:
        self._clock = clock
        self._client_server = client_server
        self._servers = servers
        self._request_service = request_service
        self._scheduler = scheduler
        self._peer_server = peer_server
        self._sending_parts = sending_parts
        self._is_listening = True

    async def drain(self) -> None:
        """Wait until the node may close, at most until its limit is near."""
        clock = self._clock
        began_at = clock.began_at or boot_time()
        logger.bind(serving=self._client_server.count_active_requests()).info(
            "process.stopping"
        )
        for server in self._servers:
            server.is_stopping = True
            server.tells_all_from = began_at + DIRECTORY_EXPIRY_WAIT_S
        record = StopRecord()
        while (now := boot_time()) < clock.ends_at:
            try:
                if await self._advance(now, began_at, record):
                    break
            except Exception:
                # The requests in progress go on all the same.
                logger.exception("process.stop_step_failed")
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        clock.is_cutting = True
        try:
            await self._hand_over()
        except Exception:
            logger.exception("process.stop_step_failed")
        await self._peer_server.finish(
            max(0.0, min(PEER_CALL_WAIT_S, clock.ends_at - boot_time()))
        )
        for server in self._servers:
            server.record_connections(record)
        self._log_end(boot_time() - began_at, record)

    async def _advance(self, now: float, began_at: float, record: StopRecord) -> bool:
        """Close what is no longer used; return whether all work has ended."""
        has_ended = False
        if now > began_at + DIRECTORY_EXPIRY_WAIT_S:
            for server in self._servers:
                server.close_expired(now, record)
            has_ended = not self._is_busy()
        if has_ended and not self._is_listening:
            return True
        if self._is_listening and (has_ended or now > self._clock.answers_by):
            self._is_listening = False
            for server in self._servers:
                await server.stop_listening()
        if now > self._clock.answers_by:
            self._request_service.active.end_unanswered()
        return False

    async def _hand_over(self) -> None:
        """Wait until other nodes and the store have got what only this node knows."""
        ends_at = min(self._clock.ends_at, boot_time() + HAND_OVER_WAIT_S)
        while unsent := [part for part in self._sending_parts if part.has_unsent]:
            if boot_time() >= ends_at:
                names = [type(part).__name__ for part in unsent]
                logger.bind(parts=names).warning("process.stopped_with_unsent")
                return
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def _is_busy(self) -> bool:
        return bool(
            any(server.connections for server in self._servers)
            or self._request_service.relayed_count
            or self._scheduler.count_running()
        )

    def _log_end(self, spent_s: float, record: StopRecord) -> None:
        logger.bind(
            serving=self._client_server.count_active_requests(),
            took_s=round(spent_s, 2),
            relayed=self._request_service.relayed_count,
            **record.to_log_fields(),
        ).info("process.stopped")


__all__ = ("GracefulStop", "SendingPart")
