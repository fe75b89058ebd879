"""Reads the requests of one client connection, within the limits on clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import h11

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.bounded_reads import READ_PAUSE_BYTES
from persimmonlink_router.byte_budget import BudgetExhaustedError, Reservation
from persimmonlink_router.client_pressure.client_progress import (
    ClientProgress,
    WaitsFor,
)
from persimmonlink_router.http_exchange import (
    BadRequestError,
    ClientDisconnectedError,
    validate_head,
)
from persimmonlink_router.http_messages import HttpRequest
from persimmonlink_router.socket_options import has_peer_closed

if TYPE_CHECKING:
    from persimmonlink_router.client_use_times import ConnectionUse
    from persimmonlink_router.http_server import HttpServer

# Events read from one connection before others get a turn.
MAX_EVENTS_PER_TURN = 8
# Turns after which a busy connection is asked whether its client has left: its reading
# is paused, so that the end of its bytes isn't seen.
TURNS_PER_CHECK = 16
# Time of waiting for one turn after which it is asked in any case.
LONG_TURN_WAIT_S = 0.5
NEED_DATA: Any = h11.NEED_DATA


class RequestReader:
    """Turns the bytes of a connection into requests.

    Reading is paused while bytes wait to be parsed. While a request is served it goes
    on, so that the client's close is seen.

    Parameters
    ----------
    framing : h11.Connection
        Framing of the connection.
    server : HttpServer
        Limits, memory and turns that all connections share.
    use : ConnectionUse
        What the client has been told.
    """

    def __init__(
        self, framing: h11.Connection, server: HttpServer, use: ConnectionUse
    ) -> None:
        self._framing = framing
        self._server = server
        self._use = use
        self._transport: asyncio.Transport | None = None
        self._wake = asyncio.Event()
        self._unparsed_bytes = 0
        self._is_paused = False
        self._is_stalled = False
        self._events_in_turn = 0
        self._turns_taken = 0
        self._head_began_at: float | None = None
        self._reservation: Reservation | None = None
        self.body_bytes = 0
        self.has_request = False
        self.progress = ClientProgress(use.opened_at)

    @property
    def is_paused(self) -> bool:
        """Whether nothing is read, so that a close by the client isn't seen."""
        return self._is_paused

    @property
    def held_bytes(self) -> int:
        """Bytes of the head or the body that have arrived."""
        if self.progress.waits_for is WaitsFor.HEAD:
            return self.progress.bytes
        return self.body_bytes

    def attach(self, transport: asyncio.Transport) -> None:
        """Read from a transport."""
        self._transport = transport

    def receive(self, data: bytes) -> None:
        """Take bytes of the client; raise `h11.RemoteProtocolError` for unfit ones."""
        self._framing.receive_data(data)
        now = boot_time()
        if not self.has_request and self.progress.waits_for is WaitsFor.NOTHING:
            self.progress.begin(WaitsFor.HEAD, now)
        if self.progress.waits_for in (WaitsFor.HEAD, WaitsFor.BODY):
            self.progress.record(len(data), now)
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > READ_PAUSE_BYTES and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake.set()

    def end_stalled(self) -> None:
        """Refuse the request that is being read."""
        self._is_stalled = True
        self._wake.set()

    def resume(self) -> None:
        """Read on, if reading was paused."""
        self._unparsed_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    async def read(self) -> HttpRequest | None:
        """Return the next request, or None if the client sends none.

        Raises `BadRequestError` for one that is refused, `h11.RemoteProtocolError` for
        bytes that are no request, and `ClientDisconnectedError`.
        """
        first = await self._read_head()
        if not isinstance(first, h11.Request):
            return None
        self.has_request = True
        self._head_began_at = None
        limits = self._server.limits
        headers = tuple((bytes(k), bytes(v)) for k, v in first.headers)
        validate_head(headers, bytes(first.target), limits)
        if self._framing.they_are_waiting_for_100_continue:
            self._send_continue()
        body = await self._read_body()
        if body is None:
            return None
        self.progress.begin(WaitsFor.NOTHING, boot_time())
        self._watch_for_close()
        return HttpRequest(bytes(first.method), bytes(first.target), headers, body)

    def finish(self) -> None:
        """Give the memory of the request back, and wait for the next one."""
        self.has_request = False
        self.body_bytes = 0
        self.progress.begin(WaitsFor.NOTHING, boot_time())
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    async def _read_head(self) -> Any:
        """Return the first event of a request, or None if the client sends none."""
        limits = self._server.limits
        idle_timeout_s = self._use.choose_idle_timeout_s(limits.idle_timeout_s)
        ends_at = boot_time() + idle_timeout_s
        while True:
            event = await self._next_event(ends_at, "the request head")
            if event is not NEED_DATA:
                return event
            if self._head_began_at is None and self._begin_head():
                ends_at = boot_time() + limits.header_timeout_s
            if await self._wait_for_bytes(ends_at):
                continue
            if self._head_began_at is None:
                return None
            raise BadRequestError(408, "the request head did not arrive in time")

    def _begin_head(self) -> bool:
        """Return whether the first bytes of a head have arrived; count them."""
        waiting = len(self._framing.trailing_data[0])
        if not waiting:
            return False
        now = self._head_began_at = boot_time()
        self.progress.begin(WaitsFor.HEAD, now)
        self.progress.record(waiting, now)
        return True

    async def _read_body(self) -> bytes | None:
        """Return a body, or None if the client breaks it off."""
        limits = self._server.limits
        now = boot_time()
        self.progress.begin(WaitsFor.BODY, now)
        ends_at = now + max(limits.header_timeout_s, limits.idle_timeout_s)
        body = bytearray()
        while True:
            event = await self._next_event(ends_at, "the request body")
            if event is NEED_DATA:
                if not await self._wait_for_bytes(ends_at):
                    raise BadRequestError(
                        408, "the request body did not arrive in time"
                    )
                continue
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            self.body_bytes = len(body)
            if len(body) > limits.body_bytes:
                raise BadRequestError(413, "the request body is over the limit")
            self._reserve(len(body))

    def _reserve(self, size: int) -> None:
        """Reserve memory for a body until the request ends.

        Raises `BadRequestError` if the bodies of all connections take too much.
        """
        if self._reservation is None:
            self._reservation = Reservation(self._server.body_budget)
        try:
            self._reservation.resize(size)
        except BudgetExhaustedError as error:
            raise BadRequestError(503, str(error)) from error

    async def _next_event(self, ends_at: float, what: str) -> Any:
        """Return the next h11 event, or `NEED_DATA`, when the connection has a turn.

        Raises `BadRequestError` if something has not arrived by a boot time.
        """
        self._events_in_turn += 1
        if self._events_in_turn > MAX_EVENTS_PER_TURN:
            await self._wait_for_turn()
            if boot_time() > ends_at:
                raise BadRequestError(408, f"{what} did not arrive in time")
        if self._is_stalled:
            raise BadRequestError(408, f"{what} does not arrive")
        return self._framing.next_event()

    async def _wait_for_turn(self) -> None:
        """Wait until others had their turns, and require that the client is there."""
        self._events_in_turn = 0
        began_at = boot_time()
        await self._server.turns.wait()
        self._turns_taken += 1
        is_long = boot_time() - began_at > LONG_TURN_WAIT_S
        if self._turns_taken % TURNS_PER_CHECK and not is_long:
            return
        if self._transport is None:
            return
        if has_peer_closed(self._transport.get_extra_info("socket")):
            raise ClientDisconnectedError

    async def _wait_for_bytes(self, ends_at: float) -> bool:
        """Wait for bytes of the client; return whether any came in time."""
        self.resume()
        self._wake.clear()
        try:
            async with asyncio.timeout(ends_at - boot_time()):
                await self._wake.wait()
        except TimeoutError:
            return False
        self._events_in_turn = 0
        return True

    def _watch_for_close(self) -> None:
        """Read on while the request is served, unless much more has arrived."""
        waiting = len(self._framing.trailing_data[0])
        if waiting <= READ_PAUSE_BYTES:
            self.resume()
        self._unparsed_bytes = waiting

    def _send_continue(self) -> None:
        if self._transport is None:
            raise ClientDisconnectedError
        response = h11.InformationalResponse(status_code=100, headers=[])
        data = self._framing.send(response)
        if data:
            self._transport.write(data)


__all__ = ("RequestReader",)
