"""A node that stops ends what it does for its peers."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

from tests.router.rig import (
    HOST,
    STREAM,
    STREAM_SERVICE,
    connect_by_links,
    make_rig,
    run,
    wait_until,
)
from tests.router.stops import collect_log, shorten_stop

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel
from persimmonlink_peers.peer_server import PeerServer
from persimmonlink_router.client_use_times import DIRECTORY_EXPIRY_WAIT_S
from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.stage_messages import ReleaseResults
from persimmonlink_stand_ins.link import Cut

EVENT_INTERVAL_S = 0.45
EVENTS = 10


@asynccontextmanager
async def relay_stream():
    """Run two routers, the first of which has the other one serve a stream."""
    async with make_rig(routers=2) as rig:
        for index in (0, 1):
            connect_by_links(rig, index)
            server = rig.server_by_id[f"{STREAM_SERVICE}-{index}"]
            server.event_interval_s = EVENT_INTERVAL_S
            server.event_count = EVENTS
            members = rig.routers[index].membership
            await wait_until(
                lambda members=members: len(members.list_serving_members()) == 2
            )
        await rig.links.cut([0], Cut.RESET)
        sent = asyncio.ensure_future(
            rig.send_request("/claim/1", request_id="s", **STREAM)
        )
        await wait_until(lambda: rig.count_runs("s"))
        yield rig, sent


def test_a_stop_waits_for_a_request_that_a_peer_passed_on():
    async def scenario():
        async with relay_stream() as (rig, sent):
            began_at = time.monotonic()
            await rig.routers[1].stop()
            assert rig.routers[1]._request_service.relayed_count == 0
            assert time.monotonic() - began_at > DIRECTORY_EXPIRY_WAIT_S
            response = await sent
            assert response.is_complete
            assert response.body.count(b"id: ") == EVENTS

    run(scenario())


def test_a_request_of_a_peer_that_a_stop_cuts_is_logged_as_cut():
    async def scenario():
        async with relay_stream() as (rig, sent):
            shorten_stop(rig.routers[1])
            with collect_log() as records:
                await rig.routers[1].stop()
                assert not (await sent).is_complete
            ended = [r["extra"] for r in records if r["message"] == "request.completed"]
            by_peer = next(line for line in ended if line["relayed_from"])
            assert by_peer["reason"] == "cut by the stop"

    run(scenario())


def test_a_stop_sends_the_reply_to_a_call_in_progress():
    async def scenario():
        async def handle(message):
            has_begun.set()
            await asyncio.sleep(0.1)
            return Acknowledgement()

        has_begun = asyncio.Event()
        server = PeerServer(lambda code: None)
        server.register(ReleaseResults, Acknowledgement, handle)
        port = find_free_ports(1)[0]
        await server.start(HOST, port)
        channel = PeerChannel(f"{HOST}:{port}")
        message = ReleaseResults(Sender("a", "1"), ("r",))
        call = asyncio.ensure_future(channel.call(message, Acknowledgement, 1.0))
        await has_begun.wait()
        await server.finish(1.0)
        assert isinstance((await call).unwrap(), Acknowledgement)
        channel.close()
        release_ports([port])

    run(scenario())
