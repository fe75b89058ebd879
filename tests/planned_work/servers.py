"""Servers that work at the pace of the sheet, and record what reached them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

import msgspec
from tests.planned_work import sheet
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
        self._arrival_by_request[id(request)] = arrival
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
        return keeps_open and not self.is_leaving

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
        self.work_s = sheet.PLAIN_WORK_S
        return await super()._run(request, writer)

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
