"""A server may close a connection while its node asks a peer for a permit."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import STREAM, make_rig, run

RATE_PER_S = 100.0
ASK_S = 0.1  # Time that a permit takes.
PATHS = [("/book/1", {}), ("/claim/1", STREAM), ("/look/1", {}), ("/list/1", STREAM)]


def delay_permits(router) -> None:
    """Let a node wait for each permit."""
    try_acquire = router._limiter.try_acquire

    async def acquire_late(server):
        await asyncio.sleep(ASK_S)
        return await try_acquire(server)

    router._limiter.try_acquire = acquire_late


@pytest.mark.parametrize(("path", "headers"), PATHS)
def test_a_request_that_was_not_written_is_not_taken_to_have_run(path, headers):
    async def scenario():
        async with make_rig(servers=2) as rig:
            router = rig.routers[0]
            for _ in range(4):
                assert (await rig.send_request(path, **headers)).status == 200
            delay_permits(router)
            sending = asyncio.ensure_future(
                rig.send_request(path, request_id="crossed", **headers)
            )
            await asyncio.sleep(ASK_S / 2)
            for server in rig.server_by_id.values():
                for writer in server._server.list_writers():
                    writer.close()
            response = await sending
            assert (response.status, response.is_complete) == (200, True)
            assert rig.count_runs("crossed") == 1

    run(scenario())
