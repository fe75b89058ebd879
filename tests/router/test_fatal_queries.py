"""A method or query that ends servers is held back, others of its path go on."""

from __future__ import annotations

import asyncio
import random

import pytest
from tests.router.crashing_servers import CrashingServers
from tests.router.rig import PLAIN_SERVICE, STREAM, STREAM_SERVICE, make_rig, run

ROUTER_COUNT = 6
SERVER_COUNT = 4
CONTACT_S = 3.0
ENDS_BEFORE_BOUND = 3
MAX_LATER_SENDS = 3
MIN_SOUND_SHARE = 0.9
LENGTH_S = 10.0
REQUESTS_PER_S = 20.0
# A fatal request comes so often; some find no server while those that ended restart.
FATAL_INTERVAL_S = 0.7
BODY = b"the same body"
# Service, method and path with query of a fatal request, of sound ones, and headers.
CASES = [
    (PLAIN_SERVICE, "GET", "/look/1?id=666", "GET", "/look/1?id=", {}),
    (PLAIN_SERVICE, "GET", "/look/1", "GET", "/look/1?id=", {}),
    (PLAIN_SERVICE, "PUT", "/look/1?id=1", "POST", "/look/1?id=1", {}),
    (PLAIN_SERVICE, "POST", "/book/1?id=666", "POST", "/book/1?id=", {}),
    (STREAM_SERVICE, "POST", "/list/1?id=666", "POST", "/list/1?id=", STREAM),
]


def count_late(times: list[float]) -> int:
    """Return how many sends of a fatal request were later than the bound allows."""
    if len(times) < ENDS_BEFORE_BOUND:
        return 0
    bound_at = times[ENDS_BEFORE_BOUND - 1] + CONTACT_S
    return sum(1 for at in times if at > bound_at)


def compute_served_share(sent) -> float:
    """Return the share of requests that were served."""
    assert len(sent) >= 20
    served = [task for task in sent if task.result().status == 200]
    return len(served) / len(sent)


@pytest.mark.parametrize(
    ("service", "method", "target", "sound_method", "sound_target", "headers"), CASES
)
@pytest.mark.timeout(60)
def test_a_fatal_method_or_query_is_held_and_sound_ones_of_its_path_are_served(
    service, method, target, sound_method, sound_target, headers
):
    async def scenario():
        async with make_rig(routers=ROUTER_COUNT, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            line = f"{method} {target}"
            servers = CrashingServers(
                rig, service, frozenset(), fatal_lines=frozenset([line])
            )
            servers.arm_all()
            rng = random.Random(37)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            next_fatal_at = started_at
            fatal, sound = [], []
            while loop.time() < started_at + LENGTH_S:
                is_fatal = loop.time() >= next_fatal_at
                if is_fatal:
                    next_fatal_at += FATAL_INTERVAL_S
                ending = str(rng.randrange(9)) if sound_target.endswith("=") else ""
                task = asyncio.ensure_future(
                    rig.send_request(
                        target if is_fatal else sound_target + ending,
                        method if is_fatal else sound_method,
                        node=rng.randrange(ROUTER_COUNT),
                        body=BODY,
                        **headers,
                    )
                )
                (fatal if is_fatal else sound).append((loop.time(), task))
                await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
            await asyncio.gather(*(task for _, task in [*fatal, *sound]))
            times = servers.list_fatal_line_arrivals()
            assert len(times) >= ENDS_BEFORE_BOUND
            late = count_late(times)
            assert late <= MAX_LATER_SENDS, f"{late}, {len(times)} sends"
            from_at = times[ENDS_BEFORE_BOUND - 1] + CONTACT_S
            share = compute_served_share([t for at, t in sound if at > from_at])
            assert share >= MIN_SOUND_SHARE

    run(scenario())


@pytest.mark.timeout(60)
def test_a_fatal_request_that_comes_alone_holds_no_other_query_of_its_path():
    async def scenario():
        async with make_rig(routers=3, servers=SERVER_COUNT) as rig:
            await asyncio.sleep(0.5)
            lines = frozenset(["GET /look/1?id=666"])
            servers = CrashingServers(
                rig, PLAIN_SERVICE, frozenset(), fatal_lines=lines
            )
            servers.arm_all()
            for number in range(12):
                await rig.send_request("/look/1?id=666", "GET", node=number % 3)
                await asyncio.sleep(0.5)
            times = servers.list_fatal_line_arrivals()
            assert len(times) >= ENDS_BEFORE_BOUND
            assert count_late(times) <= MAX_LATER_SENDS
            for node in range(3):
                held = await rig.send_request("/look/1?id=666", "GET", node=node)
                assert held.status == 503
                for target in ("/look/1?id=1", "/look/1"):
                    sound = await rig.send_request(target, "GET", node=node)
                    assert sound.status == 200, (target, sound.body)

    run(scenario())
