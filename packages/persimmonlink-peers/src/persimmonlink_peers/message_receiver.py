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
# Times that a message without room waits for the oldest one to give up its own.
MAX_ROOM_WAITS = 16


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
    """Receives messages; the oldest unfinished one ends if there is no room.

    A sound message arrives within a few round trips, so that those which stop short of
    their end are the oldest.

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
        # Time limits of the messages that have arrived in part, the oldest first.
        self._timeout_by_message: dict[object, asyncio.Timeout] = {}

    async def receive(self, stream: Any, message_type: type) -> Any:
        """Return the message of a call, or None if the call has none.

        Raises `GRPCError` with `RESOURCE_EXHAUSTED` if there is no room for it, with
        `DEADLINE_EXCEEDED` if it does not arrive in time or gives way to others, with
        `INVALID_ARGUMENT` if it ends early, and what decoding raises.

        Parameters
        ----------
        stream : grpclib.server.Stream
            The call.
        message_type : type
            Type of the message.
        """
        if len(self._timeout_by_message) >= MAX_UNFINISHED:
            self._end_oldest()
        message = object()
        try:
            async with asyncio.timeout(RECEIVE_TIMEOUT_S) as timeout:
                self._timeout_by_message[message] = timeout
                data = await self._receive_bytes(stream, message)
        except TimeoutError as error:
            detail = "the message did not arrive in time"
            raise GRPCError(Status.DEADLINE_EXCEEDED, detail) from error
        except AssertionError as error:
            # That is how grpclib says that a call has ended too early.
            detail = "the message ends before its length"
            raise GRPCError(Status.INVALID_ARGUMENT, detail) from error
        finally:
            self._timeout_by_message.pop(message, None)
        return None if data is None else self._codec.decode(data, message_type)

    def _end_oldest(self) -> object:
        """End the oldest message; return it."""
        message, timeout = next(iter(self._timeout_by_message.items()))
        del self._timeout_by_message[message]
        timeout.reschedule(asyncio.get_running_loop().time())
        return message

    async def _receive_bytes(self, stream: Any, message: object) -> bytes | None:
        transport_stream = stream._stream
        head = await transport_stream.recv_data(MESSAGE_HEAD.size)
        if not head:
            return None
        is_compressed, size = MESSAGE_HEAD.unpack(head)
        if is_compressed:
            raise GRPCError(Status.UNIMPLEMENTED, "the message is compressed")
        if self._memory is None:
            return await transport_stream.recv_data(size)
        data = bytearray()
        with self._memory.open_reservation() as reservation:
            while len(data) < size:
                piece_bytes = min(PIECE_BYTES, size - len(data))
                await self._reserve(reservation, len(data) + piece_bytes, message)
                data += await transport_stream.recv_data(piece_bytes)
        return bytes(data)

    async def _reserve(
        self, reservation: GrowingReservation, size: int, message: object
    ) -> None:
        """Reserve memory for a message; the oldest others end if there is none.

        Raises `GRPCError` if there is none without them, or this one is the oldest.
        """
        for _ in range(MAX_ROOM_WAITS):
            if reservation.try_resize(size):
                return
            if not self._timeout_by_message or self._end_oldest() is message:
                break
            # What has ended gives its memory back in its own turn.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        detail = f"no room for {size} bytes of a message"
        raise GRPCError(Status.RESOURCE_EXHAUSTED, detail)


__all__ = ("MessageMemory", "MessageReceiver")
