"""HTTP/1.1 client connections to backend servers and the store, framed by h11."""

from __future__ import annotations

import asyncio
from typing import Any

import h11

from persimmonlink_router.bounded_reads import READ_PAUSE_BYTES, BoundedReads
from persimmonlink_router.byte_budget import BudgetExhaustedError, ByteBudget
from persimmonlink_router.http_framing import create_framing
from persimmonlink_router.http_messages import Headers, HttpResponseHead
from persimmonlink_router.socket_options import bound_silence, reset_on_close

MAX_HEAD_BYTES = 65536  # Largest response head.
MAX_STATUS = 599  # Largest status that HTTP has.
MAX_INFORMATIONAL_RESPONSES = 8  # Most interim responses before the final one.
# Events read from one connection before others get a turn: received bytes may hold
# thousands of chunks.
MAX_EVENTS_PER_TURN = 32
MAX_IDLE_LIMIT_S = 3600.0  # A longer idle time that a server states counts as this.
NEED_DATA: Any = h11.NEED_DATA


class ConnectError(Exception):
    """The connection was not established, so that nothing was sent."""


class ConnectionLostError(Exception):
    """The connection failed, or what it received is not a valid response."""


class BodyTooLongError(ConnectionLostError):
    """A response body is longer than its reader takes."""


