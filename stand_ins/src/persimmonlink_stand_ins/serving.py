"""JSON over WSGI: the serving that all stand-ins share."""

from __future__ import annotations

import errno
import signal
import socket
import threading
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl
from weakref import WeakSet

import msgspec
from cheroot import wsgi
from cheroot.server import HTTPConnection

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

HOST = "127.0.0.1"
CONNECTION_ENVIRON_KEY = "persimmonlink.connection"
LISTEN_BACKLOG = 512
MAX_IDLE_CONNECTIONS = 2000
CONNECTION_TIMEOUT_S = 300
SHUTDOWN_TIMEOUT_S = 2


class _SilentWriter:
    """Writer of a connection on which nothing is sent any more."""

    bytes_written = 0

    def write(self, _data: bytes) -> int:
        raise ConnectionResetError(errno.ECONNRESET, "silent")


class Connection(HTTPConnection):
    """One accepted connection, which can go silent or be cut."""

    is_silent = False
    is_cut = False

    def __init__(self, server: _Server, sock: socket.socket, *args: Any) -> None:
        super().__init__(server, sock, *args)
        server.connections.register(self)

    def stop_sending(self) -> None:
        """Send nothing more and leave the connection open."""
        self.is_silent = True
        self.wfile = _SilentWriter()

    def cut(self) -> None:
        """Close both directions at once, whatever is being sent."""
        # What the caller sent before can still be read, and mustn't be run.
        self.is_cut = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, or keep it open unused when it is silent."""
        if self.is_silent:
            self.server.connections.held_open.append(self)
            return
        super().close()


class ConnectionRegistry:
    """The open connections of one port and the faults laid on them."""

    def __init__(self) -> None:
        self.held_open: list[Connection] = []
        self._open_connections: WeakSet[Connection] = WeakSet()
        self._lock = threading.Lock()
        self._cut_until = 0.0
        self._silent_until = 0.0

    def register(self, connection: Connection) -> None:
        """Register a new connection and lay the present faults on it."""
        with self._lock:
            self._open_connections.add(connection)
        now = time.monotonic()
        if now < self._cut_until:
            connection.cut()
        elif now < self._silent_until:
            connection.stop_sending()

    def list_others(self, spared: Connection | None) -> list[Connection]:
        """List the open connections except one."""
        with self._lock:
            return [other for other in self._open_connections if other is not spared]

    def silence(
        self, spared: Connection | None, new_connections_s: float = 0.0
    ) -> None:
        """Silence what is open now, and what opens in the next seconds."""
        self._silent_until = time.monotonic() + new_connections_s
        for connection in self.list_others(spared):
            connection.stop_sending()

    def cut_all(self, duration_s: float, spared: Connection | None = None) -> None:
        """Cut what is open now, and what opens in the next seconds."""
        self._cut_until = time.monotonic() + duration_s
        for connection in self.list_others(spared):
            if not connection.is_silent:
                connection.cut()

    def clear_faults(self) -> None:
        """Let new connections work."""
        self._cut_until = 0.0
        self._silent_until = 0.0


class _Gateway(wsgi.Gateway_10):
    def get_environ(self) -> Any:
        environ = super().get_environ()
        environ[CONNECTION_ENVIRON_KEY] = self.req.conn
        return environ


class _Server(wsgi.Server):
    ConnectionClass = Connection
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    connections: ConnectionRegistry


@dataclass(frozen=True)
class Request:
    """One request that came in."""

    method: str
    path: str
    query: Mapping[str, str]
    body: Any
    size_bytes: int
    connection: Connection
    if_none_match: str = ""

    def abort(self) -> ConnectionResetError:
        """Cut the connection; raise what is returned to end the call."""
        self.connection.cut()
        return ConnectionResetError(errno.ECONNRESET, "aborted")

    def leave_unanswered(self) -> ConnectionResetError:
        """Silence the connection; raise what is returned to end the call."""
        self.connection.stop_sending()
        return ConnectionResetError(errno.ECONNRESET, "silent")


@dataclass(frozen=True)
class Response:
    """What to answer: a JSON value, or an iterable of chunks to stream."""

    body: Any = field(default_factory=dict)
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)
    chunks: Iterable[bytes] | None = None
    content_type: str = "application/json"


class RunningServer:
    """A port that is served by background threads until stopped.

    Parameters
    ----------
    handler : callable
        Makes the `Answer` to a `Call`.
    port : int
        Port on the loopback address; 0 takes any free one.
    threads : int
        Calls that can be served at once.
    """

    def __init__(
        self, handler: Callable[[Request], Response], port: int = 0, threads: int = 64
    ) -> None:
        self._handler = handler
        self.connections = ConnectionRegistry()
        self._server = _Server(
            (HOST, port),
            self._serve_request,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=CONNECTION_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.connections = self.connections
        self._server.prepare()
        self.port: int = self._server.bind_addr[1]
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    @property
    def url(self) -> str:
        """Base URL of the port."""
        return f"http://{HOST}:{self.port}"

    def stop(self) -> None:
        """Cut all connections and end the threads; harmless when repeated."""
        self.connections.cut_all(CONNECTION_TIMEOUT_S)
        self._server.stop()
        for connection in self.connections.held_open:
            connection.socket.close()

    def _serve_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        connection: Connection = environ[CONNECTION_ENVIRON_KEY]
        raw_body = environ["wsgi.input"].read()
        if connection.is_silent or connection.is_cut:
            raise ConnectionResetError(errno.ECONNRESET, "silent or cut")
        try:
            body = msgspec.json.decode(raw_body) if raw_body else {}
        except msgspec.DecodeError as error:
            response = Response({"error": str(error)}, 400)
        else:
            request = Request(
                environ["REQUEST_METHOD"],
                environ["PATH_INFO"],
                dict(parse_qsl(environ["QUERY_STRING"])),
                body,
                len(raw_body),
                connection,
                environ.get("HTTP_IF_NONE_MATCH", ""),
            )
            response = self._handler(request)
        status = f"{response.status} {HTTPStatus(response.status).phrase}"
        headers = [("Content-Type", response.content_type), *response.headers.items()]
        if response.chunks is not None:
            start_response(status, headers)
            return response.chunks
        if response.status == HTTPStatus.NOT_MODIFIED:
            start_response(status, headers)
            return []
        encoded = msgspec.json.encode(response.body)
        start_response(status, [*headers, ("Content-Length", str(len(encoded)))])
        return [encoded]


def serve_until_stopped(
    servers: Sequence[RunningServer],
    details: str = "",
    stop: Callable[[], None] | None = None,
) -> None:
    """Print the first port when ready, serve until SIGTERM or SIGINT, then stop."""
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    print(f"listening {HOST}:{servers[0].port} {details}".rstrip(), flush=True)
    stopped.wait()
    if stop is not None:
        stop()
    for server in servers:
        server.stop()


NOT_FOUND = Response({"error": "not found"}, 404)

# The connection that a fault came on is spared, so nothing else may use it.
CLOSE_HEADERS = {"Connection": "close"}

__all__ = [
    "CLOSE_HEADERS",
    "HOST",
    "NOT_FOUND",
    "Connection",
    "ConnectionRegistry",
    "Request",
    "Response",
    "RunningServer",
    "serve_until_stopped",
]
