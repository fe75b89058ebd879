"""Splits a byte stream of server-sent events into complete events."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.byte_budget import Reservation

MAX_EVENT_BYTES = 1048576  # Largest event.
# What ends an event, for each of the line ends that server-sent events may use.
BLANK_LINES = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_BLANK_LINE_BYTES = max(len(blank_line) for blank_line in BLANK_LINES)


class EventTooLongError(Exception):
    """An event is longer than `MAX_EVENT_BYTES` and has not ended."""


class EventSplitter:
    """Buffers bytes of a stream until events are complete; tracks the last event id.

    Parameters
    ----------
    last_id : bytes
        Id of the event after which the stream goes on, empty for a new stream.
    reservation : Reservation or None
        Follows the size of an unfinished event, which shares a budget with others.
    """

    def __init__(
        self, last_id: bytes = b"", reservation: Reservation | None = None
    ) -> None:
        self._partial = bytearray()
        self._reservation = reservation
        self.last_id = last_id

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes; return the events that are complete now.

        Raises `EventTooLongError` if an event does not end, and `BudgetExhaustedError`
        if there is no room for it; `last_id` then names an event returned before.
        """
        # The bytes of before hold no blank line, but may hold the begin of one.
        start = max(0, len(self._partial) - MAX_BLANK_LINE_BYTES + 1)
        self._partial += data
        end = _find_end_of_last_event(self._partial, start)
        events = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is over {MAX_EVENT_BYTES} bytes long")
        if self._reservation is not None:
            self._reservation.resize(len(self._partial))
        self._update_last_id(events)
        return events

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._partial.strip())

    def discard_partial(self) -> None:
        """Discard the bytes after the last complete event."""
        self._partial.clear()
        if self._reservation is not None:
            self._reservation.release()

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                return


def _find_end_of_last_event(data: bytearray, start: int) -> int:
    """Return the offset behind the last blank line from `start` on, or 0 for none."""
    end = 0
    for blank_line in BLANK_LINES:
        found_at = data.rfind(blank_line, start)
        if found_at >= 0:
            end = max(end, found_at + len(blank_line))
    return end


__all__ = ("EventSplitter", "EventTooLongError")
