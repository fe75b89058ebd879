"""Kinds of requests, and a client's connection that carries them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11
from tests.router.rig import KEY, STAGED, STREAM

if TYPE_CHECKING:
    from tests.upgrade.node import Node

HOSTNAME = "shop.example"
DEADLINE_S = 5.0
READ_BYTES = 65536
NOT_RUN = (408, 421, 429, 503)
FATAL_PART_ID = "fa7a1"
FATAL_BODY = b"ends plain servers"


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    prefix: str
    method: str
    headers: dict[str, str] = field(default_factory=dict)
    is_repeatable: bool = False
    is_resumable: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether its responses are streams."""
        return bool(self.headers)

    @property
    def has_stages(self) -> bool:
        """Whether stages run before its response."""
        return self.headers == STAGED


KINDS = (
    Kind("/look/", "GET", is_repeatable=True),
    Kind("/book/", "POST"),
    Kind("/claim/", "POST", STREAM),
    Kind("/list/", "POST", STREAM, is_repeatable=True, is_resumable=True),
    Kind("/chain/", "POST", STAGED),
    Kind("/long/", "POST", STAGED, is_repeatable=True, is_resumable=True),
)

KIND_BY_PREFIX = {kind.prefix: kind for kind in KINDS}


@dataclass
class Attempt:
    """One client attempt: what was sent, when, and how it ended.

    `end` is `complete`, `broke off`, `gave up`, `left` or `no connection`.
    `idle_s` is the time for which its connection had been kept, in seconds, or None
    if it was new.
    """

    request_id: str
    kind: Kind
    body: bytes
    node: int = -1
    build: str = ""
    is_fatal: bool = False
    resumes: str = ""
    first_event: int = 1
    idle_s: float | None = None
    sent_at: float = 0.0
    sent_last: float = 0.0
    head_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    received: bytearray = field(default_factory=bytearray)
    end: str = ""

    @property
    def is_served(self) -> bool:
        """Whether the client got a whole response."""
        return self.status == 200 and self.end == "complete"

    def list_events(self) -> list[tuple[int, str]]:
        """Return id and software version of each whole event."""
        events = []
        for event in bytes(self.received).split(b"\n\n")[:-1]:
            lines = event.decode().split("\n")
            event_id = int(lines[0].removeprefix("id: "))
            events.append((event_id, lines[1].split()[1]))
        return events


class Connection:
    """A connection to a node, which carries one request after another."""

    def __init__(
        self, node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.node = node
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT)
        self._kept_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the node has not closed it."""
        return not self._reader.at_eof()

    async def exchange(
        self, attempt: Attempt, parts: list[bytes], leaves_after: int
    ) -> None:
        """Send a request, in chunks if it has several parts; read the response."""
        if self._kept_at is not None:
            attempt.idle_s = time.monotonic() - self._kept_at
        try:
            async with asyncio.timeout(DEADLINE_S + 0.3):
                await self._send(attempt, parts)
                await self._receive(attempt, leaves_after)
        except (h11.RemoteProtocolError, OSError):
            attempt.end = "broke off"
        except TimeoutError:
            attempt.end = "gave up"
        attempt.ended_at = time.monotonic()

    def keep(self) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        done = (h11.DONE, h11.DONE)
        if (self._parser.our_state, self._parser.their_state) != done:
            return False
        self._parser.start_next_cycle()
        self._kept_at = time.monotonic()
        return True

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _send(self, attempt: Attempt, parts: list[bytes]) -> None:
        headers = {
            "Host": HOSTNAME,
            "Persimmonlink-Request-Id": attempt.request_id,
            "Persimmonlink-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {KEY}",
            **{k.replace("_", "-"): v for k, v in attempt.kind.headers.items()},
        }
        if attempt.is_fatal and attempt.kind.is_stream:
            prompt = f"aa:30,{FATAL_PART_ID}:30,own{attempt.request_id}:40"
            headers["Persimmonlink-Prompt-Prefix"] = prompt
        if attempt.resumes:
            headers["Resumes"] = attempt.resumes
            headers["Last-Event-Id"] = str(attempt.first_event - 1)
        if len(parts) > 1:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Content-Length"] = str(len(attempt.body))
        request = h11.Request(
            method=attempt.kind.method,
            target=f"{attempt.kind.prefix}1",
            headers=list(headers.items()),
        )
        attempt.sent_at = time.monotonic()
        self._writer.write(self._parser.send(request) or b"")
        for part in parts:
            self._writer.write(self._parser.send(h11.Data(data=part)) or b"")
            if len(parts) > 1:
                await asyncio.sleep(0.02)
        self._writer.write(self._parser.send(h11.EndOfMessage()) or b"")
        attempt.sent_last = time.monotonic()
        await self._writer.drain()

    async def _receive(self, attempt: Attempt, leaves_after: int) -> None:
        while not attempt.end:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                attempt.head_at = time.monotonic()
                attempt.status = event.status_code
                attempt.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                attempt.received += event.data
                if leaves_after and attempt.received.count(b"\n\n") >= leaves_after:
                    attempt.end = "left"
            elif isinstance(event, h11.EndOfMessage):
                attempt.end = "complete"
            else:
                attempt.end = "broke off"


__all__ = (
    "FATAL_BODY",
    "FATAL_PART_ID",
    "HOSTNAME",
    "KINDS",
    "KIND_BY_PREFIX",
    "NOT_RUN",
    "Attempt",
    "Connection",
    "Kind",
)
