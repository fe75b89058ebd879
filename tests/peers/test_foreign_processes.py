"""Calls to a process that answers as no peer does, at a peer's address."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import h2.config
import h2.connection
import h2.events
import pytest
from returns.result import Failure as Err
from tests.peers.replying_process import AskText, Text

from persimmonlink_model.result_code import ResultCode
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel, PeerStreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SENDER = Sender("n", "1")
TIMEOUT_S = 1.0
HEADERS = [(":status", "200"), ("content-type", "application/grpc+msgpack")]
SOUND_END = [("grpc-status", "0")]
MESSAGE = b"\x81\xa4text\xa1x"
COMPRESSED = b"\x01" + len(MESSAGE).to_bytes(4, "big") + MESSAGE
CUT_SHORT = b"\x00" + (1000).to_bytes(4, "big") + MESSAGE
# Bytes of the reply, and what follows them; None for the end of the stream.
REPLIES = {
    "no message": (b"", SOUND_END),
    "no message and no status": (b"", None),
    "a compressed message": (COMPRESSED, SOUND_END),
    "a message cut short": (CUT_SHORT, SOUND_END),
    "a message cut short and no status": (CUT_SHORT, None),
    "a status that is no number": (b"", [("grpc-status", "none")]),
    "a status out of range": (b"", [("grpc-status", "99")]),
    "a status of many digits": (b"", [("grpc-status", "9" * 5000)]),
    "details that are no message": (
        b"",
        [("grpc-status", "3"), ("grpc-status-details-bin", "!")],
    ),
}


@asynccontextmanager
async def run_odd_process(reply: str) -> AsyncIterator[str]:
    """Answer each call with an odd reply; the address is yielded."""
    body, end = REPLIES[reply]

    async def serve(reader, writer) -> None:
        config = h2.config.H2Configuration(client_side=False)
        connection = h2.connection.H2Connection(config)
        connection.initiate_connection()
        writer.write(connection.data_to_send())
        while data := await reader.read(65536):
            for event in connection.receive_data(data):
                if not isinstance(event, h2.events.StreamEnded):
                    continue
                stream_id = event.stream_id
                connection.send_headers(stream_id, HEADERS)
                if body:
                    connection.send_data(stream_id, body)
                if end is None:
                    connection.end_stream(stream_id)
                else:
                    connection.send_headers(stream_id, end, end_stream=True)
            writer.write(connection.data_to_send())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@pytest.mark.parametrize("reply", REPLIES)
def test_a_call_with_an_odd_reply_fails_without_an_error_of_the_library(reply):
    async def scenario() -> None:
        async with run_odd_process(reply) as address:
            channel = PeerChannel(address)
            outcome = await channel.call(AskText(SENDER, 1), Text, TIMEOUT_S)
            channel.close()
            match outcome:
                case Err(failure):
                    assert failure.code in ResultCode
                case _:
                    pytest.fail(f"got {outcome}")

    asyncio.run(scenario())


@pytest.mark.parametrize("reply", REPLIES)
def test_a_relay_with_an_odd_reply_fails_without_an_error_of_the_library(reply):
    async def scenario() -> None:
        async with run_odd_process(reply) as address:
            channel = PeerChannel(address)
            try:
                async for part in channel.stream(AskText(SENDER, 1), Text, TIMEOUT_S):
                    pytest.fail(f"got {part}")
            except PeerStreamError:
                pass
            channel.close()

    asyncio.run(scenario())
