"""JSON-over-HTTP server on WSGI threads, shared by the threaded stand-ins."""

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
    """Writer that fails every write, for a connection that sends nothing more."""

    bytes_written = 0

    def write(self, _data: bytes) -> int:
        raise ConnectionResetError(errno.ECONNRESET, "connection silenced by a fault")


class Connection(HTTPConnection):
    """An accepted connection, which a fault can silence or cut."""

    is_silent = False
    is_cut = False

    def __init__(self, server: _Server, sock: socket.socket, *args: Any) -> None:
        super().__init__(server, sock, *args)
        server.connections.register(self)

    def stop_sending(self) -> None:
        """Send nothing more but keep the connection open."""
        self.is_silent = True
        self.wfile = _SilentWriter()

    def cut(self) -> None:
        """Shut down both directions at once, even during a response."""
        # A request received before the cut may still be parsed, but must not be run.
        self.is_cut = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection, but keep a silenced one open."""
        if self.is_silent:
            self.server.connections.held_open.append(self)
            return
        super().close()


class ConnectionRegistry:
    """The open connections of one port and the faults that apply to them."""

    def __init__(self) -> None:
        self.held_open: list[Connection] = []
        self._open_connections: WeakSet[Connection] = WeakSet()
        self._lock = threading.Lock()
        self._cut_until = 0.0
        self._silent_until = 0.0

    def register(self, connection: Connection) -> None:
        """Register a new connection and apply the active faults to it."""
        with self._lock:
            self._open_connections.add(connection)
        now = time.monotonic()
        if now < self._cut_until:
            connection.cut()
        elif now < self._silent_until:
            connection.stop_sending()

    def list_others(self, spared: Connection | None) -> list[Connection]:
        """List the open connections except `spared`."""
        with self._lock:
            return [other for other in self._open_connections if other is not spared]

    def silence(
        self, spared: Connection | None, new_connections_s: float = 0.0
    ) -> None:
        """Silence open connections, and new ones for `new_connections_s`."""
        self._silent_until = time.monotonic() + new_connections_s
        for connection in self.list_others(spared):
            connection.stop_sending()

    def cut_all(self, duration_s: float, spared: Connection | None = None) -> None:
        """Cut open connections, and new ones for `duration_s`."""
        self._cut_until = time.monotonic() + duration_s
        for connection in self.list_others(spared):
            if not connection.is_silent:
                connection.cut()

    def clear_faults(self) -> None:
        """Stop applying faults to new connections."""
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
    """A request as received, with its JSON body decoded."""

    method: str
    path: str
    query: Mapping[str, str]
    body: Any
    size_bytes: int
    connection: Connection
    if_none_match: str = ""

    def abort(self) -> ConnectionResetError:
        """Cut the connection; the caller raises the returned error."""
        self.connection.cut()
        return ConnectionResetError(errno.ECONNRESET, "connection cut by a fault")

    def leave_unanswered(self) -> ConnectionResetError:
        """Silence the connection; the caller raises the returned error."""
        self.connection.stop_sending()
        return ConnectionResetError(errno.ECONNRESET, "connection silenced by a fault")


@dataclass(frozen=True)
class Response:
    """A response: a JSON value, or an iterable of chunks to stream."""

    body: Any = field(default_factory=dict)
    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)
    chunks: Iterable[bytes] | None = None
    content_type: str = "application/json"


class RunningServer:
    """An HTTP server on background threads, which runs until stopped.

    Parameters
    ----------
    handler : callable
        Returns the `Response` to a `Request`.
    port : int
        Port on the loopback address; 0 selects any free port.
    threads : int
        Requests that are handled at once.
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
        """Base URL of the server."""
        return f"http://{HOST}:{self.port}"

    def stop(self) -> None:
        """Cut all connections and stop the threads; may be called repeatedly."""
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
            raise ConnectionResetError(
                errno.ECONNRESET, "connection silenced or cut by a fault"
            )
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
    """Print the first address when ready, serve until SIGTERM or SIGINT, then stop."""
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

# A fault spares the connection that requested it. Closing that connection keeps the
# client from sending later requests over it, out of reach of the fault.
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
