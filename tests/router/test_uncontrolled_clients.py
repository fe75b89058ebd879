"""Clients that send or read badly neither end a router nor keep others from answers.

Each crowd is of legal size. The checks are of life, memory and descriptors, and that an
ordinary request is answered while the crowd stays and after it has left, not of time.
"""

from __future__ import annotations

import asyncio
import os
import re
import socket
from contextlib import asynccontextmanager, suppress
from dataclasses import fields, replace
from pathlib import Path

import msgspec
import pytest
from tests.router.kept_clients import build_request
from tests.router.process_rig import run_process_rig
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM_SERVICE,
    make_configuration,
    run,
)

from persimmonlink_router.router_settings import RouterSettings

CLIENTS = 400
MEMORY_MB = 80  # Memory of the entry VM by the settings, which the process keeps to.
DESCRIPTORS = 600  # Descriptors of the entry VM by the settings.
LIMITS = {"max-body-bytes": 4194304, "idle-timeout-ms": 15000}
LARGE_BODY_BYTES = 1_000_000
SMALL_BODY_BYTES = 65_000
CHUNK_BYTES = 61_000
TINY_CHUNKS = 60_000
LONG_RESPONSE_BYTES = 3_000_000
SHORT_BY_BYTES = 10  # What is missing of a body in the end.
SEAL = b"Persimmonlink-Response-Seal: seal\r\n"
ASK_AGAIN_S = 0.2


def build_head(path: str, name: str, *, is_chunked: bool, length: int = 0) -> bytes:
    data = build_request(path, name, b"", is_chunked=is_chunked, deadline_ms=60_000)
    head = data.partition(b"\r\n\r\n")[0]
    if not is_chunked:
        head = re.sub(rb"(?i)content-length: 0", b"Content-Length: %d" % length, head)
    return head + b"\r\n\r\n"


def send_whole(size: int):
    def build(name: str) -> bytes:
        head = build_head("/book/1", name, is_chunked=False, length=size)
        return head + bytes(size - SHORT_BY_BYTES)

    return build


def send_large_chunks(name: str) -> bytes:
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    count = LARGE_BODY_BYTES // CHUNK_BYTES
    return build_head("/book/1", name, is_chunked=True) + chunk * count


def send_tiny_chunks(name: str) -> bytes:
    head = build_head("/book/1", name, is_chunked=True)
    return head + b"1\r\nx\r\n" * TINY_CHUNKS


def send_endless_head(name: str) -> bytes:
    head = build_head("/book/1", name, is_chunked=True)
    return head[:-2] + b"X-More: " + b"y" * 12_000


def ask_for_plain(name: str) -> bytes:
    return build_head("/book/1", name, is_chunked=False)


def ask_for_stream(name: str) -> bytes:
    return build_head("/claim/1", name, is_chunked=False)


def ask_many_times(name: str) -> bytes:
    return b"".join(
        build_head("/book/1", f"{name}-{index}", is_chunked=False)
        for index in range(200)
    )


CROWDS = {
    "large bodies": send_whole(LARGE_BODY_BYTES),
    "small bodies": send_whole(SMALL_BODY_BYTES),
    "large chunks": send_large_chunks,
    "tiny chunks": send_tiny_chunks,
    "endless heads": send_endless_head,
    "slow readers": ask_for_plain,
    "slow readers of streams": ask_for_stream,
    "pipelined requests": ask_many_times,
}


async def respond_long(request, writer) -> bool:
    """Send a long response to clients of a crowd, and a short one to others."""
    request_id = request.headers["persimmonlink-request-id"].encode()
    is_crowd = request_id.startswith(b"crowd")
    body = bytes(LONG_RESPONSE_BYTES if is_crowd else 10)
    if request.target.startswith("/claim"):
        event = b"id: %d\ndata: " + bytes(4000).replace(b"\0", b"z") + b"\n\n"
        count = LONG_RESPONSE_BYTES // 4000 if is_crowd else 2
        body = b"".join(event % number for number in range(1, count + 1))
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
        + SEAL
        + b"Persimmonlink-Request-Id: %s\r\n\r\n" % request_id
    )
    with suppress(ConnectionError):
        for start in range(0, len(body), 65536):
            writer.write(body[start : start + 65536])
            await writer.drain()
    return True


class Crowd:
    """Clients that send something, read nothing, and stay until they all leave."""

    def __init__(self, address: str, build) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._build = build
        self._socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def come(self) -> None:
        for number in range(CLIENTS):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            self._socks.append(sock)
            self._tasks.append(asyncio.create_task(self._send(sock, number)))
        # A client that isn't read any more goes on to wait, as it would for long.
        await asyncio.wait(self._tasks, timeout=15.0)

    async def _send(self, sock: socket.socket, number: int) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_connect(sock, self._address)
            await loop.sock_sendall(sock, self._build(f"crowd-{number}"))

    async def leave(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()
        self._socks.clear()
        self._tasks.clear()


@asynccontextmanager
async def serve(folder: Path):
    """Run a router on a small VM, before servers whose responses can be long."""
    async with run_process_rig(folder, routers=1) as rig:
        router = rig.processes[0]
        router.process.kill()
        router.process.wait()
        known = {each.name for each in fields(RouterSettings)}
        changes = {"memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS}
        rig.settings[0] = replace(
            rig.settings[0], **{k: v for k, v in changes.items() if k in known}
        )
        rig.store.put(
            "op/config", msgspec.json.encode(make_configuration(2, limits=LIMITS))
        )
        for service in (PLAIN_SERVICE, STREAM_SERVICE):
            for index in range(2):
                server = rig.server_by_id[f"{service}-{index}"]
                server._server._handler = respond_long
        rig.start(0, folder)
        await rig.wait_until_ready(0)
        yield rig


async def ask_until_answered(rig) -> None:
    """Send ordinary requests, one after another, until one is answered."""
    while True:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(6.0):
                if (await rig.send_request("/book/1")).status == 200:
                    return
        await asyncio.sleep(ASK_AGAIN_S)


def read_peak_mb(rig) -> float:
    status = Path(f"/proc/{rig.processes[0].process.pid}/status").read_text()
    peak = re.search(r"^VmHWM:\s+(\d+) kB$", status, re.MULTILINE)
    assert peak is not None
    return int(peak.group(1)) / 1024


def count_descriptors(rig) -> int:
    return len(os.listdir(f"/proc/{rig.processes[0].process.pid}/fd"))


# Ends a test whose router hangs; a slow machine has time for all that is sent.
@pytest.mark.timeout(400)
@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_leaves_the_router_alive_in_its_memory_and_others_served(
    name, tmp_path
):
    async def scenario():
        async with serve(tmp_path) as rig:
            crowd = Crowd(rig.settings[0].listen.clients, CROWDS[name])
            await crowd.come()
            descriptors = count_descriptors(rig)
            await ask_until_answered(rig)
            await crowd.leave()
            await ask_until_answered(rig)
            assert rig.processes[0].process.poll() is None
            assert read_peak_mb(rig) <= MEMORY_MB
            assert descriptors <= DESCRIPTORS

    run(scenario())
