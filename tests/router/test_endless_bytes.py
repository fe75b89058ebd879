"""Bytes without end from a server or the store take bounded memory and time."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    make_rig,
    run,
)

from persimmonlink_router.byte_budget import ByteBudget
from persimmonlink_router.plain_relay import MAX_RESPONSE_BYTES
from persimmonlink_stand_ins.routed_server import EndlessBytes

KINDS = [kind for kind in EndlessBytes if kind]
DEADLINE_MS = 3000
RECOVERY_S = 12.0  # The users' bound for serving again after a fault.
# What the sockets of both ends hold in addition to what the router reads.
SOCKET_BYTES = 16777216


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("path", "service", "headers"),
    [
        ("/look/1", PLAIN_SERVICE, {}),
        ("/book/1", PLAIN_SERVICE, {}),
        ("/claim/1", STREAM_SERVICE, STREAM),
        ("/list/1", STREAM_SERVICE, STREAM),
        ("/chain/1", STAGE_SERVICE, STAGED),
    ],
)
@pytest.mark.timeout(30)
def test_a_server_that_sends_without_end_is_cut_off(kind, path, service, headers):
    async def scenario():
        async with make_rig() as rig:
            servers = [rig.server_by_id[f"{service}-{index}"] for index in (0, 1)]
            for server in servers:
                server.faults.endless_bytes = kind
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            response = await rig.send_request(path, deadline_ms=DEADLINE_MS, **headers)
            assert loop.time() - started_at < DEADLINE_MS / 1000 + 0.5
            assert response.status != 200 or not response.is_complete
            for server in servers:
                assert server.endless_bytes_sent < MAX_RESPONSE_BYTES + SOCKET_BYTES
            for server in servers:
                server.faults.endless_bytes = EndlessBytes.NONE
            async with asyncio.timeout(RECOVERY_S):
                while (await rig.send_request(path, **headers)).status != 200:
                    await asyncio.sleep(0.3)

    run(scenario())


def test_long_bodies_leave_room_for_small_ones():
    async def scenario():
        async with make_rig() as rig:
            rig.routers[0]._sender.body_budget = ByteBudget(0)
            assert (await rig.send_request("/book/1")).status == 200
            for index in (0, 1):
                server = rig.server_by_id[f"{PLAIN_SERVICE}-{index}"]
                server.faults.endless_bytes = EndlessBytes.BODY
            assert (await rig.send_request("/book/1")).status == 502

    run(scenario())


def test_many_bodies_without_end_at_once_stay_within_the_budget():
    async def scenario():
        async with make_rig() as rig:
            for index in (0, 1):
                server = rig.server_by_id[f"{PLAIN_SERVICE}-{index}"]
                server.faults.endless_bytes = EndlessBytes.BODY
            tracemalloc.start()
            try:
                responses = await asyncio.gather(
                    *(
                        rig.send_request("/book/1", deadline_ms=DEADLINE_MS)
                        for _ in range(24)
                    )
                )
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert all(response.status == 502 for response in responses)
            # The stand-ins' own write buffers are in it too.
            assert peak_bytes < 120_000_000

    run(scenario())
