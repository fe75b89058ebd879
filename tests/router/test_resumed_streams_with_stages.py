"""Streams with stages that go on at another server, at each node of a cluster."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.router.rig import (
    STAGE_SERVICE,
    STAGED,
    STREAM_SERVICE,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_router import stage_coordinator_client

NODES = 3
MAX_TIME_S = 1.0


def list_engines(rig):
    return [rig.server_by_id[f"{STREAM_SERVICE}-{index}"] for index in (0, 1)]


async def wait_until_joined(rig):
    await wait_until(
        lambda: all(
            len(router.membership.list_serving_members()) == NODES
            for router in rig.routers
        )
    )


async def send_through_a_cut(rig, node, cuts_after):
    """Send a stream whose first server breaks off; return response and seconds."""
    engines = list_engines(rig)
    for engine in engines:
        engine.faults.cuts_streams_after = cuts_after
    started_at = time.monotonic()
    request_id = f"s{node}"
    task = asyncio.ensure_future(
        rig.send_request("/long/1", node=node, request_id=request_id, **STAGED)
    )
    await wait_until(lambda: rig.count_runs(request_id) == 1)
    for engine in engines:
        if all(run.request_id != request_id for run in engine.runs):
            engine.faults.cuts_streams_after = 0
    response = await task
    return response, time.monotonic() - started_at


@pytest.mark.parametrize("cuts_after", [-1, 2])
@pytest.mark.parametrize("release_delay_s", [0.0, 0.01, 0.05, 0.3])
def test_stream_with_stages_that_goes_on_is_whole_soon_at_every_node(
    release_delay_s, cuts_after, monkeypatch
):
    monkeypatch.setattr(stage_coordinator_client, "RELEASE_DELAY_S", release_delay_s)

    async def scenario():
        async with make_rig(routers=NODES) as rig:
            await wait_until_joined(rig)
            for node in range(NODES):
                response, took_s = await send_through_a_cut(rig, node, cuts_after)
                assert response.is_complete, f"node {node} after {took_s:.2f} s"
                assert response.body.count(b"id: ") == 5
                assert took_s < MAX_TIME_S
            stages = [
                server
                for name, server in rig.server_by_id.items()
                if name.startswith(STAGE_SERVICE)
            ]
            pieces = sum(len(server.pieces) for server in stages)
            await wait_until(
                lambda: sum(len(s.freed_handles) for s in stages) == pieces
            )

    run(scenario())


def test_stream_sent_again_while_its_stages_run_is_whole_soon():
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            await wait_until_joined(rig)
            for server in rig.server_by_id.values():
                server.stage_call_s = 0.1
            for node in range(NODES):
                first = asyncio.ensure_future(
                    rig.send_request("/chain/1", node=node, request_id="r", **STAGED)
                )
                await asyncio.sleep(0.05)
                started_at = time.monotonic()
                other = (node + 1) % NODES
                second = await rig.send_request(
                    "/chain/1", node=other, request_id="r", **STAGED
                )
                assert second.is_complete, f"node {other}: {second.status}"
                assert time.monotonic() - started_at < MAX_TIME_S
                await first

    run(scenario())


def test_refused_stages_leave_nothing_behind_at_their_node():
    async def scenario():
        async with make_rig(servers=0) as rig:
            response = await rig.send_request("/chain/1", **STAGED)
            assert response.status == 503
            assert not rig.routers[0]._coordinator_client._run_by_attempt

    run(scenario())
