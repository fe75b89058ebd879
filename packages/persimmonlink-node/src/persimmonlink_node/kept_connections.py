"""Idle connections of the HTTP server, and which of them are closed."""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING, Any

from cheroot.connections import ConnectionManager

if TYPE_CHECKING:
    from cheroot.server import HTTPConnection


class KeptConnections(ConnectionManager):
    """Closes idle connections, but none on which a request has arrived.

    A process that was paused, or waited for a processor, may find a connection idle for
    too long that a caller has used meanwhile.
    """

    _selector: Any

    def _expire(self, threshold: float) -> None:
        for descriptor, connection in list(self._selector.connections):
            if connection is self.server or connection.last_used >= threshold:
                continue
            if _has_data(connection):
                continue
            self._selector.unregister(descriptor)
            connection.close()


def _has_data(connection: HTTPConnection) -> bool:
    """Whether bytes wait on a connection; False also after it was closed."""
    poll = select.poll()
    poll.register(connection.socket, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return bool(connection.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        # The connection is broken, which is a reason to close it.
        return False


__all__ = ("KeptConnections",)
