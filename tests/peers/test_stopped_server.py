"""A peer server that stops leaves no connection open, and no bytes behind."""

from __future__ import annotations

import asyncio
import math
import socket
import sys
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

from returns.result import Failure as Err
from tests.peers import replying_process
from tests.peers.replying_process import AskText, Text

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_channel import PeerChannel
from persimmonlink_peers.peer_server import PeerServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SENDER = Sender("n", "1")
HOST = "127.0.0.1"
REPLY_BYTES = 8_000_000
SLOW_BYTES = (
    4_000_000  # The last ones, which a peer reads slowly; more than a system takes.
)
READ_PAUSE_S = (
    0.04  # Pause after each read, longer than a stop waits between its checks.
)
MAX_READ_BYTES = 65536
LONG_PING_S = 30.0  # A ping waits behind the slow bytes.


@asynccontextmanager
async def run_server(handle) -> AsyncIterator[tuple[PeerServer, PeerChannel]]:
    """Run a server, and a channel to it."""
    server = PeerServer(lambda code: None)
    server.register(AskText, Text, handle)
    (port,) = find_free_ports(1)
    await server.start(HOST, port)
    channel = PeerChannel(f"{HOST}:{port}")
    try:
        yield server, channel
    finally:
        channel.close()
        await server.stop()
        release_ports([port])


def test_a_stopped_server_answers_no_call_on_a_kept_connection() -> None:
    async def scenario() -> None:
        async def handle(message: AskText) -> Text:
            sizes.append(message.size)
            return Text("")

        sizes: list[int] = []
        async with run_server(handle) as (server, channel):
            (await channel.call(AskText(SENDER, 1), Text, 1.0)).unwrap()
            await server.stop()
            assert isinstance(await channel.call(AskText(SENDER, 2), Text, 1.0), Err)
            assert sizes == [1]

    asyncio.run(scenario())


@asynccontextmanager
async def slow_relay(port: int) -> AsyncIterator[str]:
    """Relay connections to a port; the last bytes of the server are read slowly."""

    async def relay(client_reader, client_writer) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_READ_BYTES)
        sock.setblocking(False)
        await connect(sock, port)
        reader, writer = await asyncio.open_connection(sock=sock)
        sending = asyncio.ensure_future(copy(client_reader, writer))
        await copy(reader, client_writer, fast_bytes=REPLY_BYTES - SLOW_BYTES)
        sending.cancel()
        for closing in (writer, client_writer):
            closing.close()
            with suppress(ConnectionError):
                await closing.wait_closed()
        has_ended.set()

    has_ended = asyncio.Event()
    relaying = await asyncio.start_server(relay, HOST, 0)
    try:
        yield f"{HOST}:{relaying.sockets[0].getsockname()[1]}"
    finally:
        relaying.close()
        await has_ended.wait()


async def connect(sock: socket.socket, port: int) -> None:
    """Connect to a process that may not listen yet."""
    loop = asyncio.get_running_loop()
    for _ in range(500):
        with suppress(ConnectionError):
            return await loop.sock_connect(sock, (HOST, port))
        await asyncio.sleep(0.02)
    raise TimeoutError


async def copy(reader, writer, fast_bytes: float = math.inf) -> None:
    """Copy bytes to the end, slowly after the first ones."""
    copied = 0
    with suppress(ConnectionError):
        while data := await reader.read(MAX_READ_BYTES):
            writer.write(data)
            await writer.drain()
            copied += len(data)
            if copied > fast_bytes:
                await asyncio.sleep(READ_PAUSE_S)


def test_a_process_that_stops_sends_the_last_bytes_of_a_reply() -> None:
    async def scenario() -> None:
        (port,) = find_free_ports(1)
        process = await asyncio.create_subprocess_exec(
            sys.executable, replying_process.__file__, str(port)
        )
        async with slow_relay(port) as address:
            channel = PeerChannel(address, LONG_PING_S, LONG_PING_S)
            reply = await channel.call(AskText(SENDER, REPLY_BYTES), Text, 20.0)
            channel.close()
        assert len(reply.unwrap().text) == REPLY_BYTES
        assert await process.wait() == 0
        release_ports([port])

    asyncio.run(scenario())
