"""Connections to servers that were opened for clients that then left."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.kept_clients import build_request
from tests.router.rig import PLAIN_SERVICE, make_rig, run, wait_until
from tests.router.test_connections_of_a_stop import open_raw

CLIENTS = 5


async def never_grant(*_):
    """Ask for what nobody grants."""
    await asyncio.sleep(3600)


@pytest.mark.parametrize("limit", ["_limiter.try_acquire", "_places.acquire"])
def test_a_connection_is_not_kept_open_for_a_client_that_left_before_its_request(limit):
    async def scenario():
        async with make_rig(servers=1) as rig:
            server = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            owner, method = limit.split(".")
            setattr(getattr(rig.routers[0]._sender, owner), method, never_grant)
            for number in range(CLIENTS):
                sock = await open_raw(rig.settings[0].listen.clients)
                data = build_request(
                    "/book/1", f"r{number}", b"", is_chunked=False, deadline_ms=5000
                )
                await asyncio.get_running_loop().sock_sendall(sock, data)
                await wait_until(
                    lambda number=number: (
                        server.accepted_connections > number or server._server._writers
                    )
                )
                await asyncio.sleep(0.05)
                sock.close()
            await asyncio.sleep(0.2)
            # One at most is kept, for the next request.
            assert len(server._server._writers) <= 1

    run(scenario())
