"""A client that leaves after a body in chunks is noticed while it is served."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.kept_clients import build_request
from tests.router.rig import run
from tests.router.test_connections_of_a_stop import open_raw, serve

from persimmonlink_router.bounded_reads import READ_PAUSE_BYTES
from persimmonlink_router.http_exchange import RequestLimits

HEAD = build_request("/book/1", "r", b"", is_chunked=True, deadline_ms=9000)
BODY_START = HEAD.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


@pytest.mark.parametrize("chunks", [1, READ_PAUSE_BYTES // 5])
def test_the_request_of_a_client_that_has_left_is_cancelled(chunks):
    async def scenario():
        has_begun, was_cancelled = asyncio.Event(), asyncio.Event()

        async def handle(_exchange):
            has_begun.set()
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                was_cancelled.set()
                raise

        async with serve(handle, RequestLimits()) as (_server, address):
            sock = await open_raw(address)
            data = BODY_START + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n"
            await asyncio.get_running_loop().sock_sendall(sock, data)
            await asyncio.wait_for(has_begun.wait(), 20.0)
            sock.close()
            await asyncio.wait_for(was_cancelled.wait(), 20.0)

    run(scenario())


def test_a_client_that_leaves_behind_more_requests_is_noticed_by_the_kernel():
    async def scenario():
        has_begun, was_cancelled = asyncio.Event(), asyncio.Event()

        async def handle(_exchange):
            has_begun.set()
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                was_cancelled.set()
                raise

        async with serve(handle, RequestLimits()) as (server, address):
            sock = await open_raw(address)
            await asyncio.get_running_loop().sock_sendall(sock, HEAD * 400)
            await asyncio.wait_for(has_begun.wait(), 20.0)
            sock.close()
            async with asyncio.timeout(20.0):
                while not was_cancelled.is_set():
                    server.close_departed()
                    await asyncio.sleep(0.05)

    run(scenario())
