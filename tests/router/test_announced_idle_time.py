"""A connection stays open for the idle time that its last response has announced."""

from __future__ import annotations

import asyncio

from tests.router.kept_clients import KeptConnection, build_request
from tests.router.rig import make_configuration, make_rig, run, wait_until

EVENT_INTERVAL_S = 0.3
PAUSE_S = 2.0  # Less than the announced 3 s.
SHORT_IDLE = {"max-body-bytes": 100000, "idle-timeout-ms": 1000}


async def send_on(connection, request_id):
    data = build_request(
        "/claim/1", request_id, b"", is_chunked=False, deadline_ms=5000
    )
    return await connection.exchange(data)


def test_a_shorter_idle_timeout_does_not_cut_an_announced_one():
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.event_interval_s = EVENT_INTERVAL_S
            connection = await KeptConnection.open(rig.settings[0].listen.clients)
            streaming = asyncio.ensure_future(send_on(connection, "first"))
            await wait_until(lambda: rig.count_runs("first"))
            await asyncio.sleep(2 * EVENT_INTERVAL_S)
            rig.store.put("op/config", make_configuration(2, limits=SHORT_IDLE))
            view = rig.routers[0].cluster_view
            await wait_until(lambda: view.configuration.version == 2)
            response = await streaming
            assert (response.status, response.is_complete) == (200, True)
            assert response.headers["keep-alive"] == "timeout=3"
            await asyncio.sleep(PAUSE_S)
            assert not connection.is_closed
            assert (await send_on(connection, "second")).status == 200
            connection.close()

    run(scenario())
