"""Clients that read a response slowly, or not at all."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import run, wait_until
from tests.router.test_connections_of_a_stop import GET, open_raw, serve

from persimmonlink_router import http_connection
from persimmonlink_router.http_server import RequestLimits

IDLE_TIMEOUT_S = 0.4
BODY = b"x" * 4_000_000
# What a slow client reads at a time; the kernel takes more for it less often than that.
SLOW_READ_BYTES = 20_000
SLOW_READ_INTERVAL_S = 0.1
SLOW_READ_S = 2.5


@pytest.fixture(autouse=True)
def short_wait(monkeypatch):
    monkeypatch.setattr(http_connection, "MIN_UNREAD_S", IDLE_TIMEOUT_S / 2)


async def respond_whole(exchange):
    await exchange.respond(200, [], BODY)


async def respond_stream(exchange):
    exchange.start_stream(200, [])
    for _ in range(100):
        await exchange.send(BODY[:40_000])
    await exchange.end()


@pytest.mark.parametrize("handle", [respond_whole, respond_stream])
def test_a_response_that_nobody_reads_ends_with_the_idle_timeout(handle):
    async def scenario():
        limits = RequestLimits(idle_timeout_s=IDLE_TIMEOUT_S)
        async with serve(handle, limits) as (server, address):
            sock = await open_raw(address, 4096)
            await asyncio.get_running_loop().sock_sendall(sock, GET)
            await wait_until(server.count_active_requests)
            await wait_until(lambda: not server.connections, 4 * IDLE_TIMEOUT_S)
            sock.close()

    run(scenario())


@pytest.mark.parametrize("handle", [respond_whole, respond_stream])
def test_a_slow_client_gets_its_whole_response(handle):
    async def scenario():
        loop = asyncio.get_running_loop()
        limits = RequestLimits(idle_timeout_s=IDLE_TIMEOUT_S)
        async with serve(handle, limits) as (server, address):
            sock = await open_raw(address, SLOW_READ_BYTES)
            await loop.sock_sendall(sock, GET)
            received = 0
            ends_at = loop.time() + SLOW_READ_S
            while loop.time() < ends_at:
                received += len(await loop.sock_recv(sock, SLOW_READ_BYTES))
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
            assert server.connections
            while received < len(BODY):
                received += len(await loop.sock_recv(sock, 1 << 20))
            await wait_until(lambda: not server.count_active_requests())
            sock.close()

    run(scenario())
