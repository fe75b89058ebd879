"""HTTP server whose handlers write raw bytes, so that responses can be malformed."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

HOST = "127.0.0.1"


@dataclass(frozen=True)
class RawRequest:
    """A request as received.

    `head_at` is the monotonic time at which its head was read, in seconds.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    head_at: float = 0.0


Handler = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[bool]]


class RawServer:
    """Reads requests with h11; a handler writes the raw responses.

    Parameters
    ----------
    handler : callable
        Writes the response; returns whether the connection stays open.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._reservation: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.accepted_connections = 0
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Start listening at a port, which stays reserved until `stop`."""
        if self._reservation is None:
            self._reservation = reserve_port(port)
        port = self._reservation.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{port}"

    def stop_listening(self) -> None:
        """Refuse new connections and keep the open ones."""
        if self._server is not None:
            self._server.close()

    def list_writers(self) -> set[asyncio.StreamWriter]:
        """Return the writers of the connections that are open now."""
        return set(self._writers)

    async def stop(self) -> None:
        """Stop listening, cut all connections and give the port back."""
        self.cut()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    def cut(self) -> None:
        """Stop listening and cut all connections."""
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()

    def reset(self) -> None:
        """Stop listening and reset all connections."""
        for writer in list(self._writers):
            reset_connection(writer)
        self.cut()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_connections += 1
        self._writers.add(writer)
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(reader, writer, parser):
                parser = h11.Connection(h11.SERVER)
        except (ConnectionError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        parser: h11.Connection,
    ) -> bool:
        request: h11.Request | None = None
        head_at = 0.0
        body_parts: list[bytes] = []
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if not data:
                    return False
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
                head_at = time.monotonic()
            elif isinstance(event, h11.Data):
                body_parts.append(bytes(event.data))
            else:
                break
        if request is None:
            return False
        headers = {k.decode().lower(): v.decode() for k, v in request.headers}
        raw_request = RawRequest(
            request.method.decode(),
            request.target.decode(),
            headers,
            b"".join(body_parts),
            head_at,
        )
        handler_task = asyncio.ensure_future(self._handler(raw_request, writer))
        disconnect_task = asyncio.ensure_future(_wait_for_disconnect(reader))
        await asyncio.wait(
            (handler_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED
        )
        disconnect_task.cancel()
        if not handler_task.done():
            handler_task.cancel()
            return False
        return handler_task.result()


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    """Wait until the other end has closed or reset the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a response with its Content-Length."""
    lines = [f"HTTP/1.1 {status} Text"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reserve_port(port: int = 0) -> socket.socket:
    """Keep a port from others, any free one if none is given, without listening.

    Only sockets that name the port and set SO_REUSEADDR can listen there.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, port))
    return reservation


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset; `abort` alone closes it in order."""
    sock = writer.get_extra_info("socket")
    linger_and_seconds = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_and_seconds)
    writer.transport.abort()


__all__ = ("HOST", "RawRequest", "RawServer", "encode_response", "reset_connection")
