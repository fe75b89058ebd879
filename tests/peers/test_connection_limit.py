"""Connections of peers stay within their limit, and sound peers keep theirs."""

from __future__ import annotations

import asyncio
import time

import pytest

from persimmonlink_peers.grpc_server import MIN_SILENCE_S, GrpcServer, _OpenConnection

LIMIT = 3


class Processor:
    def __init__(self) -> None:
        self.streams: dict[int, object] = {}


class Protocol:
    def __init__(self) -> None:
        self.processor = Processor()

    def connection_made(self, transport) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        pass


class Transport:
    def __init__(self, port: int) -> None:
        self._port = port
        self.is_aborted = False

    def get_extra_info(self, _name: str) -> tuple[str, int]:
        return ("127.0.0.1", self._port)

    def abort(self) -> None:
        self.is_aborted = True


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


@pytest.fixture
def connect():
    # The server asks for the loop of the thread.
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    server = GrpcServer([], max_connections=LIMIT)
    ports = iter(range(1000, 2000))

    def open_connection(*, has_brought_message=False, calls=0):
        connection = _OpenConnection(Protocol(), server)
        transport = Transport(next(ports))
        connection.connection_made(transport)
        if has_brought_message:
            server.record_message(transport.get_extra_info("peername"))
        for call in range(calls):
            connection._protocol.processor.streams[call] = object()
        return connection, transport

    yield open_connection
    asyncio.set_event_loop(None)
    loop.close()


def test_a_connection_without_a_message_is_evicted_whatever_else_it_sends(
    clock, connect
):
    _, sound = connect(has_brought_message=True)
    opened = [connect() for _ in range(LIMIT - 1)]
    for _ in range(10):
        clock[0] += MIN_SILENCE_S / 2
        for connection, _transport in opened:
            connection.data_received(b"ping")
    _, new = connect()
    assert not new.is_aborted
    assert not sound.is_aborted
    assert sum(transport.is_aborted for _, transport in opened) == 1


def test_a_connection_with_calls_is_never_evicted(clock, connect):
    opened = [connect(has_brought_message=True, calls=1) for _ in range(LIMIT)]
    clock[0] += 100.0
    _, new = connect()
    assert new.is_aborted
    assert not any(transport.is_aborted for _, transport in opened)


def test_the_connection_that_has_been_without_calls_for_longest_is_evicted(
    clock, connect
):
    opened = []
    for _ in range(LIMIT):
        opened.append(connect(has_brought_message=True))
        clock[0] += 2 * MIN_SILENCE_S
    _, new = connect()
    assert not new.is_aborted
    assert [transport.is_aborted for _, transport in opened] == [True, False, False]
