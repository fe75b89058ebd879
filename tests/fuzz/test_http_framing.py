"""Bytes of clients, servers and the store give an HTTP message or a typed error."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

import h11
import pytest
from h11 import _abnf
from hypothesis import example, given
from hypothesis import strategies as st
from tests.fuzz.cost import assert_linear
from tests.fuzz.examples import play
from tests.fuzz.strategies import changed_bytes, header_values

from persimmonlink_router import http_connection
from persimmonlink_router.http_client import ConnectionLostError, HttpClientConnection
from persimmonlink_router.http_connection import HttpServerConnection
from persimmonlink_router.http_framing import CHUNK_HEADER, HEADER_FIELD
from persimmonlink_router.http_server import HttpServer, RequestLimits

if TYPE_CHECKING:
    from persimmonlink_router.http_messages import HttpResponseHead

MAX_BODY_BYTES = 100000
REQUEST_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG_LINES = {
    "blanks of a header": lambda size: b"X:" + b" " * size + b"\0\r\n\r\n",
    "blanks in a header": lambda size: b"X: a" + b" " * size + b"\0\r\n\r\n",
    "words of a header": lambda size: b"X:" + b" a" * (size // 2) + b"\0\r\n\r\n",
    "folded lines": lambda size: b"X: a\r\n" + b" a\r\n" * (size // 4) + b"\r\n",
    "many headers": lambda size: b"X: a\r\n" * (size // 6) + b"\r\n",
    "many lengths": lambda size: (
        b"Content-Length: " + b"1," * (size // 2) + b"1\r\n\r\n"
    ),
    "name of a header": lambda size: b"x" * size + b"\r\n\r\n",
    "no end": lambda size: b"X: " + b"a" * size,
    "chunk extension": lambda size: CHUNKED + b"1;" + b" " * size + b"\n\r\n",
    "blanks of a chunk": lambda size: CHUNKED + b"1" + b" " * size + b"\0\r\n",
    "trailer": lambda size: CHUNKED + b"0\r\nX:" + b" " * size + b"\0\r\n\r\n",
    "small chunks": lambda size: CHUNKED + b"1\r\na\r\n" * (size // 6) + b"0\r\n\r\n",
    "chunk size": lambda size: CHUNKED + b"0" * size + b"1\r\n",
}


class IgnoringTransport(asyncio.Transport):
    """Takes what is written, and can be closed."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._protocol = protocol
        self._is_closed = False

    def get_extra_info(self, name, default=None):
        return default

    def write(self, data):
        pass

    def write_eof(self):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_write_buffer_limits(self):
        return (0, 0)

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def is_closing(self):
        return self._is_closed

    def close(self):
        if self._is_closed:
            return
        self._is_closed = True
        asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    abort = close


async def read_response(pieces: list[bytes]) -> tuple[HttpResponseHead, bytes]:
    connection = HttpClientConnection("127.0.0.1:1")
    connection.connection_made(IgnoringTransport(connection))
    connection.send(b"GET", b"/", ((b"host", b"x"),), b"")
    for piece in pieces:
        connection.data_received(piece)
    connection.eof_received()
    connection.connection_lost(None)
    head = await connection.read_head()
    body = await connection.read_body(MAX_BODY_BYTES)
    connection.finish(0.0)
    return head, body


def decode_response(data: bytes) -> None:
    try:
        head, body = asyncio.run(read_response([data]))
    except ConnectionLostError:
        return
    assert 100 <= head.status <= 999
    assert len(body) <= len(data)


async def read_requests(pieces: list[bytes]) -> list:
    requests = []

    async def handle(exchange):
        requests.append(exchange.request)
        await exchange.respond(200, [], b"")

    limits = RequestLimits(header_timeout_s=0.005, idle_timeout_s=0.005)
    limits.body_bytes = MAX_BODY_BYTES
    server = HttpServer(handle, limits)
    connection = HttpServerConnection(server)
    connection.connection_made(IgnoringTransport(connection))
    for piece in pieces:
        connection.data_received(piece)
    await connection._task
    return requests


def decode_requests(data: bytes) -> None:
    for request in asyncio.run(read_requests([data])):
        assert len(request.body) <= len(data)
        assert isinstance(request.host, str)
        assert isinstance(request.path, str)


