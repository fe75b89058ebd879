"""The HTTP server: one thread a request, bounded, shedding at once when full."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from cheroot.wsgi import Server
from loguru import logger

from persimmonlink_interfaces.connection import KEEPALIVE_SOCKET_OPTIONS
from persimmonlink_model.result_code import Failure, ResultCode, RunState
from persimmonlink_node.http_exchange import Exchange
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
    """The WSGI application over both interfaces.

    Parameters
    ----------
    callers : CallerApi
        Interface for callers.
    operators : OperatorApi
        Interface for operators.
    """

    def __init__(self, callers: CallerApi, operators: OperatorApi) -> None:
        self._callers = callers
        self._operators = operators
        self._lock = threading.Lock()
        self._open_exchanges = 0

    def refuse_new_requests(self) -> None:
        """Run no request from now on that isn't known here yet."""
        self._callers.refuse_new_requests()

    def count_open(self) -> int:
        """Return the exchanges whose answers are not written yet."""
        with self._lock:
            return self._open_exchanges

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one exchange; a bug becomes a problem with its own code."""
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
    """An answer's body that tells when it has been written or given up."""

    def __init__(self, parts: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._parts = parts
        self.close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)


class EntryServer(Server):
    """A cheroot server that sheds at once and gives silent connections up."""

    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
    is_closing = False
    queue_size: int
    shedder: LoadShedder
    _connections: Any
    on_shed: Callable[[], None]

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may stay open after its answer."""
        return not self.is_closing and super().can_add_keepalive_connection

    def start_closing(self) -> None:
        """End each connection with its next answer, and say so in that answer."""
        self.is_closing = True

    def prepare(self) -> None:
        """Open the port; accepted connections inherit its limits of silence."""
        self.shedder = LoadShedder()
        self.shedder.start()
        super().prepare()

    @classmethod
    def prepare_socket(cls, *args: Any, **kwargs: Any) -> socket.socket:
        """Return the socket to listen on."""
        prepared = super().prepare_socket(*args, **kwargs)
        for option in KEEPALIVE_SOCKET_OPTIONS:
            prepared.setsockopt(*option)
        return prepared

    def process_conn(self, conn: HTTPConnection) -> None:
        """Hand a connection to a thread, or refuse it if all are busy."""
        if conn.last_used is None:
            # A new connection takes no thread before its first byte is there.
            self._connections.put(conn)
            return
        # Idle threads take a moment to empty the queue after a burst.
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
    """Closes the way in for callers without cutting one off.

    Parameters
    ----------
    application : Application
        Refuses new requests.
    server : EntryServer
        Ends connections.
    """

    def __init__(self, application: Application, server: EntryServer) -> None:
        self._application = application
        self._server = server

    def start_closing(self) -> None:
        """Run no new requests, and end each connection with its next answer."""
        self._server.start_closing()
        self._application.refuse_new_requests()

    def count_open(self) -> int:
        """Return the exchanges whose answers are not written yet."""
        return self._application.count_open()


def build_server(
    address: str,
    port: int,
    application: Application,
    request_threads: int,
    on_shed: Callable[[], None],
) -> EntryServer:
    """Return a server that is ready to be started.

    Threads beyond `request_threads` are there so that operators and refusals are
    answered while all requests are being served. `on_shed` is called for each
    connection that is refused.
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
