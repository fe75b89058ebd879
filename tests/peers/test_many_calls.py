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


@dataclass(frozen=True)
class Question:
    sender: Sender
    is_long: bool


@dataclass(frozen=True)
class Reply:
    number: int


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
