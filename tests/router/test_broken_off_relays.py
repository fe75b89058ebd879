"""A response that breaks off under a relay is told to the peer, and is no error."""

from __future__ import annotations

import asyncio
import logging

import pytest
from tests.peers.replying_process import AskText, Text

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel, PeerStreamError
from persimmonlink_peers.peer_server import PeerServer
from persimmonlink_router.relayed_exchange import RelayBrokenOffError


def test_a_relay_that_breaks_off_logs_no_error_of_the_library(caplog):
    async def scenario() -> None:
        async def handle(_message: AskText, send_part) -> None:
            await send_part(Text("begin"))
            raise RelayBrokenOffError("entry-2")

        server = PeerServer(lambda code: None)
        server.register_stream(AskText, Text, handle)
        (port,) = find_free_ports(1)
        await server.start("127.0.0.1", port)
        channel = PeerChannel(f"127.0.0.1:{port}")
        parts = channel.stream(AskText(Sender("n", "1"), 1), Text, 5.0)
        assert await anext(parts) == Text("begin")
        with pytest.raises(PeerStreamError) as raised:
            await anext(parts)
        assert raised.value.was_sent
        channel.close()
        await server.stop()
        release_ports([port])

    asyncio.run(scenario())
    assert [r for r in caplog.records if r.levelno >= logging.ERROR] == []
