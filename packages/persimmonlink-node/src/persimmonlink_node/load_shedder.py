"""Refuses connections while all request threads are busy."""

from __future__ import annotations

import math
import socket
import threading
import time
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec

from persimmonlink_model.result_code import INFO_BY_CODE, Failure, ResultCode
from persimmonlink_node.http_exchange import PROBLEM_TYPE

if TYPE_CHECKING:
    from cheroot.server import HTTPConnection

RETRY_AFTER_S = 1.0
LINGER_S = 1.0
CLOSE_INTERVAL_S = 0.5
MAX_LINGERING = 512
READ_BYTES = 65536


class LoadShedder:
    """Answers refused connections with `OVERLOADED` without reading the request.

    The response is correct for any request, because nothing of it was run. After the
    response a connection stays half open for `LINGER_S`: closing it with unread data
    would reset it, and the caller could lose the response.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lingering: deque[tuple[float, HTTPConnection]] = deque()
        self._stopped = threading.Event()
        self._response = _encode_overloaded_response()

    def start(self) -> None:
        """Start the thread that closes refused connections after the linger time."""
        threading.Thread(target=self._run, name="load-shedder", daemon=True).start()

    def stop(self) -> None:
        """Close all refused connections."""
        self._stopped.set()

    def shed(self, connection: HTTPConnection) -> None:
        """Send the refusal on a connection without blocking."""
        with self._lock:
            close_now = len(self._lingering) >= MAX_LINGERING
        try:
            connection.socket.setblocking(False)
            connection.socket.send(self._response)
            connection.socket.shutdown(socket.SHUT_WR)
        except OSError:
            close_now = True
        if close_now:
            _drain_and_close(connection)
            return
        with self._lock:
            self._lingering.append((time.monotonic() + LINGER_S, connection))

    def _run(self) -> None:
        while not self._stopped.wait(CLOSE_INTERVAL_S):
            self._close_due(time.monotonic())
        self._close_due(math.inf)

    def _close_due(self, due_at: float) -> None:
        while True:
            with self._lock:
                if not self._lingering or self._lingering[0][0] > due_at:
                    return
                _, connection = self._lingering.popleft()
            _drain_and_close(connection)


def _drain_and_close(connection: HTTPConnection) -> None:
    with suppress(OSError):
        while connection.socket.recv(READ_BYTES):
            continue
    with suppress(OSError):
        connection.close()


def _encode_overloaded_response() -> bytes:
    failure = Failure(
        ResultCode.OVERLOADED, "no free request thread", retry_after_s=RETRY_AFTER_S
    )
    body = msgspec.json.encode(failure.to_problem())
    head = (
        f"HTTP/1.1 {INFO_BY_CODE[failure.code].http_status} Service Unavailable\r\n"
        f"Content-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Retry-After: {math.ceil(RETRY_AFTER_S)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


__all__ = ("LoadShedder",)
