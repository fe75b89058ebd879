"""Reads of connections in pieces of a bounded size."""

from __future__ import annotations

import asyncio
import threading

READ_BYTES = 32768  # Most bytes that are read from a connection at once.
# Bytes that were received and not yet read, at which a connection receives no more.
READ_PAUSE_BYTES = 32768


class _ReadBuffer(threading.local):
    """Where the event loop of a thread receives, one connection at a time."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BYTES))


_read_buffer = _ReadBuffer()


class BoundedReads(asyncio.BufferedProtocol):
    """Gets at most `READ_BYTES` at once, where asyncio by default reads 256 KB.

    Connections whose bytes wait for somebody hold what they got, so that the size of a
    read bounds the memory of many of them.
    """

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to put the next bytes."""
        return _read_buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on."""
        self.data_received(bytes(_read_buffer.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError


__all__ = ("READ_BYTES", "READ_PAUSE_BYTES", "BoundedReads")
