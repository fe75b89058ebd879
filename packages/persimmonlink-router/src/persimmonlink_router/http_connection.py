"""A client connection: framing by h11, one task that serves its requests."""

from __future__ import annotations

import asyncio
import math
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import h11
from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.bounded_reads import BoundedReads
from persimmonlink_router.client_pressure.client_progress import WaitsFor
from persimmonlink_router.client_pressure.eviction_order import EvictionCandidate
from persimmonlink_router.client_use_times import ConnectionUse
from persimmonlink_router.http1.request_reader import RequestReader
from persimmonlink_router.http1.response_writer import ResponseWriter
from persimmonlink_router.http_exchange import (
    BadRequestError,
    ClientDisconnectedError,
    Exchange,
)
from persimmonlink_router.http_framing import create_framing
from persimmonlink_router.socket_options import (
    count_waiting_bytes,
    has_peer_closed,
    reset_on_close,
)
from persimmonlink_router.stop_record import ConnectionState

if TYPE_CHECKING:
    from persimmonlink_router.http_server import HttpServer

# Least time in which a client reads nothing before its response ends, also where the
# idle timeout is shorter: its link may be cut for seconds.
MIN_UNREAD_S = 10.0
HTTP_1_0 = b"1.0"  # Version without chunked encoding.
# Time for a client to close its end after the last response, in which what it still
# sends is read: unread bytes would reset the connection, and the response with it.
CLIENT_CLOSE_WAIT_S = 0.5


