"""Connections are accepted a few in a turn, and none is evicted for nobody."""

from __future__ import annotations

import asyncio
import socket

from persimmonlink_router.client_pressure.acceptor import ACCEPTS_PER_TURN, Acceptor
from persimmonlink_router.client_pressure.bounded_log import BoundedLog
from persimmonlink_router.client_pressure.connection_limit import Room

HOST = "127.0.0.1"


class Admission:
    """Room for some connections, and then one more for each that is evicted."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.log = BoundedLog()
        self.room = Room.FREE
        self.admitted: list[socket.socket] = []
        self.refused = 0
        self.evicted = 0

    @property
    def is_nearly_full(self) -> bool:
        return len(self.admitted) + 1 >= self._limit

    def find_room(self) -> Room:
        if len(self.admitted) < self._limit:
            return Room.FREE
        if self.room is Room.FREE:
            self.evicted += 1
            self.admitted.pop(0).close()
        return self.room

    def admit(self, sock: socket.socket) -> None:
        self.admitted.append(sock)

    def refuse(self, sock: socket.socket) -> None:
        self.refused += 1
        sock.close()


def accept(limit: int, clients: int, room: Room = Room.FREE) -> Admission:
    """Return what became of clients that connected at once."""

    async def scenario():
        admission = Admission(limit)
        admission.room = room
        listener = socket.create_server((HOST, 0))
        socks = [socket.create_connection(listener.getsockname())]
        socks += [
            socket.create_connection(listener.getsockname()) for _ in range(clients - 1)
        ]
        acceptor = Acceptor(listener, admission)
        acceptor.start()
        await asyncio.sleep(0.1)
        acceptor.close()
        for sock in [*socks, *admission.admitted]:
            sock.close()
        return admission

    return asyncio.run(scenario())


def test_none_is_evicted_while_nobody_waits():
    limit = ACCEPTS_PER_TURN - 2
    admission = accept(limit, limit)
    assert len(admission.admitted) == limit
    assert admission.evicted == 0


def test_one_is_evicted_for_each_connection_too_many():
    limit = 3
    admission = accept(limit, limit + 4)
    assert admission.evicted == 4


def test_connections_wait_while_there_will_be_room_soon():
    admission = accept(2, 6, Room.SOON)
    assert len(admission.admitted) == 2
    assert admission.refused == admission.evicted == 0


def test_connections_without_room_are_refused_at_once():
    admission = accept(2, 6, Room.NONE)
    assert admission.refused == 4
