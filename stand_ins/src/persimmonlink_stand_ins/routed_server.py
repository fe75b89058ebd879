"""Stand-in for a server behind the router: responses, streams, stages and faults."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any, cast
from weakref import WeakKeyDictionary

import msgspec

from persimmonlink_stand_ins.raw_server import (
    RawServer,
    encode_response,
    reset_connection,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_stand_ins.raw_server import RawRequest

EVENT_INTERVAL_S = 0.02
DRIP_INTERVAL_S = 0.1
MAX_RECORDED_BYTES = 65536  # Response after which nothing more is remembered of it.


class EndlessBytes(StrEnum):
    """Bytes that a server sends without end instead of a response."""

    NONE = ""
    HEADERS = "headers"
    HEADER_LINE = "header_line"
    INTERIM_RESPONSES = "interim_responses"
    BODY = "body"
    CHUNK_SIZE = "chunk_size"
    SMALL_CHUNKS = "small_chunks"


class CrashPoint(StrEnum):
    """Where in its response to a request a server ends."""

    BEFORE_HEAD = "before_head"
    AFTER_HEAD = "after_head"
    INSIDE_EVENT = "inside_event"
    AFTER_EVENT = "after_event"


@dataclass
class ServerFaults:
    """Faults that the server applies to each request.

    Parameters
    ----------
    rejects_requests : bool
        Rejects requests without running them.
    retry_after_s : float
        Time in which a server that rejects requests wants no others, in seconds; 0
        states none.
    says_leaving : bool
        States in every response that the server is leaving.
    withholds_responses : bool
        Runs requests and sends no response.
    resets_connections : bool
        Runs requests and resets the connection.
    responds_500 : bool
        Runs requests and responds with status 500.
    omits_seal : bool
        Omits the seal header, which signs the response for its request.
    duplicates_responses : bool
        Sends each response twice.
    repeats_earlier_responses : bool
        Sends what it sent for the last request on a connection, releases apart, once
        more before it handles the next one.
    names_no_request : bool
        Omits the request id from rejections.
    omits_length : bool
        Sends neither a length nor chunks; the end of the connection delimits the
        response.
    cuts_streams_after : int
        Events after which streams are cut in the middle of the next one; 0 cuts none,
        -1 cuts in the first.
    cut_event_bytes : int
        Bytes of that event that are still sent.
    closes_cut_streams_in_order : bool
        Closes the connection of a cut stream in order instead of resetting it.
    ends_after_response : bool
        Ends with the first response other than a stream that has no length.
    drips_streams_after : int
        Events after which a stream goes on with single bytes of the next event, at
        `DRIP_INTERVAL_S`, without ever ending it; 0 for none.
    endless_bytes : EndlessBytes
        What it sends without end, until the node closes the connection.
    """

    rejects_requests: bool = False
    retry_after_s: float = 0.0
    says_leaving: bool = False
    withholds_responses: bool = False
    resets_connections: bool = False
    responds_500: bool = False
    omits_seal: bool = False
    duplicates_responses: bool = False
    repeats_earlier_responses: bool = False
    names_no_request: bool = False
    omits_length: bool = False
    cuts_streams_after: int = 0
    cut_event_bytes: int = 8
    closes_cut_streams_in_order: bool = False
    ends_after_response: bool = False
    drips_streams_after: int = 0
    endless_bytes: EndlessBytes = EndlessBytes.NONE


@dataclass(frozen=True)
class Run:
    """A request that the server ran, as received."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    started_at: float = field(default_factory=time.monotonic)

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Ids of the parts of its prompt."""
        prompt = self.headers.get("persimmonlink-prompt-prefix", "")
        return tuple(item.partition(":")[0] for item in prompt.split(","))


class _RecordingWriter:
    """Writer of a connection that remembers what the last request was sent."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.earlier = b""
        self.current = b""

    def begin_request(self) -> None:
        """Keep what was sent for the last request apart."""
        self.earlier, self.current = self.current, b""

    def write(self, data: bytes) -> None:
        """Write and remember bytes."""
        if len(self.current) < MAX_RECORDED_BYTES:
            self.current += data
        self._writer.write(data)

    def repeat_earlier(self) -> None:
        """Write what was sent for the last request once more."""
        self._writer.write(self.earlier)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)


