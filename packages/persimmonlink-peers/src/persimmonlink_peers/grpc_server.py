"""gRPC server that knows its connections, and closes them when it stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from grpclib import protocol as grpc_protocol
from grpclib.server import Server
from h2.connection import H2Connection
from h2.settings import SettingCodes

if TYPE_CHECKING:
    from grpclib.protocol import H2Protocol

# Calls of one peer at a time; further ones wait at the peer until others have ended.
MAX_CALLS_PER_CONNECTION = 10000


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
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._connections: set[_OpenConnection] = set()

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

    def _protocol_factory(self) -> Any:
        return _OpenConnection(super()._protocol_factory(), self._connections)


class _OpenConnection(asyncio.Protocol):
    """Passes the events of a connection on, until it is ended here.

    Parameters
    ----------
    protocol : H2Protocol
        Gets the events.
    connections : set of _OpenConnection
        All open connections.
    """

    def __init__(self, protocol: H2Protocol, connections: set[_OpenConnection]) -> None:
        self._protocol = protocol
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)
        self._connections.add(self)
        self._protocol.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if not self._has_ended:
            self._protocol.data_received(data)

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._protocol.connection_lost(exc)

    def end(self) -> None:
        """Send what is written and the end; ignore what the peer sends."""
        self._has_ended = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection."""
        self._has_ended = True
        if self._transport is not None:
            self._transport.close()


__all__ = ("GrpcServer",)
