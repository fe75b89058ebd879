"""Writes the responses of one client connection, as fast as the client reads."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import h11

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.client_pressure.client_progress import WaitsFor
from persimmonlink_router.http_exchange import BadRequestError, ClientDisconnectedError
from persimmonlink_router.socket_options import count_unacknowledged_bytes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from persimmonlink_router.client_pressure.client_progress import ClientProgress

WRITE_BUFFER_BYTES = 65536  # Bytes that wait in the process for a client to read.
WRITE_SLICE_BYTES = 32768  # Largest part of a body that is written at once.
# What a blocked response holds beside what it has written: bytes of its server.
BLOCKED_READ_BYTES = 65536
# Statuses of requests that may come again, and the time after which they may.
NOT_RUN_STATUSES = (408, 503)
RETRY_AFTER_S = 0.5


class ResponseWriter:
    """Writes h11 events, and knows what waits for the client to read.

    Parameters
    ----------
    framing : h11.Connection
        Framing of the connection.
    progress : ClientProgress
        Records that the router waits for the client to read.
    """

    def __init__(self, framing: h11.Connection, progress: ClientProgress) -> None:
        self._framing = framing
        self._progress = progress
        self._transport: asyncio.Transport | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        # Bytes of a body that are still to be written.
        self._unwritten_bytes = 0

    @property
    def is_blocked(self) -> bool:
        """Whether the client has to read before more is written."""
        return not self._can_write.is_set()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in the write buffer of the process."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held until the client reads."""
        held = self.unsent_bytes + self._unwritten_bytes
        return held + BLOCKED_READ_BYTES if self.is_blocked else held

    def attach(self, transport: asyncio.Transport) -> None:
        """Write to a transport."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def detach(self) -> None:
        """Write no more, since the connection is closed."""
        self._transport = None
        self._can_write.set()

    def pause(self) -> None:
        """Block `drain` while the write buffer is full."""
        self._can_write.clear()
        self._progress.begin(WaitsFor.READ, boot_time())

    def resume(self) -> None:
        """Unblock `drain` once the client has read enough."""
        self._progress.begin(WaitsFor.NOTHING, boot_time())
        self._can_write.set()

    def send(self, event: Any) -> None:
        """Write an h11 event; raise `ClientDisconnectedError` if the client left."""
        if self._transport is None:
            raise ClientDisconnectedError
        data = self._framing.send(event)
        if data:
            self._transport.write(data)

    def divide(self, body: bytes) -> Iterator[Any]:
        """Yield the parts in which a body is written, without a copy of the rest."""
        view = memoryview(body)
        try:
            for start in range(0, len(body), WRITE_SLICE_BYTES):
                self._unwritten_bytes = len(body) - start
                yield view[start : start + WRITE_SLICE_BYTES]
        finally:
            self._unwritten_bytes = 0

    async def drain(self, unread_s: float) -> bool:
        """Wait until the write buffer has room.

        Parameters
        ----------
        unread_s : float
            Time in which the client has to read something, in seconds.

        Returns
        -------
        bool
            False if it reads nothing in that time.
        """
        while self.is_blocked:
            before = self._count_untaken_bytes()
            try:
                async with asyncio.timeout(unread_s):
                    await self._can_write.wait()
            except TimeoutError:
                after = self._count_untaken_bytes()
                if before is not None and after is not None and after >= before:
                    return False
        return True

    @contextmanager
    def empty_buffer(self) -> Iterator[None]:
        """Let `drain` wait until the kernel has all bytes of a response."""
        transport = self._transport
        if transport is None or not self.unsent_bytes:
            yield
            return
        low, high = transport.get_write_buffer_limits()
        transport.set_write_buffer_limits(high=0)
        yield
        if self._transport is not None:
            transport.set_write_buffer_limits(high, low)

    def refuse(self, error: BadRequestError) -> None:
        """Write the response to a request that is refused, unless one has begun."""
        if self._framing.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(error).encode()
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        if error.status in NOT_RUN_STATUSES:
            headers.append((b"retry-after", str(RETRY_AFTER_S).encode()))
        self.send(h11.Response(status_code=error.status, headers=headers))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())

    def _count_untaken_bytes(self) -> int | None:
        """Return the bytes that the client has not acknowledged, None if unknown."""
        if self._transport is None:
            return None
        in_kernel = count_unacknowledged_bytes(self._transport.get_extra_info("socket"))
        return None if in_kernel is None else self.unsent_bytes + in_kernel


__all__ = ("ResponseWriter",)
