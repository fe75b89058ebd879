"""A TCP relay whose connections can be closed and refused on demand."""

from __future__ import annotations

import contextlib
import socket
import threading


class Relay:
    """Forwards connections to a server until they are disconnected.

    Parameters
    ----------
    target : str
        Server as `IP:PORT`.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._is_disconnected = False
        self._sockets: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def disconnect(self) -> None:
        """Close all connections, and new ones as soon as they are accepted."""
        self._is_disconnected = True
        for open_socket in self._sockets:
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)

    def restore(self) -> None:
        """Forward new connections again."""
        self._is_disconnected = False

    def _accept(self) -> None:
        while True:
            client_socket, _ = self._listener.accept()
            if self._is_disconnected:
                client_socket.close()
                continue
            server_socket = socket.create_connection(self._target)
            self._sockets += [client_socket, server_socket]
            for pair in (
                (client_socket, server_socket),
                (server_socket, client_socket),
            ):
                threading.Thread(target=self._forward, args=pair, daemon=True).start()

    @staticmethod
    def _forward(source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_RDWR)


__all__ = ("Relay",)
