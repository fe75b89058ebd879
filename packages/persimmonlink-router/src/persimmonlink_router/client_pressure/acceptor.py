"""Accepts connections, a few in each turn of the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from persimmonlink_router.client_pressure.connection_limit import Room

if TYPE_CHECKING:
    import socket

    from persimmonlink_router.client_pressure.bounded_log import BoundedLog

# Connections that are accepted in one turn: others wait in the kernel, while what was
# accepted before gets its turn.
ACCEPTS_PER_TURN = 8
ROOM_WAIT_S = 0.005  # Pause until a connection may be evicted.
# Pause after an accept has failed for want of descriptors or memory.
FAILURE_PAUSE_S = 0.1


class Admission(Protocol):
    """Decides which connections are served.

    Attributes
    ----------
    log : BoundedLog
        Log of what clients cause.
    """

    log: BoundedLog

    @property
    def is_nearly_full(self) -> bool:
        """Whether there are nearly too many connections."""
        ...

    def find_room(self) -> Room:
        """Return whether there is room for the next connection."""
        ...

    def admit(self, sock: socket.socket) -> None:
        """Serve a connection, and close it in the end."""
        ...

    def refuse(self, sock: socket.socket) -> None:
        """Close a connection for which there is no room."""
        ...


class Acceptor:
    """Accepts the connections of one listening socket.

    Parameters
    ----------
    sock : socket.socket
        The socket, which listens already.
    admission : Admission
        Gets the connections.
    """

    def __init__(self, sock: socket.socket, admission: Admission) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._admission = admission
        self._resume_handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Accept connections from now on."""
        asyncio.get_running_loop().add_reader(self._sock, self._accept_some)

    def accept_waiting(self, most: int) -> None:
        """Accept the connections that wait already, `most` at most."""
        for _ in range(most):
            if not self._accept_one(self._admission.find_room()):
                break

    def close(self) -> None:
        """Stop listening."""
        if self._resume_handle is not None:
            self._resume_handle.cancel()
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()

    def _accept_some(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            room = self._admission.find_room()
            if room is Room.SOON:
                self._pause(ROOM_WAIT_S)
                return
            if not self._accept_one(room):
                return
            # One at a time then: a request that was sent at once is read before its
            # connection would be evicted, and none is evicted for nobody.
            if self._admission.is_nearly_full:
                return

    def _accept_one(self, room: Room) -> bool:
        """Accept a connection; return whether others may wait behind it."""
        try:
            accepted = self._sock.accept()[0]
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionError as error:
            # Of this connection only; others may wait behind it.
            self._admission.log.write(
                "INFO", "connection.not_accepted", error=repr(error)
            )
            return True
        except OSError as error:
            self._admission.log.write(
                "WARNING", "connection.not_accepted", error=repr(error)
            )
            self._pause(FAILURE_PAUSE_S)
            return False
        accepted.setblocking(False)
        if room is Room.FREE:
            self._admission.admit(accepted)
        else:
            self._admission.refuse(accepted)
        return True

    def _pause(self, pause_s: float) -> None:
        """Accept no more for a time, in seconds."""
        if self._sock.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        self._resume_handle = loop.call_later(pause_s, self.start)


__all__ = ("Acceptor", "Admission")
