"""Servers that end if they reject too much are kept busy and don't end."""

from __future__ import annotations

import asyncio
import random

import pytest
from tests.router.crashing_servers import CrashingServers
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    make_rig,
    run,
)
from tests.router.test_fatal_requests import BAD, MAX_LATER_SENDS, count_late_sends

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.place_counter import RETRY_S

ROUTER_COUNT = 6
SERVER_COUNT = 3
SLOTS = 2
WORK_S = 0.2
STREAM_S = 0.12  # Time from the first event of a stream to its end.
CONTACT_S = 3.0
MAX_FALLS = 2 + SERVER_COUNT // 10  # The users' bound for one time of brittleness.
# Least share of what the servers can run that they are to run while they bear it.
MIN_BUSY_SHARE = 0.6
KINDS = [
    ("/look/1", PLAIN_SERVICE, {}),
    ("/book/1", PLAIN_SERVICE, {}),
    ("/claim/1", STREAM_SERVICE, STREAM),
    ("/list/1", STREAM_SERVICE, STREAM),
    ("/chain/1", STAGE_SERVICE, STAGED),
]


async def send_steadily(rig, rng, duration_s, path, headers, rate):
    """Send requests at random nodes, each with a body and a prompt of its own."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    tasks = []
    while loop.time() < ends_at:
        name = f"{rng.randrange(2**40):x}"
        changes = {"Persimmonlink_Prompt_Prefix": f"a:60,{name}:40"} if headers else {}
        tasks.append(
            asyncio.ensure_future(
                rig.send_request(
                    path,
                    node=rng.randrange(len(rig.settings)),
                    body=name.encode(),
                    **{**headers, **changes},
                )
            )
        )
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.wait(tasks)
    return [task.result() for task in tasks if task.exception() is None]


def count_runs(servers) -> int:
    """Return how many requests the servers have run."""
    return sum(len(server.runs) for server in servers.list_servers())


@pytest.mark.parametrize(("path", "service", "headers"), KINDS)
@pytest.mark.parametrize("limit", [1, 6])
@pytest.mark.timeout(60)
def test_brittle_servers_are_kept_busy_and_don_t_fall(path, service, headers, limit):
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=SERVER_COUNT) as rig:
            settings = {"slots": SLOTS, "queue": 2, "brittle_limit": limit}
            servers = CrashingServers(
                rig,
                service,
                frozenset(),
                restart_s=1.0,
                work_s=WORK_S,
                settings=settings,
            )
            servers.arm_all()
            for server_id in list(rig.server_by_id):
                if server_id.startswith(service):
                    server = rig.server_by_id[server_id]
                    entry = server.build_entry(service, slots=SLOTS, seq=2)
                    rig.store.put(f"servers/{server_id}", entry)
            await asyncio.sleep(0.5)
            rng = random.Random(23)
            run_s = WORK_S + (STREAM_S if service == STREAM_SERVICE else 0.02)
            capacity = SERVER_COUNT * SLOTS / run_s
            rate = min(60.0, 1.8 * capacity)
            await send_steadily(rig, rng, CONTACT_S, path, headers, rate)
            # From the contact time on, fewer may wait.
            settings["queue"] = 0
            for server in servers.list_live():
                server.queue = 0
            falls_before = len(servers.crashed_at)
            runs_before = count_runs(servers)
            await send_steadily(rig, rng, 5.0, path, headers, rate)
            falls = len(servers.crashed_at) - falls_before
            assert falls <= MAX_FALLS, f"{falls} falls"
            busy_share = (count_runs(servers) - runs_before) / (5.0 * capacity)
            if service != STAGE_SERVICE:
                assert busy_share >= MIN_BUSY_SHARE, f"{busy_share:.2f} busy"

    run(scenario())


@pytest.mark.parametrize("has_rejected", [True, False])
@pytest.mark.timeout(60)
def test_servers_that_fall_by_rejections_accuse_no_request(has_rejected):
    async def scenario():
        async with make_rig(routers=1, servers=SERVER_COUNT) as rig:
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset(), work_s=WORK_S)
            servers.arm_all()
            router = rig.routers[0]
            for number in range(3):
                waiting = asyncio.ensure_future(rig.send_request("/book/1", body=b"x"))
                await asyncio.sleep(WORK_S / 2)
                busy = next(s for s in servers.list_live() if s._running)
                known = router.cluster_view.servers.server_by_id[busy.server_id]
                if has_rejected:
                    router._places.end_place(known, None, was_rejected=True)
                await busy.crash()
                assert (await waiting).status in (502, 503), number
                await asyncio.sleep(1.0)
            assert bool(len(router._crash_guard.holds)) is not has_rejected

    run(scenario())


@pytest.mark.timeout(60)
def test_a_request_that_ends_servers_right_after_rejections_reaches_no_more():
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=4) as rig:
            await asyncio.sleep(0.5)
            servers = CrashingServers(rig, PLAIN_SERVICE, frozenset([BAD]))
            servers.arm_all()
            rng = random.Random(25)
            loop = asyncio.get_running_loop()
            ends_at = loop.time() + 11.0
            sent = []
            while loop.time() < ends_at:
                for router in rig.routers:
                    for server in router.cluster_view.servers.list_usable(
                        PLAIN_SERVICE
                    ):
                        router._places.end_place(server, None, was_rejected=True)
                node = rng.randrange(ROUTER_COUNT)
                sent.append(
                    asyncio.ensure_future(
                        rig.send_request("/look/1", node=node, body=BAD)
                    )
                )
                await asyncio.sleep(rng.expovariate(8.0))
            await asyncio.gather(*sent)
            late = count_late_sends(servers, BAD)
            assert late <= MAX_LATER_SENDS, f"{late}, {len(servers.crashed_at)} ends"

    run(scenario())


@pytest.mark.parametrize(("path", "service", "headers"), KINDS)
@pytest.mark.timeout(60)
def test_a_place_is_used_though_another_request_is_refused_meanwhile(
    path, service, headers
):
    async def scenario():
        async with make_rig(routers=1, servers=1) as rig:
            await asyncio.sleep(0.5)
            places = rig.routers[0]._places
            servers = rig.routers[0].cluster_view.servers
            acquire = places.acquire
            granted = []

            async def acquire_beside_a_refused_one(server, lease_s):
                place = await acquire(server, lease_s)
                if server.service == service:
                    granted.append(place)
                    servers.pause_for_limit(server, boot_time() + RETRY_S)
                return place

            places.acquire = acquire_beside_a_refused_one
            response = await rig.send_request(path, **headers)
            assert response.status == 200
            calls = rig.server_by_id[f"{service}-0"]
            assert len(granted) == len(calls.runs) + len(calls.batch_sizes)

    run(scenario())


@pytest.mark.timeout(60)
def test_traffic_comes_back_to_servers_that_are_no_longer_brittle():
    async def scenario():
        async with make_rig(routers=4, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            brittle = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            brittle.brittle_limit = 2
            rng = random.Random(24)
            await send_steadily(rig, rng, 2.0, "/look/1", {}, 30.0)
            assert any(router._places.count_brittle() for router in rig.routers)
            brittle.brittle_limit = 0
            await send_steadily(rig, rng, CONTACT_S, "/look/1", {}, 30.0)
            assert not any(router._places.count_brittle() for router in rig.routers)

    run(scenario())
