"""Reads heads and bodies of responses within limits of bytes and of time."""

from __future__ import annotations

import http.client
import io
import math
import time
from typing import TYPE_CHECKING, Any

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.exceptions import TimeoutError as HttpTimeoutError

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_HEAD_BYTES = 131072  # Largest head, with the interim responses before it.
READ_BYTES = 65536  # Bytes that are asked for at once.
MAX_BODY_BYTES = 16777216  # Largest body of a complete response.
MAX_LINE_BYTES = 1048576  # Largest line of a streamed response.


class ResponseTooLongError(HTTPError):
    """A body, or a line of it, is over its limit of bytes."""


class _BoundedReader(io.RawIOBase):
    """Reads a socket within a limit of bytes and time until the head has ended."""

    def __init__(self, raw: io.RawIOBase, timeout_s: float | None) -> None:
        self._raw = raw
        self._is_in_head = True
        self._bytes_left = MAX_HEAD_BYTES
        self._ends_at = None if timeout_s is None else time.monotonic() + timeout_s

    def end_head(self) -> None:
        """Remove the limits."""
        self._is_in_head = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self._is_in_head:
            if self._ends_at is not None and time.monotonic() > self._ends_at:
                raise TimeoutError("the response head has not ended in time")
            if self._bytes_left <= 0:
                raise http.client.LineTooLong("response head")
            buffer = memoryview(buffer)[: self._bytes_left]
        count = self._raw.readinto(buffer)
        self._bytes_left -= count or 0
        return count

    def close(self) -> None:
        self._raw.close()
        super().close()


class _BoundedHeadResponse(http.client.HTTPResponse):
    """Response whose head must end within the timeout of its socket."""

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader = _BoundedReader(self.fp.detach(), sock.gettimeout())
        self.fp = io.BufferedReader(self._reader)

    def begin(self) -> None:
        super().begin()
        self._reader.end_head()


class _BoundedConnection(HTTPConnection):
    response_class = _BoundedHeadResponse


class BoundedConnectionPool(HTTPConnectionPool):
    """Connection pool whose responses have bounded heads."""

    ConnectionCls = _BoundedConnection


def read_body(
    response: Any, timeout_s: float, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Read a complete body, and return its connection to the pool.

    The connection is closed if the body is not read completely.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Response that was requested without its content.
    timeout_s : float
        Longest time for the whole body, in seconds.
    max_bytes : int
        Largest body.

    Raises
    ------
    ResponseTooLongError
        The body is longer than `max_bytes`.
    urllib3.exceptions.TimeoutError
        The body has not ended in time.
    """
    parts: list[bytes] = []
    size = 0
    is_complete = False
    try:
        for part in iterate_parts(response, timeout_s):
            size += len(part)
            if size > max_bytes:
                raise ResponseTooLongError(f"the body is over {max_bytes} bytes long")
            parts.append(part)
        is_complete = True
    finally:
        if is_complete:
            response.release_conn()
        else:
            response.close()
    return b"".join(parts)


def iterate_parts(response: Any, timeout_s: float = math.inf) -> Iterator[bytes]:
    """Yield the parts of a body as they arrive.

    Raises `urllib3.exceptions.TimeoutError` if it does not end within `timeout_s`.
    """
    ends_at = time.monotonic() + timeout_s
    while part := response.read1(READ_BYTES):
        if time.monotonic() > ends_at:
            raise HttpTimeoutError(f"the body has not ended after {timeout_s} s")
        yield part


def iterate_lines(
    parts: Iterator[bytes], max_bytes: int = MAX_LINE_BYTES
) -> Iterator[bytes]:
    """Yield the lines of a stream without their line feeds, the last one if not empty.

    Raises `ResponseTooLongError` if a line is over `max_bytes`.
    """
    pending = b""
    for part in parts:
        *lines, pending = (pending + part).split(b"\n")
        yield from lines
        if len(pending) > max_bytes:
            raise ResponseTooLongError(f"a line is over {max_bytes} bytes long")
    if pending:
        yield pending


__all__ = (
    "MAX_BODY_BYTES",
    "MAX_LINE_BYTES",
    "READ_BYTES",
    "BoundedConnectionPool",
    "ResponseTooLongError",
    "iterate_lines",
    "iterate_parts",
    "read_body",
)
