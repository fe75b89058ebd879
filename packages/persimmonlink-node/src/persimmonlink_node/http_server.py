"""The HTTP server: a bounded pool of threads, and load shedding when it is full."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from cheroot.wsgi import Server
from loguru import logger

from persimmonlink_interfaces.connection import KEEPALIVE_SOCKET_OPTIONS
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.http_exchange import Exchange
from persimmonlink_node.kept_connections import KeptConnections
from persimmonlink_node.load_shedder import LoadShedder

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable, Iterator

    from cheroot.server import HTTPConnection

    from persimmonlink_node.caller_api import CallerApi
    from persimmonlink_node.operator_api import OperatorApi

RESERVED_THREADS = 16
ACCEPTED_QUEUE_SIZE = 64
LISTEN_BACKLOG = 512
KEEP_ALIVE_CONNECTIONS = 1024
CONNECTION_TIMEOUT_S = 10
STOP_TIMEOUT_S = 5


class Application:
    """The WSGI application that serves the caller and operator APIs.

    Parameters
    ----------
    callers : CallerApi
        API for callers.
    operators : OperatorApi
        API for operators.
    """

    def __init__(self, callers: CallerApi, operators: OperatorApi) -> None:
        self._callers = callers
        self._operators = operators
        self._lock = threading.Lock()
        self._open_exchanges = 0

    def refuse_new_requests(self) -> None:
        """Refuse requests with unknown ids from now on; known ids are still served."""
        self._callers.refuse_new_requests()

    def count_open(self) -> int:
        """Return the number of exchanges whose responses are not written yet."""
        with self._lock:
            return self._open_exchanges

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one exchange; an unexpected exception becomes `INTERNAL_ERROR`."""
        with self._lock:
            self._open_exchanges += 1
        try:
            answer = self._answer(Exchange(environ, start_response))
        except BaseException:
            self._end_exchange()
            raise
        return _ResponseBody(answer, self._end_exchange)

    def _answer(self, exchange: Exchange) -> Iterable[bytes]:
        try:
            answer = self._callers.answer(exchange)
            if answer is None:
                answer = self._operators.answer(exchange)
            if answer is None:
                detail = f"{exchange.method} {exchange.path}"
                answer = exchange.send_failure(Failure(ResultCode.UNKNOWN_PATH, detail))
        except Exception:
            logger.exception("{} {} failed", exchange.method, exchange.path)
            failure = Failure(ResultCode.INTERNAL_ERROR, "", RunState.UNKNOWN)
            return exchange.send_failure(failure)
        return answer

    def _end_exchange(self) -> None:
        with self._lock:
            self._open_exchanges -= 1


class _ResponseBody:
    """A response body with a callback for when it has been written or abandoned."""

    def __init__(self, parts: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._parts = parts
        self.close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)


class EntryServer(Server):
    """A cheroot server that sheds load at once and closes silent connections."""

    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
    is_closing = False
    queue_size: int
    shedder: LoadShedder
    _connections: Any
    on_shed: Callable[[], None]

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may stay open after its response."""
        return not self.is_closing and super().can_add_keepalive_connection

    def start_closing(self) -> None:
        """Close each connection after its next response, which announces the close."""
        self.is_closing = True

    def prepare(self) -> None:
        """Open the port; accepted connections inherit its keepalive options."""
        self.shedder = LoadShedder()
        self.shedder.start()
        super().prepare()
        self._connections.close()
        self._connections = KeptConnections(self)

    @classmethod
    def prepare_socket(cls, *args: Any, **kwargs: Any) -> socket.socket:
        """Return the listening socket, with keepalive options set."""
        prepared = super().prepare_socket(*args, **kwargs)
        for option in KEEPALIVE_SOCKET_OPTIONS:
            prepared.setsockopt(*option)
        return prepared

    def process_conn(self, conn: HTTPConnection) -> None:
        """Queue a connection for a thread, or shed it if all threads are busy."""
        if conn.last_used is None:
            # A new connection occupies no thread before its first byte arrives.
            self._connections.put(conn)
            return
        # Idle threads may not have taken their next connection from the queue yet, so
        # one more connection per idle thread may be queued.
        if self.requests.qsize < self.requests.idle + self.queue_size:
            self.requests.put(conn)
            return
        self.shedder.shed(conn)
        self.on_shed()

    def stop(self) -> None:
        """Close the port and all connections."""
        super().stop()
        self.shedder.stop()


class HttpDrainControl:
    """Drains the HTTP server without interrupting a request.

    Parameters
    ----------
    application : Application
        Refuses new requests.
    server : EntryServer
        Closes connections.
    """

    def __init__(self, application: Application, server: EntryServer) -> None:
        self._application = application
        self._server = server

    def start_closing(self) -> None:
        """Refuse new requests, and close each connection after its next response."""
        self._server.start_closing()
        self._application.refuse_new_requests()

    def count_open(self) -> int:
        """Return the number of exchanges whose responses are not written yet."""
        return self._application.count_open()


def build_server(
    address: str,
    port: int,
    application: Application,
    request_threads: int,
    on_shed: Callable[[], None],
) -> EntryServer:
    """Return a server that is ready to be started.

    It has `RESERVED_THREADS` threads beyond `request_threads`, so that it answers
    operators and refuses requests while all requests that may run are running.
    `on_shed` is called for each connection that is shed.
    """
    server = EntryServer(
        (address, port),
        application,
        numthreads=request_threads + RESERVED_THREADS,
        max=request_threads + RESERVED_THREADS,
        request_queue_size=LISTEN_BACKLOG,
        timeout=CONNECTION_TIMEOUT_S,
        shutdown_timeout=STOP_TIMEOUT_S,
    )
    server.error_log = _log_server_error  # type: ignore[method-assign]
    server.on_shed = on_shed
    server.queue_size = ACCEPTED_QUEUE_SIZE
    return server


def _log_server_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    logger.opt(exception=traceback).warning("HTTP server: {}", msg)


__all__ = ("Application", "EntryServer", "HttpDrainControl", "build_server")
