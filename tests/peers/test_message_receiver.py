"""Messages of peers that are too many, too long or too slow are refused."""

from __future__ import annotations

import asyncio
import struct
from contextlib import contextmanager
from types import SimpleNamespace

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from persimmonlink_peers import message_receiver
from persimmonlink_peers.message_receiver import PIECE_BYTES, MessageReceiver


class Memory:
    """Memory of a size that all messages share."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0

    @contextmanager
    def open_reservation(self):
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            self.used -= reservation.used


class Reservation:
    def __init__(self, memory: Memory) -> None:
        self._memory = memory
        self.used = 0

    def try_resize(self, size: int) -> bool:
        if self._memory.used + size - self.used > self._memory.size:
            return False
        self._memory.used += size - self.used
        self.used = size
        return True


class Call:
    """A call that has brought some bytes, of which the rest never comes."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._stream = self

    async def recv_data(self, size: int) -> bytes:
        if len(self._data) < size:
            await asyncio.Event().wait()
        data, self._data = self._data[:size], self._data[size:]
        return data


def build(body: bytes, size: int | None = None, *, is_compressed=False) -> Call:
    size = len(body) if size is None else size
    return Call(struct.pack(">?I", is_compressed, size) + body)


CODEC = SimpleNamespace(decode=lambda data, _type: data)


def test_a_message_in_several_pieces_is_received_and_its_memory_given_back():
    memory = Memory(10 * PIECE_BYTES)
    body = bytes(range(256)) * (3 * PIECE_BYTES // 256) + b"end"
    receiver = MessageReceiver(CODEC, memory)
    assert asyncio.run(receiver.receive(build(body), bytes)) == body
    assert memory.used == 0


def test_an_empty_message_is_received():
    receiver = MessageReceiver(CODEC, Memory(10))
    assert asyncio.run(receiver.receive(build(b""), bytes)) == b""


def receive_refused(receiver: MessageReceiver, call: Call) -> Status:
    with pytest.raises(GRPCError) as caught:
        asyncio.run(receiver.receive(call, bytes))
    return caught.value.status


def test_a_message_without_room_is_refused_before_it_has_arrived():
    memory = Memory(2 * PIECE_BYTES)
    call = build(bytes(3 * PIECE_BYTES), 1_000_000_000)
    status = receive_refused(MessageReceiver(CODEC, memory), call)
    assert status is Status.RESOURCE_EXHAUSTED
    assert memory.used == 0


def test_a_message_that_stops_short_of_its_end_is_refused(monkeypatch):
    monkeypatch.setattr(message_receiver, "RECEIVE_TIMEOUT_S", 0.05)
    memory = Memory(2 * PIECE_BYTES)
    status = receive_refused(MessageReceiver(CODEC, memory), build(b"x", 100))
    assert status is Status.DEADLINE_EXCEEDED
    assert memory.used == 0


def start_unfinished(receiver: MessageReceiver, count: int, body: bytes):
    return [
        asyncio.create_task(receiver.receive(build(body, 10 * len(body)), bytes))
        for _ in range(count)
    ]


async def count_ended(tasks) -> int:
    for _ in range(4):
        await asyncio.sleep(0)
    ended = [task for task in tasks if task.done()]
    for task in ended:
        assert task.exception().status is Status.DEADLINE_EXCEEDED
    return len(ended)


def test_a_sound_message_ends_the_oldest_of_too_many_unfinished_ones(monkeypatch):
    monkeypatch.setattr(message_receiver, "MAX_UNFINISHED", 2)
    receiver = MessageReceiver(CODEC)

    async def scenario():
        slow = start_unfinished(receiver, 2, b"x")
        await asyncio.sleep(0)
        assert await receiver.receive(build(b"sound"), bytes) == b"sound"
        assert await count_ended(slow) == 1
        assert slow[0].done()
        for task in slow:
            task.cancel()
        await asyncio.gather(*slow, return_exceptions=True)

    asyncio.run(scenario())


def test_a_sound_message_gets_the_memory_of_the_oldest_unfinished_one():
    memory = Memory(3 * PIECE_BYTES)
    receiver = MessageReceiver(CODEC, memory)

    async def scenario():
        slow = start_unfinished(receiver, 3, bytes(PIECE_BYTES // 2))
        await asyncio.sleep(0)
        assert memory.used == memory.size
        body = bytes(PIECE_BYTES)
        assert await receiver.receive(build(body), bytes) == body
        assert await count_ended(slow) == 1
        assert slow[0].done()
        for task in slow:
            task.cancel()
        await asyncio.gather(*slow, return_exceptions=True)
        assert memory.used == 0

    asyncio.run(scenario())


def test_a_message_that_ends_before_its_length_is_refused():
    class EndedCall(Call):
        async def recv_data(self, size: int) -> bytes:
            if len(self._data) < size:
                raise AssertionError("Received less data than expected")
            return await super().recv_data(size)

    call = EndedCall(struct.pack(">?I", False, 100) + b"x")
    status = receive_refused(MessageReceiver(CODEC, Memory(PIECE_BYTES)), call)
    assert status is Status.INVALID_ARGUMENT


def test_a_compressed_message_is_refused():
    status = receive_refused(MessageReceiver(CODEC), build(b"x", is_compressed=True))
    assert status is Status.UNIMPLEMENTED