@pytest.fixture
def no_connection_fails(monkeypatch):
    """Let an unexpected error of a connection end the test, not only be logged."""

    def fail(event: str) -> None:
        raise AssertionError(event)

    monkeypatch.setattr(http_connection.logger, "exception", fail)
    monkeypatch.setattr(http_connection, "CLIENT_CLOSE_WAIT_S", 0.0)


@st.composite
def messages(draw, head: bytes) -> list[bytes]:
    """Return pieces of a message with odd headers, chunks and bytes."""
    names = [
        b"Content-Length",
        b"Transfer-Encoding",
        b"Connection",
        b"Keep-Alive",
        b"Host",
        b"Expect",
        b"Upgrade",
        b"X",
    ]
    headers = b""
    for name in draw(st.lists(st.sampled_from(names), max_size=4)):
        odd = header_values | st.sampled_from(
            [b"chunked", b"close", b"5", b"100-continue"]
        )
        headers += name + b": " + draw(odd) + b"\r\n"
    sizes = st.sampled_from(
        [b"5", b"0", b"-1", b"f" * 20, b"f" * 21, b"5;a=b", b"5 ", b"z"]
    )
    body = b"".join(
        size + b"\r\nhello\r\n" for size in draw(st.lists(sizes, max_size=3))
    )
    data = draw(
        changed_bytes(head + headers + b"\r\n" + body + draw(st.binary(max_size=9)))
    )
    cut = draw(st.integers(0, len(data)))
    return [piece for piece in (data[:cut], data[cut:]) if piece]


@play()
@given(messages(RESPONSE_HEAD))
def test_any_bytes_of_a_server_are_a_response_or_a_lost_connection(pieces):
    try:
        head, _ = asyncio.run(read_response(pieces))
    except ConnectionLostError:
        return
    assert 200 <= head.status <= 999


@play()
@given(messages(REQUEST_HEAD))
def test_any_bytes_of_a_client_are_requests_or_rejected(no_connection_fails, pieces):
    asyncio.run(read_requests(pieces))


@pytest.mark.parametrize("name", sorted(LONG_LINES))
def test_the_cost_of_a_response_is_linear_in_its_bytes(name):
    make = LONG_LINES[name]
    assert_linear(decode_response, lambda size: RESPONSE_HEAD + make(size), 2000)


@pytest.mark.parametrize("name", sorted(LONG_LINES))
def test_the_cost_of_a_request_is_linear_in_its_bytes(name, no_connection_fails):
    make = LONG_LINES[name]
    assert_linear(decode_requests, lambda size: REQUEST_HEAD + make(size), 2000)


LINE_PARTS = st.lists(
    st.sampled_from(
        [
            b"a",
            b"Z",
            b"9",
            b":",
            b";",
            b" ",
            b"\t",
            b"\r",
            b"\n",
            b"\0",
            b"\x0b",
            b"\xff",
        ]
    ),
    max_size=12,
).map(b"".join)


@play(500)
@given(st.sampled_from([b"", b"X", b"X:"]), LINE_PARTS)
@example(b"X:", b" a \t")
def test_header_lines_are_read_as_h11_reads_them(start, rest):
    own = re.compile(_abnf.header_field.encode())
    assert_same_match(own, HEADER_FIELD, start + rest, ("field_name", "field_value"))


@play(500)
@given(st.sampled_from([b"", b"1", b"1;"]), LINE_PARTS)
@example(b"1;", b"\r")
def test_chunk_lines_are_read_as_h11_reads_them(start, rest):
    own = re.compile(_abnf.chunk_header.encode())
    line = start + rest.replace(b"\r\n", b"") + b"\r\n"
    assert_same_match(own, CHUNK_HEADER, line, ("chunk_size",))


def assert_same_match(own, ours, line: bytes, groups: tuple[str, ...]) -> None:
    expected, found = own.fullmatch(line), ours.fullmatch(line)
    assert (found is None) == (expected is None)
    if expected is not None:
        assert [found[name] for name in groups] == [expected[name] for name in groups]


def test_connections_read_by_these_patterns():
    assert h11._readers.header_field_re is HEADER_FIELD
    assert h11._readers.chunk_header_re is CHUNK_HEADER
