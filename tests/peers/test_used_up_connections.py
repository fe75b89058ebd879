"""Calls on a connection whose stream identifiers are used up."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure as Err
from returns.result import Success
from tests.peers.replying_process import AskText, Text

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_model.result_code import ResultCode
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel, PeerStreamError
from persimmonlink_peers.peer_server import PeerServer

HOST = "127.0.0.1"
LAST_STREAM_ID = 2**31 - 1
TIMEOUT_S = 5.0
QUESTION = AskText(Sender("n", "1"), 1)


def use_up(channel: PeerChannel) -> None:
    """Let the channel's connection have had all the streams it can have."""
    assert channel._channel is not None
    connection = channel._channel._protocol.processor.connection._connection
    connection.highest_outbound_stream_id = LAST_STREAM_ID


def run_with_peer(scenario) -> None:
    async def handle(message: AskText) -> Text:
        return Text("a" * message.size)

    async def run() -> None:
        server = PeerServer(lambda _: None)
        server.register(AskText, Text, handle)
        ports = find_free_ports(1)
        await server.start(HOST, ports[0])
        channel = PeerChannel(f"{HOST}:{ports[0]}")
        try:
            reply = await channel.call(QUESTION, Text, TIMEOUT_S)
            assert reply == Success(Text("a"))
            use_up(channel)
            await scenario(channel)
            # The next call has a connection of its own.
            reply = await channel.call(QUESTION, Text, TIMEOUT_S)
            assert reply == Success(Text("a"))
        finally:
            channel.close()
            await server.stop()
            release_ports(ports)

    asyncio.run(run())


def test_a_call_on_a_used_up_connection_fails_as_unreachable():
    async def scenario(channel) -> None:
        match await channel.call(QUESTION, Text, TIMEOUT_S):
            case Err(failure):
                assert failure.code is ResultCode.PEER_UNREACHABLE
            case reply:
                pytest.fail(f"got {reply}")

    run_with_peer(scenario)


def test_a_relay_on_a_used_up_connection_fails_as_unreachable():
    async def scenario(channel) -> None:
        with pytest.raises(PeerStreamError) as raised:
            async for _ in channel.stream(QUESTION, Text, TIMEOUT_S):
                pass
        assert not raised.value.was_sent
        assert raised.value.failure.code is ResultCode.PEER_UNREACHABLE

    run_with_peer(scenario)
