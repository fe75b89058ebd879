"""A request that is given up never reaches its server later.

Its connection is reset, so that the kernel drops the bytes which a cut holds up.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
from tests.router.rig import HOST, run

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.connection_pool import open_connection

HEADERS = ((b"host", b"x"), (b"content-length", b"4"))
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@asynccontextmanager
async def connect():
    """Yield a connection to a server, and the server's socket."""
    with socket.create_server((HOST, 0)) as listener:
        port = listener.getsockname()[1]
        connection = await open_connection(f"{HOST}:{port}", 1.0)
        sock = listener.accept()[0]
        sock.setblocking(False)
        with sock:
            yield connection, sock


async def read_to_end(sock) -> bytes:
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(2.0):
        while data := await loop.sock_recv(sock, 65536):
            received += data
    return received


def test_a_request_without_a_response_is_reset():
    async def scenario():
        async with connect() as (connection, sock):
            connection.send(b"POST", b"/", HEADERS, b"body")
            connection.close()
            with pytest.raises(ConnectionResetError):
                await read_to_end(sock)

    run(scenario())


def test_a_request_whose_response_is_left_unread_is_reset():
    async def scenario():
        async with connect() as (connection, sock):
            connection.send(b"POST", b"/", HEADERS, b"body")
            await asyncio.get_running_loop().sock_sendall(sock, RESPONSE[:-1])
            await connection.read_head()
            assert not connection.finish(boot_time())
            with pytest.raises(ConnectionResetError):
                await read_to_end(sock)

    run(scenario())


def test_a_connection_without_a_request_is_closed_in_order():
    async def scenario():
        async with connect() as (connection, sock):
            connection.send(b"POST", b"/", HEADERS, b"body")
            await asyncio.get_running_loop().sock_sendall(sock, RESPONSE)
            await connection.read_head()
            assert await connection.read_body(100) == b"ok"
            assert connection.finish(boot_time())
            connection.close()
            assert (await read_to_end(sock)).endswith(b"body")

    run(scenario())
