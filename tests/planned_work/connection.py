"""A client's connection, by its framing alone."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

import h11
from tests.planned_work.sheet import IDLE_TIMEOUT_S

if TYPE_CHECKING:
    from tests.planned_work.distant_stream import DistantStream
    from tests.planned_work.habits import Sending
    from tests.planned_work.record import Attempt

KEPT_SHARE = 0.8  # Share of a connection's idle timeout for which it is used again.
READ_BYTES = 65536
CONTINUE_S = 1.0  # Longest wait for the leave to send a body.
TRAILERS = [("X-Parts", "all")]
_numbers = itertools.count(1)


class Connection:
    """A connection of a client, which carries one request after another."""

    def __init__(self, node: str, stream: DistantStream) -> None:
        self.node = node
        self.number = next(_numbers)
        self.position = 0
        self.kept_until = 0.0
        self.previous_head_at = 0.0
        self.previous_closes = False
        self._stream = stream
        self._has_ended = False
        self._parser = h11.Connection(h11.CLIENT)

    def is_usable(self) -> bool:
        """Whether another request may be sent on it now."""
        return not self._stream.at_eof() and time.monotonic() < self.kept_until

    async def exchange(self, attempt: Attempt, sending: Sending, gap_s: float) -> None:
        """Send a request, in parts with pauses, and read the response."""
        attempt.connection = self.number
        attempt.position = self.position
        attempt.is_kept = self.position > 0
        attempt.previous_head_at = self.previous_head_at
        attempt.previous_closes = self.previous_closes
        self.position += 1
        try:
            await self._send(attempt, sending)
            await self._receive(attempt, gap_s)
        except h11.RemoteProtocolError as error:
            attempt.end = "closed" if self._has_ended else f"malformed: {error}"
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
        self._stream.close()

    async def _send(self, attempt: Attempt, sending: Sending) -> None:
        request = h11.Request(
            method=attempt.entry.method,
            target=attempt.path,
            headers=list(attempt.headers.items()),
        )
        attempt.sent_first = time.monotonic()
        data = self._parser.send(request) or b""
        begin = 0
        size = len(data)
        for share, pause_s in sending.head_parts:
            end = int(share * size)
            if end > begin:
                self._stream.write(data[: end - begin])
                data = data[end - begin :]
                begin = end
                await asyncio.sleep(pause_s)
        if "Expect" in attempt.headers:
            self._stream.write(data)
            data = b""
            if not await self._may_go_on(attempt):
                attempt.sent_last = time.monotonic()
                return
        for piece, pause_s in sending.body_parts:
            if pause_s:
                if data:
                    self._stream.write(data)
                data = b""
                await asyncio.sleep(pause_s)
            data += self._parser.send(h11.Data(data=piece)) or b""
        trailers = TRAILERS if sending.has_trailers else []
        data += self._parser.send(h11.EndOfMessage(headers=trailers)) or b""
        if data:
            self._stream.write(data)
        attempt.sent_last = time.monotonic()
        await self._stream.drain()

    async def _may_go_on(self, attempt: Attempt) -> bool:
        """Wait for the leave to send a body; return whether no response came first."""
        ends_at = time.monotonic() + CONTINUE_S
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.InformationalResponse):
                return True
            if event is not h11.NEED_DATA:
                self._note(event, attempt)
                return False
            try:
                async with asyncio.timeout(max(0.0, ends_at - time.monotonic())):
                    data = await self._stream.read(READ_BYTES)
            except TimeoutError:
                return True
            self._has_ended = not data
            self._parser.receive_data(data)

    async def _receive(self, attempt: Attempt, gap_s: float) -> None:
        while not attempt.end:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(gap_s):
                    data = await self._stream.read(READ_BYTES)
                self._has_ended = not data
                self._parser.receive_data(data)
            else:
                self._note(event, attempt)

    def _note(self, event: Any, attempt: Attempt) -> None:
        if isinstance(event, h11.Response):
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
