"""The HTTP server under overload, while closing, and with silent callers."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING, Any

import pytest
from returns.result import Failure as Err

from persimmonlink_client.transport import HttpTransport
from persimmonlink_model.result_code import ResultCode, RunState
from persimmonlink_node import http_server
from persimmonlink_node.http_server import EntryServer, build_server

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

RESERVED = http_server.RESERVED_THREADS
REQUEST = b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"


class BlockingApplication:
    """An application that blocks `/wait` until it is released."""

    def __init__(self) -> None:
        self.release = threading.Event()
        self.served = threading.Semaphore(0)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        self.served.release()
        if environ["PATH_INFO"] == "/wait":
            self.release.wait(20)
        if environ["PATH_INFO"] == "/large":
            start_response("200 OK", [])
            return [b"x" * 6_000_000]
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]


@pytest.fixture
def application() -> BlockingApplication:
    return BlockingApplication()


@pytest.fixture
def server(
    application: BlockingApplication, monkeypatch: pytest.MonkeyPatch
) -> Iterator[EntryServer]:
    monkeypatch.setattr(http_server, "ACCEPTED_QUEUE_SIZE", 2)
    monkeypatch.setattr(http_server, "CONNECTION_TIMEOUT_S", 0.5)
    started = build_server("127.0.0.1", 0, application, 1, lambda: None)  # type: ignore[arg-type]
    started.prepare()
    threading.Thread(target=started.serve, daemon=True).start()
    yield started
    application.release.set()
    started.stop()


def _connect(server: EntryServer) -> socket.socket:
    connection = socket.socket()
    connection.settimeout(5)
    # A small receive buffer fills soon when the caller stops reading.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect(server.bind_addr)
    return connection


def _address(server: EntryServer) -> str:
    return f"127.0.0.1:{server.bind_addr[1]}"


def _fill_threads_and_queue(
    server: EntryServer, application: BlockingApplication
) -> list[socket.socket]:
    """Occupy all threads and the queue."""
    connections = []
    for _ in range(RESERVED + 1):
        connections.append(_connect(server))
        connections[-1].sendall(REQUEST)
        assert application.served.acquire(timeout=5)
    for _ in range(2):
        connections.append(_connect(server))
        connections[-1].sendall(REQUEST)
    _wait_until(lambda: server.requests.qsize == 2)
    return connections


def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        time.sleep(0.01)


def test_full_server_refuses_at_once_with_a_problem(
    server: EntryServer, application: BlockingApplication
) -> None:
    filled = _fill_threads_and_queue(server, application)
    replied = HttpTransport().exchange(
        "POST", _address(server), "/x", 5, {"text": "x" * 500_000}
    )
    failure = replied.unwrap().to_problem().to_failure()
    assert failure.code is ResultCode.OVERLOADED
    assert failure.run_state is RunState.NOT_RUN
    assert failure.retry_after_s == 1.0
    application.release.set()
    for connection in filled:
        assert connection.recv(12) == b"HTTP/1.1 200"
        connection.close()


def test_connection_closed_without_an_answer_has_unknown_run_state() -> None:
    listener = socket.create_server(("127.0.0.1", 0))

    def close_unanswered() -> None:
        accepted, _ = listener.accept()
        accepted.recv(10)
        accepted.close()

    threading.Thread(target=close_unanswered, daemon=True).start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    replied = HttpTransport().exchange("POST", address, "/x", 5, {"a": 1})
    listener.close()
    assert isinstance(replied, Err)
    assert replied.failure().run_state is RunState.UNKNOWN


def test_connections_that_send_nothing_occupy_no_thread(
    server: EntryServer, application: BlockingApplication
) -> None:
    application.release.set()
    idle = [_connect(server) for _ in range(RESERVED * 4)]
    replied = HttpTransport().exchange("GET", _address(server), "/x", 5)
    assert replied.unwrap().status == 200
    for connection in idle:
        connection.close()


def test_closing_server_ends_connections_with_their_answers(
    server: EntryServer, application: BlockingApplication
) -> None:
    application.release.set()
    connection = _connect(server)
    for is_closing in (False, True):
        if is_closing:
            server.start_closing()
        connection.sendall(REQUEST)
        answer = b""
        while not answer.endswith(b"{}"):
            answer += connection.recv(4096)
        assert (b"Connection: close" in answer) is is_closing
    assert connection.recv(10) == b""
    connection.close()


def test_caller_that_stops_reading_frees_its_thread(
    server: EntryServer, application: BlockingApplication
) -> None:
    stuck = [_connect(server) for _ in range(RESERVED + 1)]
    for connection in stuck:
        connection.sendall(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
    for _ in stuck:
        assert application.served.acquire(timeout=5)
    _wait_until(lambda: server.requests.idle == RESERVED + 1)
    for connection in stuck:
        connection.close()


def test_listening_socket_has_the_keepalive_options(server: EntryServer) -> None:
    listening = server.socket
    for level, option, value in http_server.KEEPALIVE_SOCKET_OPTIONS:
        assert listening.getsockopt(level, option) == value


def test_a_kept_connection_is_not_closed_with_a_request_waiting_on_it(
    server: EntryServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    selector = server._connections._selector
    select_ready = selector.select
    is_frozen = threading.Event()

    # As in a process that is paused between waiting for bytes and closing idle ones.
    def select_unless_frozen(timeout: float | None = None) -> list[Any]:
        ready = list(select_ready(timeout=0.02))
        return [] if is_frozen.is_set() else ready

    monkeypatch.setattr(selector, "select", select_unless_frozen)
    connection = _connect(server)
    connection.sendall(b"GET /quick HTTP/1.1\r\nHost: x\r\n\r\n")
    assert _read_response(connection).startswith(b"HTTP/1.1 200")
    is_frozen.set()
    connection.sendall(b"GET /quick HTTP/1.1\r\nHost: x\r\n\r\n")
    time.sleep(2.0)
    is_frozen.clear()
    assert _read_response(connection).startswith(b"HTTP/1.1 200")


def _read_response(connection: socket.socket) -> bytes:
    response = b""
    while not response.endswith(b"{}") and (part := connection.recv(65536)):
        response += part
    return response
