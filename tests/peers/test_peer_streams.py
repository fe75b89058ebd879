"""Replies in several parts are read to their end, or fail; leaving ends them."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from dataclasses import dataclass

import pytest

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel, PeerStreamError
from persimmonlink_peers.peer_server import PeerServer

SENDER = Sender("n", "1")


@dataclass(frozen=True)
class Count:
    sender: Sender
    parts: int


@dataclass(frozen=True)
class Part:
    number: int


class Counting:
    """Sends numbered parts, and records whether its peer has left."""

    def __init__(self) -> None:
        self.sent = 0
        self.was_cancelled = asyncio.Event()

    async def handle(self, message, send_part) -> None:
        try:
            for number in range(message.parts):
                await send_part(Part(number))
                self.sent += 1
                await asyncio.sleep(0.01)
        except asyncio.CancelledError:
            self.was_cancelled.set()
            raise


async def run_server(counting, use) -> None:
    server = PeerServer(lambda code: None)
    server.register_stream(Count, Part, counting.handle)
    (port,) = find_free_ports(1)
    await server.start("127.0.0.1", port)
    channel = PeerChannel(f"127.0.0.1:{port}")
    try:
        await use(channel)
    finally:
        channel.close()
        await server.stop()
        release_ports([port])


def test_all_parts_arrive_in_order():
    async def use(channel):
        parts = [p async for p in channel.stream(Count(SENDER, 5), Part, 5.0)]
        assert [part.number for part in parts] == [0, 1, 2, 3, 4]

    async def scenario():
        await run_server(Counting(), use)

    asyncio.run(scenario())


def test_a_reader_that_leaves_cancels_the_handler():
    async def scenario():
        counting = Counting()

        async def use(channel):
            async with aclosing(
                channel.stream(Count(SENDER, 1000), Part, 30.0)
            ) as parts:
                async for part in parts:
                    if part.number == 3:
                        break
            async with asyncio.timeout(5.0):
                await counting.was_cancelled.wait()

        await run_server(counting, use)
        assert counting.sent < 100

    asyncio.run(scenario())


def test_a_message_that_was_not_sent_is_told_from_one_that_may_have_been():
    async def scenario():
        (port,) = find_free_ports(1)
        channel = PeerChannel(f"127.0.0.1:{port}")
        with pytest.raises(PeerStreamError) as caught:
            async for _ in channel.stream(Count(SENDER, 1), Part, 1.0):
                pass
        assert not caught.value.was_sent
        release_ports([port])

    asyncio.run(scenario())
