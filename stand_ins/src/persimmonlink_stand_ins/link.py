"""Links between nodes and servers that tests cut in several ways."""

from __future__ import annotations

import asyncio
import socket
from enum import StrEnum
from typing import TYPE_CHECKING

from persimmonlink_stand_ins.raw_server import HOST, reset_connection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

CHUNK_BYTES = 65536
# Connections that fill the queue of a listener which accepts none, so that the opening
# packets of further ones are dropped.
FILLER_COUNT = 4


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
        Port to listen on, which must stay free while the link refuses connections.
    """

    def __init__(self, target: str, port: int) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._blocked: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._may_pass = asyncio.Event()
        self._may_pass.set()
        self._port = port

    @property
    def address(self) -> str:
        """`IP:PORT` at which the node connects."""
        return f"{HOST}:{self._port}"

    async def start(self) -> None:
        """Start to relay connections."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    async def cut(self, how: Cut) -> None:
        """Cut the link."""
        if self._server is not None:
            self._server.close()
        if how is Cut.HANG:
            self._may_pass.clear()
            self._block_listener()
        elif how is Cut.RESET:
            for writer in list(self._writers):
                reset_connection(writer)

    async def mend(self) -> None:
        """End the cut; what was held up goes on."""
        for sock in self._blocked:
            sock.close()
        self._blocked.clear()
        await self.start()
        self._may_pass.set()

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for sock in self._blocked:
            sock.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _block_listener(self) -> None:
        """Listen without accepting, with a queue that is full."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(0)
        self._blocked.append(listener)
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self._port))
            self._blocked.append(filler)

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
            await link.start()
            if node in self._cut_by_node:
                await link.cut(self._cut_by_node[node])
        return link

    async def cut(
        self, nodes: Iterable[int], how: Cut, targets: Iterable[str] | None = None
    ) -> None:
        """Cut the links of nodes to all servers, or to some."""
        nodes = set(nodes)
        for (node, target), link in list(self._link_by_ends.items()):
            if node in nodes and (targets is None or target in set(targets)):
                await link.cut(how)
        if targets is None:
            self._cut_by_node |= dict.fromkeys(nodes, how)

    async def mend(self, nodes: Iterable[int]) -> None:
        """End the cuts of nodes."""
        nodes = set(nodes)
        for node in nodes:
            self._cut_by_node.pop(node, None)
        for (node, _), link in list(self._link_by_ends.items()):
            if node in nodes:
                await link.mend()

    def list_ports(self) -> list[int]:
        """Return the ports of all links."""
        links = self._link_by_ends.values()
        return [int(link.address.rpartition(":")[2]) for link in links]

    async def stop(self) -> None:
        """Close all links."""
        for link in self._link_by_ends.values():
            await link.stop()


__all__ = ("Cut", "Link", "Links")
