"""Servers that work at the pace of the sheet, and record what reached them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary, WeakSet

import msgspec
from tests.planned_work import sheet
from tests.planned_work.habits import Habits, ServerHabits, get_response_body
from tests.planned_work.record import Arrival

from persimmonlink_stand_ins.raw_server import (
    RawRequest,
    encode_response,
    reset_connection,
)
from persimmonlink_stand_ins.routed_server import RoutedServerStandIn

if TYPE_CHECKING:
    from typing import Any

    from tests.planned_work.record import Record

# Finds the node that holds the other end of a connection, by its port.
SenderFinder = Callable[[int, list[str]], None]

# How a server that ends its streams early does so.
ENDINGS = ("inside an event", "by a reset", "after an event")


class PacedServer(RoutedServerStandIn):
    """A server of the sheet."""

    def __init__(
        self,
        server_id: str,
        service: str,
        version: str,
        record: Record,
        find_sender: SenderFinder,
        slowness: float = 1.0,
        habits: ServerHabits | None = None,
    ) -> None:
        super().__init__(server_id, version=version)
        self.service = service
        self.started_at_ms = int(time.time() * 1000)
        self.is_leaving = False
        self._is_breaking_off = False
        self.seq = 0
        self._record = record
        self._find_sender = find_sender
        self._slowness = slowness
        self._habits = habits or ServerHabits(Habits(), random.Random(0))
        self._served_by_writer: WeakKeyDictionary[Any, int] = WeakKeyDictionary()
        self._busy_writers: WeakSet[Any] = WeakSet()
        self._senders_by_writer: WeakKeyDictionary[Any, list[str]] = WeakKeyDictionary()
        self._arrival_by_request: dict[int, Arrival] = {}
        if service == sheet.PLAIN_SERVICE:
            self.slots, self.queue = sheet.PLAIN_SLOTS, sheet.PLAIN_QUEUE
        elif service == sheet.ENGINE_SERVICE:
            self.slots, self.queue = sheet.ENGINE_SLOTS, sheet.ENGINE_QUEUE
        else:
            self.slots, self.queue = 1, 2

    @property
    def admitted(self) -> int:
        """Number of requests that run or wait."""
        return self._admitted

    async def end(self) -> None:
        """End at once and reset all connections."""
        self.has_crashed = True
        self._server.reset()

    def break_off(self) -> None:
        """End its streams at their next event, and take no new connections."""
        self._is_breaking_off = True
        self._server.stop_listening()

    async def _handle_recorded(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if request.target == "/-/stage-free":
            return await super()._handle_recorded(request, writer)
        senders = self._senders_by_writer.get(writer)
        if senders is None:
            senders = self._senders_by_writer[writer] = []
            self._find_sender(writer.get_extra_info("peername")[1], senders)
        expected = request.headers.get("persimmonlink-expect-instance")
        arrival = Arrival(
            self.server_id,
            self.service,
            self.version,
            _list_request_ids(request),
            request,
            request.head_at,
            expected not in (None, self.server_id),
            senders,
        )
        self._record.arrivals.append(arrival)
        is_plain = self.service == sheet.PLAIN_SERVICE
        if is_plain and not arrival.is_misdirected and self._habits.closes_instead():
            arrival.end = "broke off before it ran"
            return False
        self._arrival_by_request[id(request)] = arrival
        self._busy_writers.add(writer)
        try:
            keeps_open = await super()._handle_recorded(request, writer)
            if arrival.has_run and not arrival.end:
                arrival.end = "complete"
        except asyncio.CancelledError:
            arrival.end = "broke off" if self.has_crashed else "caller left"
            raise
        except ConnectionError:
            arrival.end = "broke off" if self.has_crashed else "caller left"
            raise
        finally:
            arrival.ended_at = time.monotonic()
            del self._arrival_by_request[id(request)]
            self._busy_writers.discard(writer)
            self._linger(writer)
        return keeps_open and not self.is_leaving

    def _linger(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection later that is idle until then, as far as it does so."""
        if not self._habits.linger_s:
            return
        served = self._served_by_writer[writer] = (
            self._served_by_writer.get(writer, 0) + 1
        )

        def close() -> None:
            is_idle = writer not in self._busy_writers
            if is_idle and self._served_by_writer.get(writer) == served:
                writer.close()

        asyncio.get_running_loop().call_later(self._habits.linger_s, close)

    def _state_headers(self) -> dict[str, str]:
        headers = super()._state_headers()
        if self.is_leaving:
            headers["Connection"] = "close"
        if self.service in sheet.STAGE_SERVICE_BY_NAME:
            waiting = max(0, self._admitted - self._running)
            report = f"{self._running},{waiting},{self.slots}"
            headers["Persimmonlink-Load-Report"] = report
        return headers

    async def _run(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        if request.target == "/healthz":
            headers = {"Persimmonlink-Instance-Id": self.server_id}
            status = 503 if self.is_leaving else 200
            writer.write(encode_response(status, headers, b""))
            return True
        self._arrival_by_request[id(request)].has_run = True
        self.work_s = self._habits.draw_work_s(request.target)
        return await super()._run(request, writer)

    async def _respond_whole(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        if status != 200:
            return await super()._respond_whole(writer, status, headers, body)
        request_id = headers["Persimmonlink-Request-Id"]
        is_long = self._habits.has_long_response()
        body = get_response_body(request_id, is_long=is_long)
        pauses_s = self._habits.draw_chunk_pauses_s()
        if self.faults.omits_length or not pauses_s:
            return await super()._respond_whole(writer, status, headers, body)
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        size = len(body) // len(pauses_s) + 1
        for position, pause_s in enumerate(pauses_s):
            await asyncio.sleep(pause_s)
            writer.write(_chunk(body[position * size : (position + 1) * size]))
            await writer.drain()
        writer.write(_chunk(b""))
        return True

    async def _run_pieces(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        self._arrival_by_request[id(request)].has_run = True
        spec = sheet.STAGE_SERVICE_BY_NAME[self.service]
        items = len(msgspec.json.decode(request.body)["items"])
        self.stage_call_s = spec.call_s + spec.item_s * items
        return await super()._run_pieces(request, writer)

    async def _stream(
        self, request: RawRequest, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        counts = request.headers["persimmonlink-token-count"].split(",")
        event_count = int(counts[1]) // sheet.TOKENS_PER_EVENT
        own_part = self.runs[-1].part_ids[-1]
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        is_unframed = self.faults.omits_length
        if not is_unframed:
            head.append("Transfer-Encoding: chunked")
        await asyncio.sleep(int(counts[0]) / sheet.PROMPT_TOKENS_PER_S)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first_id = int(request.headers.get("last-event-id", "0")) + 1
        for event_id in range(first_id, event_count + 1):
            step_s = sheet.STEP_S + sheet.STEP_PER_RUN_S * self._running
            await asyncio.sleep(step_s * sheet.TOKENS_PER_EVENT * self._slowness)
            await self._wait_while_silent()
            text = f"{self.version} {event_id} {own_part} {'.' * 40}"
            event = f"id: {event_id}\ndata: {text}\n\n".encode()
            if self._is_breaking_off:
                ending = ENDINGS[event_id % len(ENDINGS)]
                self._arrival_by_request[id(request)].end = f"broke off {ending}"
                if ending == "inside an event":
                    writer.write((event if is_unframed else _chunk(event))[:20])
                elif ending == "by a reset":
                    reset_connection(writer)
                return False
            writer.write(event if is_unframed else _chunk(event))
            await writer.drain()
        if not is_unframed:
            writer.write(_chunk(b""))
        return not is_unframed


def _list_request_ids(request: RawRequest) -> tuple[str, ...]:
    if request.target == "/-/stage-run":
        items = msgspec.json.decode(request.body)["items"]
        return tuple(sorted({item["id"] for item in items}))
    request_id = request.headers.get("persimmonlink-request-id")
    return () if request_id is None else (request_id,)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"
