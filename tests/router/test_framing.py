"""HTTP framing against raw bytes of clients and servers, valid and malformed."""

from __future__ import annotations

import asyncio

import pytest

from persimmonlink_router.http_client import (
    ConnectError,
    ConnectionLostError,
    HttpClientConnection,
)
from persimmonlink_router.http_server import HttpServer, RequestLimits

HOST = "127.0.0.1"


async def serve_raw(responses: list[bytes], *, keeps_open: bool = True):
    """Respond to each request with raw bytes; return address and server."""

    async def handle(reader, writer):
        for response in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
        if not keeps_open:
            writer.close()
        else:
            await reader.read()

    server = await asyncio.start_server(handle, HOST, 0)
    return f"{HOST}:{server.sockets[0].getsockname()[1]}", server


async def open_and_send(address: str) -> HttpClientConnection:
    connection = HttpClientConnection(address)
    await connection.connect(1.0)
    connection.send(b"GET", b"/", ((b"host", b"x"),), b"")
    return connection


async def read_all(connection: HttpClientConnection) -> tuple[int, bytes]:
    async with asyncio.timeout(2):
        head = await connection.read_head()
        return head.status, await connection.read_body(10000)


def run_against_server(responses: list[bytes], scenario, **options) -> None:
    async def wrapped():
        address, server = await serve_raw(responses, **options)
        try:
            await scenario(address)
        finally:
            server.close()

    asyncio.run(wrapped())


def test_a_complete_response_keeps_the_connection_reusable():
    async def scenario(address):
        connection = await open_and_send(address)
        assert await read_all(connection) == (200, b"ok")
        assert connection.finish(0.0)
        assert connection.is_reusable

    run_against_server([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"], scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"not http at all\r\n\r\n",
        b"",
    ],
)
def test_a_truncated_or_malformed_response_raises(response):
    async def scenario(address):
        connection = await open_and_send(address)
        with pytest.raises(ConnectionLostError):
            await read_all(connection)

    run_against_server([response], scenario, keeps_open=False)


def test_bytes_after_a_response_make_the_connection_unusable():
    async def scenario(address):
        connection = await open_and_send(address)
        assert (await read_all(connection))[1] == b"ok"
        await asyncio.sleep(0.05)
        assert not connection.finish(0.0)
        assert not connection.is_reusable

    one = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    run_against_server([one + one], scenario)


def test_bytes_received_while_idle_make_the_connection_unusable():
    async def scenario():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
            await reader.read()

        server = await asyncio.start_server(handle, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        connection = await open_and_send(f"{HOST}:{port}")
        await read_all(connection)
        assert connection.finish(0.0)
        await asyncio.sleep(0.15)
        assert not connection.is_reusable
        server.close()

    asyncio.run(scenario())


def test_a_response_delimited_by_connection_close_is_complete():
    async def scenario():
        async def handle(reader, writer):
            data = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nbody")
            await writer.drain()
            await asyncio.sleep(0.05)
            if b"/reset" in data:
                writer.transport.abort()
            else:
                writer.close()

        server = await asyncio.start_server(handle, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        whole = await open_and_send(address)
        assert await read_all(whole) == (200, b"body")
        assert not whole.finish(0.0)
        server.close()

    asyncio.run(scenario())


def test_a_response_to_another_request_is_skipped():
    async def scenario(address):
        connection = await open_and_send(address)
        head = await connection.read_head()
        assert head.status == 200
        await connection.read_body(100)
        connection.skip_response()
        assert await read_all(connection) == (201, b"mine")

    unexpected = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
    expected = b"HTTP/1.1 201 OK\r\nContent-Length: 4\r\n\r\nmine"
    run_against_server([unexpected + expected], scenario)


@pytest.mark.parametrize("port", [1, 70000, 10**40])
def test_a_refused_or_impossible_connection_raises_connect_error(port):
    async def scenario():
        with pytest.raises(ConnectError):
            await HttpClientConnection(f"127.0.0.1:{port}").connect(1.0)

    asyncio.run(scenario())


async def send_raw(
    data: bytes, *, limits: RequestLimits | None = None
) -> tuple[bytes, list]:
    """Send raw bytes to an `HttpServer`; return its response and parsed requests."""
    received = []

    async def handle(exchange):
        received.append(exchange.request)
        await exchange.respond(200, [], b"done")

    server = HttpServer(
        handle, limits or RequestLimits(header_timeout_s=0.3, idle_timeout_s=0.3)
    )
    await server.start(HOST, 0)
    port = server.port
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    response = b""
    try:
        async with asyncio.timeout(1.5):
            response = await reader.read(-1)
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    server.close()
    return response, received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4, 5\r\n\r\nbody", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nBad Name: y\r\n\r\n", b"400"),
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000\r\n\r\n"
            + b"a" * 200,
            b"4",
        ),
    ],
)
def test_malformed_requests_are_rejected_before_the_handler(data, status):
    response, received = asyncio.run(send_raw(data))
    assert response.startswith(b"HTTP/1.1 " + status)
    assert received == []


def test_a_body_over_the_limit_is_rejected():
    limits = RequestLimits(body_bytes=10, header_timeout_s=0.3, idle_timeout_s=0.3)
    data = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n" + b"a" * 20
    response, received = asyncio.run(send_raw(data, limits=limits))
    assert response.startswith(b"HTTP/1.1 413")
    assert received == []


def test_a_body_that_looks_like_a_request_is_not_parsed_as_one():
    inner = b"GET /evil HTTP/1.1\r\nHost: x\r\n\r\n"
    data = (
        b"POST /one HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(inner)
        + inner
    )
    _, received = asyncio.run(send_raw(data))
    assert [request.target for request in received] == [b"/one"]
    assert received[0].body == inner


def test_chunked_and_pipelined_requests_are_separated():
    data = (
        b"POST /one HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        b"GET /two HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    response, received = asyncio.run(send_raw(data))
    assert [(r.target, r.body) for r in received] == [
        (b"/one", b"abcde"),
        (b"/two", b""),
    ]
    assert response.count(b"HTTP/1.1 200") == 2


def test_an_idle_connection_is_closed_after_the_idle_timeout():
    response, received = asyncio.run(send_raw(b""))
    assert response == b""
    assert received == []