class HttpServerConnection(BoundedReads):
    """A client connection; its task serves one request after another."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = create_framing(h11.SERVER, server.limits.header_bytes + 4096)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._address = ""
        # Whether it was closed before its transport was there.
        self._is_unwanted = False
        self._is_ending = False
        now = boot_time()
        self.use = ConnectionUse(now, now)
        self._reader = RequestReader(self._h11, server, self.use)
        self._progress = self._reader.progress
        self._writer = ResponseWriter(self._h11, self._progress)

    @property
    def idle_timeout_s(self) -> float:
        """Idle time after which the connection is closed, in seconds."""
        return self._server.limits.idle_timeout_s

    @property
    def is_serving(self) -> bool:
        """Whether a request is being read or served."""
        return self._reader.has_request

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: Any) -> None:
        """Start the task of the connection."""
        self._transport = transport
        if self._is_unwanted:
            transport.abort()
            return
        peer = transport.get_extra_info("peername")
        self._address = peer[0] if peer else ""
        self._reader.attach(transport)
        self._writer.attach(transport)
        self._server.waiting_connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Receive request bytes; close the connection if they are not HTTP."""
        if self._is_ending:
            return
        try:
            self._reader.receive(data)
        except h11.RemoteProtocolError:
            self.close()
            return
        self.use.active_at = boot_time()
        if not self.is_serving:
            self._server.waiting_connections.add(self)

    def eof_received(self) -> bool:
        """Treat a half-close by the client as a disconnect."""
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task, because no client waits for the response."""
        self._transport = None
        self._writer.detach()
        self._server.connections.discard(self)
        self._server.waiting_connections.discard(self)
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def pause_writing(self) -> None:
        """Block `drain` while the write buffer is full."""
        self._writer.pause()
        self._server.waiting_connections.add(self)

    def resume_writing(self) -> None:
        """Unblock `drain` once the client has read enough."""
        self._writer.resume()
        self._server.waiting_connections.discard(self)

    def send(self, event: Any) -> None:
        """Write an h11 event; raise `ClientDisconnectedError` if the client left."""
        self._writer.send(event)

    async def drain(self) -> None:
        """Wait until the write buffer has room.

        Raises `ClientDisconnectedError` if the client reads nothing for the idle
        timeout, or `MIN_UNREAD_S` if that is longer.
        """
        if not await self._writer.drain(max(self.idle_timeout_s, MIN_UNREAD_S)):
            self._end_unread()
            raise ClientDisconnectedError

    async def write_body(self, body: bytes) -> None:
        """Write a body as fast as the client takes it, without a copy of the rest."""
        for part in self._writer.divide(body):
            self.send(h11.Data(data=part))
            await self.drain()

    def count_held_bytes(self) -> int:
        """Return the bytes that are held for the client, in either direction."""
        return self._writer.held_bytes + self._reader.held_bytes

    def stalled_s(self, now: float) -> float:
        """Return the time for which the client has made no progress, in seconds.

        A client whose request is being served has nothing to do.
        """
        return self._progress.stalled_s(now)

    def describe_candidate(self, now: float) -> EvictionCandidate[Any] | None:
        """Return how the connection ranks for eviction; None while it is served."""
        if self._is_ending:
            return EvictionCandidate(self, self._address, idle_s=math.inf)
        progress = self._progress
        if progress.waits_for is WaitsFor.READ:
            unread_s = progress.stalled_s(now)
            return EvictionCandidate(self, self._address, unread_s=unread_s)
        if progress.waits_for is not WaitsFor.NOTHING:
            behind_s = progress.behind_s(now)
            return EvictionCandidate(self, self._address, behind_s=behind_s)
        if self.is_serving:
            return None
        return EvictionCandidate(self, self._address, idle_s=now - self.use.active_at)

    def evict(self) -> None:
        """Close the connection for the sake of a new one."""
        self._is_unwanted = True
        self._server.connections.discard(self)
        self._server.waiting_connections.discard(self)
        waits_for = self._progress.waits_for
        self._server.log.write(
            "INFO",
            "connection.evicted",
            waits_for,
            waits_for=waits_for,
            **asdict(self.describe()),
        )
        if self._transport is None:
            return
        if self._writer.is_blocked:
            self._abort()
            return
        if self._reader.held_bytes and not self._transport.is_closing():
            self._reject(BadRequestError(408, "the request arrives too slowly"))
        self._transport.close()

    def close_if_departed(self) -> None:
        """Close the connection if its client has left while nothing is read."""
        if not self._reader.is_paused or not self.is_serving:
            return
        if self._transport is None or self._progress.waits_for is not WaitsFor.NOTHING:
            return
        if has_peer_closed(self._transport.get_extra_info("socket")):
            self.close()

    def end_stalled(self) -> None:
        """End a client that makes no progress, to give its room to others."""
        if self._writer.is_blocked:
            self._end_unread()
            return
        self._reader.end_stalled()

    def _end_unread(self) -> None:
        """Reset the connection, and with it what the client does not read."""
        self._server.log.write("INFO", "connection.not_read", **asdict(self.describe()))
        self._abort()

    def _abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()

    def describe(self) -> ConnectionState:
        """Return the state of the connection, for the log."""
        peer = ""
        if self._transport is not None:
            peer = str(self._transport.get_extra_info("peername"))
        return ConnectionState(
            peer,
            self.use.responses,
            self.use.has_said_close,
            self.is_serving,
            self._writer.unsent_bytes,
            self._count_unread_bytes(),
            round(boot_time() - self.use.active_at, 3),
        )

    def _count_unread_bytes(self) -> int:
        """Return the bytes of the client from which no request was read."""
        waiting = 0
        if self._transport is not None:
            waiting = count_waiting_bytes(self._transport.get_extra_info("socket"))
        return waiting + len(self._h11.trailing_data[0])

    def is_expired(self, now: float) -> bool:
        """Whether no client sends on the connection any more, by what it was told.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        """
        if self.is_serving or self._is_ending or self._transport is None:
            return False
        header_timeout_s = self._server.limits.header_timeout_s
        return self.use.is_over(now, self._count_unread_bytes(), header_timeout_s)

    def must_close(self) -> bool:
        """Whether the response must carry `Connection: close`.

        In a stop not yet if the client has already sent more, which could not be
        answered then.
        """
        if self._server.is_nearly_full:
            return True
        if not self._server.is_stopping:
            return False
        has_more = bool(self._h11.trailing_data[0])
        return not has_more or boot_time() > self._server.tells_all_from

    def close(self) -> None:
        """Close the connection once the written bytes are sent.

        A response that only the end of the connection delimits is reset if it is
        incomplete, since an orderly end would complete it.
        """
        if self._transport is None:
            self._is_unwanted = True
            return
        is_incomplete = self._h11.our_state is h11.SEND_BODY
        if is_incomplete and self._h11.their_http_version == HTTP_1_0:
            reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()
            return
        self._transport.close()

    async def _run(self) -> None:
        try:
            while await self._serve_request():
                pass
            await self._end_in_order()
        except (ClientDisconnectedError, asyncio.CancelledError):
            pass
        except Exception:
            logger.exception("connection.failed")
        finally:
            self._finish_request()
            self.close()

    async def _serve_request(self) -> bool:
        try:
            request = await self._reader.read()
        except BadRequestError as error:
            self._reject(error)
            return False
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or 400
            self._reject(BadRequestError(status, str(error)))
            return False
        if request is None:
            return False
        self._server.waiting_connections.discard(self)
        exchange = Exchange(self, request)
        try:
            await self._server.handler(exchange)
            await self._flush()
        finally:
            self._finish_request()
            self.use.record_end(boot_time())
        if not exchange.is_complete:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def _flush(self) -> None:
        """Wait until the kernel has all bytes of a response."""
        with self._writer.empty_buffer():
            await self.drain()

    async def _end_in_order(self) -> None:
        """After the last response, let the client close the connection first."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._h11.our_state not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            return
        await self._flush()
        if self._transport is None:
            return
        self._is_ending = True
        try:
            self._transport.write_eof()
        except OSError as error:
            logger.bind(error=repr(error)).debug("connection.already_closed")
            return
        self._reader.resume()
        # The end of the client's bytes closes the transport and cancels the task.
        await asyncio.sleep(CLIENT_CLOSE_WAIT_S)

    def _finish_request(self) -> None:
        self._reader.finish()
        if not self._writer.is_blocked:
            self._server.waiting_connections.discard(self)

    def _reject(self, error: BadRequestError) -> None:
        self._finish_request()
        status = error.status
        self._server.log.write(
            "INFO", "request.malformed", str(status), status=status, reason=str(error)
        )
        self._writer.refuse(error)


__all__ = ("HttpServerConnection",)
