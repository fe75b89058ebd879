"""Clients that speak HTTP/2 at the peers' address of a router and behave badly."""

from __future__ import annotations

import asyncio
import struct
from contextlib import suppress

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import H2Error

CALL_PATH = "/persimmonlink.Peer/RelayRequest"
READ_BYTES = 65536
FRAME_BYTES = 16384


class PeerCaller:
    """One connection with calls whose messages stop short of their end.

    Parameters
    ----------
    address : str
        Peers' address, as `IP:PORT`.
    calls : int
        Calls at once.
    sent_bytes : int
        Bytes of its message that each of them sends.
    message_bytes : int
        Length that each message claims to have, in bytes.
    """

    def __init__(
        self, address: str, calls: int, sent_bytes: int, message_bytes: int
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._calls = calls
        self._message = struct.pack("?", False) + struct.pack(">I", message_bytes)
        self._message += bytes(sent_bytes)
        self._connection = H2Connection(H2Configuration(client_side=True))
        self._left_by_stream: dict[int, bytes] = {}

    async def run(self) -> None:
        """Send what flow control allows, and stay until the connection is closed."""
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            self._begin()
            while True:
                self._send_on()
                writer.write(self._connection.data_to_send())
                await writer.drain()
                data = await reader.read(READ_BYTES)
                if not data:
                    return
                self._connection.receive_data(data)
        finally:
            writer.close()

    def _begin(self) -> None:
        self._connection.initiate_connection()
        for _ in range(self._calls):
            stream_id = self._connection.get_next_available_stream_id()
            headers = [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", CALL_PATH),
                (":authority", "router"),
                ("te", "trailers"),
                ("content-type", "application/grpc+msgpack"),
            ]
            self._connection.send_headers(stream_id, headers)
            self._left_by_stream[stream_id] = self._message

    def _send_on(self) -> None:
        for stream_id, left in list(self._left_by_stream.items()):
            # The router may have ended the call.
            with suppress(H2Error):
                while left:
                    window = self._connection.local_flow_control_window(stream_id)
                    size = min(window, FRAME_BYTES, len(left))
                    if size <= 0:
                        break
                    self._connection.send_data(stream_id, left[:size])
                    left = left[size:]
            self._left_by_stream[stream_id] = left


async def call_again_and_again(
    address: str, calls: int, sent_bytes: int, message_bytes: int
) -> None:
    """Come back with a new connection whenever the old one is closed."""
    while True:
        caller = PeerCaller(address, calls, sent_bytes, message_bytes)
        with suppress(OSError, H2Error):
            await caller.run()
        await asyncio.sleep(0.05)


__all__ = ("call_again_and_again",)
