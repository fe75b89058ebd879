"""Slow streams go on to their end; stalled ones end in time."""

from __future__ import annotations

import time

import pytest
from tests.router.rig import (
    STAGED,
    STREAM,
    STREAM_SERVICE,
    connect_by_links,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_stand_ins.link import Cut

# Once at most, resumable, and with stages before it.
CASES = [("/claim/1", STREAM), ("/list/1", STREAM), ("/chain/1", STAGED)]
EVENTS = 5
SLOW_INTERVAL_S = 0.7
DEADLINE_S = 2.0
ROUTE_TIMEOUT_S = 5.0
END_MARGIN_S = 0.5  # Time after its limit in which a stream has to have ended.


def list_engines(rig):
    return [rig.server_by_id[f"{STREAM_SERVICE}-{index}"] for index in (0, 1)]


@pytest.mark.parametrize(("path", "headers"), CASES)
def test_a_slow_stream_is_not_cut(path, headers):
    async def scenario():
        async with make_rig() as rig:
            for server in list_engines(rig):
                server.event_interval_s = SLOW_INTERVAL_S
            response = await rig.send_request(path, request_id="s", **headers)
            assert response.is_complete
            assert response.body.count(b"id: ") == EVENTS
            assert rig.count_runs("s") == 1

    run(scenario())


@pytest.mark.parametrize(
    ("deadline_s", "limit_s"), [(DEADLINE_S, DEADLINE_S), (30.0, ROUTE_TIMEOUT_S)]
)
@pytest.mark.parametrize(("path", "headers"), CASES)
def test_a_stream_that_only_drips_bytes_ends_at_its_limit(
    path, headers, deadline_s, limit_s
):
    async def scenario():
        async with make_rig() as rig:
            for server in list_engines(rig):
                server.faults.drips_streams_after = 2
            began_at = time.monotonic()
            response = await rig.send_request(
                path, deadline_ms=int(deadline_s * 1000), **headers
            )
            took_s = time.monotonic() - began_at
            assert not response.is_complete
            assert response.body.count(b"id: ") == 2
            assert b"x" not in response.body
            assert limit_s - END_MARGIN_S <= took_s <= limit_s + END_MARGIN_S

    run(scenario())


def test_a_slow_stream_by_way_of_a_peer_is_not_cut():
    async def scenario():
        async with make_rig(routers=2) as rig:
            for index in (0, 1):
                connect_by_links(rig, index)
                router = rig.routers[index]
                await wait_until(
                    lambda router=router: (
                        len(router.membership.list_serving_members()) == 2
                    )
                )
            for server in list_engines(rig):
                server.event_interval_s = SLOW_INTERVAL_S
            await rig.links.cut([0], Cut.RESET)
            response = await rig.send_request("/list/1", request_id="s", **STREAM)
            assert response.is_complete
            assert response.body.count(b"id: ") == EVENTS

    run(scenario())