class RoutedServerStandIn:
    """One incarnation of a server; records what it ran.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    event_count : int
        Number of events in each stream.
    version : str
        Version of its software, which its events name.
    """

    def __init__(
        self, server_id: str, event_count: int = 5, version: str = "v1"
    ) -> None:
        self.server_id = server_id
        self.version = version
        self.started_at_ms = 1_700_000_000_000
        self.faults = ServerFaults()
        self.event_count = event_count
        self.work_s = 0.0
        # Time to the first event of a stream, and time of a stage call, in seconds.
        self.head_delay_s = 0.0
        self.first_event_s = 0.0
        self.event_interval_s = EVENT_INTERVAL_S
        self.stage_call_s = 0.02
        # Parts of prompts on which it ends, and where in the response it does.
        self.fatal_part_ids: frozenset[str] = frozenset()
        self.crash_point = CrashPoint.AFTER_HEAD
        # Bodies of requests, and keys of pieces, on which it ends after `work_s`.
        self.fatal_bodies: frozenset[bytes] = frozenset()
        # Methods and targets of requests on which it ends after `work_s`.
        self.fatal_lines: frozenset[str] = frozenset()
        # Requests a second that it says it accepts from all nodes; 0 names none.
        self.rate_limit_per_s = 0.0
        # Requests that it runs, and that may wait, at once; 0 bounds neither.
        self.slots = 0
        self.queue = 0
        # Rejections a second for want of room at which it ends, which it states as
        # long as it is over 0.
        self.brittle_limit = 0
        self.rejected_at: list[float] = []
        self.fell_at: list[float] = []
        # Time until which it neither reads nor sends anything.
        self.silent_until = 0.0
        self._running = 0
        self._admitted = 0
        self._has_free_slot = asyncio.Event()
        self.runs: list[Run] = []
        self.pieces: list[dict[str, Any]] = []
        # Pieces with the time of their arrival, also those of calls that failed.
        self.piece_log: list[tuple[float, dict[str, Any]]] = []
        self.batch_sizes: list[int] = []
        self.freed_handles: list[str] = []
        self.disconnected_ids: list[str] = []
        self.received_count = 0
        self.received_at: list[float] = []
        # Arrival, target and ids of each request that is for this server.
        self.arrivals: list[tuple[float, str, list[str]]] = []
        self.has_crashed = False
        self.endless_bytes_sent = 0
        self.on_crash: Callable[[], None] | None = None
        self._recorders: WeakKeyDictionary[asyncio.StreamWriter, _RecordingWriter] = (
            WeakKeyDictionary()
        )
        self._server = RawServer(self._handle_recorded)

    @property
    def address(self) -> str:
        """`IP:PORT` of the server."""
        return self._server.address

    @property
    def accepted_connections(self) -> int:
        """Number of connections accepted so far."""
        return self._server.accepted_connections

    async def start(self, port: int = 0) -> None:
        """Start listening, on any free port if none is given."""
        await self._server.start(port)

    async def stop(self) -> None:
        """Stop at once and abort all connections."""
        await self._server.stop()

    async def crash(self) -> None:
        """End at once, keep the port for a next start, and tell the test."""
        if self.has_crashed:
            return
        self.has_crashed = True
        self._server.cut()
        if self.on_crash is not None:
            self.on_crash()

    async def restart(self) -> None:
        """Start again after a crash, as a new incarnation at the same address."""
        self.started_at_ms += 1
        await self._server.start()
        self.has_crashed = False

    def build_entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Build the entry that the server registers in the metadata store."""
        entry = {
            "service": service,
            "addr": self.address,
            "zone": "a",
            "version": self.version,
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.started_at_ms,
        }
        return {**entry, **changes}

    async def _handle_recorded(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if request.target == "/-/stage-free":
            return await self._handle(request, writer)
        recorder = self._recorders.get(writer)
        if recorder is None:
            recorder = self._recorders[writer] = _RecordingWriter(writer)
        recorder.begin_request()
        if self.faults.repeats_earlier_responses:
            recorder.repeat_earlier()
        return await self._handle(request, cast("asyncio.StreamWriter", recorder))

    async def _handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        await self._wait_while_silent()
        self.received_count += 1
        self.received_at.append(time.monotonic())
        expected = request.headers.get("persimmonlink-expect-instance")
        if expected not in (None, self.server_id):
            writer.write(encode_response(421, {}, b""))
            return True
        self.arrivals.append((time.monotonic(), request.target, _list_ids(request)))
        if self.faults.rejects_requests:
            headers = {
                "Persimmonlink-Not-Executed": "1",
                **self._name_request(request),
                **self._state_headers(),
            }
            if self.faults.retry_after_s:
                headers["Retry-After"] = str(self.faults.retry_after_s)
            writer.write(encode_response(503, headers, b""))
            return True
        if self.faults.endless_bytes:
            await self._send_without_end(request, writer)
            return False
        if request.target == "/-/stage-free":
            self.freed_handles += msgspec.json.decode(request.body)["handles"]
            writer.write(encode_response(200, self._state_headers(), b"{}"))
            return True
        if self.slots and self._admitted >= self.slots + self.queue:
            return await self._reject_for_room(request, writer)
        self._admitted += 1
        try:
            return await self._run_in_slot(request, writer)
        finally:
            self._admitted -= 1

    async def _wait_while_silent(self) -> None:
        await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))

    def _name_request(self, request: RawRequest) -> dict[str, str]:
        """Return the header by which a rejection names its request."""
        request_id = request.headers.get("persimmonlink-request-id")
        if request_id is None or self.faults.names_no_request:
            return {}
        return {"Persimmonlink-Request-Id": request_id}

    async def _reject_for_room(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        now = time.monotonic()
        self.rejected_at.append(now)
        headers = {
            "Persimmonlink-Not-Executed": "1",
            **self._name_request(request),
            **self._state_headers(),
        }
        writer.write(encode_response(503, headers, b""))
        recent = [at for at in self.rejected_at if at > now - 1.0]
        if self.brittle_limit and len(recent) > self.brittle_limit:
            self.fell_at.append(now)
            await self.crash()
            return False
        return True

    async def _run_in_slot(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        while self.slots and self._running >= self.slots:
            self._has_free_slot.clear()
            await self._has_free_slot.wait()
        self._running += 1
        try:
            if request.target == "/-/stage-run":
                return await self._run_pieces(request, writer)
            return await self._run(request, writer)
        finally:
            self._running -= 1
            self._has_free_slot.set()

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
        if self.faults.resets_connections:
            reset_connection(writer)
            return False
        if self.faults.withholds_responses:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                self.disconnected_ids.append(request_id)
                raise
        line = f"{request.method} {request.target}"
        if request.body in self.fatal_bodies or line in self.fatal_lines:
            await asyncio.sleep(self.work_s)
            await self.crash()
            return False
        headers = {"Persimmonlink-Request-Id": request_id, **self._state_headers()}
        if not self.faults.omits_seal:
            headers["Persimmonlink-Response-Seal"] = f"seal-{request_id}"
        if self.faults.responds_500:
            return await self._respond_whole(writer, 500, headers, b"failed")
        if "persimmonlink-model" in request.headers:
            return await self._stream(request, headers, writer)
        await asyncio.sleep(self.work_s)
        body = f"answer to {request_id}".encode()
        return await self._respond_whole(writer, 200, headers, body)

    async def _respond_whole(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        response = encode_response(status, headers, body)
        if self.faults.omits_length:
            head = response.partition(b"Content-Length")[0]
            writer.write(head + b"\r\n" + body)
            await writer.drain()
            if self.faults.ends_after_response:
                await self.crash()
            return False
        writer.write(response * (2 if self.faults.duplicates_responses else 1))
        await writer.drain()
        return True

    async def _stream(
        self, request: RawRequest, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if not self.faults.omits_length:
            lines.append("Transfer-Encoding: chunked")
        frame = bytes if self.faults.omits_length else _chunk
        is_fatal = bool(self.fatal_part_ids & set(self.runs[-1].part_ids))
        if is_fatal and self.crash_point is CrashPoint.BEFORE_HEAD:
            await self.crash()
            return False
        await asyncio.sleep(self.head_delay_s)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await asyncio.sleep(self.first_event_s)
        first_id = int(request.headers.get("last-event-id", "0")) + 1
        if is_fatal:
            await self._crash_in_stream(writer, frame, first_id)
            return False
        for event_id in range(first_id, self.event_count + 1):
            event = f"id: {event_id}\ndata: {self.version} {event_id}\n\n".encode()
            if (
                self.faults.cuts_streams_after
                and event_id > self.faults.cuts_streams_after
            ):
                writer.write(frame(event[: self.faults.cut_event_bytes]))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
                if not self.faults.closes_cut_streams_in_order:
                    reset_connection(writer)
                return False
            if 0 < self.faults.drips_streams_after < event_id:
                while True:
                    writer.write(frame(b"x"))
                    await writer.drain()
                    await asyncio.sleep(DRIP_INTERVAL_S)
            await self._wait_while_silent()
            writer.write(frame(event))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(frame(b""))
        return not self.faults.omits_length

    async def _send_without_end(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get("persimmonlink-request-id", "")
        head = (
            f"HTTP/1.1 200 OK\r\nPersimmonlink-Request-Id: {request_id}\r\n"
            f"Persimmonlink-Response-Seal: seal-{request_id}\r\n"
        ).encode()
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        start_and_repeated = {
            EndlessBytes.HEADERS: (head, b"A: b\r\n" * 4096),
            EndlessBytes.HEADER_LINE: (head + b"A: ", b"b" * 65536),
            EndlessBytes.INTERIM_RESPONSES: (
                b"",
                b"HTTP/1.1 100 Continue\r\n\r\n" * 64,
            ),
            EndlessBytes.BODY: (head + b"\r\n", b"x" * 65536),
            EndlessBytes.CHUNK_SIZE: (chunked, b"0" * 65536),
            EndlessBytes.SMALL_CHUNKS: (chunked, b"1\r\nx\r\n" * 8192),
        }
        start, repeated = start_and_repeated[self.faults.endless_bytes]
        writer.write(start)
        while True:
            writer.write(repeated)
            self.endless_bytes_sent += len(repeated)
            await writer.drain()
            # Draining alone doesn't yield while the socket takes all.
            await asyncio.sleep(0)

    async def _crash_in_stream(
        self,
        writer: asyncio.StreamWriter,
        frame: Callable[[bytes], bytes],
        event_id: int,
    ) -> None:
        if event_id > self.event_count:
            await self.crash()
            return
        event = f"id: {event_id}\ndata: {self.version} {event_id}\n\n".encode()
        if self.crash_point is CrashPoint.INSIDE_EVENT:
            writer.write(frame(event[: self.faults.cut_event_bytes]))
        elif self.crash_point is CrashPoint.AFTER_EVENT:
            writer.write(frame(event))
        await asyncio.sleep(EVENT_INTERVAL_S)
        await self.crash()

    async def _run_pieces(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        items = msgspec.json.decode(request.body)["items"]
        self.batch_sizes.append(len(items))
        self.piece_log += [(time.monotonic(), item) for item in items]
        await asyncio.sleep(self.stage_call_s)
        if self.fatal_bodies & {item.get("key", "").encode() for item in items}:
            await self.crash()
            return False
        if self.faults.resets_connections:
            reset_connection(writer)
            return False
        results = []
        for item in items:
            self.pieces.append(item)
            name = f"{item['id']}.{item['stage']}.{item['piece']}.{len(self.pieces)}"
            results.append({"handle": f"{self.address}/{name}"})
        body = msgspec.json.encode({"items": results})
        writer.write(encode_response(200, self._state_headers(), body))
        return True

    def _state_headers(self) -> dict[str, str]:
        headers = {}
        if self.faults.says_leaving:
            headers["Server-Leaving"] = "1"
        if self.rate_limit_per_s:
            headers["Server-Limit"] = str(self.rate_limit_per_s)
        if self.brittle_limit:
            headers["Server-Brittle"] = str(self.brittle_limit)
        return headers


def _list_ids(request: RawRequest) -> list[str]:
    """Return the id of a request, or the ids of the requests of its pieces."""
    if request.target == "/-/stage-run":
        return [item["id"] for item in msgspec.json.decode(request.body)["items"]]
    return [request.headers.get("persimmonlink-request-id", "")]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


__all__ = ("CrashPoint", "EndlessBytes", "RoutedServerStandIn", "Run", "ServerFaults")
