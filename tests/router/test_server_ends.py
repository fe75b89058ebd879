"""The log tells which servers ended, and which prompts ran on them then."""

from __future__ import annotations

from loguru import logger
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM,
    STREAM_SERVICE,
    make_rig,
    run,
    wait_until,
)


def list_engines(rig):
    return [rig.server_by_id[f"{STREAM_SERVICE}-{index}"] for index in (0, 1)]


def collect_lines(event: str, lines: list):
    return logger.add(
        lambda message: lines.append(message.record["extra"]),
        filter=lambda record: record["message"] == event,
    )


def test_the_log_names_the_prompt_parts_that_ran_on_a_server_that_ended():
    lines = []

    async def scenario():
        async with make_rig() as rig:
            for server in list_engines(rig):
                server.fatal_part_ids = frozenset(("bad",))
            await rig.send_request(
                "/claim/1",
                request_id="c1",
                **{**STREAM, "Persimmonlink_Prompt_Prefix": "aa:60,bad:20,own:20"},
            )
            await wait_until(lambda: lines)
            series = f'server_ends_total{{service="{STREAM_SERVICE}"}} 1'
            assert series in rig.routers[0].metrics.to_text()

    handler = collect_lines("server.ended", lines)
    try:
        run(scenario())
    finally:
        logger.remove(handler)
    assert lines[0]["requests"][0]["request"] == "c1"
    assert lines[0]["requests"][0]["prompt_parts"] == ("aa", "bad")


def test_the_log_names_the_plain_request_that_ran_on_a_server_that_ended():
    lines = []

    async def scenario():
        async with make_rig() as rig:
            for server_id, server in rig.server_by_id.items():
                if server_id.startswith(PLAIN_SERVICE):
                    server.fatal_bodies = frozenset((b"bad",))
            await rig.send_request("/book/1", body=b"bad", request_id="b1")
            await rig.send_request("/book/1?again", body=b"bad", request_id="b2")
            await wait_until(lambda: len(lines) >= 2)

    handler = collect_lines("server.ended", lines)
    try:
        run(scenario())
    finally:
        logger.remove(handler)
    requests = [line["requests"][0] for line in lines]
    assert {request["request"] for request in requests} == {"b1", "b2"}
    assert len({request["fingerprint"] for request in requests}) == 1


def test_a_server_that_resets_a_response_and_goes_on_has_not_ended():
    lines = []

    async def scenario():
        async with make_rig() as rig:
            for server in list_engines(rig):
                server.faults.resets_connections = True
            await rig.send_request("/claim/1", request_id="c1", **STREAM)
            await wait_until(lambda: lines)
            assert "server_ends_total" not in rig.routers[0].metrics.to_text()

    handler = collect_lines("server.interrupted_responses", lines)
    try:
        run(scenario())
    finally:
        logger.remove(handler)
    assert lines[0]["interrupted"] == 1
