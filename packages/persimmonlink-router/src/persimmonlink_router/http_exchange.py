"""One request of a client and the response to it, and how requests are limited."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from persimmonlink_router.client_use_times import choose_keep_alive_s

if TYPE_CHECKING:
    from persimmonlink_router.http_connection import HttpServerConnection
    from persimmonlink_router.http_messages import Headers, HttpRequest


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


class InvalidHeadError(Exception):
    """A status or header of a response can't be sent in HTTP/1.1."""


def validate_head(headers: Headers, target: bytes, limits: RequestLimits) -> None:
    """Raise `BadRequestError` if the head is ambiguous or over the limits."""
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

    @property
    def has_client(self) -> bool:
        """Whether the client can still receive a response."""
        return self._connection.is_open

    async def respond(
        self, status: int, headers: Headers | list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        self._start(status, framed)
        if body and self.request.method != b"HEAD":
            await self._connection.write_body(body)
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
        must_close = self._connection.must_close()
        keep_alive_s = choose_keep_alive_s(self._connection.idle_timeout_s)
        if must_close:
            keep_alive_s = 0
        headers = [
            *headers,
            *_build_connection_headers(keep_alive_s, must_close=must_close),
        ]
        try:
            head = h11.Response(status_code=status, headers=headers)
        except h11.LocalProtocolError as error:
            raise InvalidHeadError(str(error)) from error
        self._connection.use.record_begin(keep_alive_s, is_last=must_close)
        self.has_started = True
        self._connection.send(head)


def _build_connection_headers(
    keep_alive_s: int, *, must_close: bool
) -> list[tuple[bytes, bytes]]:
    """Return the headers that say how long the client may use its connection."""
    if must_close:
        return [(b"connection", b"close")]
    if not keep_alive_s:
        return []
    return [
        (b"connection", b"keep-alive"),
        (b"keep-alive", f"timeout={keep_alive_s}".encode()),
    ]


__all__ = (
    "BadRequestError",
    "ClientDisconnectedError",
    "Exchange",
    "InvalidHeadError",
    "RequestLimits",
    "validate_head",
)
