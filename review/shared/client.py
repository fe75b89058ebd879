"""A client that sends requests on raw connections and keeps to the framing."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field

import h11

READ_BYTES = 65536


@dataclass
class Response:
    """A response as the client has received it.

    Parameters
    ----------
    status : int
        Status, 0 if no head came.
    headers : dict of str to str
        Headers by their names in lower case.
    body : bytes
        The body as far as it came.
    is_complete : bool
        Whether the response ended as its framing says.
    error : str
        Why it is not complete, empty if it is.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


class ClientConnection:
    """A connection of a client, which may carry several requests.

    Parameters
    ----------
    host : str
        Host of the router.
    port : int
        Port of the router.
    receive_buffer_bytes : int
        Size of the receive buffer of the socket; 0 leaves the default.
    segment_bytes : int
        Largest segment that the other end may send; 0 leaves the default.
    """

    def __init__(
        self,
        host: str,
        port: int,
        receive_buffer_bytes: int = 0,
        segment_bytes: int = 0,
    ) -> None:
        self._address = (host, port)
        self._receive_buffer_bytes = receive_buffer_bytes
        self._segment_bytes = segment_bytes
        self._parser = h11.Connection(h11.CLIENT)
        self._socket: socket.socket | None = None

    async def connect(self) -> None:
        """Open the connection."""
        sock = socket.socket()
        sock.setblocking(False)
        if self._receive_buffer_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes
            )
        if self._segment_bytes:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self._segment_bytes)
        self._socket = sock
        await asyncio.get_running_loop().sock_connect(sock, self._address)

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request."""
        if self._socket is None:
            raise RuntimeError("the connection is not open")
        request = h11.Request(method=method, target=path, headers=list(headers.items()))
        data = self._parser.send(request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def receive(
        self, read_bytes: int = READ_BYTES, pause_s: float = 0.0
    ) -> Response:
        """Read the response to the request.

        Parameters
        ----------
        read_bytes : int
            Most bytes that are read at a time.
        pause_s : float
            Pause after each read, as on a slow link, in seconds.
        """
        response = Response()
        parts: list[bytes] = []
        try:
            while not response.is_complete:
                event = self._parser.next_event()
                if event is h11.NEED_DATA:
                    await self._read(read_bytes, pause_s)
                elif isinstance(event, h11.Response):
                    response.status = event.status_code
                    response.headers = {
                        k.decode().lower(): v.decode() for k, v in event.headers
                    }
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    response.is_complete = True
                else:
                    response.error = "the connection was closed"
                    break
        except (h11.RemoteProtocolError, OSError) as error:
            response.error = f"{type(error).__name__}: {error}"
        response.body = b"".join(parts)
        return response

    def next_request(self) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        if self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _read(self, read_bytes: int, pause_s: float) -> None:
        if self._socket is None:
            raise RuntimeError("the connection is not open")
        loop = asyncio.get_running_loop()
        self._parser.receive_data(await loop.sock_recv(self._socket, read_bytes))
        if pause_s:
            await asyncio.sleep(pause_s)


async def read_whole(host: str, port: int, path: str, timeout_s: float) -> Response:
    """Send a GET request on a new connection and read the response."""
    connection = ClientConnection(host, port)
    try:
        async with asyncio.timeout(timeout_s):
            await connection.connect()
            await connection.send("GET", path, {"Host": host})
            return await connection.receive()
    finally:
        connection.close()


__all__ = ("ClientConnection", "Response", "read_whole")
