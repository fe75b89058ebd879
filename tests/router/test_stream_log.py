"""The log tells how a stream's version was found and how its responses ended."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager

from loguru import logger
from tests.router.rig import STREAM, STREAM_SERVICE, make_rig, run, wait_until
from tests.router.test_stream_versions import (
    add_engines,
    begin_broken_stream,
    list_engines,
    resume,
    set_cut,
)


@contextmanager
def collect_lines(event: str):
    """Collect the fields of the log lines of an event."""
    lines: list[dict] = []
    handler = logger.add(
        lambda message: lines.append(message.record["extra"]),
        filter=lambda record: record["message"] == event,
    )
    try:
        yield lines
    finally:
        logger.remove(handler)


def find_line(lines, request_id: str):
    return next((line for line in lines if line["request"] == request_id), None)


def test_the_log_names_who_knew_the_version_of_a_stream():
    async def scenario(lines):
        async with make_rig(routers=2) as rig:
            await add_engines(rig)
            await begin_broken_stream(rig, "s0")
            await resume(rig, "t0", "s0", node=0)
            await resume(rig, "t1", "never-seen", node=1)
            await wait_until(lambda: find_line(lines, "t1"))

    with collect_lines("request.completed") as lines:
        run(scenario(lines))
    assert find_line(lines, "t0")["version_source"] == "node"
    assert find_line(lines, "t1")["version_source"] == "unknown"
    assert len(find_line(lines, "t1")["version_answered_by"]) == 1
    assert find_line(lines, "s0")["version_source"] is None


def test_the_log_names_the_recent_versions_if_nobody_knew_that_of_a_stream():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await add_engines(rig)
            await resume(rig, "t0", "never-seen", node=1)

    with collect_lines("stream.origin_unknown") as lines:
        run(scenario())
    assert lines[0]["recent_versions"] == ["v1", "v2"]
    assert len(lines[0]["asked"]) == 1
    assert lines[0]["answered"] == lines[0]["asked"]
    assert lines[0]["in_contact"]


def test_the_log_names_what_failed_after_a_stream_had_begun():
    async def scenario(lines):
        async with make_rig() as rig:
            await add_engines(rig, per_version=1)
            set_cut(rig, 2)
            sending = rig.send_request("/list/1", request_id="s0", **STREAM)
            task = asyncio.ensure_future(sending)
            await wait_until(lambda: rig.count_runs("s0") == 1)
            for server in list_engines(rig):
                server.faults.rejects_requests = True
            await task
            await wait_until(lambda: find_line(lines, "s0"))

    with collect_lines("request.completed") as lines:
        run(scenario(lines))
    failures = find_line(lines, "s0")["failures_after_start"]
    assert "ConnectionResetError" in failures[0]
    assert len(failures) > 1


def test_the_log_tells_why_a_response_without_length_counts_as_whole():
    async def scenario(lines):
        async with make_rig() as rig:
            for index in (0, 1):
                server = rig.server_by_id[f"{STREAM_SERVICE}-{index}"]
                server.faults.omits_length = True
            await rig.send_request("/claim/1", request_id="s0", **STREAM)
            await rig.send_request("/look/1", "GET", request_id="p0")
            await wait_until(lambda: find_line(lines, "p0"))

    with collect_lines("request.completed") as lines:
        run(scenario(lines))
    assert find_line(lines, "s0")["end_reason"] == "server_reached"
    assert find_line(lines, "p0")["end_reason"] is None
