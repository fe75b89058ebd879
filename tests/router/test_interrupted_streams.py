"""Streams whose server breaks off: what the client, the log and the metrics get."""

from __future__ import annotations

import asyncio

from loguru import logger
from tests.router.rig import STREAM_SERVICE, make_rig, wait_until

STREAM = {
    "Persimmonlink_Model": "m",
    "Persimmonlink_Token_Count": "100,50",
    "Persimmonlink_Prompt_Prefix": "aa:60,bb:40",
}


def run(scenario) -> None:
    asyncio.run(scenario)


def list_engines(rig):
    return [rig.server_by_id[f"{STREAM_SERVICE}-{index}"] for index in (0, 1)]


def list_event_ids(body: bytes) -> list[int]:
    lines = body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def test_the_log_tells_how_the_last_response_of_a_server_ended():
    lines = []

    async def scenario():
        async with make_rig() as rig:
            for server in list_engines(rig):
                server.faults.cuts_streams_after = 2
            await rig.send_request("/claim/1", request_id="c1", **STREAM)
            await wait_until(lambda: lines)
            metrics = rig.routers[0].metrics.to_text()
            series = 'last_responses_total{framing="chunked",ended="interrupted"} 1'
            assert series in metrics

    handler = logger.add(
        lambda message: lines.append(message.record["extra"]),
        filter=lambda record: record["message"] == "request.completed",
    )
    try:
        run(scenario())
    finally:
        logger.remove(handler)
    assert lines[0]["framing"] == "chunked"
    assert lines[0]["connection"] == "ConnectionResetError"
    assert lines[0]["partial_event_bytes"] == 8
