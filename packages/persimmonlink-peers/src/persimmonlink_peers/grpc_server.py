"""gRPC server that knows its connections, and closes them when it stops."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, cast

from grpclib import protocol as grpc_protocol
from grpclib.server import Server
from h2.connection import H2Connection
from h2.settings import SettingCodes

if TYPE_CHECKING:
    from grpclib.protocol import H2Protocol

# Calls of one peer at a time; further ones wait at the peer until others have ended.
MAX_CALLS_PER_CONNECTION = 10000
# Time without a whole message, or since the last bytes of a connection that has brought
# one, after which it may be evicted.
MIN_SILENCE_S = 0.5


class PeerConnection(H2Connection):
    """Connection that states from its first frame on how many calls it takes.

    That of h2 takes 100, behind which short calls would wait for long ones.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.local_settings[SettingCodes.MAX_CONCURRENT_STREAMS] = (
            MAX_CALLS_PER_CONNECTION
        )
        self.local_settings.acknowledge()


grpc_protocol.H2Connection = PeerConnection  # type: ignore[misc]


class GrpcServer(Server):
    """Server whose connections can be ended and closed.

    That of grpclib leaves them open as it is closed, and serves calls on them.

    Parameters
    ----------
    max_connections : int or None
        Most connections at once; None for no limit.
    """

    def __init__(
        self, *args: Any, max_connections: int | None = None, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._max_connections = max_connections
        self._connections: set[_OpenConnection] = set()
        self._connection_by_address: dict[Any, _OpenConnection] = {}

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open."""
        return bool(self._connections)

    def end_connections(self) -> None:
        """Send what is written, then the end of the connection, to all peers.

        A peer that has read it closes the connection. To close it here before that may
        discard bytes that the peer has not read.
        """
        for connection in list(self._connections):
            connection.end()

    def close_connections(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()

    def record_message(self, address: Any) -> None:
        """Record that a whole message has come from the address of a connection."""
        connection = self._connection_by_address.get(address)
        if connection is not None:
            connection.has_brought_message = True

    def add(self, connection: _OpenConnection) -> bool:
        """Add a new connection; return whether there is room for it.

        In place of one too many, one that has brought no whole message is closed, or
        else the one that has been without calls for longest.
        """
        is_full = (
            self._max_connections is not None
            and len(self._connections) >= self._max_connections
        )
        if is_full:
            now = time.monotonic()
            spare = [c for c in self._connections if c.can_be_evicted(now)]
            chosen = min(
                spare,
                key=lambda c: (c.has_brought_message, c.active_at),
                default=None,
            )
            if chosen is None:
                return False
            self.discard(chosen)
            chosen.abort()
        self._connections.add(connection)
        self._connection_by_address[connection.address] = connection
        return True

    def discard(self, connection: _OpenConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)
        if self._connection_by_address.get(connection.address) is connection:
            del self._connection_by_address[connection.address]

    def _protocol_factory(self) -> Any:
        return _OpenConnection(super()._protocol_factory(), self)


class _OpenConnection(asyncio.Protocol):
    """Passes the events of a connection on, until it is ended here.

    Parameters
    ----------
    protocol : H2Protocol
        Gets the events.
    server : GrpcServer
        Knows all open connections.
    """

    def __init__(self, protocol: H2Protocol, server: GrpcServer) -> None:
        self._protocol = protocol
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._has_ended = False
        self.address: Any = None
        self.opened_at = self.active_at = time.monotonic()
        self.has_brought_message = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)
        self.address = transport.get_extra_info("peername")
        if not self._server.add(self):
            self.abort()
            return
        self._protocol.connection_made(transport)

    def can_be_evicted(self, now: float) -> bool:
        """Whether the connection may be closed for a new one.

        One that has brought no whole message may, whatever else it sends.
        """
        if not self.has_brought_message:
            return now - self.opened_at >= MIN_SILENCE_S
        is_silent = now - self.active_at >= MIN_SILENCE_S
        return is_silent and not self._protocol.processor.streams

    def data_received(self, data: bytes) -> None:
        self.active_at = time.monotonic()
        if not self._has_ended:
            self._protocol.data_received(data)

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.discard(self)
        if hasattr(self._protocol, "connection"):
            self._protocol.connection_lost(exc)

    def end(self) -> None:
        """Send what is written and the end; ignore what the peer sends."""
        self._has_ended = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    def abort(self) -> None:
        """Reset the connection."""
        self._has_ended = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection."""
        self._has_ended = True
        if self._transport is not None:
            self._transport.close()


__all__ = ("GrpcServer",)
