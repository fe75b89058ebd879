"""A single client inside the limits is served in calm, however odd or slow it is."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from tests.crowds.scripts import build_head
from tests.crowds.small_vm import LONG_RESPONSE_BYTES, run_small_vm
from tests.router.rig import make_rig, run
from tests.router.test_connections_of_a_stop import open_raw
from tests.router.test_small_chunks_of_clients import read_to_end

PAUSE_S = 0.2


@asynccontextmanager
async def open_client():
    async with make_rig() as rig:
        sock = await open_raw(rig.settings[0].listen.clients)
        try:
            yield sock
        finally:
            sock.close()


async def send_parts(sock, parts) -> bytes:
    loop = asyncio.get_running_loop()
    for part in parts:
        await loop.sock_sendall(sock, part)
        await asyncio.sleep(PAUSE_S)
    return await read_to_end(sock, b"answer to")


@pytest.mark.parametrize("count", [1, 2])
def test_empty_lines_before_a_request_are_ignored(count):
    async def scenario():
        async with open_client() as sock:
            response = await send_parts(sock, [b"\r\n" * count + build_head("a")])
            assert response.startswith(b"HTTP/1.1 200")

    run(scenario())


def test_empty_lines_between_requests_are_ignored():
    async def scenario():
        async with open_client() as sock:
            await send_parts(sock, [build_head("a")])
            response = await send_parts(sock, [b"\r\n" + build_head("b")])
            assert response.startswith(b"HTTP/1.1 200")

    run(scenario())


def test_a_run_of_empty_lines_is_refused():
    async def scenario():
        async with open_client() as sock:
            response = await send_parts(sock, [b"\r\n" * 100 + build_head("a")])
            assert response.startswith(b"HTTP/1.1 400")

    run(scenario())


def test_a_head_that_comes_in_slow_parts_is_served():
    async def scenario():
        async with open_client() as sock:
            head = build_head("a")
            size = len(head) // 8 + 1
            parts = [head[i : i + size] for i in range(0, len(head), size)]
            response = await send_parts(sock, parts)
            assert response.startswith(b"HTTP/1.1 200")

    run(scenario())


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_that_comes_byte_by_byte_is_served(is_chunked):
    async def scenario():
        async with open_client() as sock:
            head = build_head("a", is_chunked=is_chunked, length=15)
            part = b"1\r\nx\r\n" if is_chunked else b"x"
            end = [b"0\r\n\r\n"] if is_chunked else []
            response = await send_parts(sock, [head, *[part] * 15, *end])
            assert response.startswith(b"HTTP/1.1 200")

    run(scenario())


def test_a_body_in_tiny_chunks_with_extensions_and_trailers_is_served():
    async def scenario():
        async with open_client() as sock:
            chunks = b"1;name=value\r\nx\r\n" * 20_000
            end = b"0\r\nX-Trailer: y\r\n\r\n"
            head = build_head("a", is_chunked=True)
            response = await send_parts(sock, [head + chunks + end])
            assert response.startswith(b"HTTP/1.1 200")

    run(scenario())


LIMIT_BODY_BYTES = 4_194_304  # The limit of bodies in the settings of the crowds.
LIMIT_HEAD_BYTES = 16_000


@pytest.mark.timeout(400)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_small_vm_serves_a_body_at_the_limit(is_chunked, tmp_path):
    async def scenario():
        async with run_small_vm(tmp_path) as vm:
            sock = await open_raw(vm.listen.clients)
            head = build_head("a", is_chunked=is_chunked, length=LIMIT_BODY_BYTES)
            body = bytes(LIMIT_BODY_BYTES)
            if is_chunked:
                body = b"%x\r\n%s\r\n0\r\n\r\n" % (LIMIT_BODY_BYTES, body)
            await asyncio.get_running_loop().sock_sendall(sock, head + body)
            response = await read_to_end(sock, bytes(10))
            assert response.startswith(b"HTTP/1.1 200")
            sock.close()
            vm.check()

    run(scenario())


@pytest.mark.timeout(400)
def test_a_small_vm_serves_a_head_at_the_limit_and_a_long_response(tmp_path):
    async def scenario():
        async with run_small_vm(tmp_path) as vm:
            sock = await open_raw(vm.listen.clients)
            head = build_head("crowd-a")[:-2]
            head += b"X-More: " + b"y" * (LIMIT_HEAD_BYTES - len(head)) + b"\r\n\r\n"
            await asyncio.get_running_loop().sock_sendall(sock, head)
            response = await read_to_end(sock, bytes(LONG_RESPONSE_BYTES))
            assert response.startswith(b"HTTP/1.1 200")
            sock.close()
            vm.check()

    run(scenario())
