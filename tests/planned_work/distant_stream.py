"""A client's end of a connection over a link with a delay, and a slow reader of it."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass

READ_BYTES = 65536


@dataclass(frozen=True)
class Distance:
    """How far a client is from the nodes, and how it reads.

    Parameters
    ----------
    delay_s : float
        Time that bytes, and closes, take to the node and back, each, in seconds.
    window_bytes : int
        Receive window that it asks for; 0 leaves it to the system.
    read_bytes : int
        Most bytes of a read.
    read_pause_s : float
        Pause after each read, in seconds.
    """

    delay_s: float = 0.0
    window_bytes: int = 0
    read_bytes: int = READ_BYTES
    read_pause_s: float = 0.0


async def open_distant(host: str, port: int, distance: Distance) -> DistantStream:
    """Return a connection over a link, once the node's end is established."""
    sock = socket.socket()
    sock.setblocking(False)
    if distance.window_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, distance.window_bytes)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock, limit=distance.read_bytes)
    await asyncio.sleep(2 * distance.delay_s)
    return DistantStream(reader, writer, distance)


class DistantStream:
    """Reader and writer of a connection whose bytes travel for a while."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        distance: Distance,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._distance = distance
        self._sent: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self._received: asyncio.Queue[tuple[float, bytes | Exception]] = asyncio.Queue()
        self._closed_at = float("inf")
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._carry()), loop.create_task(self._fetch())]

    def at_eof(self) -> bool:
        """Whether the node has closed, as far as the client can know."""
        # The end itself is the last item.
        return time.monotonic() >= self._closed_at and self._received.qsize() <= 1

    def write(self, data: bytes) -> None:
        """Send bytes on their way; empty ones close the connection."""
        self._sent.put_nowait((time.monotonic() + self._distance.delay_s, data))

    async def drain(self) -> None:
        """Let others have a turn: the link takes all bytes at once."""
        await asyncio.sleep(0)

    def close(self) -> None:
        """Close the connection once what was sent has arrived."""
        self.write(b"")

    async def read(self, _: int) -> bytes:
        """Return the next bytes that have arrived, empty at the end."""
        if self.at_eof() and self._received.empty():
            return b""
        at, data = await self._received.get()
        await asyncio.sleep(at - time.monotonic())
        if isinstance(data, Exception):
            raise data
        return data

    async def _carry(self) -> None:
        while True:
            at, data = await self._sent.get()
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            if not data:
                break
            self._writer.write(data)
        self._tasks[1].cancel()
        self._writer.close()

    async def _fetch(self) -> None:
        data: bytes | Exception = b"-"
        while data and not isinstance(data, Exception):
            try:
                data = await self._reader.read(self._distance.read_bytes)
            except OSError as error:
                data = error
            at = time.monotonic() + self._distance.delay_s
            if not data or isinstance(data, Exception):
                self._closed_at = at
            self._received.put_nowait((at, data))
            await asyncio.sleep(self._distance.read_pause_s)
