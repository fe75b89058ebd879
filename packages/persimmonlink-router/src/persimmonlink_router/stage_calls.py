"""Calls to stage servers: batches of pieces, and releases of results."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.byte_budget import ByteBudget
from persimmonlink_router.http_client import ConnectError, ConnectionLostError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Hashable, Sequence
    from typing import Any

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.http_client import HttpClientConnection
    from persimmonlink_router.send_basis import SendBasis
    from persimmonlink_router.server_limiter import ServerLimiter
    from persimmonlink_router.server_places import ServerPlaces
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.servers import Server
    from persimmonlink_router.stage_job import StageResult
    from persimmonlink_router.stage_servers import StageServers
    from persimmonlink_router.wire_messages import (
        OutboundRequest,
        Piece,
        PieceResult,
        Wire,
    )

RELEASE_DELAY_S = 0.01  # Delay in which releases for a server join the same call.
MAX_RELEASE_WAIT_S = 4.0  # Results that wait longer for their release expire.
RELEASE_TIMEOUT_S = 1.0  # Timeout of a call that releases results.
MAX_KNOWN_HANDLES = 256  # Latest results of a connection that are remembered.
MAX_BODY_BYTES = 1048576  # Largest response body accepted from a stage server.
# Largest size of all responses of stage servers that are buffered.
MAX_BUFFERED_BYTES = 16777216
MAX_RELEASE_BODY_BYTES = 65536  # Largest response body to a release.


class StageCalls:
    """Sends batches and releases to stage servers.

    Parameters
    ----------
    cluster_view : ClusterView
        Servers, and which of them may be sent work.
    pool : ConnectionPool
        Connections to the servers.
    wire : Wire
        Format of the messages of stage servers.
    servers : StageServers
        Memory accounting of the servers; updated after a release.
    limiter : ServerLimiter
        Keeps to the rates that servers name.
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
        servers: StageServers,
        limiter: ServerLimiter,
        reach: ServerReach,
        places: ServerPlaces,
    ) -> None:
        self._cluster_view = cluster_view
        self._pool = pool
        self._wire = wire
        self._servers = servers
        self._limiter = limiter
        self._reach = reach
        self._places = places
        self._body_budget = ByteBudget(MAX_BUFFERED_BYTES)
        self._handles_by_connection: WeakKeyDictionary[
            HttpClientConnection, deque[str]
        ] = WeakKeyDictionary()
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_releases_by_key: dict[Hashable, list[StageResult]] = {}

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task, and keep a reference until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def prepare(self, server: Server, on_ready: Callable[[], None]) -> bool:
        """Whether a call may be sent; if not yet, `on_ready` is called when it may."""
        return self._limiter.prepare(server, on_ready)

    async def run_batch(
        self,
        server: Server,
        pieces: Sequence[Piece],
        timeout_s: float,
        on_sent: Callable[[SendBasis], None],
    ) -> Sequence[PieceResult] | None:
        """Return the results, or None if the server did not run the call.

        `on_sent` is called as the call is sent. Raises `ConnectError`,
        `ConnectionLostError`, `TimeoutError` or `WireFormatError` if it fails.
        """
        if not await self._limiter.try_acquire(server):
            return None
        place = await self._places.acquire(server, timeout_s)
        if place is None:
            return None
        if not self._cluster_view.may_send(server):
            place.end()
            return None
        was_rejected = False
        started_at = boot_time()
        self._reach.record_sent(server.key, started_at)
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._pool.acquire(server.key, server.address)
                # Nothing may be awaited between this check and the send.
                if not self._cluster_view.may_send(server):
                    connection.close()
                    return None
                on_sent(self._cluster_view.describe_send(server))
                results = await self._send_batch(connection, server, pieces)
            was_rejected = results is None
        finally:
            self._reach.record_done(server.key, started_at)
            place.end(was_rejected=was_rejected)
        return results

    async def _send_batch(
        self,
        connection: HttpClientConnection,
        server: Server,
        pieces: Sequence[Piece],
    ) -> Sequence[PieceResult] | None:
        call = self._wire.build_batch_request(server, pieces)
        try:
            results = await self._exchange(connection, server, call, len(pieces))
        except BaseException:
            connection.close()
            raise
        if results is not None and any(result.handle for result in results):
            self._pool.release(server.key, connection)
        else:
            # It may be an earlier response, after which that of this call comes.
            connection.close()
        return results

    async def _exchange(
        self,
        connection: HttpClientConnection,
        server: Server,
        call: OutboundRequest,
        piece_count: int,
    ) -> Sequence[PieceResult] | None:
        """Send a batch on a connection; return its results, None for a rejection.

        Raises `ConnectionLostError` for results that came before on the connection:
        responses of stage servers don't name the call that they answer.
        """
        connection.send(call.method, call.target, call.headers, call.body)
        head = await connection.read_head()
        body = await connection.read_body(MAX_BODY_BYTES, self._body_budget)
        self._reach.record_answer(server, boot_time())
        info = self._wire.parse_response_head(head)
        self._cluster_view.apply_response(server, info)
        self._limiter.record_response(server, info)
        self._places.record_response(server, info)
        if info.load is not None:
            self._servers.forecast.record_report(server.key, info.load, boot_time())
        if info.was_not_run or info.is_other_server:
            return None
        if head.status != 200:
            raise ConnectionLostError(f"{server.address}: status {head.status}")
        results = self._wire.parse_batch_response(body, piece_count)
        handles = [result.handle for result in results if result.handle]
        earlier = self._handles_by_connection.setdefault(
            connection, deque(maxlen=MAX_KNOWN_HANDLES)
        )
        if len(set(handles)) < len(handles) or not set(handles).isdisjoint(earlier):
            raise ConnectionLostError(f"{server.address}: results came once more")
        earlier.extend(handles)
        return results

    def release(self, results: Sequence[StageResult]) -> None:
        """Release results, those of one server in one call."""
        for result in results:
            key = result.server.key
            if key not in self._pending_releases_by_key:
                self._pending_releases_by_key[key] = []
                self.spawn(self._send_release(result.server))
            self._pending_releases_by_key[key].append(result)

    async def _send_release(self, server: Server) -> None:
        await asyncio.sleep(RELEASE_DELAY_S)
        may_send = await self._wait_for_release(server)
        results = self._pending_releases_by_key.pop(server.key)
        # A server discards unreleased results by itself when they expire.
        if may_send:
            try:
                async with asyncio.timeout(RELEASE_TIMEOUT_S):
                    await self._release_at(server, [r.handle for r in results])
            except (ConnectError, ConnectionLostError, TimeoutError) as error:
                logger.bind(server=server.server_id, error=repr(error)).info(
                    "stages.release_failed"
                )
        self._servers.state(server).free_memory(sum(r.size for r in results))

    async def _release_at(self, server: Server, handles: Sequence[str]) -> None:
        """Release results at a server, unless it may be sent nothing any more."""
        connection = await self._pool.acquire(server.key, server.address)
        if not self._cluster_view.may_send(server):
            connection.close()
            return
        call = self._wire.build_release_request(server, handles)
        head, _ = await self._pool.exchange_on(
            connection, server.key, call, MAX_RELEASE_BODY_BYTES
        )
        info = self._wire.parse_response_head(head)
        self._cluster_view.apply_response(server, info)
        if info.rate_limit_per_s is not None:
            # Only the answer to work tells that a limit is named no more.
            self._limiter.record_response(server, info)

    async def _wait_for_release(self, server: Server) -> bool:
        """Wait until a release may be sent; return False if that takes too long."""
        wait_ends_at = boot_time() + MAX_RELEASE_WAIT_S
        while True:
            pause_s = self._cluster_view.servers.pause_left_s(server, boot_time())
            if boot_time() + pause_s > wait_ends_at:
                return False
            await asyncio.sleep(pause_s)
            if not self._cluster_view.servers.is_usable(server):
                return False
            if await self._limiter.try_acquire(server):
                return True

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.bind(error=repr(error)).error("task.failed")


__all__ = ("StageCalls",)
