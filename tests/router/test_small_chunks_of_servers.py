"""Chunks of one byte each, without end, from one server hold up nobody else.

Guards against a router that stands still over the bytes of a server in trouble.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.router.process_rig import run_process_rig
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_configuration,
    make_route,
)

from persimmonlink_stand_ins.routed_server import EndlessBytes

DEADLINE_MS = 6000
ODD_REQUESTS = 6
SOUND_REQUESTS = 60
SOUND_INTERVAL_S = 0.05
TIMEOUT_MS = 800  # Of the route of the sound requests.
ANSWER_SLACK_S = 0.5  # Time after it by which they have their answers.
SOUND_SERVICE = "sound"


def add_sound_route(rig) -> None:
    """Route a path to servers that are in no trouble."""
    configuration = make_configuration(2)
    timeout = {"timeout-ms": TIMEOUT_MS, "slo-ms": 100}
    configuration["routes"].append(
        make_route("/sound/", "idempotent", SOUND_SERVICE, **timeout)
    )
    configuration["services"].append({"name": SOUND_SERVICE})
    rig.store.put("op/config", configuration)


async def send_sound(rig, number: int) -> float:
    """Send a request to a sound service; return how long its answer took."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    response = await rig.send_request("/sound/1", "GET", request_id=f"s{number}")
    assert response.is_complete
    return loop.time() - began_at


@pytest.mark.parametrize(
    ("path", "service", "headers"),
    [
        ("/book/1", PLAIN_SERVICE, {}),
        ("/look/1", PLAIN_SERVICE, {}),
        ("/claim/1", STREAM_SERVICE, STREAM),
        ("/list/1", STREAM_SERVICE, STREAM),
        ("/chain/1", STAGE_SERVICE, STAGED),
    ],
)
@pytest.mark.timeout(60)
def test_others_are_served_beside_small_chunks_without_end(
    tmp_path, path, service, headers
):
    async def scenario():
        async with run_process_rig(tmp_path, routers=1) as rig:
            await add_server(rig, SOUND_SERVICE, f"{SOUND_SERVICE}-0")
            add_sound_route(rig)
            for index in (0, 1):
                server = rig.server_by_id[f"{service}-{index}"]
                server.faults.endless_bytes = EndlessBytes.SMALL_CHUNKS
            await asyncio.sleep(0.5)
            odd = [
                asyncio.ensure_future(
                    rig.send_request(
                        path, request_id=f"o{n}", deadline_ms=DEADLINE_MS, **headers
                    )
                )
                for n in range(ODD_REQUESTS)
            ]
            await asyncio.sleep(0.2)
            sound = []
            for number in range(SOUND_REQUESTS):
                sound.append(asyncio.ensure_future(send_sound(rig, number)))
                await asyncio.sleep(SOUND_INTERVAL_S)
            times_s = await asyncio.gather(*sound)
            responses = await asyncio.gather(*odd)
            assert max(times_s) < TIMEOUT_MS / 1000 + ANSWER_SLACK_S
            for response in responses:
                assert response.status != 200 or not response.is_complete

    asyncio.run(scenario())
