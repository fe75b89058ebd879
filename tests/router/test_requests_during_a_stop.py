"""Requests that a stopping node takes are answered, others are refused at once."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.router.kept_clients import KeptConnection, build_request
from tests.router.rig import STAGE_SERVICE, make_rig, run, wait_until
from tests.router.stops import shorten_stop

LATE_S = 2.9  # Time after the begin of a stop.


async def send_on(connection, path, request_id, deadline_ms, *, is_chunked=False):
    data = build_request(
        path, request_id, b"body", is_chunked=is_chunked, deadline_ms=deadline_ms
    )
    return await connection.exchange(data)


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("path", ["/claim/1", "/list/1", "/chain/1", "/book/1"])
def test_a_late_request_that_may_outlast_the_stop_is_refused(path, is_chunked):
    async def scenario():
        async with make_rig() as rig:
            address = rig.settings[0].listen.clients
            stopped = asyncio.ensure_future(rig.routers[0].stop())
            await asyncio.sleep(LATE_S)
            connection = await KeptConnection.open(address)
            sent_at = time.monotonic()
            late = await send_on(connection, path, "late", 9000, is_chunked=is_chunked)
            assert (late.status, late.is_complete) == (503, True)
            assert late.headers["connection"] == "close"
            assert float(late.headers["retry-after"]) < 0.2
            assert time.monotonic() - sent_at < 0.3
            connection.close()
            connection = await KeptConnection.open(address)
            short = await send_on(connection, path, "short", 1500)
            assert (short.status, short.is_complete) == (200, True)
            connection.close()
            await stopped
            assert rig.count_runs("late") == 0

    run(scenario())


@pytest.mark.parametrize("path", ["/claim/1", "/list/1", "/look/1", "/book/1"])
def test_a_request_without_a_response_at_the_end_of_a_stop_is_answered(path):
    async def scenario():
        async with make_rig() as rig:
            for server in rig.server_by_id.values():
                server.faults.withholds_responses = True
            shorten_stop(rig.routers[0])
            connection = await KeptConnection.open(rig.settings[0].listen.clients)
            early = asyncio.ensure_future(send_on(connection, path, "early", 9000))
            await wait_until(lambda: rig.count_runs("early"))
            await rig.routers[0].stop()
            response = await early
            assert (response.status, response.is_complete) == (504, True)
            connection.close()

    run(scenario())


def test_a_request_whose_stages_run_at_the_end_of_a_stop_is_refused():
    async def scenario():
        async with make_rig() as rig:
            for index in (0, 1):
                rig.server_by_id[f"{STAGE_SERVICE}-{index}"].stage_call_s = 3.0
            shorten_stop(rig.routers[0])
            connection = await KeptConnection.open(rig.settings[0].listen.clients)
            early = asyncio.ensure_future(send_on(connection, "/chain/1", "e", 9000))
            await asyncio.sleep(0.2)
            await rig.routers[0].stop()
            response = await early
            assert (response.status, response.is_complete) == (503, True)
            assert rig.count_runs("e") == 0
            connection.close()

    run(scenario())


def test_requests_with_stages_are_answered_while_all_nodes_stop():
    async def scenario():
        async with make_rig(routers=3) as rig:
            addresses = [settings.listen.clients for settings in rig.settings]
            connections = [await KeptConnection.open(address) for address in addresses]
            for index in (0, 1):
                rig.server_by_id[f"{STAGE_SERVICE}-{index}"].stage_call_s = 0.3
            early = [
                asyncio.ensure_future(
                    send_on(connection, "/chain/1", f"early-{number}", 6000)
                )
                for number, connection in enumerate(connections)
            ]
            await asyncio.sleep(0.1)
            stopped = asyncio.gather(*[router.stop() for router in rig.routers])
            responses = await asyncio.gather(*early)
            connections += [await KeptConnection.open(address) for address in addresses]
            late = [
                send_on(connection, "/chain/1", f"late-{number}", 3000)
                for number, connection in enumerate(connections[-3:])
            ]
            responses += await asyncio.gather(*late)
            assert [(r.status, r.is_complete) for r in responses] == [(200, True)] * 6
            for connection in connections:
                connection.close()
            await stopped

    run(scenario())
