"""Links between nodes and servers that tests cut in several ways."""

from __future__ import annotations

import asyncio
import socket
from enum import StrEnum
from typing import TYPE_CHECKING

from persimmonlink_stand_ins.raw_server import (
    HOST,
    reserve_port,
    reset_connection,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

CHUNK_BYTES = 65536
# Connections that fill the queue of a listener which accepts none, so that the opening
# packets of further ones are dropped.
FILLER_COUNT = 4
BACKLOG = 100


class Cut(StrEnum):
    """What happens to the connections over a link that is cut."""

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


class Link:
    """A TCP relay to one server, for the connections of one node.

    Parameters
    ----------
    target : str
        `IP:PORT` of the server.
    port : int
        Port to listen on, which stays reserved while the link refuses connections.
    """

    def __init__(self, target: str, port: int) -> None:
        self._target = target
        self._listener: socket.socket | None = None
        self._reservation: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._resets = 0
        self._blocked: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._may_pass = asyncio.Event()
        self._may_pass.set()
        self._port = port

    @property
    def address(self) -> str:
        """`IP:PORT` at which the node connects."""
        return f"{HOST}:{self._port}"

    def start(self) -> None:
        """Start to relay connections, if the link does not do so already."""
        if self._listener is not None:
            return
        if self._reservation is None:
            self._reservation = reserve_port(self._port)
        listener = self._open_listener(BACKLOG)
        listener.setblocking(False)
        asyncio.get_running_loop().add_reader(listener, self._accept, listener)
        self._listener = listener

    def cut(self, how: Cut) -> None:
        """Cut the link."""
        self._stop_listening()
        if how is Cut.HANG:
            self._may_pass.clear()
            if not self._blocked:
                self._block_listener()
        elif how is Cut.RESET:
            self._resets += 1
            for writer in list(self._writers):
                reset_connection(writer)

    def mend(self) -> None:
        """End the cut; what was held up goes on."""
        for sock in self._blocked:
            sock.close()
        self._blocked.clear()
        self.start()
        self._may_pass.set()

    def stop(self) -> None:
        """Close everything."""
        self._stop_listening()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None
        for sock in self._blocked:
            sock.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _open_listener(self, backlog: int) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(backlog)
        return listener

    def _stop_listening(self) -> None:
        if self._listener is None:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        self._listener = None

    def _block_listener(self) -> None:
        """Listen without accepting, with a queue that is full."""
        self._blocked.append(self._open_listener(0))
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self._port))
            self._blocked.append(filler)

    def _accept(self, listener: socket.socket) -> None:
        try:
            accepted, _ = listener.accept()
        except OSError:
            # The peer has given the connection up.
            return
        accepted.setblocking(False)
        task = asyncio.ensure_future(self._open(accepted, self._resets))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, accepted: socket.socket, resets: int) -> None:
        """Relay a connection that was accepted after some resets of all of them."""
        reader, writer = await asyncio.open_connection(sock=accepted)
        if self._resets > resets:
            reset_connection(writer)
            return
        await self._serve(reader, writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        host, _, port = self._target.rpartition(":")
        try:
            to_server = await asyncio.open_connection(host, int(port))
        except OSError:
            reset_connection(writer)
            self._writers.discard(writer)
            return
        self._writers.add(to_server[1])
        try:
            await asyncio.gather(
                self._copy(reader, to_server[1]), self._copy(to_server[0], writer)
            )
        except ConnectionError:
            if not writer.is_closing():
                reset_connection(writer)
        except asyncio.CancelledError:
            # The test has ended.
            pass
        finally:
            for each in (writer, to_server[1]):
                self._writers.discard(each)
                each.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._may_pass.wait()
            writer.write(data)
            await writer.drain()
        await self._may_pass.wait()
        if reader.exception() is None:
            writer.close()


class Links:
    """The links of some nodes to all servers, opened as they are needed.

    Parameters
    ----------
    find_port : callable
        Returns a free port.
    """

    def __init__(self, find_port: Callable[[], int]) -> None:
        self._find_port = find_port
        self._link_by_ends: dict[tuple[int, str], Link] = {}
        self._cut_by_node: dict[int, Cut] = {}

    async def find(self, node: int, target: str) -> Link:
        """Return the link of a node to a server, a new one if there is none."""
        link = self._link_by_ends.get((node, target))
        if link is None:
            link = Link(target, self._find_port())
            self._link_by_ends[node, target] = link
            link.start()
            if node in self._cut_by_node:
                link.cut(self._cut_by_node[node])
        return link

    async def cut(
        self, nodes: Iterable[int], how: Cut, targets: Iterable[str] | None = None
    ) -> None:
        """Cut the links of nodes to all servers, or to some."""
        nodes = set(nodes)
        for (node, target), link in list(self._link_by_ends.items()):
            if node in nodes and (targets is None or target in set(targets)):
                link.cut(how)
        if targets is None:
            self._cut_by_node |= dict.fromkeys(nodes, how)

    async def mend(self, nodes: Iterable[int]) -> None:
        """End the cuts of nodes."""
        nodes = set(nodes)
        for node in nodes:
            self._cut_by_node.pop(node, None)
        for (node, _), link in list(self._link_by_ends.items()):
            if node in nodes:
                link.mend()

    def list_ports(self) -> list[int]:
        """Return the ports of all links."""
        links = self._link_by_ends.values()
        return [int(link.address.rpartition(":")[2]) for link in links]

    async def stop(self) -> None:
        """Close all links."""
        for link in self._link_by_ends.values():
            link.stop()


__all__ = ("Cut", "Link", "Links")
