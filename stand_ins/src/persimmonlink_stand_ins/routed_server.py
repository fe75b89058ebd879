"""A server behind the router: plain answers, streams and stages, with their faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from persimmonlink_stand_ins.raw_server import RawServer, make_answer

if TYPE_CHECKING:
    from persimmonlink_stand_ins.raw_server import RawRequest

EVENT_PAUSE_S = 0.02


@dataclass
class ServerFaults:
    """What the server does wrong from now on.

    Parameters
    ----------
    is_full : bool
        Rejects requests without running them.
    hangs : bool
        Runs requests and answers nothing.
    resets : bool
        Runs requests and cuts the connection.
    fails : bool
        Runs requests and answers 500.
    has_no_seal : bool
        Answers without a signature.
    doubles : bool
        Sends each answer twice.
    is_unframed : bool
        Sends answers that end with the connection.
    cuts_after : int
        Events after which streams are cut in the middle of the next one.
    """

    is_full: bool = False
    hangs: bool = False
    resets: bool = False
    fails: bool = False
    has_no_seal: bool = False
    doubles: bool = False
    is_unframed: bool = False
    cuts_after: int = 0


@dataclass(frozen=True)
class Run:
    """A request that was run, as the server saw it."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RoutedServerStandIn:
    """One incarnation of a server; keeps a record of what it ran.

    Parameters
    ----------
    server_id : str
        Its name.
    events : int
        Events of a stream.
    """

    def __init__(self, server_id: str, events: int = 5) -> None:
        self.server_id = server_id
        self.faults = ServerFaults()
        self.events = events
        self.runs: list[Run] = []
        self.pieces: list[dict[str, Any]] = []
        self.batches: list[int] = []
        self.freed: list[str] = []
        self.left: list[str] = []
        self._server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """`IP:PORT` of the server."""
        return self._server.address

    @property
    def connections(self) -> int:
        """Connections that were opened to it."""
        return self._server.connections

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """End at once."""
        await self._server.stop()

    def entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Return what the server writes to the store about itself."""
        entry = {
            "service": service,
            "addr": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        return {**entry, **changes}

    async def _handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        expected = request.headers.get("persimmonlink-expect-instance")
        if expected not in (None, self.server_id):
            writer.write(make_answer(421, {}, b""))
            return True
        if self.faults.is_full:
            writer.write(make_answer(503, {"Persimmonlink-Not-Executed": "1"}, b""))
            return True
        if request.target == "/-/stage-run":
            return await self._run_pieces(request, writer)
        if request.target == "/-/stage-free":
            self.freed += msgspec.json.decode(request.body)["handles"]
            writer.write(make_answer(200, {}, b"{}"))
            return True
        return await self._run(request, writer)

    async def _run(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers["persimmonlink-request-id"]
        self.runs.append(
            Run(
                request_id,
                request.method,
                request.target,
                request.headers,
                request.body,
            )
        )
        if self.faults.resets:
            writer.transport.abort()
            return False
        if self.faults.hangs:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                self.left.append(request_id)
                raise
        headers = {"Persimmonlink-Request-Id": request_id}
        if not self.faults.has_no_seal:
            headers["Persimmonlink-Response-Seal"] = f"seal-{request_id}"
        if self.faults.fails:
            writer.write(make_answer(500, headers, b"failed"))
            return True
        if "persimmonlink-model" in request.headers:
            return await self._stream(request, headers, writer)
        body = f"answer to {request_id}".encode()
        answer = make_answer(200, headers, body)
        if self.faults.is_unframed:
            head = answer.partition(b"Content-Length")[0]
            writer.write(head + b"\r\n" + body)
            return False
        writer.write(answer * (2 if self.faults.doubles else 1))
        await writer.drain()
        return True

    async def _stream(
        self, request: RawRequest, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            if self.faults.cuts_after and number > self.faults.cuts_after:
                writer.write(_chunk(event[:8]))
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def _run_pieces(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        items = msgspec.json.decode(request.body)["items"]
        self.batches.append(len(items))
        await asyncio.sleep(0.02)
        if self.faults.resets:
            writer.transport.abort()
            return False
        results = []
        for item in items:
            self.pieces.append(item)
            name = f"{item['id']}.{item['stage']}.{item['piece']}.{len(self.pieces)}"
            results.append({"handle": f"{self.address}/{name}"})
        body = msgspec.json.encode({"items": results})
        writer.write(make_answer(200, {}, body))
        return True


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


__all__ = ("RoutedServerStandIn", "Run", "ServerFaults")
