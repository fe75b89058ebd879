"""A stream that broke off after a comment gets nothing that is no stream of events."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import STREAM, connect_by_links, make_rig, run, wait_until
from tests.router.test_streams_that_go_on_with_errors import (
    ANSWERS,
    EVENT_COUNT,
    FOREIGN,
    OddServer,
    event,
    list_ids,
    use_odd_servers,
)

from persimmonlink_stand_ins.link import Cut
from persimmonlink_stand_ins.raw_server import reset_connection

COMMENT = b": wait\n\n"
ODD_NAMES = ["200-json", "200-text-as-events", "200-error-event", "500"]


class CommentingServer(OddServer):
    """Server that breaks the first run off after a comment; others are odd."""

    waits_s = 0.05
    seen = 0

    async def _stream(self, request, headers, writer):
        CommentingServer.seen += 1
        if CommentingServer.seen > 1:
            request.headers["last-event-id"] = "0"
            return await super()._stream(request, headers, writer)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        writer.write(head + b"%x\r\n" % len(COMMENT) + COMMENT + b"\r\n")
        await writer.drain()
        await asyncio.sleep(self.waits_s)
        reset_connection(writer)
        return False


@pytest.mark.parametrize("by_peer", [False, True])
@pytest.mark.parametrize("name", ODD_NAMES)
def test_a_stream_that_broke_off_after_a_comment_gets_no_answer_that_is_no_stream(
    name, by_peer, monkeypatch
):
    monkeypatch.setattr(
        "tests.router.test_streams_that_go_on_with_errors.OddServer", CommentingServer
    )
    monkeypatch.setattr(CommentingServer, "seen", 0)
    monkeypatch.setattr(CommentingServer, "waits_s", 1.0 if by_peer else 0.05)

    async def scenario():
        async with make_rig(routers=2) as rig:
            connect_by_links(rig, 0)
            await use_odd_servers(rig, ANSWERS[name], cuts_after=0)
            membership = rig.routers[0].membership
            await wait_until(lambda: len(membership.list_serving_members()) == 2)
            sending = rig.send_request("/list/1", deadline_ms=3000, **STREAM)
            task = asyncio.ensure_future(sending)
            await wait_until(lambda: CommentingServer.seen)
            if by_peer:
                await asyncio.sleep(0.2)
                await rig.links.cut([0], Cut.RESET)
            response = await task
            assert response.status == 200
            assert FOREIGN not in response.body
            ids = list_ids(response.body)
            events = b"".join(event(number) for number in ids)
            assert response.body.replace(COMMENT, b"") == events
            assert ids[-1:] == [EVENT_COUNT] or not response.is_complete

    run(scenario())
