"""A client's connection, by its framing alone."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

import h11
from tests.planned_work.sheet import IDLE_TIMEOUT_S

if TYPE_CHECKING:
    from tests.planned_work.record import Attempt

KEPT_SHARE = 0.8  # Share of a connection's idle timeout for which it is used again.
READ_BYTES = 65536
_numbers = itertools.count(1)


class Connection:
    """A connection of a client, which carries one request after another."""

    def __init__(
        self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.node = node
        self.number = next(_numbers)
        self.position = 0
        self.kept_until = 0.0
        self.previous_head_at = 0.0
        self.previous_closes = False
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT)

    def is_usable(self) -> bool:
        """Whether another request may be sent on it now."""
        return not self._reader.at_eof() and time.monotonic() < self.kept_until

    async def exchange(
        self, attempt: Attempt, pieces: list[tuple[bytes, float]], gap_s: float
    ) -> None:
        """Send a request, in pieces with pauses, and read the response."""
        attempt.connection = self.number
        attempt.position = self.position
        attempt.is_kept = self.position > 0
        attempt.previous_head_at = self.previous_head_at
        attempt.previous_closes = self.previous_closes
        self.position += 1
        try:
            await self._send(attempt, pieces)
            await self._receive(attempt, gap_s)
        except h11.RemoteProtocolError as error:
            attempt.end = "closed" if self._reader.at_eof() else f"malformed: {error}"
        except TimeoutError:
            attempt.end = "gave up"
        except OSError:
            attempt.end = "reset"
        finally:
            attempt.ended_at = time.monotonic()
        self.previous_head_at = attempt.head_at
        connection = attempt.response_headers.get("connection", "")
        self.previous_closes = "close" in connection.lower()

    def keep(self, attempt: Attempt) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        done = (h11.DONE, h11.DONE)
        if (self._parser.our_state, self._parser.their_state) != done:
            return False
        if not attempt.is_complete or self.previous_closes:
            return False
        self._parser.start_next_cycle()
        named = attempt.response_headers.get("keep-alive", "").partition("timeout=")[2]
        idle_s = float(named.partition(",")[0]) if named else IDLE_TIMEOUT_S
        self.kept_until = time.monotonic() + KEPT_SHARE * idle_s
        return True

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _send(self, attempt: Attempt, pieces: list[tuple[bytes, float]]) -> None:
        request = h11.Request(
            method=attempt.entry.method,
            target=attempt.path,
            headers=list(attempt.headers.items()),
        )
        attempt.sent_first = time.monotonic()
        data = self._parser.send(request) or b""
        for piece, pause_s in pieces:
            if pause_s:
                self._writer.write(data)
                data = b""
                await asyncio.sleep(pause_s)
            data += self._parser.send(h11.Data(data=piece)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        attempt.sent_last = time.monotonic()
        await self._writer.drain()

    async def _receive(self, attempt: Attempt, gap_s: float) -> None:
        while not attempt.end:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(gap_s):
                    data = await self._reader.read(READ_BYTES)
                self._parser.receive_data(data)
            elif isinstance(event, h11.Response):
                attempt.head_at = time.monotonic()
                attempt.status = event.status_code
                attempt.response_headers = {
                    k.decode().lower(): v.decode() for k, v in event.headers
                }
            elif isinstance(event, h11.Data):
                attempt.received += event.data
            elif isinstance(event, h11.EndOfMessage):
                attempt.end = "complete"
            elif isinstance(event, h11.ConnectionClosed):
                attempt.end = "closed"
