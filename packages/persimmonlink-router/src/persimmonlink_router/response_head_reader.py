"""Sends a request on a connection and reads the head of the response to it."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.http_client import ConnectionLostError, HttpClientConnection
from persimmonlink_router.request_state import RequestFailedError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.http_messages import HttpResponseHead
    from persimmonlink_router.request_state import RequestState
    from persimmonlink_router.server_health import ServerHealth
    from persimmonlink_router.server_limiter import ServerLimiter
    from persimmonlink_router.server_places import ServerPlaces
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.servers import Server
    from persimmonlink_router.wire_messages import Dispatch, ResponseInfo, Wire

REJECTION_BODY_TIMEOUT_S = 0.2  # Longest wait for the body of a rejection.
RECHECK_S = 0.1  # Shortest time until it is asked again whether another may be asked.
MAX_UNEXPECTED_RESPONSES = 4  # Responses to other requests that are skipped.
MAX_UNEXPECTED_BODY_BYTES = 1048576  # Largest body of such a response.
MAX_REJECTION_BODY_BYTES = 65536  # Largest body of a rejection that is read.


class NotRunError(Exception):
    """A server did not run the request, which may be sent to another server."""


class RejectedError(NotRunError):
    """A server rejected the request."""


class ResponseHeadReader:
    """Exchanges a request for the head of its own response, or for a rejection.

    Parameters
    ----------
    cluster_view : ClusterView
        Learns what servers say of themselves.
    pool : ConnectionPool
        Gets connections back after rejections.
    wire : Wire
        Builds request headers and parses response heads.
    health : ServerHealth
        Records failures of the servers.
    limiter : ServerLimiter
        Learns the rates that servers name.
    reach : ServerReach
        Learns which servers answer.
    places : ServerPlaces
        Learns which servers are brittle.
    record_interruption : callable
        Called with a request, its server and the boot time of the send, if the server
        broke off before the head.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        pool: ConnectionPool,
        wire: Wire,
        health: ServerHealth,
        limiter: ServerLimiter,
        reach: ServerReach,
        places: ServerPlaces,
        record_interruption: Callable[[RequestState, Server, float], None],
    ) -> None:
        self._cluster_view = cluster_view
        self._pool = pool
        self._wire = wire
        self._health = health
        self._limiter = limiter
        self._reach = reach
        self._places = places
        self._record_interruption = record_interruption

    async def send(
        self,
        connection: HttpClientConnection,
        state: RequestState,
        dispatch: Dispatch,
        sent_at: float,
        head_timeout_s: float | None,
        may_ask_another: Callable[[], bool],
    ) -> tuple[HttpResponseHead, ResponseInfo]:
        """Send the request and read the head of the response.

        After `head_timeout_s`, in seconds, the head is waited for only as long as no
        other server may be asked.

        Raises `NotRunError` only if the server states that it did not run the request
        or another server answered at its address, and `RequestFailedError` if the
        response is lost or late, or a rejection may belong to an earlier request.
        """
        server = dispatch.server
        request = state.exchange.request
        headers = self._wire.build_request_headers(request, dispatch)
        try:
            connection.send(request.method, request.target, headers, request.body)
            async with asyncio.timeout(state.time_left_s) as limit:
                with _end_if_late(limit, head_timeout_s, may_ask_another):
                    head, info = await self._read_head(server, connection, state)
        except (ConnectionLostError, TimeoutError) as error:
            state.runs += 1
            state.may_have_run = True
            self._health.record_failure(server.key, boot_time())
            if isinstance(error, TimeoutError):
                # The head would have come later still.
                self._health.response_times.record(state.service, boot_time() - sent_at)
                raise RequestFailedError(
                    f"{server.server_id}: no response in time", 504
                ) from error
            self._record_interruption(state, server, sent_at)
            raise RequestFailedError(f"{server.server_id}: {error}") from error
        if not info.was_not_run and not info.is_other_server:
            return head, info
        request_id = state.metadata.request_id
        if not _is_rejection_of(request_id, info, connection):
            connection.close()
            state.runs += 1
            state.may_have_run = True
            self._health.record_failure(server.key, boot_time())
            logger.bind(
                request=request_id, server=server.server_id, status=head.status
            ).warning("response.doubtful_rejection")
            raise RequestFailedError(
                f"{server.server_id}: a rejection may belong to an earlier request"
            )
        connection.rejected_request_id = request_id
        await self._drain_rejection(connection, server)
        raise RejectedError(f"rejected with status {head.status}")

    async def _drain_rejection(
        self, connection: HttpClientConnection, server: Server
    ) -> None:
        """Read the body of a rejection, so that the connection can be kept."""
        try:
            async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
                await connection.skip_body(MAX_REJECTION_BODY_BYTES)
        except (ConnectionLostError, TimeoutError):
            # The rejection stays valid; only the connection is lost.
            return
        self._pool.release(server.key, connection)

    async def _read_head(
        self,
        server: Server,
        connection: HttpClientConnection,
        state: RequestState,
    ) -> tuple[HttpResponseHead, ResponseInfo]:
        for _ in range(MAX_UNEXPECTED_RESPONSES + 1):
            head = await connection.read_head()
            self._reach.record_answer(server, boot_time())
            info = self._wire.parse_response_head(head)
            if info.request_id in ("", state.metadata.request_id):
                self._cluster_view.apply_response(server, info)
                self._limiter.record_response(server, info)
                self._places.record_response(server, info)
                return head, info
            # It may be an earlier one, whose news of the server are old.
            logger.bind(
                request=state.metadata.request_id, other=info.request_id
            ).warning("response.unexpected")
            await connection.skip_body(MAX_UNEXPECTED_BODY_BYTES)
            connection.skip_response()
        raise ConnectionLostError(
            f"{server.server_id}: too many responses to other requests"
        )


@contextmanager
def _end_if_late(
    limit: asyncio.Timeout,
    head_timeout_s: float | None,
    may_ask_another: Callable[[], bool],
) -> Iterator[None]:
    """End a wait that takes longer than some seconds once another may be asked."""
    if head_timeout_s is None:
        yield
        return
    check = asyncio.create_task(
        _end_once_allowed(limit, head_timeout_s, may_ask_another)
    )
    try:
        yield
    finally:
        check.cancel()


async def _end_once_allowed(
    limit: asyncio.Timeout, head_timeout_s: float, may_ask_another: Callable[[], bool]
) -> None:
    await asyncio.sleep(head_timeout_s)
    while not may_ask_another():
        await asyncio.sleep(max(head_timeout_s, RECHECK_S))
    limit.reschedule(asyncio.get_running_loop().time())


def _is_rejection_of(
    request_id: str, info: ResponseInfo, connection: HttpClientConnection
) -> bool:
    """Whether a rejection is certain not to be one sent once more for another send.

    One that names no request is certain only as the first response of a connection.
    """
    if info.request_id != request_id:
        return not connection.was_used
    return connection.rejected_request_id != request_id


__all__ = ("NotRunError", "RejectedError", "ResponseHeadReader")
