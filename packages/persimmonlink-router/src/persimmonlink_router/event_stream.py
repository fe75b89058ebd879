"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations


class EventSplitter:
    """Collects bytes of a stream and gives out whole events with their ids."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = b""

    def feed(self, data: bytes) -> bytes:
        """Take in bytes; return the whole events that they complete."""
        buffer = self._rest + data
        end = buffer.rfind(b"\n\n") + 2
        if end < 2:
            self._rest = buffer
            return b""
        whole, self._rest = buffer[:end], buffer[end:]
        self._note_last_id(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return what is left of the stream after its last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def _note_last_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
                return


__all__ = ("EventSplitter",)
