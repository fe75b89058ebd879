"""Peer calls over connections that stop responding, and invalid messages."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from returns.result import Failure as Err
from tests.silent_relay import SilentRelay

from persimmonlink_bench.process import find_free_ports
from persimmonlink_model.result_code import ResultCode
from persimmonlink_peers.message import PROTOCOL_VERSION, Sender
from persimmonlink_peers.peer_channel import PeerChannel
from persimmonlink_peers.peer_server import PeerServer, build_method_path

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PING_INTERVAL_S = 0.1
LONG_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Question:
    sender: Sender
    number: int


@dataclass(frozen=True)
class Reply:
    number: int


QUESTION = Question(Sender("a", "1"), 1)


class Peer:
    """Peer server whose handler blocks if the number is negative."""

    def __init__(self) -> None:
        self.rejected_codes: list[ResultCode] = []
        self.server = PeerServer(self.rejected_codes.append)
        self.server.register(Question, Reply, self._answer)
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        (port,) = find_free_ports(1)
        self.address = f"127.0.0.1:{port}"

    async def _answer(self, message: Question) -> Reply:
        if message.number < 0:
            self.started.set()
            await self.release.wait()
        return Reply(message.number)


def _with_peer(test: Callable[[Peer], Awaitable[None]]) -> None:
    async def run() -> None:
        peer = Peer()
        host, _, port = peer.address.rpartition(":")
        await peer.server.start(host, int(port))
        try:
            await test(peer)
        finally:
            peer.release.set()
            await peer.server.stop()

    asyncio.run(run())


def test_ping_closes_a_silent_channel_and_the_next_call_opens_a_new_one() -> None:
    async def test(peer: Peer) -> None:
        relay = SilentRelay(peer.address)
        channel = PeerChannel(relay.address, PING_INTERVAL_S, PING_INTERVAL_S)
        assert (await channel.call(QUESTION, Reply, 5)).unwrap() == Reply(1)
        # Long enough for several pings, since one ping alone must not pass the test.
        await asyncio.sleep(5 * PING_INTERVAL_S)
        waiting = asyncio.create_task(
            channel.call(Question(QUESTION.sender, -1), Reply, LONG_TIMEOUT_S)
        )
        await peer.started.wait()
        relay.silence()
        failure = (await waiting).failure()
        # The ping detected the silent connection long before the call timed out.
        assert "StreamTerminatedError" in failure.detail
        assert (await channel.call(QUESTION, Reply, 5)).unwrap() == Reply(1)
        assert relay.accepted_connections == 2
        channel.close()
        relay.close()

    _with_peer(test)


def test_timed_out_call_does_not_break_other_calls_on_its_channel() -> None:
    async def test(peer: Peer) -> None:
        channel = PeerChannel(peer.address)
        slow = asyncio.create_task(
            channel.call(Question(QUESTION.sender, -1), Reply, LONG_TIMEOUT_S)
        )
        await peer.started.wait()
        timed_out = await channel.call(Question(QUESTION.sender, -2), Reply, 0.1)
        assert isinstance(timed_out, Err)
        assert (await channel.call(QUESTION, Reply, 5)).unwrap() == Reply(1)
        peer.release.set()
        assert (await slow).unwrap() == Reply(-1)
        channel.close()

    _with_peer(test)


class RawCodec(CodecBase):
    """Sends bytes as they are."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return message

    def decode(self, data: bytes, message_type: Any) -> Any:
        return data


NEWER = {"node_id": "b", "incarnation": "1", "version": PROTOCOL_VERSION + 1}
INVALID_MESSAGES = [
    (b"\xc1", ResultCode.PEER_MESSAGE_INVALID),
    (b"", ResultCode.PEER_MESSAGE_INVALID),
    (msgspec.msgpack.encode({"sender": 7}), ResultCode.PEER_MESSAGE_INVALID),
    (msgspec.msgpack.encode([1, 2]), ResultCode.PEER_MESSAGE_INVALID),
    (
        msgspec.msgpack.encode({"sender": NEWER, "number": 1}),
        ResultCode.PEER_VERSION_UNKNOWN,
    ),
    # A newer version may also have other fields.
    (
        msgspec.msgpack.encode({"sender": NEWER, "numbers": [1]}),
        ResultCode.PEER_VERSION_UNKNOWN,
    ),
]


@pytest.mark.parametrize(("data", "code"), INVALID_MESSAGES)
def test_invalid_message_is_reported_by_code_and_the_next_one_is_served(
    data: bytes, code: ResultCode
) -> None:
    async def test(peer: Peer) -> None:
        host, _, port = peer.address.rpartition(":")
        raw = Channel(host, int(port), codec=RawCodec())
        method: Any = UnaryUnaryMethod(raw, build_method_path(Question), bytes, bytes)
        with pytest.raises(GRPCError):
            await method(data, timeout=5)
        raw.close()
        assert peer.rejected_codes == [code]
        channel = PeerChannel(peer.address)
        assert (await channel.call(QUESTION, Reply, 5)).unwrap() == Reply(1)
        channel.close()

    _with_peer(test)


def test_unreadable_reply_fails_with_its_result_code() -> None:
    @dataclass(frozen=True)
    class OtherReply:
        text: str

    async def test(peer: Peer) -> None:
        channel = PeerChannel(peer.address)
        failure = (await channel.call(QUESTION, OtherReply, 5)).failure()
        assert failure.code is ResultCode.PEER_MESSAGE_INVALID
        assert channel.is_open
        channel.close()

    _with_peer(test)
