"""Clients that come in a crowd, each with a script, and return when they are closed."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from persimmonlink_router.socket_options import has_peer_closed

if TYPE_CHECKING:
    from collections.abc import Callable

RECEIVE_BUFFER_BYTES = 4096  # Small, so that unread responses wait at the router.
POLL_INTERVAL_S = 0.1  # Interval of looking whether a connection was closed.
RETURN_PAUSE_S = 0.02  # Time after which a client that was closed returns.
ARRIVAL_TIMEOUT_S = 10.0  # Longest wait until a crowd has sent what it sends first.
CONNECT_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Script:
    """What a client does on each of its connections.

    Parameters
    ----------
    first : bytes
        What it sends at once.
    more : bytes
        What it sends over and over until it is closed.
    read_bytes : int
        Bytes that it reads each time; 0 if it never reads.
    pause_s : float
        Time between two of these, in seconds.
    ends_sending : bool
        Whether it closes its sending half after what it sends first.
    """

    first: bytes
    more: bytes = b""
    read_bytes: int = 0
    pause_s: float = 0.3
    ends_sending: bool = False


class Crowd:
    """Clients that follow a script until all of them leave at the same moment.

    Parameters
    ----------
    address : str
        `IP:PORT` that they connect to.
    build_script : callable
        Returns the script of one visit, by its name.
    size : int
        Number of clients.
    """

    def __init__(
        self, address: str, build_script: Callable[[str], Script], size: int
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._build_script = build_script
        self._size = size
        self._tasks: list[asyncio.Task[None]] = []
        self._waiting = size
        self._has_come = asyncio.Event()

    async def come(self) -> None:
        """Let all clients in, and wait until they have sent what they send first."""
        for number in range(self._size):
            self._tasks.append(asyncio.create_task(self._run_client(number)))
        # A client whose bytes aren't read goes on to wait, as it would for long.
        with suppress(TimeoutError):
            async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
                await self._has_come.wait()

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _run_client(self, number: int) -> None:
        visits = 0
        while True:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            script = self._build_script(f"crowd-{number}-{visits}")
            try:
                with suppress(OSError, TimeoutError):
                    await self._visit(sock, script, is_first=visits == 0)
            finally:
                sock.close()
            if not visits:
                self._record_arrival()
            visits += 1
            await asyncio.sleep(RETURN_PAUSE_S)

    async def _visit(
        self, sock: socket.socket, script: Script, *, is_first: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(sock, self._address)
        sending = asyncio.create_task(loop.sock_sendall(sock, script.first))
        try:
            while not sending.done():
                await asyncio.wait([sending], timeout=POLL_INTERVAL_S)
                if has_peer_closed(sock):
                    return
            await sending
            if script.ends_sending:
                sock.shutdown(socket.SHUT_WR)
            if is_first:
                self._record_arrival()
            while not has_peer_closed(sock):
                await self._go_on(sock, script)
        finally:
            sending.cancel()

    async def _go_on(self, sock: socket.socket, script: Script) -> None:
        loop = asyncio.get_running_loop()
        if script.more:
            await loop.sock_sendall(sock, script.more)
        if script.read_bytes:
            with suppress(BlockingIOError):
                sock.recv(script.read_bytes)
        await asyncio.sleep(script.pause_s)

    def _record_arrival(self) -> None:
        self._waiting -= 1
        if self._waiting <= 0:
            self._has_come.set()


__all__ = ("Crowd", "Script")
