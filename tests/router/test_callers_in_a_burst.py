"""Callers of stages that get more requests than they bear, at a real router."""

from __future__ import annotations

import asyncio
import math
import random
from statistics import median

import pytest
from tests.router.rig import (
    STAGE_SERVICE,
    STAGED,
    ClientResponse,
    Rig,
    make_configuration,
    make_rig,
    run,
    wait_until,
)

CALL_S = 0.1  # Time of a call to a stage server.
LOAD = 2.0  # Requests sent, as a multiple of what the stages bear.
BURST_S = 12.0
ROUTE_TIMEOUT_S = 30.0  # More than any deadline, so that these decide.
PIECES_PER_REQUEST = 4  # As in `STAGED`.


async def slow_stages_down(rig: Rig) -> float:
    """Have stage calls take `CALL_S`; return the requests a second that they bear."""
    configuration = make_configuration(version=2)
    spec = next(s for s in configuration["services"] if s["name"] == STAGE_SERVICE)
    spec["pieces"].update({"call-ms": CALL_S * 1000, "item-ms": 0})
    for route in configuration["routes"]:
        route["timeout-ms"] = ROUTE_TIMEOUT_S * 1000
    rig.store.put("op/config", configuration)
    view = rig.routers[0].cluster_view
    await wait_until(lambda: view.configuration.version == 2)
    servers = [s for i, s in rig.server_by_id.items() if i.startswith(STAGE_SERVICE)]
    for server in servers:
        server.stage_call_s = CALL_S
    return len(servers) * spec["pieces"]["batch"] / CALL_S / PIECES_PER_REQUEST


async def send_burst(
    rig: Rig, deadlines_s: dict[float, float], seed: int
) -> dict[float, list[ClientResponse]]:
    """Send first tries only, which state deadlines with some weights.

    Returns the responses by deadline.
    """
    rng = random.Random(seed)
    rate = LOAD * await slow_stages_down(rig)
    loop = asyncio.get_running_loop()
    tasks = []
    ends_at = loop.time() + BURST_S
    while loop.time() < ends_at:
        await asyncio.sleep(rng.expovariate(rate))
        [deadline_s] = rng.choices(list(deadlines_s), list(deadlines_s.values()))
        request = rig.send_request(
            "/chain/1", deadline_ms=int(deadline_s * 1000), **STAGED
        )
        tasks.append((deadline_s, asyncio.ensure_future(request)))
    responses: dict[float, list[ClientResponse]] = {d: [] for d in deadlines_s}
    for deadline_s, task in tasks:
        responses[deadline_s].append(await task)
    return responses


def count_served(responses: list[ClientResponse]) -> int:
    """Return the number of requests that were answered whole."""
    return sum(1 for r in responses if r.status == 200 and r.is_complete)


def require_like_share(
    responses: list[ClientResponse], others: list[ClientResponse]
) -> None:
    """Require that no fewer are served than others, but for chance.

    The bound is three standard errors of the difference of both shares.
    """
    share, other_share = (
        count_served(each) / len(each) for each in (responses, others)
    )
    both = (count_served(responses) + count_served(others)) / (
        len(responses) + len(others)
    )
    variance = both * (1 - both) * (1 / len(responses) + 1 / len(others))
    assert other_share >= 0.4, (share, other_share)
    assert share >= other_share - 3 * math.sqrt(variance), (share, other_share)


@pytest.mark.parametrize("seed", [1, 2])
def test_first_tries_with_a_somewhat_shorter_deadline_are_served_like_others(seed):
    """Of callers that came for the first time, those with 9.6 s got no answer at all.

    The work ahead is far less than either has time for.
    """

    async def scenario():
        async with make_rig() as rig:
            responses = await send_burst(rig, {12.0: 0.7, 9.6: 0.3}, seed)
            require_like_share(responses[9.6], responses[12.0])

    run(scenario())


def median_retry_after_s(responses: list[ClientResponse]) -> float:
    """Return the median Retry-After of the refused requests, in seconds."""
    told = [float(r.headers["retry-after"]) for r in responses if r.status == 503]
    assert len(told) >= 20
    return median(told)


def test_callers_are_told_the_same_time_for_the_same_work_ahead():
    """They were told 1.6 s where they stated 6 s, and 6.0 s where they stated 24 s."""
    told_s = []

    async def scenario(deadline_s):
        async with make_rig() as rig:
            responses = await send_burst(rig, {deadline_s: 1.0}, 1)
            told_s.append(median_retry_after_s(responses[deadline_s]))

    for deadline_s in (6.0, 24.0):
        run(scenario(deadline_s))
    assert abs(told_s[0] - told_s[1]) <= CALL_S, told_s
