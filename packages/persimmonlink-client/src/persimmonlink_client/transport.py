"""HTTP exchanges with nodes, and the run state that a broken one implies."""

from __future__ import annotations

import socket
import threading
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import urllib3
from returns.result import Failure as Failed
from returns.result import Result, Success
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from persimmonlink_client.messages import Problem
from persimmonlink_interfaces.bounded_response import (
    MAX_BODY_BYTES,
    BoundedConnectionPool,
    iterate_lines,
    iterate_parts,
    read_body,
)
from persimmonlink_model.result_code import Failure, ResultCode, RunState

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_TIMEOUT_S = 5.0
POOL_SIZE = 32
TCP_USER_TIMEOUT_MS = 500
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

# Dead connections are detected long before the deadline of a request.
_SOCKET_OPTIONS: list[tuple[int, int, int]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


@dataclass(frozen=True)
class Reply:
    """A completely received HTTP response.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the response.
    retry_after_s : float or None
        Value of the `Retry-After` header, in seconds.
    """

    status: int
    body: bytes
    retry_after_s: float | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is of the 2xx class."""
        return 200 <= self.status < 300

    def decode(self, type_: type[T]) -> Result[T, Failure]:
        """Decode the body of a 2xx response; return the failure in any other one."""
        if not self.is_success:
            return Failed(self.to_problem().to_failure())
        return decode(self.body, type_)

    def to_problem(self) -> Problem:
        """Parse the body as a problem; an unreadable body means run state `UNKNOWN`."""
        try:
            problem = msgspec.json.decode(self.body, type=Problem)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Problem(
                code=ResultCode.INTERNAL_ERROR,
                detail=f"HTTP status {self.status} without a valid problem object",
            )
        if problem.retry_after_s is None and self.retry_after_s is not None:
            return replace(problem, retry_after_s=self.retry_after_s)
        return problem


class HttpTransport:
    """HTTP exchanges with nodes, without automatic retries or redirects."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=POOL_SIZE,
            maxsize=POOL_SIZE,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )
        self._pool.pool_classes_by_scheme = {"http": BoundedConnectionPool}
        self._lock = threading.Lock()
        self._last_used_at_by_address: dict[str, float] = {}

    def exchange(
        self, method: str, address: str, path: str, timeout_s: float, body: Any = None
    ) -> Result[Reply, Failure]:
        """Send a request and read its complete response.

        Parameters
        ----------
        method : str
            HTTP method.
        address : str
            `IP:PORT` of the node.
        path : str
            Path of the request.
        timeout_s : float
            Timeout of each read, in seconds.
        body : Any
            Value to send as JSON, or None for no body.

        Returns
        -------
        Result
            The response, whatever its status, or `PEER_UNREACHABLE`: with run state
            `NOT_RUN` if nothing was sent, with `UNKNOWN` if the exchange broke.
        """
        opened = self._send(method, address, path, timeout_s, body)
        if not isinstance(opened, Success):
            return Failed(opened.failure())
        response = opened.unwrap()
        try:
            data = read_body(response, timeout_s)
        except HTTPError as error:
            return Failed(self._handle_broken_exchange(address, error))
        return Success(_to_reply(response, data))

    def open_stream(
        self, address: str, path: str, timeout_s: float, body: Any
    ) -> Result[Reply | Iterator[Result[bytes, Failure]], Failure]:
        """Post a request and return the response lines as they arrive.

        Parameters
        ----------
        address : str
            `IP:PORT` of the node.
        path : str
            Path of the request.
        timeout_s : float
            Timeout of each read, in seconds.
        body : Any
            Value to send as JSON.

        Returns
        -------
        Result
            The lines of a 2xx response, a `Reply` for any other status, or a failure
            as in `exchange`.
        """
        opened = self._send("POST", address, path, timeout_s, body)
        if not isinstance(opened, Success):
            return Failed(opened.failure())
        response = opened.unwrap()
        if 200 <= response.status < 300:
            return Success(self._iterate_lines(address, response))
        try:
            data = read_body(response, timeout_s)
        except HTTPError as error:
            return Failed(self._handle_broken_exchange(address, error))
        return Success(_to_reply(response, data))

    def _send(
        self, method: str, address: str, path: str, timeout_s: float, body: Any
    ) -> Result[urllib3.BaseHTTPResponse, Failure]:
        """Send a request and wait for the response headers."""
        self._drop_idle_connections(address)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=None if body is None else msgspec.json.encode(body),
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            detail = f"could not connect to {address}: {error}"
            return Failed(
                Failure(ResultCode.PEER_UNREACHABLE, detail, RunState.NOT_RUN)
            )
        except HTTPError as error:
            return Failed(self._handle_broken_exchange(address, error))
        return Success(response)

    def _iterate_lines(
        self, address: str, response: urllib3.BaseHTTPResponse
    ) -> Iterator[Result[bytes, Failure]]:
        """Yield the lines of a response; a failure is the last item."""
        is_complete = False
        parts = iterate_parts(response)
        try:
            for line in iterate_lines(parts, MAX_BODY_BYTES):
                if line.strip():
                    yield Success(line)
            is_complete = True
        except HTTPError as error:
            yield Failed(self._handle_broken_exchange(address, error))
        finally:
            if is_complete:
                response.release_conn()
            else:
                response.close()

    def _drop_idle_connections(self, address: str) -> None:
        """Close all pooled connections if the address was unused for too long.

        An idle connection may have died without an error.
        """
        now = time.monotonic()
        with self._lock:
            last_used_at = self._last_used_at_by_address.get(address, now)
            self._last_used_at_by_address[address] = now
        if now - last_used_at > IDLE_CONNECTION_TIMEOUT_S:
            self._pool.clear()

    def _handle_broken_exchange(self, address: str, error: HTTPError) -> Failure:
        """Close all pooled connections and return the failure of the exchange.

        The other connections may be dead too.
        """
        self._pool.clear()
        detail = f"the connection to {address} broke: {error}"
        return Failure(ResultCode.PEER_UNREACHABLE, detail, RunState.UNKNOWN)


def decode(data: bytes, type_: type[T]) -> Result[T, Failure]:
    """Decode JSON into a dataclass, ignoring unknown fields.

    Parameters
    ----------
    data : bytes
        The JSON text.
    type_ : type
        A dataclass type.

    Returns
    -------
    Result
        The value, or `PEER_UNREACHABLE` with run state `UNKNOWN` if it doesn't fit
        the type.
    """
    try:
        return Success(msgspec.json.decode(data, type=type_))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        detail = f"malformed response: {error}"
        return Failed(Failure(ResultCode.PEER_UNREACHABLE, detail, RunState.UNKNOWN))


def _to_reply(response: urllib3.BaseHTTPResponse, data: bytes) -> Reply:
    """Convert a response whose body was read to a reply."""
    retry_after = response.headers.get("Retry-After", "")
    try:
        retry_after_s: float | None = float(retry_after)
    except ValueError:
        retry_after_s = None
    return Reply(response.status, data, retry_after_s)


__all__ = ("HttpTransport", "Reply", "decode")
