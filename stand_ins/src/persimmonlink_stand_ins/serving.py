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
CONNECTION_KEY = "persimmonlink.connection"
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

    silent = False
    is_cut = False

    def __init__(self, server: _Server, sock: socket.socket, *args: Any) -> None:
        super().__init__(server, sock, *args)
        server.network.admit(self)

    def go_silent(self) -> None:
        """Send nothing more and leave the connection open."""
        self.silent = True
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
        if self.silent:
            self.server.network.parked.append(self)
            return
        super().close()


class Network:
    """The open connections of one port and the faults laid on them."""

    def __init__(self) -> None:
        self.parked: list[Connection] = []
        self._open: WeakSet[Connection] = WeakSet()
        self._lock = threading.Lock()
        self._dead_until = 0.0
        self._silent_until = 0.0

    def admit(self, connection: Connection) -> None:
        """Register a new connection and lay the present faults on it."""
        with self._lock:
            self._open.add(connection)
        now = time.monotonic()
        if now < self._dead_until:
            connection.cut()
        elif now < self._silent_until:
            connection.go_silent()

    def others(self, kept: Connection | None) -> list[Connection]:
        """List the open connections except one."""
        with self._lock:
            return [one for one in self._open if one is not kept]

    def silence(self, kept: Connection | None, new_ones_s: float = 0.0) -> None:
        """Silence what is open now, and what opens in the next seconds."""
        self._silent_until = time.monotonic() + new_ones_s
        for connection in self.others(kept):
            connection.go_silent()

    def die(self, seconds: float, kept: Connection | None = None) -> None:
        """Cut what is open now, and what opens in the next seconds."""
        self._dead_until = time.monotonic() + seconds
        for connection in self.others(kept):
            if not connection.silent:
                connection.cut()

    def clear(self) -> None:
        """Let new connections work."""
        self._dead_until = 0.0
        self._silent_until = 0.0


class _Gateway(wsgi.Gateway_10):
    def get_environ(self) -> Any:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req.conn
        return environ


class _Server(wsgi.Server):
    ConnectionClass = Connection
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    network: Network


@dataclass(frozen=True)
class Call:
    """One request that came in."""

    method: str
    path: str
    query: Mapping[str, str]
    body: Any
    size: int
    connection: Connection
    if_none_match: str = ""

    def abort(self) -> ConnectionResetError:
        """Cut the connection; raise what is returned to end the call."""
        self.connection.cut()
        return ConnectionResetError(errno.ECONNRESET, "aborted")

    def hang(self) -> ConnectionResetError:
        """Silence the connection; raise what is returned to end the call."""
        self.connection.go_silent()
        return ConnectionResetError(errno.ECONNRESET, "silent")


@dataclass(frozen=True)
class Answer:
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
        self, handler: Callable[[Call], Answer], port: int = 0, threads: int = 64
    ) -> None:
        self._handler = handler
        self.network = Network()
        self._server = _Server(
            (HOST, port),
            self._respond,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=CONNECTION_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.gateway = _Gateway
        self._server.network = self.network
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
        self.network.die(CONNECTION_TIMEOUT_S)
        self._server.stop()
        for connection in self.network.parked:
            connection.socket.close()

    def _respond(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        connection: Connection = environ[CONNECTION_KEY]
        raw = environ["wsgi.input"].read()
        if connection.silent or connection.is_cut:
            raise ConnectionResetError(errno.ECONNRESET, "silent or cut")
        try:
            body = msgspec.json.decode(raw) if raw else {}
        except msgspec.DecodeError as error:
            answer = Answer({"error": str(error)}, 400)
        else:
            call = Call(
                environ["REQUEST_METHOD"],
                environ["PATH_INFO"],
                dict(parse_qsl(environ["QUERY_STRING"])),
                body,
                len(raw),
                connection,
                environ.get("HTTP_IF_NONE_MATCH", ""),
            )
            answer = self._handler(call)
        status = f"{answer.status} {HTTPStatus(answer.status).phrase}"
        headers = [("Content-Type", answer.content_type), *answer.headers.items()]
        if answer.chunks is not None:
            start_response(status, headers)
            return answer.chunks
        if answer.status == HTTPStatus.NOT_MODIFIED:
            start_response(status, headers)
            return []
        encoded = msgspec.json.encode(answer.body)
        start_response(status, [*headers, ("Content-Length", str(len(encoded)))])
        return [encoded]


def serve_until_stopped(
    servers: Sequence[RunningServer],
    note: str = "",
    stop: Callable[[], None] | None = None,
) -> None:
    """Print the first port when ready, serve until SIGTERM or SIGINT, then stop."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    print(f"listening {HOST}:{servers[0].port} {note}".rstrip(), flush=True)
    stopped.wait()
    if stop is not None:
        stop()
    for server in servers:
        server.stop()


NOT_FOUND = Answer({"error": "not found"}, 404)

# The connection that a fault came on is spared, so nothing else may use it.
CLOSING = {"Connection": "close"}

__all__ = [
    "CLOSING",
    "HOST",
    "NOT_FOUND",
    "Answer",
    "Call",
    "Connection",
    "Network",
    "RunningServer",
    "serve_until_stopped",
]
