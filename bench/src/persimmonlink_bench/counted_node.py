"""Runs a node and counts the bytes that its sockets transfer, by port.

For measurements only: counting adds processor time to each send and receive, so
processor time is measured on nodes without it. The counts are the bytes that the
process passes to the kernel and receives from it over TCP, without TCP and IP headers.
"""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

COUNTS_SUFFIX = ".bytes.json"
WRITE_INTERVAL_S = 0.25


class CountingSocket(socket.socket):
    """A socket that adds the bytes that it transfers to the totals of its port.

    `counts_by_port` holds the bytes sent and received, in this order.
    """

    counts_by_port: dict[str, list[int]] = {}  # noqa: RUF012

    def send(self, data: Any, *args: Any) -> int:
        """Send data and count the bytes sent."""
        sent = super().send(data, *args)
        self._add_bytes(0, sent)
        return sent

    def sendall(self, data: Any, *args: Any) -> None:
        """Send all data and count its bytes."""
        super().sendall(data, *args)
        self._add_bytes(0, memoryview(data).nbytes)

    def recv(self, size: int, *args: Any) -> bytes:
        """Receive data and count its bytes."""
        data = super().recv(size, *args)
        self._add_bytes(1, len(data))
        return data

    def recv_into(self, buffer: Any, *args: Any) -> int:
        """Receive into a buffer and count the bytes received."""
        received = super().recv_into(buffer, *args)
        self._add_bytes(1, received)
        return received

    def _add_bytes(self, direction: int, byte_count: int) -> None:
        port = self.__dict__.get("counted_port") or self._port_key()
        self.counts_by_port.setdefault(port, [0, 0])[direction] += byte_count

    def _port_key(self) -> str:
        try:
            remote = self.getpeername()[1]
            local = self.getsockname()[1]
        except (OSError, IndexError):
            return "none"
        # Listening ports are below the range of ephemeral ports.
        key = f"in:{local}" if local < remote else f"out:{remote}"
        self.__dict__["counted_port"] = key
        return key


def _write_counts(path: Path) -> None:
    temporary = path.with_suffix(".tmp")
    while True:
        temporary.write_text(json.dumps(dict(CountingSocket.counts_by_port)))
        temporary.replace(path)
        time.sleep(WRITE_INTERVAL_S)


def run() -> int:
    """Run the daemon on counting sockets; write the counts beside its settings file."""
    # Must precede the import of the daemon and its libraries, so that all of them use
    # the counting socket.
    socket.socket = CountingSocket  # type: ignore[misc]
    from persimmonlink_node import run as node

    settings_path = Path(sys.argv[sys.argv.index("--settings") + 1])
    path = settings_path.with_suffix(COUNTS_SUFFIX)
    threading.Thread(target=_write_counts, args=(path,), daemon=True).start()
    return node.run()


if __name__ == "__main__":
    sys.exit(run())

__all__ = ("COUNTS_SUFFIX", "CountingSocket", "run")
