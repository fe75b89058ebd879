"""Framing on raw sockets: what a client or a server sends beside the protocol."""

from __future__ import annotations

import asyncio

import pytest

from persimmonlink_router.http_client import (
    ClientExchange,
    ConnectError,
    ConnectionLostError,
)
from persimmonlink_router.http_server import HttpServer, ServerLimits

HOST = "127.0.0.1"


async def serve_raw(answers: list[bytes], *, is_kept: bool = True):
    """Answer each request with raw bytes; return address and server."""

    async def handle(reader, writer):
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        if not is_kept:
            writer.close()
        else:
            await reader.read()

    server = await asyncio.start_server(handle, HOST, 0)
    return f"{HOST}:{server.sockets[0].getsockname()[1]}", server


async def exchange(address: str) -> ClientExchange:
    connection = ClientExchange(address)
    await connection.connect(1.0)
    connection.send(b"GET", b"/", ((b"host", b"x"),), b"")
    return connection


async def read_all(connection: ClientExchange) -> tuple[int, bytes]:
    async with asyncio.timeout(2):
        head = await connection.read_head()
        return head.status, await connection.read_body(10000)


def client_run(answers: list[bytes], scenario, **options) -> None:
    async def wrapped():
        address, server = await serve_raw(answers, **options)
        try:
            await scenario(address)
        finally:
            server.close()

    asyncio.run(wrapped())


def test_a_whole_answer_keeps_the_connection():
    async def scenario(address):
        connection = await exchange(address)
        assert await read_all(connection) == (200, b"ok")
        assert connection.finish(0.0)
        assert connection.is_reusable

    client_run([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"], scenario)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"not http at all\r\n\r\n",
        b"",
    ],
)
def test_a_cut_or_spoilt_answer_is_not_whole(answer):
    async def scenario(address):
        connection = await exchange(address)
        with pytest.raises(ConnectionLostError):
            await read_all(connection)

    client_run([answer], scenario, is_kept=False)


def test_bytes_after_an_answer_spoil_the_connection():
    async def scenario(address):
        connection = await exchange(address)
        assert (await read_all(connection))[1] == b"ok"
        await asyncio.sleep(0.05)
        assert not connection.finish(0.0)
        assert not connection.is_reusable

    one = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    client_run([one + one], scenario)


def test_bytes_that_come_while_idle_spoil_the_connection():
    async def scenario():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
            await reader.read()

        server = await asyncio.start_server(handle, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        connection = await exchange(f"{HOST}:{port}")
        await read_all(connection)
        assert connection.finish(0.0)
        await asyncio.sleep(0.15)
        assert not connection.is_reusable
        server.close()

    asyncio.run(scenario())


def test_an_answer_that_ends_with_the_connection_is_whole_unless_reset():
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
        whole = await exchange(address)
        assert await read_all(whole) == (200, b"body")
        assert not whole.finish(0.0)
        server.close()

    asyncio.run(scenario())


def test_a_stray_answer_is_skipped():
    async def scenario(address):
        connection = await exchange(address)
        head = await connection.read_head()
        assert head.status == 200
        await connection.read_body(100)
        connection.skip_answer()
        assert await read_all(connection) == (201, b"mine")

    stray = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
    mine = b"HTTP/1.1 201 OK\r\nContent-Length: 4\r\n\r\nmine"
    client_run([stray + mine], scenario)


def test_a_closed_port_is_told_as_not_sent():
    async def scenario():
        with pytest.raises(ConnectError):
            await ClientExchange("127.0.0.1:1").connect(1.0)

    asyncio.run(scenario())


async def talk(
    data: bytes, *, limits: ServerLimits | None = None
) -> tuple[bytes, list]:
    """Send raw bytes to a server; return what it answers and what it was asked."""
    asked = []

    async def handle(one):
        asked.append(one.request)
        await one.answer(200, [], b"done")

    server = HttpServer(
        handle, limits or ServerLimits(header_timeout_s=0.3, idle_timeout_s=0.3)
    )
    await server.start(HOST, 0)
    port = server._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    answer = b""
    try:
        async with asyncio.timeout(1.5):
            answer = await reader.read(-1)
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    server.close()
    return answer, asked


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
def test_malformed_requests_are_refused_and_reach_nobody(data, status):
    answer, asked = asyncio.run(talk(data))
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert asked == []


def test_a_body_over_the_limit_is_refused():
    limits = ServerLimits(body_bytes=10, header_timeout_s=0.3, idle_timeout_s=0.3)
    data = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n" + b"a" * 20
    answer, asked = asyncio.run(talk(data, limits=limits))
    assert answer.startswith(b"HTTP/1.1 413")
    assert asked == []


def test_a_body_that_looks_like_a_request_stays_a_body():
    inner = b"GET /evil HTTP/1.1\r\nHost: x\r\n\r\n"
    data = (
        b"POST /one HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(inner)
        + inner
    )
    _, asked = asyncio.run(talk(data))
    assert [request.target for request in asked] == [b"/one"]
    assert asked[0].body == inner


def test_chunks_and_pipelined_requests_are_read_apart():
    data = (
        b"POST /one HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        b"GET /two HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    answer, asked = asyncio.run(talk(data))
    assert [(r.target, r.body) for r in asked] == [(b"/one", b"abcde"), (b"/two", b"")]
    assert answer.count(b"HTTP/1.1 200") == 2


def test_an_idle_connection_is_closed_after_its_time():
    answer, asked = asyncio.run(talk(b""))
    assert answer == b""
    assert asked == []
