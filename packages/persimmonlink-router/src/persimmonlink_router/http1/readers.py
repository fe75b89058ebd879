"""Readers of h11 for requests whose pieces are many, small or superfluous."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
from h11 import _readers

if TYPE_CHECKING:
    from h11._receivebuffer import ReceiveBuffer

# Empty lines before a request line that are ignored (RFC 9112, section 2.2).
MAX_EMPTY_LINES = 4
MAX_JOINED_CHUNKS = 64  # Chunks that one event holds.
# Longest line of a chunk that is joined with others, in bytes. Longer ones, which have
# extensions, are read by h11, one at a time.
MAX_JOINED_LINE_BYTES = 64
LINE_END = b"\r\n"


def read_request_head(buffer: ReceiveBuffer) -> h11.Request | None:
    """Read the head of a request; ignore a few empty lines before it."""
    _skip_empty_lines(buffer)
    if bytes(buffer._data[:2]) == b"\r":
        return None
    return _readers.maybe_read_from_IDLE_client(buffer)


def _skip_empty_lines(buffer: ReceiveBuffer) -> None:
    count = 0
    while count < MAX_EMPTY_LINES and buffer._data.startswith(
        LINE_END, len(LINE_END) * count
    ):
        count += 1
    if count:
        buffer._extract(len(LINE_END) * count)


class JoinedChunkReader(_readers.ChunkedReader):
    """Reads a body in chunks; an event holds all whole chunks that have arrived.

    An event for each of many small chunks would cost far more than their bytes.
    """

    def __call__(self, buffer: ReceiveBuffer) -> h11.Data | h11.EndOfMessage | None:
        """Return the next event, or None until more bytes arrive."""
        if self._bytes_to_discard == LINE_END and buffer._data.startswith(LINE_END):
            buffer._extract(len(LINE_END))
            self._bytes_to_discard = b""
        is_between_chunks = not (
            self._bytes_to_discard or self._bytes_in_chunk or self._reading_trailer
        )
        data = _take_whole_chunks(buffer) if is_between_chunks else b""
        if data:
            return h11.Data(data=data, chunk_start=True, chunk_end=True)
        return super().__call__(buffer)


def _take_whole_chunks(buffer: ReceiveBuffer) -> bytes:
    """Take the chunks at the start of a buffer that are whole; return their data."""
    received = buffer._data
    parts: list[bytearray] = []
    taken = 0
    while len(parts) < MAX_JOINED_CHUNKS:
        line_end = received.find(LINE_END, taken, taken + MAX_JOINED_LINE_BYTES)
        if line_end < 0:
            break
        begin = line_end + len(LINE_END)
        size = _parse_chunk_size(bytes(received[taken:begin]))
        end = begin + size
        if not size or not received.startswith(LINE_END, end):
            break
        parts.append(received[begin:end])
        taken = end + len(LINE_END)
    if taken:
        buffer._extract(taken)
    return b"".join(parts)


def _parse_chunk_size(line: bytes) -> int:
    """Return the size of a chunk, 0 for a line that h11 is to read."""
    match = _readers.chunk_header_re.fullmatch(line)
    return int(match["chunk_size"], 16) if match else 0


def install_readers() -> None:
    """Have h11 read requests, and bodies in chunks, with these readers."""
    _readers.READERS[(h11.CLIENT, h11.IDLE)] = read_request_head
    body_readers = _readers.READERS[h11.SEND_BODY]
    body_readers["chunked"] = JoinedChunkReader  # type: ignore[index]


__all__ = ("JoinedChunkReader", "install_readers", "read_request_head")
