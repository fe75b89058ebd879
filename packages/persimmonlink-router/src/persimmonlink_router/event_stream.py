"""Splits a byte stream of server-sent events into complete events."""

from __future__ import annotations


class EventSplitter:
    """Buffers bytes of a stream until events are complete; tracks the last event id."""

    def __init__(self) -> None:
        self._partial = b""
        self.last_id = b""

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes; return the events that are complete now."""
        buffer = self._partial + data
        end = buffer.rfind(b"\n\n") + 2
        if end < 2:
            self._partial = buffer
            return b""
        events, self._partial = buffer[:end], buffer[end:]
        self._update_last_id(events)
        return events

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._partial)

    def pop_partial(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        partial, self._partial = self._partial, b""
        return partial

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                return


__all__ = ("EventSplitter",)
