"""A TCP relay that can drop traffic of open connections while new ones work."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

READ_SIZE_BYTES = 65536


class _RelayedConnection:
    """A relayed connection: the client's socket and the socket to the target."""

    def __init__(
        self, client_socket: socket.socket, server_socket: socket.socket
    ) -> None:
        self.is_silent = False
        self.client_socket = client_socket
        self.server_socket = server_socket

    def close(self) -> None:
        for sock in (self.client_socket, self.server_socket):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class SilentRelay:
    """Relays TCP connections and can silently drop their data in both directions.

    Parameters
    ----------
    target : str
        `IP:PORT` that connections are relayed to.
    port : int
        Port to listen on; 0 selects any free port.
    """

    def __init__(self, target: str, port: int = 0) -> None:
        host, _, target_port = target.rpartition(":")
        self._target = (host, int(target_port))
        self._listener = socket.create_server(("127.0.0.1", port), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted_connections = 0
        self.relayed_bytes = 0
        self._is_blocked = False
        self._lock = threading.Lock()
        self._connections: list[_RelayedConnection] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Drop all further data on the connections open now."""
        with self._lock:
            for connection in self._connections:
                connection.is_silent = True

    def block(self) -> None:
        """Drop the data of open connections, and of new ones until `unblock`."""
        self._is_blocked = True
        self.silence()

    def unblock(self) -> None:
        """Let new connections work; silenced ones stay silenced."""
        self._is_blocked = False

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        with self._lock:
            for connection in self._connections:
                connection.close()

    def _accept(self) -> None:
        while True:
            try:
                client_socket, _ = self._listener.accept()
            except OSError:
                return
            try:
                server_socket = socket.create_connection(self._target, 1)
            except OSError:
                client_socket.close()
                continue
            server_socket.settimeout(None)
            for sock in (client_socket, server_socket):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _RelayedConnection(client_socket, server_socket)
            with self._lock:
                connection.is_silent = self._is_blocked
                self._connections.append(connection)
                self.accepted_connections += 1
            for source, sink in (
                (client_socket, server_socket),
                (server_socket, client_socket),
            ):
                threading.Thread(
                    target=self._relay, args=(connection, source, sink), daemon=True
                ).start()

    def _relay(
        self, connection: _RelayedConnection, source: socket.socket, sink: socket.socket
    ) -> None:
        with suppress(OSError):
            while data := source.recv(READ_SIZE_BYTES):
                if connection.is_silent:
                    continue
                sink.sendall(data)
                self.relayed_bytes += len(data)
        # The close of a silenced connection is not passed on to the other end.
        if not connection.is_silent:
            connection.close()
