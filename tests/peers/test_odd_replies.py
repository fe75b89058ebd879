"""Whatever a peer replies, a call ends with a failure that its caller expects."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import StreamEnded
from returns.result import Failure as Err
from tests.peers.replying_process import AskText, Text

from persimmonlink_peers.codec import MessagePackCodec
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel, PeerStreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

QUESTION = AskText(Sender("n", "1"), 1)
TIMEOUT_S = 5.0
HEAD = (
    (":status", "200"),
    ("content-type", f"application/grpc+{MessagePackCodec.__content_subtype__}"),
)
END = (("grpc-status", "0"),)
COMPRESSED = b"\x01\x00\x00\x00\x01a"
CUT = b"\x00\x00\x00\x00\x09a"
PARTS = {
    "no message": [(HEAD, False), (END, True)],
    "no status": [(HEAD[1:], True)],
    "cut message": [(HEAD, False), (CUT, False), (END, True)],
    "cut head of a message": [(HEAD, False), (CUT[:3], False), (END, True)],
    "compressed message": [(HEAD, False), (COMPRESSED, False), (END, True)],
}


class OddPeer(asyncio.Protocol):
    """Sends some frames in reply to each call."""

    def __init__(self, parts: list[tuple]) -> None:
        self._parts = parts
        configuration = H2Configuration(
            client_side=False, validate_outbound_headers=False
        )
        self._h2 = H2Connection(configuration)

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._h2.initiate_connection()
        transport.write(self._h2.data_to_send())

    def data_received(self, data: bytes) -> None:
        for event in self._h2.receive_data(data):
            if isinstance(event, StreamEnded):
                self._reply(event.stream_id)
        self._transport.write(self._h2.data_to_send())

    def _reply(self, stream_id: int) -> None:
        for content, is_last in self._parts:
            send: Callable = self._h2.send_headers
            if isinstance(content, bytes):
                send = self._h2.send_data
            send(stream_id, content, end_stream=is_last)


@asynccontextmanager
async def start_odd_peer(name: str) -> AsyncIterator[PeerChannel]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: OddPeer(PARTS[name]), "127.0.0.1", 0)
    channel = PeerChannel(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    try:
        yield channel
    finally:
        channel.close()
        server.close()


@pytest.mark.parametrize("name", PARTS)
def test_a_call_with_an_odd_reply_fails(name):
    async def scenario() -> None:
        async with start_odd_peer(name) as channel:
            for _ in range(2):
                reply = await channel.call(QUESTION, Text, TIMEOUT_S)
                assert isinstance(reply, Err), f"got {reply}"

    asyncio.run(scenario())


@pytest.mark.parametrize("name", [name for name in PARTS if name != "no message"])
def test_a_stream_with_an_odd_reply_fails_as_sent(name):
    async def scenario() -> None:
        async with start_odd_peer(name) as channel:
            with pytest.raises(PeerStreamError) as caught:
                async for _ in channel.stream(QUESTION, Text, TIMEOUT_S):
                    pass
            assert caught.value.was_sent

    asyncio.run(scenario())
