"""Requests whose retries are used up are answered at once, and stop no others."""

from __future__ import annotations

import asyncio
import time

from tests.router.rig import PLAIN_SERVICE, make_rig, run
from tests.router.standstill import measure_standstill

FAILED_REQUESTS = 5
MAX_STANDSTILL_S = 0.25  # Far above what the loop takes for a few requests.


def test_a_used_up_retry_budget_does_not_stop_the_node():
    async def scenario():
        async with make_rig() as rig:
            rig.routers[0]._retry_budget.configure(0.0, 0.0)
            for index in (0, 1):
                server = rig.server_by_id[f"{PLAIN_SERVICE}-{index}"]
                server.faults.resets_connections = True
            is_done = asyncio.Event()
            standstill = asyncio.ensure_future(measure_standstill(is_done))
            started_at = time.monotonic()
            responses = await asyncio.gather(
                *(rig.send_request("/look/1") for _ in range(FAILED_REQUESTS))
            )
            took_s = time.monotonic() - started_at
            is_done.set()
            assert [response.status for response in responses] == [502] * 5
            assert await standstill < MAX_STANDSTILL_S
            assert took_s < 1.0
            for request_id in rig.ids[-FAILED_REQUESTS:]:
                assert rig.count_runs(request_id) == 1

    run(scenario())
