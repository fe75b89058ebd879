"""A router that gets odd responses to hundreds of requests at once fits its VM.

Guards against a router that a service in trouble makes run out of memory.
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest
from tests.router.kept_clients import build_request
from tests.router.process_rig import run_process_rig
from tests.router.rig import PLAIN_SERVICE, STREAM_SERVICE

# The smallest entry VM has 200 MB, for the process and all that it holds.
VM_BYTES = 200_000_000
REQUESTS = 300
DEADLINE_MS = 6000
BLOCK = bytes(65536)
BLOCKS_BELOW_AN_EVENT = 15  # Of the 16 that make an event too long.
EVENTS_IN_A_CHUNK = 60


def build_head(request_id: str, *lines: str) -> bytes:
    """Build the head of a sealed response."""
    sealed = (
        "HTTP/1.1 200 OK",
        f"Persimmonlink-Request-Id: {request_id}",
        "Persimmonlink-Response-Seal: seal",
    )
    return "\r\n".join((*sealed, *lines, "", "")).encode()


def build_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def begin_an_event(request, writer) -> bool:
    """Send most of the longest event, and nothing more."""
    request_id = request.headers["persimmonlink-request-id"]
    writer.write(build_head(request_id, "Transfer-Encoding: chunked"))
    for _ in range(BLOCKS_BELOW_AN_EVENT):
        writer.write(build_chunk(BLOCK))
        await writer.drain()
    await asyncio.sleep(2 * DEADLINE_MS / 1000)
    return False


async def send_events_without_end(request, writer) -> bool:
    """Send events as fast as they are taken."""
    request_id = request.headers["persimmonlink-request-id"]
    writer.write(build_head(request_id, "Transfer-Encoding: chunked"))
    event = b"id: 1\ndata: %s\n\n" % (b"y" * 1000)
    while True:
        writer.write(build_chunk(event * EVENTS_IN_A_CHUNK))
        await writer.drain()
        await asyncio.sleep(0)


async def answer_another_request(request, writer) -> bool:
    """Send most of a long response that names another request."""
    length = len(BLOCK) * BLOCKS_BELOW_AN_EVENT
    writer.write(build_head("another", f"Content-Length: {length + 1}"))
    for _ in range(BLOCKS_BELOW_AN_EVENT):
        writer.write(BLOCK)
        await writer.drain()
    await asyncio.sleep(2 * DEADLINE_MS / 1000)
    return False


def read_peak_bytes(pid: int) -> int:
    """Return the most memory that a process has had."""
    status = Path(f"/proc/{pid}/status").read_text()
    peak = re.search(r"^VmHWM:\s+(\d+) kB$", status, re.MULTILINE)
    assert peak is not None
    return int(peak[1]) * 1024


async def send_and_read(address: str, path: str, number: int, *, reads: bool) -> bytes:
    """Send a request; return the begin of the response, nothing if it isn't read."""
    host, _, port = address.rpartition(":")
    # A small limit, so that the client takes nothing that it doesn't read.
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    request_id = f"m{number}"
    writer.write(
        build_request(path, request_id, b"", is_chunked=False, deadline_ms=DEADLINE_MS)
    )
    try:
        if not reads:
            await asyncio.sleep(DEADLINE_MS / 1000)
            return b""
        begin = await reader.read(12)
        while await reader.read(65536):
            pass
        return begin
    except ConnectionError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("path", "service", "respond", "reads"),
    [
        ("/list/1", STREAM_SERVICE, begin_an_event, True),
        ("/claim/1", STREAM_SERVICE, begin_an_event, True),
        ("/claim/1", STREAM_SERVICE, send_events_without_end, False),
        ("/book/1", PLAIN_SERVICE, answer_another_request, True),
    ],
)
def test_many_odd_responses_at_once_fit_the_smallest_vm(
    tmp_path, path, service, respond, reads
):
    async def scenario():
        async with run_process_rig(tmp_path, routers=1, servers=3) as rig:
            for server_id, server in rig.server_by_id.items():
                if server_id.startswith(service):
                    server._server._handler = respond
            address = rig.settings[0].listen.clients
            begins = await asyncio.gather(
                *(
                    send_and_read(address, path, number, reads=reads)
                    for number in range(REQUESTS)
                )
            )
            assert not any(begin.endswith(b" 200") for begin in begins)
            assert rig.processes[0].process.poll() is None
            assert read_peak_bytes(rig.processes[0].process.pid) < VM_BYTES
            assert await rig.is_ready(0)

    asyncio.run(scenario())
