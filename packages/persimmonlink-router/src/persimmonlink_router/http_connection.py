"""A client connection: framing by h11, one task that serves its requests."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import h11
from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.bounded_reads import READ_PAUSE_BYTES, BoundedReads
from persimmonlink_router.byte_budget import BudgetExhaustedError, Reservation
from persimmonlink_router.client_use_times import ConnectionUse
from persimmonlink_router.http_exchange import (
    BadRequestError,
    ClientDisconnectedError,
    Exchange,
    validate_head,
)
from persimmonlink_router.http_framing import create_framing
from persimmonlink_router.http_messages import HttpRequest
from persimmonlink_router.socket_options import (
    count_unacknowledged_bytes,
    count_waiting_bytes,
    has_peer_closed,
    reset_on_close,
)
from persimmonlink_router.stop_record import ConnectionState

if TYPE_CHECKING:
    from persimmonlink_router.http_server import HttpServer

# Events read from one connection before others get a turn.
MAX_EVENTS_PER_TURN = 32
# Turns after which a busy connection is asked whether its client has left: its reading
# is paused, so that the end of its bytes isn't seen.
TURNS_PER_CHECK = 16
WRITE_BUFFER_BYTES = 65536  # Bytes that wait in the process for a client to read.
WRITE_SLICE_BYTES = 32768  # Largest part of a body that is written at once.
# What a blocked response holds beside what it has written: bytes of its server.
BLOCKED_READ_BYTES = 65536
# Least time in which a client reads nothing before its response ends, also where the
# idle timeout is shorter: its link may be cut for seconds.
MIN_UNREAD_S = 10.0
NEED_DATA: Any = h11.NEED_DATA
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
        self._wake = asyncio.Event()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._task: asyncio.Task[None] | None = None
        self._unread_bytes = 0
        self._events_in_turn = 0
        self._reservation: Reservation | None = None
        self._is_paused = False
        self._is_reading_body = False
        self._body_bytes = 0
        self._is_ending = False
        self._turns_taken = 0
        self._is_stalled = False
        # Bytes of a response that are still to be written.
        self.unwritten_bytes = 0
        now = boot_time()
        self._progress_at = now
        self.use = ConnectionUse(now, now)
        self.is_serving = False

    @property
    def idle_timeout_s(self) -> float:
        """Idle time after which the connection is closed, in seconds."""
        return self._server.limits.idle_timeout_s

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: Any) -> None:
        """Start the task of the connection."""
        self._transport = transport
        if not self._server.admit(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Receive request bytes; close the connection if they are not HTTP."""
        if self._is_ending:
            return
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self.close()
            return
        self.use.active_at = self._progress_at = boot_time()
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_PAUSE_BYTES and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self) -> bool:
        """Treat a half-close by the client as a disconnect."""
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task, because no client waits for the response."""
        self._transport = None
        self._can_write.set()
        self._server.connections.discard(self)
        self._server.waiting_connections.discard(self)
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def pause_writing(self) -> None:
        """Block `drain` while the write buffer is full."""
        self._can_write.clear()
        self._server.waiting_connections.add(self)

    def resume_writing(self) -> None:
        """Unblock `drain` once the client has read enough."""
        self._progress_at = boot_time()
        self._can_write.set()
        self._end_waiting()

    def send(self, event: Any) -> None:
        """Write an h11 event; raise `ClientDisconnectedError` if the client left."""
        if self._transport is None:
            raise ClientDisconnectedError
        data = self._h11.send(event)
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room.

        Raises `ClientDisconnectedError` if the client reads nothing for the idle
        timeout, or `MIN_UNREAD_S` if that is longer.
        """
        while not self._can_write.is_set():
            before = self._count_untaken_bytes()
            try:
                async with asyncio.timeout(max(self.idle_timeout_s, MIN_UNREAD_S)):
                    await self._can_write.wait()
            except TimeoutError:
                after = self._count_untaken_bytes()
                if before is not None and after is not None and after >= before:
                    self._end_unread()
                    raise ClientDisconnectedError from None

    async def write_body(self, body: bytes) -> None:
        """Write a body as fast as the client takes it, without a copy of the rest."""
        view = memoryview(body)
        self._progress_at = boot_time()
        try:
            for start in range(0, len(body), WRITE_SLICE_BYTES):
                self.unwritten_bytes = len(body) - start
                data: Any = view[start : start + WRITE_SLICE_BYTES]
                self.send(h11.Data(data=data))
                await self.drain()
                self._progress_at = boot_time()
        finally:
            self.unwritten_bytes = 0

    def count_held_bytes(self) -> int:
        """Return the bytes that are held for the client, in either direction."""
        held = self._count_unsent_bytes() + self.unwritten_bytes + self._body_bytes
        if not self._can_write.is_set():
            held += BLOCKED_READ_BYTES
        return held

    def stalled_s(self, now: float) -> float:
        """Return the time for which the client has made no progress, in seconds.

        A client whose request is being served has nothing to do.
        """
        is_waited_for = self._is_reading_body or not self._can_write.is_set()
        return now - self._progress_at if is_waited_for else 0.0

    def end_stalled(self) -> None:
        """End a client that makes no progress, to give its room to others."""
        if self._is_reading_body:
            self._is_stalled = True
            self._wake.set()
            return
        self._end_unread()

    def _count_unsent_bytes(self) -> int:
        """Return the bytes that wait in the write buffer of the process."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def _count_untaken_bytes(self) -> int | None:
        """Return the bytes that the client has not acknowledged, None if unknown."""
        if self._transport is None:
            return None
        in_kernel = count_unacknowledged_bytes(self._transport.get_extra_info("socket"))
        return None if in_kernel is None else self._count_unsent_bytes() + in_kernel

    def _end_unread(self) -> None:
        """Reset the connection, and with it what the client does not read."""
        logger.bind(**asdict(self.describe())).info("connection.not_read")
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
            self._count_unsent_bytes(),
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
        if self.is_serving or self._is_ending:
            return False
        header_timeout_s = self._server.limits.header_timeout_s
        return self.use.is_over(now, self._count_unread_bytes(), header_timeout_s)

    def must_close(self) -> bool:
        """Whether the response must carry `Connection: close`.

        Not yet if the client has already sent more, which could not be answered then.
        """
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
                self._release_body()
            await self._end_in_order()
        except (ClientDisconnectedError, asyncio.CancelledError):
            pass
        except Exception:
            logger.exception("connection.failed")
        finally:
            self.is_serving = False
            self._release_body()
            self.close()

    async def _serve_request(self) -> bool:
        try:
            request = await self._read_request()
        except BadRequestError as error:
            await self._reject(error)
            return False
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or 400
            await self._reject(BadRequestError(status, str(error)))
            return False
        if request is None:
            return False
        exchange = Exchange(self, request)
        try:
            await self._server.handler(exchange)
            await self._flush()
        finally:
            self.is_serving = False
            self.use.record_end(boot_time())
        if not exchange.is_complete:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def _flush(self) -> None:
        """Wait until the kernel has all bytes of a response."""
        transport = self._transport
        if transport is None or not transport.get_write_buffer_size():
            return
        low, high = transport.get_write_buffer_limits()
        transport.set_write_buffer_limits(high=0)
        await self.drain()
        if self._transport is not None:
            transport.set_write_buffer_limits(high, low)

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
        self._resume_reading()
        # The end of the client's bytes closes the transport and cancels the task.
        await asyncio.sleep(CLIENT_CLOSE_WAIT_S)

    async def _read_request(self) -> HttpRequest | None:
        limits = self._server.limits
        idle_timeout_s = self.use.choose_idle_timeout_s(limits.idle_timeout_s)
        first = await self._next_event(idle_timeout_s)
        if not isinstance(first, h11.Request):
            return None
        self.is_serving = True
        headers = tuple((bytes(k), bytes(v)) for k, v in first.headers)
        validate_head(headers, bytes(first.target), limits)
        body = bytearray()
        self._is_reading_body = True
        self._server.waiting_connections.add(self)
        self._progress_at = boot_time()
        deadline = asyncio.get_running_loop().time() + max(
            limits.header_timeout_s, limits.idle_timeout_s
        )
        if self._h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            left_s = deadline - asyncio.get_running_loop().time()
            event = await self._next_event(left_s)
            if event is None:
                raise BadRequestError(408, "the request body did not arrive in time")
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            self._body_bytes = len(body)
            if len(body) > limits.body_bytes:
                raise BadRequestError(413, "the request body is over the limit")
            self._reserve_body(len(body))
        self._is_reading_body = False
        self._end_waiting()
        return HttpRequest(
            bytes(first.method), bytes(first.target), headers, bytes(body)
        )

    def _reserve_body(self, size: int) -> None:
        """Reserve memory for a body until the request ends.

        Raises `BadRequestError` if the bodies of all connections take too much.
        """
        if self._reservation is None:
            self._reservation = Reservation(self._server.body_budget)
        try:
            self._reservation.resize(size)
        except BudgetExhaustedError as error:
            raise BadRequestError(503, str(error)) from error

    def _end_waiting(self) -> None:
        """Stop counting the connection as one that waits, if it waits for nothing."""
        if self._can_write.is_set() and not self._is_reading_body:
            self._server.waiting_connections.discard(self)

    def _release_body(self) -> None:
        self._is_reading_body = False
        self._body_bytes = 0
        self._end_waiting()
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    async def _next_event(self, timeout_s: float) -> Any:
        """Return the next h11 event, or None if none arrives in time."""
        self._events_in_turn += 1
        if self._events_in_turn > MAX_EVENTS_PER_TURN:
            self._events_in_turn = 0
            await self._server.turns.wait()
            self._require_client()
        while True:
            if self._is_stalled:
                raise BadRequestError(408, "the request body does not arrive")
            event = self._h11.next_event()
            if event is not NEED_DATA:
                return event
            self._resume_reading()
            self._wake.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wake.wait()
            except TimeoutError:
                return None
            self._events_in_turn = 0

    def _require_client(self) -> None:
        """Raise `ClientDisconnectedError` if the client has left."""
        self._turns_taken += 1
        if self._turns_taken % TURNS_PER_CHECK or self._transport is None:
            return
        if has_peer_closed(self._transport.get_extra_info("socket")):
            raise ClientDisconnectedError

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    async def _reject(self, error: BadRequestError) -> None:
        self._release_body()
        logger.bind(status=error.status, reason=str(error)).info("request.malformed")
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(error).encode()
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        self.send(h11.Response(status_code=error.status, headers=headers))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())


__all__ = ("HttpServerConnection",)
