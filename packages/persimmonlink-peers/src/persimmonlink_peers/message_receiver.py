"""Receives the messages of peers within bounds on bytes, number and time."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

# Head of a gRPC message: whether it is compressed, and its length in bytes.
MESSAGE_HEAD = struct.Struct(">?I")
PIECE_BYTES = 65536  # Bytes of a message that are awaited at once.
MAX_UNFINISHED = 1024  # Messages that have arrived in part, of all peers.
RECEIVE_TIMEOUT_S = 5.0  # Longest time from the start of a call to its whole message.


class GrowingReservation(Protocol):
    """Memory of one message that arrives."""

    def try_resize(self, size: int) -> bool:
        """Reserve a size in bytes; return whether there is room."""
        ...


class MessageMemory(Protocol):
    """Memory that the messages which have arrived in part share."""

    def open_reservation(self) -> AbstractContextManager[GrowingReservation]:
        """Reserve bytes for a message that grows, and give them back at the end."""
        ...


class MessageReceiver:
    """Receives messages, and refuses those for which there is no room.

    Parameters
    ----------
    codec : CodecBase
        Decodes messages.
    memory : MessageMemory or None
        Bounds the bytes of messages that have arrived in part; None for no bound.
    """

    def __init__(self, codec: Any, memory: MessageMemory | None = None) -> None:
        self._codec = codec
        self._memory = memory
        self._unfinished = 0

    async def receive(self, stream: Any, message_type: type) -> Any:
        """Return the message of a call, or None if the call has none.

        Raises `GRPCError` with `RESOURCE_EXHAUSTED` if there is no room for it, with
        `DEADLINE_EXCEEDED` if it does not arrive in time, and what decoding raises.

        Parameters
        ----------
        stream : grpclib.server.Stream
            The call.
        message_type : type
            Type of the message.
        """
        if self._unfinished >= MAX_UNFINISHED:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many unfinished messages")
        self._unfinished += 1
        try:
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                data = await self._receive_bytes(stream)
        except TimeoutError as error:
            detail = "the message did not arrive in time"
            raise GRPCError(Status.DEADLINE_EXCEEDED, detail) from error
        finally:
            self._unfinished -= 1
        return None if data is None else self._codec.decode(data, message_type)

    async def _receive_bytes(self, stream: Any) -> bytes | None:
        transport_stream = stream._stream
        head = await transport_stream.recv_data(MESSAGE_HEAD.size)
        if not head:
            return None
        is_compressed, size = MESSAGE_HEAD.unpack(head)
        if is_compressed:
            raise GRPCError(Status.UNIMPLEMENTED, "the message is compressed")
        if self._memory is None:
            return await transport_stream.recv_data(size)
        with self._memory.open_reservation() as reservation:
            return await _receive_pieces(transport_stream, size, reservation)


async def _receive_pieces(
    transport_stream: Any, size: int, reservation: GrowingReservation
) -> bytes:
    """Receive a message of a size in bytes, as far as there is room for it."""
    data = bytearray()
    while len(data) < size:
        piece_bytes = min(PIECE_BYTES, size - len(data))
        if not reservation.try_resize(len(data) + piece_bytes):
            detail = f"no room for a message of {size} bytes"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, detail)
        data += await transport_stream.recv_data(piece_bytes)
    return bytes(data)


__all__ = ("MessageMemory", "MessageReceiver")