class HttpClientConnection(BoundedReads):
    """A client connection that carries one request at a time.

    Parameters
    ----------
    address : str
        `IP:PORT` of the other end.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._h11 = create_framing(h11.CLIENT, MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._wake = asyncio.Event()
        self._error: Exception | None = None
        self._is_open = False
        self._is_busy = False
        self._is_dirty = False
        self._unread_bytes = 0
        self._events_in_turn = 0
        self._is_paused = False
        self._request: h11.Request | None = None
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.was_used = False
        # Request that was rejected last on this connection, empty for none.
        self.rejected_request_id = ""

    async def connect(self, timeout_s: float) -> None:
        """Open the connection; raise `ConnectError` if that fails."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: self, host, int(port))
        except (TimeoutError, OSError, ValueError, OverflowError) as error:
            raise ConnectError(f"{self.address}: {error!r}") from error

    def connection_made(self, transport: Any) -> None:
        """Set the socket options of all connections to servers and the store."""
        self._transport = transport
        self._is_open = True
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        bound_silence(sock)

    def data_received(self, data: bytes) -> None:
        """Receive response bytes; bytes outside an exchange close the connection."""
        if not self._is_busy:
            self._is_dirty = True
            self.close()
            return
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._error = error
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_PAUSE_BYTES and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self) -> bool:
        """Handle an orderly close by the server, which may delimit the response."""
        self._is_open = False
        if self._is_busy:
            try:
                self._h11.receive_data(b"")
            except h11.RemoteProtocolError as error:
                self._error = error
        self._wake.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss; after an error, a response without length is incomplete."""
        if exc is not None or self._is_open:
            self._error = self._error or exc or ConnectionResetError("closed")
        self._is_open = False
        self._transport = None
        self._wake.set()

    @property
    def state_text(self) -> str:
        """State for the log: open, closed in order, or the error that closed it."""
        if self._error is not None:
            return type(self._error).__name__
        return "open" if self._is_open else "closed"

    @property
    def is_open(self) -> bool:
        """Whether the server has not closed the connection."""
        return self._is_open

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._is_open and not self._is_busy and not self._is_dirty

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a complete request; raise `ConnectionLostError` if closed or in use."""
        if not self.is_reusable or self._transport is None:
            raise ConnectionLostError(f"{self.address}: the connection is not usable")
        self._is_busy = True
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        data = self._h11.send(self._request) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(data)

    async def stays_open(self, seconds: float) -> bool:
        """Whether the server leaves an idle connection open for a time in seconds."""
        try:
            async with asyncio.timeout(seconds):
                while self._is_open:
                    self._wake.clear()
                    await self._wake.wait()
        except TimeoutError:
            return self._is_open
        return False

    async def read_head(self) -> HttpResponseHead:
        """Wait for the status and headers of the response."""
        informational_count = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                informational_count += 1
                if informational_count > MAX_INFORMATIONAL_RESPONSES:
                    raise ConnectionLostError(
                        f"{self.address}: too many interim responses"
                    )
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionLostError(f"{self.address}: no response head")
            if event.status_code > MAX_STATUS:
                raise ConnectionLostError(
                    f"{self.address}: {event.status_code} is no status of HTTP"
                )
            headers = tuple((bytes(k), bytes(v)) for k, v in event.headers)
            self._parse_keep_alive(headers)
            return HttpResponseHead(event.status_code, headers)

    async def read_body_part(self) -> bytes | None:
        """Wait for the next bytes of the body; return None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError(f"{self.address}: the response body is truncated")

    async def read_body(
        self, max_bytes: int, budget: ByteBudget | None = None
    ) -> bytes:
        """Wait for the complete body.

        Raises `BodyTooLongError` if it is too long, and `ConnectionLostError` if it and
        the other bodies that share a budget are.
        """
        if budget is None:
            budget = ByteBudget(max_bytes)
        # Parts of few bytes each would take a multiple of their bytes as a list.
        body = bytearray()
        with budget.open_reservation() as reservation:
            while (part := await self.read_body_part()) is not None:
                body += part
                self._require_length(len(body), max_bytes)
                try:
                    reservation.resize(len(body))
                except BudgetExhaustedError as error:
                    raise ConnectionLostError(f"{self.address}: {error}") from error
            return bytes(body)

    async def skip_body(self, max_bytes: int) -> None:
        """Wait for the end of the body, and keep nothing of it.

        Raises `BodyTooLongError` if it is too long.
        """
        size = 0
        while (part := await self.read_body_part()) is not None:
            size += len(part)
            self._require_length(size, max_bytes)

    def _require_length(self, size: int, max_bytes: int) -> None:
        if size > max_bytes:
            raise BodyTooLongError(
                f"{self.address}: the response body is over the limit"
            )

    def skip_response(self) -> None:
        """Discard the response that was read, and expect another to the same request.

        A server may repeat an earlier response where the next one is due.
        """
        if self._request is None or self._h11.their_state is not h11.DONE:
            raise ConnectionLostError(
                f"{self.address}: an unexpected response is truncated"
            )
        rest, is_closed = self._h11.trailing_data
        self._h11 = create_framing(h11.CLIENT, MAX_HEAD_BYTES)
        self._h11.send(self._request)
        if self._h11.our_state is h11.SEND_BODY:
            self._h11.send_failed()
        if rest:
            self._h11.receive_data(rest)
        if is_closed:
            self._h11.receive_data(b"")

    def finish(self, now: float) -> bool:
        """End the exchange; close the connection unless it can be reused.

        Returns whether it is kept idle from `now`, a boot time in seconds.
        """
        rest, _ = self._h11.trailing_data
        is_sent = (
            self._transport is not None and self._transport.get_write_buffer_size() == 0
        )
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        is_whole = is_sent and is_done
        if not is_whole:
            self.close()
        self._is_busy = False
        self._request = None
        if rest or not is_whole or not self._is_open:
            self.close()
            return False
        self._h11.start_next_cycle()
        self.was_used = True
        self.idle_since = now
        return True

    def close(self) -> None:
        """Abort the connection, which cancels the request at the server.

        A request under way is given up by a reset, so that what the kernel still holds
        of it never reaches the server, however long the way is cut.
        """
        self._is_dirty = True
        if self._transport is None:
            return
        if self._is_busy:
            reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    async def _next_event(self) -> Any:
        self._events_in_turn += 1
        if self._events_in_turn > MAX_EVENTS_PER_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLostError(f"{self.address}: {error}") from error
            if event is not NEED_DATA and not isinstance(event, h11.ConnectionClosed):
                return event
            if self._error is not None or not self._is_open:
                raise ConnectionLostError(f"{self.address}: {self._error!r}")
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError(f"{self.address}: the connection was closed")
            self._resume_reading()
            self._wake.clear()
            await self._wake.wait()
            self._events_in_turn = 0

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def _parse_keep_alive(self, headers: Headers) -> None:
        for name, value in headers:
            if name != b"keep-alive":
                continue
            for item in value.split(b","):
                key, _, text = item.strip().partition(b"=")
                if key.lower() == b"timeout" and text.strip().isdigit():
                    self.idle_limit_s = min(float(text), MAX_IDLE_LIMIT_S)


__all__ = (
    "BodyTooLongError",
    "ConnectError",
    "ConnectionLostError",
    "HttpClientConnection",
)
