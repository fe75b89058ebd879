"""All nodes together keep to the rate that a server names, and only while it does."""

from __future__ import annotations

import asyncio
import random

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    make_rig,
    restart_router,
    run,
    stop_router,
)

ROUTER_COUNT = 6
# The users' bound: in any window, so many times the rate and requests in addition,
# counted from the contact time after the limit was first named.
WINDOW_S = 4.0
BURST_FACTOR = 1.5
SLACK = 5
CONTACT_S = 3.0
REQUESTS_PER_S = {STREAM_SERVICE: 30.0, PLAIN_SERVICE: 30.0, STAGE_SERVICE: 12.0}
PATHS = [
    ("/claim/1", STREAM_SERVICE, STREAM),
    ("/list/1", STREAM_SERVICE, STREAM),
    ("/look/1", PLAIN_SERVICE, {}),
    ("/book/1", PLAIN_SERVICE, {}),
    ("/chain/1", STAGE_SERVICE, STAGED),
]


async def send_steadily(rig, rng, duration_s, path, headers, rate):
    """Send requests at random nodes, each with a prompt of its own."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    tasks = []
    while loop.time() < ends_at:
        prompt = f"{len(tasks) % 7:x}:60,b{len(tasks):x}:40"
        changes = {"Persimmonlink_Prompt_Prefix": prompt} if headers else {}
        tasks.append(
            asyncio.ensure_future(
                rig.send_request(
                    path,
                    node=rng.randrange(len(rig.settings)),
                    **{**headers, **changes},
                )
            )
        )
        await asyncio.sleep(rng.expovariate(rate))
    responses = await asyncio.gather(*tasks, return_exceptions=True)
    return [r for r in responses if not isinstance(r, OSError)]


def count_most_in_window(times: list[float], from_at: float) -> int:
    """Return the most requests in any window after a time."""
    counted = sorted(at for at in times if at > from_at)
    most = 0
    for first, start_at in enumerate(counted):
        inside = [at for at in counted[first:] if at < start_at + WINDOW_S]
        most = max(most, len(inside))
    return most


@pytest.mark.parametrize(("path", "service", "headers"), PATHS)
@pytest.mark.parametrize("rate", [0.5, 1.0, 4.0])
@pytest.mark.timeout(60)
def test_all_nodes_together_keep_to_the_rate_that_a_server_names(
    path, service, headers, rate
):
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT) as rig:
            await asyncio.sleep(0.5)
            # So busy that all servers of a plain service are needed.
            for server in rig.server_by_id.values():
                server.work_s = 0.15
            limited = rig.server_by_id[f"{service}-0"]
            limited.rate_limit_per_s = rate
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            responses = await send_steadily(
                rig, random.Random(20), 9.0, path, headers, REQUESTS_PER_S[service]
            )
            allowed = BURST_FACTOR * rate * WINDOW_S + SLACK
            most = count_most_in_window(limited.received_at, started_at + CONTACT_S)
            assert most <= allowed, f"{most} in {WINDOW_S} s, {allowed} allowed"
            late = [at for at in limited.received_at if at > started_at + CONTACT_S]
            assert late, "a limit still lets some requests through"
            served = [r for r in responses if r.status == 200]
            assert len(served) >= 0.9 * len(responses)

    run(scenario())


@pytest.mark.timeout(60)
def test_traffic_comes_back_to_a_server_that_no_longer_names_a_limit():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await asyncio.sleep(0.5)
            for server in rig.server_by_id.values():
                server.work_s = 0.15
            limited = rig.server_by_id[f"{PLAIN_SERVICE}-0"]

            async def measure() -> int:
                limited.received_at.clear()
                await send_steadily(rig, random.Random(21), 3.0, "/look/1", {}, 60.0)
                return len(limited.received_at)

            usual = await measure()
            limited.rate_limit_per_s = 1.0
            assert await measure() < usual / 4
            limited.rate_limit_per_s = 0.0
            await measure()
            assert await measure() >= usual / 2

    run(scenario())


@pytest.mark.parametrize("seed", [7, 23])
@pytest.mark.timeout(60)
def test_a_limited_server_beside_idle_ones_is_asked_until_it_names_no_limit(seed):
    async def scenario():
        async with make_rig(routers=4, servers=3) as rig:
            await asyncio.sleep(0.5)
            limited = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            limited.rate_limit_per_s = 1.0
            rng = random.Random(seed)
            await send_steadily(rig, rng, CONTACT_S, "/look/1", {}, 20.0)
            limited.received_at.clear()
            await send_steadily(rig, rng, 8.0, "/look/1", {}, 20.0)
            most = count_most_in_window(limited.received_at, 0.0)
            assert len(limited.received_at) >= 4
            assert most <= BURST_FACTOR * 1.0 * WINDOW_S + SLACK
            limited.rate_limit_per_s = 0.0
            await send_steadily(rig, rng, CONTACT_S, "/look/1", {}, 20.0)
            limits = [router._limiter._limits.count_limited() for router in rig.routers]
            assert limits == [0, 0, 0, 0]

    run(scenario())


@pytest.mark.timeout(60)
def test_nodes_that_start_and_end_don_t_exceed_the_rate_of_several_servers():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=4) as rig:
            await asyncio.sleep(0.5)
            limited = [rig.server_by_id[f"{STREAM_SERVICE}-{i}"] for i in (0, 1)]
            for server in limited:
                server.rate_limit_per_s = 2.0
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            rng = random.Random(22)
            sending = asyncio.ensure_future(
                send_steadily(rig, rng, 11.0, "/claim/1", STREAM, 40.0)
            )
            for index in (0, 1, 2):
                await asyncio.sleep(2.5)
                await stop_router(rig.routers[index])
                await restart_router(rig, index)
            await asyncio.wait([sending])
            for server in limited:
                most = count_most_in_window(server.received_at, started_at + CONTACT_S)
                assert most <= BURST_FACTOR * 2.0 * WINDOW_S + SLACK

    run(scenario())


@pytest.mark.timeout(60)
def test_pieces_that_a_limited_stage_server_can_t_take_count_as_no_failed_calls():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await asyncio.sleep(0.5)
            rig.server_by_id[f"{STAGE_SERVICE}-0"].rate_limit_per_s = 1.0
            rng = random.Random(23)
            responses = await send_steadily(rig, rng, 5.0, "/chain/1", STAGED, 12.0)
            assert all(response.status == 200 for response in responses)
            for router in rig.routers:
                metrics = router.metrics.to_text()
                assert "stage_pieces_without_result_total" not in metrics

    run(scenario())
