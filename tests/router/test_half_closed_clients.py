"""Clients that close their end of the connection while they wait for a response."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import HOST, KEY, STREAM, STREAM_SERVICE, make_rig, run

EVENTS = 20


def build_head(version: str) -> bytes:
    headers = {
        "Host": "shop.example",
        "Persimmonlink-Request-Id": "half",
        "Persimmonlink-Deadline-Ms": "5000",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": "0",
        **{name.replace("_", "-"): value for name, value in STREAM.items()},
    }
    lines = [f"POST /claim/1 HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_stream_that_a_half_close_ends_does_not_look_complete(version):
    async def scenario():
        async with make_rig(servers=1) as rig:
            rig.server_by_id[f"{STREAM_SERVICE}-0"].event_count = EVENTS
            port = rig.settings[0].listen.clients.rpartition(":")[2]
            reader, writer = await asyncio.open_connection(HOST, int(port))
            writer.write(build_head(version))
            received = await reader.readuntil(b"id: 2")
            writer.write_eof()
            was_reset = False
            try:
                received += await asyncio.wait_for(reader.read(), 3.0)
            except ConnectionError:
                was_reset = True
            writer.close()
            assert f"id: {EVENTS}".encode() not in received
            if version == "1.0":
                assert was_reset
            else:
                assert not received.endswith(b"0\r\n\r\n")

    run(scenario())
