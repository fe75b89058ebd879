"""A client's body in many small chunks does not stop the node for others."""

from __future__ import annotations

import asyncio

from tests.router.kept_clients import build_request
from tests.router.rig import make_rig, run
from tests.router.standstill import measure_standstill
from tests.router.test_connections_of_a_stop import open_raw

CHUNKS = 60_000
CLIENTS = 3
SMALL_BODY = b"x"
# A part of the time that the node takes for all chunks of one read.
MAX_STANDSTILL_S = 0.15


async def read_to_end(sock, end: bytes) -> bytes:
    """Return what a node sends until some bytes have come or it closes."""
    received = b""
    while end not in received:
        data = await asyncio.get_running_loop().sock_recv(sock, 65536)
        if not data:
            break
        received += data
    return received


def test_many_small_chunks_leave_others_their_turn():
    async def scenario():
        async with make_rig() as rig:
            address = rig.settings[0].listen.clients
            head = build_request(
                "/book/1", "c", SMALL_BODY, is_chunked=True, deadline_ms=9000
            )
            start = head.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            is_done = asyncio.Event()
            standstill = asyncio.ensure_future(measure_standstill(is_done))
            loop = asyncio.get_running_loop()
            socks = [await open_raw(address) for _ in range(CLIENTS)]
            data = start + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"
            await asyncio.gather(*(loop.sock_sendall(sock, data) for sock in socks))
            for sock in socks:
                assert b"answer to" in await read_to_end(sock, b"answer to")
                sock.close()
            is_done.set()
            assert await standstill < MAX_STANDSTILL_S

    run(scenario())
