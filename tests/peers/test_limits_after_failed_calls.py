"""Time limits of a task hold after its calls to peers have failed."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure as Err

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel, PeerStreamError
from persimmonlink_peers.peer_server import PeerServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SENDER = Sender("n", "1")
CALL_TIMEOUT_S = 0.1
LONG_TIMEOUT_S = 5.0
LIMIT_S = 0.1
WAYS = ["no reply", "peer ends"]


@dataclass(frozen=True)
class Question:
    sender: Sender


@dataclass(frozen=True)
class Flow:
    sender: Sender


@dataclass(frozen=True)
class Reply:
    number: int


@asynccontextmanager
async def start_silent_peer() -> AsyncIterator[tuple[PeerServer, PeerChannel]]:
    """Start a peer that takes calls and replies to none."""

    async def wait(*_: object) -> None:
        await asyncio.sleep(LONG_TIMEOUT_S)

    server = PeerServer(lambda code: None)
    server.register(Question, Reply, wait)
    server.register_stream(Flow, Reply, wait)
    (port,) = find_free_ports(1)
    await server.start("127.0.0.1", port)
    channel = PeerChannel(f"127.0.0.1:{port}")
    try:
        yield server, channel
    finally:
        channel.close()
        await server.stop()
        release_ports([port])


async def call(channel: PeerChannel, timeout_s: float) -> None:
    reply = await channel.call(Question(SENDER), Reply, timeout_s)
    assert isinstance(reply, Err)


async def stream(channel: PeerChannel, timeout_s: float) -> None:
    with pytest.raises(PeerStreamError):
        async for _ in channel.stream(Flow(SENDER), Reply, timeout_s):
            pass


async def fail(ask, way: str) -> None:
    """Have a call fail in the way of a test, in the task of the caller."""
    async with start_silent_peer() as (server, channel):
        if way == "no reply":
            await ask(channel, CALL_TIMEOUT_S)
            return
        ending = asyncio.get_running_loop().call_later(
            CALL_TIMEOUT_S, server._server.close_connections
        )
        await ask(channel, LONG_TIMEOUT_S)
        ending.cancel()


@pytest.mark.parametrize("ask", [call, stream])
@pytest.mark.parametrize("way", WAYS)
def test_a_limit_set_after_a_failed_call_is_no_cancellation(ask, way):
    async def scenario() -> None:
        await fail(ask, way)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(LIMIT_S):
                await asyncio.sleep(LONG_TIMEOUT_S)

    asyncio.run(scenario())


@pytest.mark.parametrize("ask", [call, stream])
@pytest.mark.parametrize("way", WAYS)
def test_a_limit_set_before_a_failed_call_is_no_cancellation(ask, way):
    async def run_within_limit() -> None:
        async with asyncio.timeout(LIMIT_S + 3 * CALL_TIMEOUT_S):
            await fail(ask, way)
            await asyncio.sleep(LONG_TIMEOUT_S)

    with pytest.raises(TimeoutError):
        asyncio.run(run_within_limit())


@pytest.mark.parametrize("ask", [call, stream])
def test_a_caller_that_is_cancelled_as_its_call_fails_stays_cancelled(ask):
    async def scenario() -> None:
        async with start_silent_peer() as (_, channel):
            asking = asyncio.ensure_future(ask(channel, LONG_TIMEOUT_S))
            await asyncio.sleep(CALL_TIMEOUT_S)
            # Both come in the same turn of the loop.
            channel.close()
            asking.cancel()
            with pytest.raises(asyncio.CancelledError):
                await asking

    asyncio.run(scenario())
