"""A request that a cancellation ends is not logged as one whose client has left."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.kept_clients import KeptConnection, build_request
from tests.router.rig import make_rig, run, wait_until
from tests.router.stops import collect_log


@pytest.mark.parametrize("path", ["/book/1", "/claim/1"])
@pytest.mark.parametrize("has_left", [True, False])
def test_the_log_tells_whether_the_client_had_left(path, has_left):
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.withholds_responses = True
            connection = await KeptConnection.open(rig.settings[0].listen.clients)
            data = build_request(path, "id", b"", is_chunked=False, deadline_ms=5000)
            sending = asyncio.ensure_future(connection.exchange(data))
            await wait_until(lambda: rig.count_runs("id"))
            with collect_log() as records:
                if has_left:
                    connection.close()
                else:
                    (served,) = rig.routers[0]._client_server.connections
                    served._task.cancel()
                await wait_until(lambda: records)
                await sending
            ended = [r for r in records if r["message"] == "request.completed"]
            reason = "left" if has_left else "cancelled"
            assert [r["extra"]["reason"] for r in ended] == [reason]

    run(scenario())
