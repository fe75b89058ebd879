"""A process that replies to one call with many bytes, and exits."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass

from persimmonlink_peers.message import Sender
from persimmonlink_peers.peer_server import PeerServer

FINISH_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class AskText:
    sender: Sender
    size: int


@dataclass(frozen=True)
class Text:
    text: str


async def serve(port: int) -> None:
    """Serve calls until one has begun, then stop."""

    async def handle(message: AskText) -> Text:
        has_begun.set()
        return Text(message.size * "a")

    has_begun = asyncio.Event()
    server = PeerServer(lambda code: None)
    server.register(AskText, Text, handle)
    await server.start("127.0.0.1", port)
    await has_begun.wait()
    await server.finish(FINISH_TIMEOUT_S)


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
