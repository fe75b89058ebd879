"""Small stand-ins of backend servers, which follow the users' protocol."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

HOST = "127.0.0.1"
SEAL = "3e1b.07.5a2"


@dataclass
class Run:
    """A request that a server runs, by its times on the monotonic clock."""

    request_id: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float
    ended_at: float | None = None
    outcome: str = "running"


@dataclass
class Server:
    """A sound server that answers after a time, or with a stream of events.

    Parameters
    ----------
    server_id : str
        Its id, which `Persimmonlink-Expect-Instance` names.
    service : str
        Its service.
    work_s : float
        Time of a response, in seconds, or of a stream from its first event.
    events : int
        Events of a stream; 0 for a plain response.
    slots : int
        Requests that it runs at once.
    """

    server_id: str
    service: str
    work_s: float
    events: int = 0
    slots: int = 64
    zone: str = "zone-a"
    version: str = "1"
    cold_left_ms: float = 0.0
    runs: list[Run] = field(default_factory=list)
    sequence: int = 0
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000) - 60000)
    address: str = ""
    state: str = "ready"
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def build_entry(self) -> dict[str, Any]:
        """Return the next entry that the server writes to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": self.cold_left_ms,
            "seq": self.sequence,
            "born": self.born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        target = lines[0].split(" ")[1]
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        expected = headers.get("persimmonlink-expect-instance", self.server_id)
        if expected != self.server_id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"Persimmonlink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        request_id = headers.get("persimmonlink-request-id", "")
        run = Run(request_id, target, headers, body, time.monotonic())
        self.runs.append(run)
        work = asyncio.ensure_future(self._answer(run, writer))
        left = asyncio.ensure_future(self._wait_for_close(reader))
        await asyncio.wait((work, left), return_when=asyncio.FIRST_COMPLETED)
        run.ended_at = time.monotonic()
        run.outcome = "done" if work.done() else "left"
        for task in (work, left):
            task.cancel()
        await asyncio.gather(work, left, return_exceptions=True)
        return run.outcome == "done"

    async def _wait_for_close(self, reader: asyncio.StreamReader) -> None:
        """Wait until the caller closes; it sends nothing before the answer."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        common = (
            f"Persimmonlink-Request-Id: {run.request_id}\r\n"
            f"Persimmonlink-Response-Seal: {SEAL}\r\n"
        )
        if not self.events:
            await asyncio.sleep(self.work_s)
            body = f"{run.request_id} by {self.server_id}".encode()
            head = f"HTTP/1.1 200 OK\r\n{common}Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            return
        head = (
            f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        await asyncio.sleep(0.02)
        writer.write(head.encode())
        first = int(run.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.work_s / self.events)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
