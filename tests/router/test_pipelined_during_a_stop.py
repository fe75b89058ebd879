"""Requests that a client sends ahead are answered although the node stops."""

from __future__ import annotations

import asyncio

from tests.router.kept_clients import build_request
from tests.router.rig import make_rig, run, wait_until
from tests.router.test_connections_of_a_stop import open_raw, read_to_end


def test_a_request_sent_ahead_before_the_stop_is_answered():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.work_s = 0.5
            sock = await open_raw(rig.settings[0].listen.clients)
            for name in ("p1", "p2"):
                data = build_request(
                    "/book/1", name, b"x", is_chunked=False, deadline_ms=4000
                )
                sock.send(data)
            await wait_until(lambda: rig.count_runs("p1"))
            stopped = asyncio.ensure_future(rig.routers[0].stop())
            body = await read_to_end(sock)
            assert body.count(b"HTTP/1.1 200") == 2
            sock.close()
            await stopped

    run(scenario())
