"""Clients that send one request after another on connections which they keep."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11
from tests.router.rig import KEY, STAGED, STREAM, ClientResponse

if TYPE_CHECKING:
    import random

# Clients reuse connections that were idle for this part of the idle timeout.
IDLE_USE_S = 0.8 * 15.0
# Time from the moment at which a node sends something until a request of a client that
# did not have it yet arrives there.
ROUND_TRIP_S = 0.03
ANSWER_USE_S = 3.0  # Clients use a directory answer for this long.
PATHS = {
    "/book/1": {},
    "/look/1": {},
    "/claim/1": STREAM,
    "/list/1": STREAM,
    "/chain/1": STAGED,
}
PATH_WEIGHTS = (3, 3, 2, 2, 1)
PAUSE_WEIGHTS = (50, 48, 2)
NEXT_NODE_SHARE = 0.2  # Share of requests for which a client goes to another node.


def build_request(
    path: str, request_id: str, body: bytes, *, is_chunked: bool, deadline_ms: int
) -> bytes:
    """Return the bytes of a request."""
    headers = {
        "Host": "shop.example",
        "Persimmonlink-Request-Id": request_id,
        "Persimmonlink-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **{k.replace("_", "-"): v for k, v in PATHS.get(path, {}).items()},
    }
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
    else:
        headers["Content-Length"] = str(len(body))
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method="POST", target=path, headers=list(headers.items()))
    data = parser.send(request) + (parser.send(h11.Data(data=body)) if body else b"")
    return data + parser.send(h11.EndOfMessage())


class KeptConnection:
    """A connection that carries requests until the node or its time ends it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._usable_until = time.monotonic() + IDLE_USE_S

    @classmethod
    async def open(cls, address: str) -> KeptConnection:
        """Open a connection."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    @property
    def is_usable(self) -> bool:
        """Whether what the node has said lets it carry another request."""
        return time.monotonic() < self._usable_until and not self._reader.at_eof()

    @property
    def is_closed(self) -> bool:
        """Whether the node has closed its end."""
        return self._reader.at_eof()

    async def exchange(self, data: bytes, pause_s: float = 0.0) -> ClientResponse:
        """Send a request, in two parts if there is a pause, and read the response."""
        half = len(data) // 2 if pause_s else 0
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
        parser.send(h11.EndOfMessage())
        response = ClientResponse(0, {}, b"", False)
        self._usable_until = 0.0
        await asyncio.sleep(ROUND_TRIP_S)
        try:
            self._writer.write(data[:half])
            await asyncio.sleep(pause_s)
            self._writer.write(data[half:])
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self._reader.read(65536))
                elif isinstance(event, h11.Response):
                    response.status = event.status_code
                    response.headers = {
                        k.decode(): v.decode() for k, v in event.headers
                    }
                elif isinstance(event, h11.Data):
                    response.body += event.data
                else:
                    response.is_complete = isinstance(event, h11.EndOfMessage)
                    break
        except (h11.RemoteProtocolError, ConnectionError):
            pass
        if response.is_complete and response.headers.get("connection") != "close":
            self._usable_until = time.monotonic() + _read_idle_use_s(response)
        return response

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def _read_idle_use_s(response: ClientResponse) -> float:
    """Return how long the client may leave the connection idle, in seconds."""
    _, _, seconds = response.headers.get("keep-alive", "").partition("timeout=")
    return min(IDLE_USE_S, float(seconds)) if seconds else IDLE_USE_S


@dataclass
class Loss:
    """A request that was sent whole and got no whole response."""

    request_id: str
    path: str
    node: int
    sent_after_s: float
    ended_after_s: float
    status: int


@dataclass
class KeptClients:
    """What all clients do and see.

    Parameters
    ----------
    addresses : list of str
        Addresses of the nodes.
    deadlines_ms : tuple of int
        Deadlines of the requests, in milliseconds.
    answer_use_s : float
        How long they use a directory answer, in seconds.
    path_weights : tuple of int
        How often they send a request of each path.
    stopped_at : dict of int to float
        When each node that is stopping or gone was told so, in seconds.
    """

    addresses: list[str]
    deadlines_ms: tuple[int, ...] = (4000,)
    answer_use_s: float = ANSWER_USE_S
    path_weights: tuple[int, ...] = PATH_WEIGHTS
    stopped_at: dict[int, float] = field(default_factory=dict)
    status_counts: dict[int, int] = field(default_factory=dict)
    losses: list[Loss] = field(default_factory=list)
    sent: int = 0
    is_over: bool = False

    async def run_client(self, name: str, rng: random.Random) -> None:
        """Send requests to nodes in turn until the play is over."""
        connection_by_node: dict[int, KeptConnection] = {}
        node = -1
        while not self.is_over:
            if node not in connection_by_node or rng.random() < NEXT_NODE_SHARE:
                node = rng.randrange(len(self.addresses))
            connection = connection_by_node.get(node)
            if connection is None or not connection.is_usable:
                if connection is not None:
                    connection.close()
                connection = await self._open(node)
                if connection is None:
                    connection_by_node.pop(node, None)
                    await asyncio.sleep(0.01)
                    continue
                connection_by_node[node] = connection
            await self._send(connection, node, f"{name}-{self.sent}", rng)
            # Many go on at once, few leave a connection idle for seconds.
            longest_s = rng.choices((0.0, 0.05, 4.0), PAUSE_WEIGHTS)[0]
            await asyncio.sleep(longest_s * rng.random())
        for connection in connection_by_node.values():
            connection.close()

    async def _open(self, node: int) -> KeptConnection | None:
        """Connect to a node unless the directory has ceased to name it."""
        stopped_at = self.stopped_at.get(node)
        if stopped_at is not None and time.monotonic() > stopped_at + self.answer_use_s:
            return None
        try:
            return await KeptConnection.open(self.addresses[node])
        except OSError:
            return None

    async def _send(
        self, connection: KeptConnection, node: int, request_id: str, rng: random.Random
    ) -> None:
        path = rng.choices(list(PATHS), self.path_weights)[0]
        data = build_request(
            path,
            request_id,
            rng.randbytes(rng.choice((0, 10, 3000))),
            is_chunked=rng.random() < 0.3,
            deadline_ms=rng.choice(self.deadlines_ms),
        )
        self.sent += 1
        pause_s = 0.05 * rng.random() if rng.random() < 0.2 else 0.0
        sent_at = time.monotonic()
        response = await connection.exchange(data, pause_s)
        self.status_counts[response.status] = (
            self.status_counts.get(response.status, 0) + 1
        )
        if response.is_complete:
            return
        stopped_at = self.stopped_at.get(node, sent_at)
        ended_after_s = round(time.monotonic() - stopped_at, 3)
        sent_after_s = round(sent_at - stopped_at, 3)
        self.losses.append(
            Loss(request_id, path, node, sent_after_s, ended_after_s, response.status)
        )


__all__ = ("KeptClients", "KeptConnection", "build_request")
