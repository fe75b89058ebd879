"""Stand-in of a worker in a process of its own, so that a signal can end it.

Its only argument is a JSON object: `id`, `port`, `runs_path`, and the optional fields
of `Options`.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import time
from dataclasses import dataclass

import h11

HOST = "127.0.0.1"
READ_BYTES = 65536
CHUNKS_AT_ONCE = 4096
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 seconds.


@dataclass(frozen=True)
class Options:
    """What the worker does.

    Parameters
    ----------
    id : str
        Id of the worker.
    port : int
        Port that it listens on.
    runs_path : str
        File to which it adds a line for each step of a run.
    events : int
        Events of a stream.
    event_spread : int
        Largest random number of events that are added to them.
    event_bytes : int
        Size of the text of an event.
    event_interval_s : float
        Pause after each event, in seconds.
    first_event_s : float
        Time to the first event, in seconds.
    body_bytes : int
        Size of the body of a plain response.
    body_parts : int
        Parts in which that body is written.
    part_interval_s : float
        Pause after each of them, in seconds.
    is_unframed : bool
        Whether responses have neither a length nor chunks.
    work_s : float
        Time that a plain response takes, in seconds.
    lost_share : float
        Share of plain responses that are lost, as the connection is reset, from
        SIGUSR1 to SIGUSR2.
    is_endless : bool
        Whether streams are single bytes without end, each in a chunk of its own.
    fatal_target : str
        Path and query of requests that end the worker; empty for none.
    """

    id: str
    port: int
    runs_path: str
    events: int = 10
    event_spread: int = 0
    event_bytes: int = 40
    event_interval_s: float = 0.05
    first_event_s: float = 0.1
    body_bytes: int = 800
    body_parts: int = 1
    part_interval_s: float = 0.0
    is_unframed: bool = False
    work_s: float = 0.0
    lost_share: float = 0.0
    is_endless: bool = False
    fatal_target: str = ""


class Worker:
    """Answers requests, and records each run.

    Parameters
    ----------
    options : Options
        What it does.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._is_losing = False

    async def serve(self) -> None:
        """Listen until the process ends."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._set_losing, True)
        loop.add_signal_handler(signal.SIGUSR2, self._set_losing, False)
        server = await asyncio.start_server(self._handle, HOST, self._options.port)
        await server.serve_forever()

    def _set_losing(self, is_losing: bool) -> None:
        self._is_losing = is_losing

    def _record(self, step: str, request_id: str, **details: object) -> None:
        line = {"at": time.time(), "step": step, "request": request_id, **details}
        with open(self._options.runs_path, "a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(parser, reader, writer):
                parser = h11.Connection(h11.SERVER)
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request = None
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(READ_BYTES)
                if not data:
                    return False
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        if request is None:
            return False
        headers = {k.decode(): v.decode() for k, v in request.headers}
        return await self._answer(request.target.decode(), headers, writer)

    async def _answer(
        self, target: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        request_id = headers.get("persimmonlink-request-id", "")
        named = [f"Persimmonlink-Request-Id: {request_id}"]
        expected = headers.get("persimmonlink-expect-instance", self._options.id)
        if expected != self._options.id:
            lines = ["HTTP/1.1 421 Misdirected", *named, "Content-Length: 0"]
            writer.write(_encode_head(lines))
            return True
        self._record("run", request_id, target=target)
        if target == self._options.fatal_target:
            self._record("crash", request_id, target=target)
            os._exit(1)
        seal = f"Persimmonlink-Response-Seal: {self._options.id}.{request_id}"
        lines = ["HTTP/1.1 200 OK", *named, seal]
        try:
            if "persimmonlink-model" in headers:
                await self._stream(lines, writer, request_id)
            else:
                await self._respond(lines, writer)
        except ConnectionError:
            self._record("cut", request_id)
            raise
        self._record("end", request_id)
        return not self._options.is_unframed

    async def _stream(
        self, lines: list[str], writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        options = self._options
        lines = [*lines, "Content-Type: text/event-stream"]
        if not options.is_unframed:
            lines.append("Transfer-Encoding: chunked")
        writer.write(_encode_head(lines))
        await asyncio.sleep(options.first_event_s)
        while options.is_endless:
            writer.write(b"1\r\nx\r\n" * CHUNKS_AT_ONCE)
            await writer.drain()
        text = "x" * options.event_bytes
        events = options.events + random.randint(0, options.event_spread)
        for number in range(1, events + 1):
            event = f"id: {number}\ndata: {number} of {events} {text}\n\n"
            self._write(writer, event.encode())
            await writer.drain()
            if number % 10 == 0:
                self._record("event", request_id, number=number)
            await asyncio.sleep(options.event_interval_s)
        if not options.is_unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self._options.is_unframed:
            writer.write(data)
        else:
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def _respond(self, lines: list[str], writer: asyncio.StreamWriter) -> None:
        options = self._options
        await asyncio.sleep(options.work_s)
        if self._is_losing and random.random() < options.lost_share:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            raise ConnectionResetError
        if not options.is_unframed:
            lines = [*lines, f"Content-Length: {options.body_bytes}"]
        writer.write(_encode_head(lines))
        part_bytes = options.body_bytes // options.body_parts
        for number in range(options.body_parts):
            is_last = number == options.body_parts - 1
            size = options.body_bytes - number * part_bytes if is_last else part_bytes
            writer.write(b"y" * size)
            await writer.drain()
            await asyncio.sleep(options.part_interval_s)


def _encode_head(lines: list[str]) -> bytes:
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def main() -> int:
    """Run a worker until the process is ended."""
    options = Options(**json.loads(sys.argv[1]))
    asyncio.run(Worker(options).serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
