"""Connections of clients while the node stops, over loopback."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
from tests.router.kept_clients import KeptConnection, build_request
from tests.router.rig import HOST, STREAM_SERVICE, make_rig, run, wait_until

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.client_use_times import (
    CLIENT_DELAY_S,
    DIRECTORY_EXPIRY_WAIT_S,
    MAX_KEEP_ALIVE_S,
)
from persimmonlink_router.http_server import HttpServer, RequestLimits
from persimmonlink_router.stop_record import StopRecord

GET = build_request("/book/1", "r", b"", is_chunked=False, deadline_ms=1000)


@asynccontextmanager
async def serve(handle, limits=None):
    """Run an HTTP server; give it and its address."""
    server = HttpServer(handle, limits or RequestLimits())
    await server.start(HOST, 0)
    port = server.port
    try:
        yield server, f"{HOST}:{port}"
    finally:
        server.close()
        await asyncio.sleep(0)


def test_a_client_that_was_not_told_of_the_stop_is_answered_again():
    async def scenario():
        may_end = asyncio.Event()

        async def handle(exchange):
            exchange.start_stream(200, [])
            await exchange.send(b"event")
            await may_end.wait()
            await exchange.end()

        async with serve(handle) as (server, address):
            connection = await KeptConnection.open(address)
            first = asyncio.ensure_future(connection.exchange(GET))
            await wait_until(server.count_active_requests)
            await asyncio.sleep(0.05)
            server.is_stopping = True
            may_end.set()
            assert (await first).headers.get("connection") != "close"
            second = await connection.exchange(GET)
            assert second.is_complete
            assert second.headers["connection"] == "close"
            await wait_until(lambda: connection.is_closed)
            connection.close()

    run(scenario())


@pytest.mark.parametrize(("idle_timeout_s", "timeout"), [(15.0, 3), (2.0, 1), (1, 0)])
def test_responses_say_how_long_a_connection_may_be_idle(idle_timeout_s, timeout):
    async def scenario():
        limits = RequestLimits(idle_timeout_s=idle_timeout_s)
        async with serve(lambda e: e.respond(200, [], b""), limits) as (
            server,
            address,
        ):
            connection = await KeptConnection.open(address)
            headers = (await connection.exchange(GET)).headers
            expected = f"timeout={timeout}" if timeout else None
            assert headers.get("keep-alive") == expected
            server.is_stopping = True
            headers = (await connection.exchange(GET)).headers
            assert headers["connection"] == "close"
            assert "keep-alive" not in headers
            connection.close()

    run(scenario())


def test_a_connection_whose_client_was_told_nothing_outlasts_the_directory_wait():
    async def scenario():
        async with make_rig() as rig:
            for index in (0, 1):
                server = rig.server_by_id[f"{STREAM_SERVICE}-{index}"]
                server.event_count, server.event_interval_s = 2, 0.6
            connection = await KeptConnection.open(rig.settings[0].listen.clients)
            stream = build_request(
                "/claim/1", "early", b"", is_chunked=False, deadline_ms=5000
            )
            early = asyncio.ensure_future(connection.exchange(stream))
            await wait_until(lambda: rig.count_runs("early"))
            await asyncio.sleep(0.1)
            stopped = asyncio.ensure_future(rig.routers[0].stop())
            assert (await early).headers.get("connection") != "close"
            # As long as the client may leave the connection idle, nearly.
            await asyncio.sleep(MAX_KEEP_ALIVE_S - 0.1)
            late = await connection.exchange(GET)
            assert (late.status, late.is_complete) == (200, True)
            connection.close()
            await asyncio.wait_for(stopped, 1.0)

    run(scenario())


async def open_raw(address: str, receive_buffer_bytes: int = 0) -> socket.socket:
    """Return a non-blocking socket that is connected to a server."""
    sock = socket.socket()
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.setblocking(False)
    host, _, port = address.rpartition(":")
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """Read until the server closes the connection."""
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(5.0):
        while part := await loop.sock_recv(sock, 1 << 20):
            data += part
    return data


def test_a_response_in_the_write_buffer_counts_as_being_served():
    async def scenario():
        # The write buffer is below its high-water mark, so that the handler ends.
        body = b"x" * 60000

        async def handle(exchange):
            sock = exchange._connection._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await exchange.respond(200, [], body)
            ended.set()

        ended = asyncio.Event()
        async with serve(handle) as (server, address):
            sock = await open_raw(address, 4096)
            await asyncio.get_running_loop().sock_sendall(sock, GET)
            await ended.wait()
            await asyncio.sleep(0.1)
            assert server.count_active_requests() == 1
            server.is_stopping = True
            data = b""
            while not data.endswith(body):
                data += await asyncio.get_running_loop().sock_recv(sock, 1 << 20)
            await wait_until(lambda: not server.count_active_requests())
            sock.close()

    run(scenario())


def test_a_response_is_read_whole_by_a_client_that_sends_on():
    async def scenario():
        body = b"x" * 1000000
        async with serve(lambda e: e.respond(200, [], body)) as (server, address):
            server.is_stopping = True
            sock = await open_raw(address, 4096)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, GET)
            data = await loop.sock_recv(sock, 4096)
            # More than the process has read of the client when it closes.
            await loop.sock_sendall(sock, GET)
            await asyncio.sleep(0.1)
            data += await read_to_end(sock)
            assert len(data.partition(b"\r\n\r\n")[2]) == len(body)
            sock.close()

    run(scenario())


def test_a_connection_is_closed_as_soon_as_the_client_has_closed_its_end():
    async def scenario():
        async with serve(lambda e: e.respond(200, [], b"")) as (server, address):
            server.is_stopping = True
            connection = await KeptConnection.open(address)
            assert (await connection.exchange(GET)).is_complete
            connection.close()
            async with asyncio.timeout(0.2):
                await wait_until(lambda: not server.connections)

    run(scenario())


@pytest.mark.parametrize("listener", ["directory", "readiness", "metrics"])
def test_a_request_to_another_listener_at_the_end_of_a_stop_is_answered(listener):
    async def scenario():
        async with make_rig() as rig:
            address = getattr(rig.settings[0].listen, listener)
            stopped = asyncio.ensure_future(rig.routers[0].stop())
            await asyncio.sleep(DIRECTORY_EXPIRY_WAIT_S - 0.1)
            connection = await KeptConnection.open(address)
            response = await connection.exchange(GET, pause_s=0.3)
            assert response.is_complete
            assert response.headers["connection"] == "close"
            connection.close()
            await asyncio.wait_for(stopped, 1.0)

    run(scenario())


@pytest.mark.parametrize("sent_bytes", [len(GET), 20])
def test_a_connection_with_unread_bytes_is_not_closed_as_unused(sent_bytes):
    async def scenario():
        async with serve(lambda e: e.respond(200, [], b"")) as (server, address):
            sock = await open_raw(address)
            await wait_until(lambda: server.connections)
            server.is_stopping = True
            # Nothing is read between the arrival of the bytes and the close.
            sock.send(GET[:sent_bytes])
            later = boot_time() + CLIENT_DELAY_S + 0.01
            server.close_expired(later, StopRecord())
            await asyncio.sleep(0.05)
            server.close_expired(later, StopRecord())
            sock.send(GET[sent_bytes:])
            assert (await read_to_end(sock)).startswith(b"HTTP/1.1 200")
            sock.close()

    run(scenario())


def test_a_head_that_never_ends_does_not_hold_a_stop():
    async def scenario():
        async with serve(lambda e: e.respond(200, [], b"")) as (server, address):
            sock = await open_raw(address)
            sock.send(GET[:20])
            await wait_until(lambda: server.connections)
            await asyncio.sleep(0.05)
            later = boot_time() + server.limits.header_timeout_s + 0.1
            server.close_expired(later, StopRecord())
            assert await read_to_end(sock) == b""
            sock.close()

    run(scenario())


def test_connections_that_wait_to_be_accepted_are_served():
    async def scenario():
        async with serve(lambda e: e.respond(200, [], b"")) as (server, address):
            host, _, port = address.rpartition(":")
            server.is_stopping = True
            socks = []
            # The event loop doesn't run between the connects and the close.
            for _ in range(20):
                sock = socket.create_connection((host, int(port)))
                sock.setblocking(False)
                sock.send(GET)
                socks.append(sock)
            await server.stop_listening()
            for sock in socks:
                assert (await read_to_end(sock)).startswith(b"HTTP/1.1 200")
                sock.close()
            with pytest.raises(ConnectionRefusedError):
                await open_raw(address)

    run(scenario())
