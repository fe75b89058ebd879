"""Requests whose stage servers take many times as long as their service states."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.kept_clients import KeptConnection, build_request
from tests.router.rig import STAGE_SERVICE, make_rig, run

from persimmonlink_router.stage_servers import SHARED_USE_S

PAUSE_S = 0.2  # Time between requests, so short that no other node took over.


async def send_on(connection, request_id):
    data = build_request(
        "/chain/1", request_id, b"body", is_chunked=False, deadline_ms=6000
    )
    return await connection.exchange(data)


@pytest.mark.parametrize("call_s", [0.3, 0.6])
def test_stages_of_servers_that_turned_slow_are_not_begun_again_until_the_deadline(
    call_s,
):
    async def scenario():
        async with make_rig() as rig:
            connection = await KeptConnection.open(rig.settings[0].listen.clients)
            for number in range(round(2 * SHARED_USE_S / PAUSE_S)):
                await send_on(connection, f"fast-{number}")
                await asyncio.sleep(PAUSE_S)
            for server_id, server in rig.server_by_id.items():
                if server_id.startswith(STAGE_SERVICE):
                    server.stage_call_s = call_s
            response = await send_on(connection, "slow")
            assert (response.status, response.is_complete) == (200, True)
            connection.close()

    run(scenario())
