"""Calls to a peer do not wait for others that take long."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from returns.result import Success
from tests.router.rig import wait_until

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel
from persimmonlink_peers.peer_server import PeerServer

SENDER = Sender("n", "1")
LONG_S = 30.0
BEGIN_S = 10.0  # Time in which all long calls begin, also on a busy machine.
QUICK_S = 1.0
PART_COUNT = 200
PART_BYTES = 65536


@dataclass(frozen=True)
class Question:
    sender: Sender
    is_long: bool


@dataclass(frozen=True)
class Reply:
    number: int


@dataclass(frozen=True)
class Flow:
    sender: Sender


@dataclass(frozen=True)
class Part:
    data: bytes


@pytest.mark.parametrize("long_calls", [90, 130, 600])
def test_a_quick_call_is_answered_beside_many_long_ones(long_calls):
    async def scenario() -> None:
        began = 0

        async def answer(message: Question) -> Reply:
            nonlocal began
            if message.is_long:
                began += 1
                await asyncio.sleep(LONG_S)
            return Reply(1)

        server = PeerServer(lambda code: None)
        server.register(Question, Reply, answer)
        (port,) = find_free_ports(1)
        await server.start("127.0.0.1", port)
        channel = PeerChannel(f"127.0.0.1:{port}")
        calls = [
            asyncio.ensure_future(channel.call(Question(SENDER, True), Reply, LONG_S))
            for _ in range(long_calls)
        ]
        await wait_until(lambda: began == long_calls, BEGIN_S)
        reply = await channel.call(Question(SENDER, False), Reply, QUICK_S)
        assert isinstance(reply, Success), f"got {reply}"
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        channel.close()
        await server.stop()
        release_ports([port])

    asyncio.run(scenario())


@pytest.mark.parametrize("unread_streams", [1, 20])
def test_a_quick_call_is_answered_beside_streams_that_nobody_reads(unread_streams):
    async def scenario() -> None:
        async def answer(message: Question) -> Reply:
            return Reply(1)

        async def send_parts(message: Flow, send_part) -> None:
            for _ in range(PART_COUNT):
                await send_part(Part(PART_BYTES * b"x"))

        server = PeerServer(lambda code: None)
        server.register(Question, Reply, answer)
        server.register_stream(Flow, Part, send_parts)
        (port,) = find_free_ports(1)
        await server.start("127.0.0.1", port)
        channel = PeerChannel(f"127.0.0.1:{port}")
        streams = [
            channel.stream(Flow(SENDER), Part, 30.0) for _ in range(unread_streams)
        ]
        for stream in streams:
            await anext(stream)
        await asyncio.sleep(QUICK_S)
        reply = await channel.call(Question(SENDER, False), Reply, QUICK_S)
        assert isinstance(reply, Success), f"got {reply}"
        parts = [part async for part in streams[0]]
        assert len(parts) == PART_COUNT - 1
        for stream in streams:
            await stream.aclose()
        channel.close()
        await server.stop()
        release_ports([port])

    asyncio.run(scenario())
