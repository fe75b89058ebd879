"""Finds out whether a server ended when it broke off responses, and what ran on it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.crash_evidence import UNKNOWN_ORIGIN, RequestOrigin
from persimmonlink_router.reach_messages import ReachState
from persimmonlink_router.shared_check import SharedChecks

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.end_confirmer import EndConfirmer
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.servers import Server, ServerKey

CHECK_DELAYS_S = (0.03, 0.25)  # Pauses before the checks whether a server is gone.
# Time in which a server that ends closes its listener after its connections.
END_DELAY_S = 0.01
# Time in which a server that ends on a busy VM closes its listener: that of the checks.
END_HOLD_S = sum(CHECK_DELAYS_S)
CHECK_TIMEOUT_S = 0.35  # Longest wait for a connection in a check.
MAX_LOGGED_REQUESTS = 8  # Most requests that a log line names.


class ReachAfterResponse(StrEnum):
    """Who reaches a server after it closed a response; the values appear in logs."""

    REACHED = "server_reached"
    REACHED_BY_PEER = "server_reached_by_peer"
    NOT_REACHED = "server_not_reached"


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """A request whose response a server broke off.

    Parameters
    ----------
    request_id : str
        Id of the client's attempt.
    fingerprint : str
        Digest of the request, the same for all its attempts.
    part_ids : tuple of str
        Ids of the parts of its prompt that other requests may share.
    sent_at : float
        Boot time at which it was sent to the server, in seconds.
    first_event_at : float or None
        Boot time of the first event of the response, in seconds; None if none came.
    interrupted_at : float
        Boot time of the interruption, in seconds.
    origin : RequestOrigin
        Where the request came from.
    exact_fingerprint : str
        Digest of the request with its method and query, empty if unknown.
    """

    request_id: str
    fingerprint: str
    part_ids: tuple[str, ...]
    sent_at: float
    first_event_at: float | None
    interrupted_at: float
    origin: RequestOrigin = UNKNOWN_ORIGIN
    exact_fingerprint: str = ""

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """The digests that are known, that of account, path and body first."""
        if not self.exact_fingerprint:
            return (self.fingerprint,)
        return self.fingerprint, self.exact_fingerprint

    @property
    def response_age_s(self) -> float:
        """Time from the first event to the interruption, in seconds; 0 without one."""
        if self.first_event_at is None:
            return 0.0
        return self.interrupted_at - self.first_event_at


class ServerEndDetector:
    """Checks each server that broke off a response, once for all its responses.

    A server has ended if its address refuses connections, and no peer reaches it. One
    that does not answer at all may as well be cut off from this node.

    Parameters
    ----------
    on_ended : callable
        Called with a server that ended and the requests it broke off.
    pool : ConnectionPool
        Opens the connections that tell it.
    confirmer : EndConfirmer
        Asks peers whether they reach the server.
    metrics : RouterMetrics
        Counts the ends of servers.
    """

    def __init__(
        self,
        on_ended: Callable[[Server, Sequence[InterruptedRequest]], None],
        pool: ConnectionPool,
        confirmer: EndConfirmer,
        metrics: RouterMetrics,
    ) -> None:
        self._on_ended = on_ended
        self._pool = pool
        self._confirmer = confirmer
        self._metrics = metrics
        self._requests_by_key: dict[ServerKey, list[InterruptedRequest]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._reach_checks: SharedChecks[ReachAfterResponse] = SharedChecks()

    @property
    def has_unsent(self) -> bool:
        """Whether the fate of a server is not known yet."""
        return bool(self._requests_by_key)

    def record_interruption(self, server: Server, request: InterruptedRequest) -> None:
        """Record a response that a server broke off, and check the server."""
        if server.key in self._requests_by_key:
            self._requests_by_key[server.key].append(request)
            return
        self._requests_by_key[server.key] = [request]
        task = asyncio.get_running_loop().create_task(self._check(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, server: Server) -> None:
        has_ended = False
        try:
            has_ended = await self._has_ended(server)
        except Exception:
            # What is recorded from now on needs a check of its own.
            logger.bind(server=server.server_id).exception("server.end_check_failed")
        requests = self._requests_by_key.pop(server.key)
        if has_ended:
            self._metrics.count("server_ends_total", f'service="{server.service}"')
            _log_requests("server.ended", server, requests)
            self._on_ended(server, requests)
            return
        _log_requests("server.interrupted_responses", server, requests)

    async def _has_ended(self, server: Server) -> bool:
        for delay_s in CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if not await self._refuses_connections(server):
                continue
            since = self._requests_by_key[server.key][0].interrupted_at
            return await self._confirmer.has_ended(server, since)
        return False

    async def find_reach_after_response(self, server: Server) -> ReachAfterResponse:
        """Find out whether a server runs on after it closed a response's connection.

        Only that tells whether a response without a length is whole. A server that
        this node can't connect to may have ended, or this node may be cut off.
        """
        await asyncio.sleep(END_DELAY_S)
        return await self._reach_checks.run(
            server.key, lambda: self._check_reach(server)
        )

    async def _check_reach(self, server: Server) -> ReachAfterResponse:
        # The system takes connections for a process that is ending, until its listener
        # is closed, which resets them.
        state = await self._pool.check_address(
            server.address, CHECK_TIMEOUT_S, END_HOLD_S
        )
        if state is ReachState.UNKNOWN:
            # The opening packet may have been lost, or the server has no room.
            state = await self._pool.check_address(server.address, CHECK_TIMEOUT_S)
        if state is ReachState.REACHED:
            return ReachAfterResponse.REACHED
        if await self._confirmer.is_reached(server):
            return ReachAfterResponse.REACHED_BY_PEER
        return ReachAfterResponse.NOT_REACHED

    async def _refuses_connections(self, server: Server) -> bool:
        state = await self._pool.check_address(server.address, CHECK_TIMEOUT_S)
        return state is ReachState.REFUSED


def _log_requests(
    event: str, server: Server, requests: Sequence[InterruptedRequest]
) -> None:
    shown = [
        {
            "request": request.request_id,
            "fingerprint": request.fingerprint,
            "exact_fingerprint": request.exact_fingerprint,
            "prompt_parts": request.part_ids,
            "sent_s_before": round(request.interrupted_at - request.sent_at, 3),
            "has_events": request.first_event_at is not None,
        }
        for request in requests[:MAX_LOGGED_REQUESTS]
    ]
    logger.bind(
        server=server.server_id,
        service=server.service,
        interrupted=len(requests),
        requests=shown,
        age_s=round(boot_time() - requests[0].interrupted_at, 3),
    ).info(event)


__all__ = ("InterruptedRequest", "ReachAfterResponse", "ServerEndDetector")
