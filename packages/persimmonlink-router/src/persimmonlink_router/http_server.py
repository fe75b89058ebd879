"""HTTP/1.1 server: framing by h11, one task per client connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import h11
from loguru import logger

from persimmonlink_router.http_messages import Headers, HttpRequest

READ_PAUSE_BYTES = 262144  # Unread bytes at which reading is paused.
LISTEN_BACKLOG = 512  # Connections that wait to be accepted.
NEED_DATA: Any = h11.NEED_DATA
HTTP_1_0 = b"1.0"  # Version without chunked encoding.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 seconds.


class ClientDisconnectedError(Exception):
    """The client closed its connection."""


@dataclass(slots=True)
class RequestLimits:
    """Limits on client requests, updated when the configuration changes.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class BadRequestError(Exception):
    """The request violates the protocol or the limits."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Exchange:
    """One request of a client, and the response to it.

    Parameters
    ----------
    connection : HttpServerConnection
        Connection that received the request.
    request : HttpRequest
        The complete request.
    """

    def __init__(self, connection: HttpServerConnection, request: HttpRequest) -> None:
        self._connection = connection
        self.request = request
        self.has_started = False
        self.is_complete = False

    async def respond(
        self, status: int, headers: Headers | list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        self._start(status, framed)
        if body and self.request.method != b"HEAD":
            self._connection.send(h11.Data(data=body))
        await self.end()

    def start_stream(
        self, status: int, headers: Headers | list[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of a response whose length is unknown, in chunked encoding."""
        self._start(status, [*headers, (b"transfer-encoding", b"chunked")])

    async def send(self, data: bytes) -> None:
        """Send a part of a stream; wait while the write buffer is full."""
        self._connection.send(h11.Data(data=data))
        await self._connection.drain()

    async def end(self) -> None:
        """Complete the response."""
        self._connection.send(h11.EndOfMessage())
        self.is_complete = True
        await self._connection.drain()

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        self._connection.close()

    def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self._connection.must_close():
            headers = [*headers, (b"connection", b"close")]
        self.has_started = True
        self._connection.send(h11.Response(status_code=status, headers=headers))


Handler = Callable[[Exchange], Awaitable[None]]


class HttpServerConnection(asyncio.Protocol):
    """A client connection; its task serves one request after another."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes + 4096
        )
        self._transport: asyncio.Transport | None = None
        self._wake = asyncio.Event()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._task: asyncio.Task[None] | None = None
        self._unread_bytes = 0
        self._is_paused = False
        self.is_serving = False

    def connection_made(self, transport: Any) -> None:
        """Start the task of the connection."""
        self._transport = transport
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Receive request bytes; close the connection if they are not HTTP."""
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self.close()
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_PAUSE_BYTES and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self) -> bool:
        """Treat a half-close by the client as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task, because no client waits for the response."""
        self._transport = None
        self._can_write.set()
        self._server.connections.discard(self)
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def pause_writing(self) -> None:
        """Block `drain` while the write buffer is full."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Unblock `drain` once the client has read enough."""
        self._can_write.set()

    def send(self, event: Any) -> None:
        """Write an h11 event; raise `ClientDisconnectedError` if the client left."""
        if self._transport is None:
            raise ClientDisconnectedError
        data = self._h11.send(event)
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if not self._can_write.is_set():
            await self._can_write.wait()

    def must_close(self) -> bool:
        """Whether the response must carry `Connection: close`."""
        return self._server.is_stopping

    def close(self) -> None:
        """Close the connection once the written bytes are sent.

        A response that only the end of the connection delimits is reset if it is
        incomplete, since an orderly end would complete it.
        """
        if self._transport is None:
            return
        is_incomplete = self._h11.our_state is h11.SEND_BODY
        if is_incomplete and self._h11.their_http_version == HTTP_1_0:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._transport.abort()
            return
        self._transport.close()

    async def _run(self) -> None:
        try:
            while await self._serve_request():
                pass
        except (ClientDisconnectedError, asyncio.CancelledError):
            pass
        except Exception:
            logger.exception("connection.failed")
        finally:
            self.is_serving = False
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
        finally:
            self.is_serving = False
        if not exchange.is_complete:
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        if self._server.is_stopping:
            return False
        self._h11.start_next_cycle()
        return True

    async def _read_request(self) -> HttpRequest | None:
        limits = self._server.limits
        first = await self._next_event(limits.idle_timeout_s)
        if not isinstance(first, h11.Request):
            return None
        self.is_serving = True
        headers = tuple((bytes(k), bytes(v)) for k, v in first.headers)
        _validate_head(headers, bytes(first.target), limits)
        parts: list[bytes] = []
        size = 0
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
            size += len(event.data)
            if size > limits.body_bytes:
                raise BadRequestError(413, "the request body is over the limit")
            parts.append(bytes(event.data))
        return HttpRequest(
            bytes(first.method), bytes(first.target), headers, b"".join(parts)
        )

    async def _next_event(self, timeout_s: float) -> Any:
        """Return the next h11 event, or None if none arrives in time."""
        while True:
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

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    async def _reject(self, error: BadRequestError) -> None:
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


def _validate_head(headers: Headers, target: bytes, limits: RequestLimits) -> None:
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequestError(
            400, "Transfer-Encoding and Content-Length are both present"
        )
    if names.count(b"host") != 1:
        raise BadRequestError(400, "the Host header is missing or repeated")
    size = len(target) + sum(len(k) + len(v) + 4 for k, v in headers)
    if size > limits.header_bytes:
        raise BadRequestError(431, "the request head is over the limit")


class HttpServer:
    """Listens at an address and passes each request to a handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that serves one exchange.
    limits : RequestLimits
        Limits on client requests.
    """

    def __init__(self, handler: Handler, limits: RequestLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[HttpServerConnection] = set()
        self.is_stopping = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpServerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    def count_active_requests(self) -> int:
        """Return the number of requests being read or served."""
        return sum(1 for connection in self.connections if connection.is_serving)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


__all__ = (
    "BadRequestError",
    "ClientDisconnectedError",
    "Exchange",
    "Handler",
    "HttpServer",
    "RequestLimits",
)
