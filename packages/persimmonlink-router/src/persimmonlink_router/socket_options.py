"""Options of TCP sockets, and what the kernel holds for them."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Any

# Time after which a connection without acknowledgements is closed. It is longer than a
# sound server falls silent, and shorter than nodes may take to notice a cut. Where it
# is set it also decides when keep-alive probes give up, whatever their count.
USER_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 1  # Time without traffic after which probes are sent.
KEEPALIVE_INTERVAL_S = 1  # Interval of the probes.
KEEPALIVE_COUNT = 2  # Probes after which a connection is closed.
# States of a connection, as the kernel tells them (tcp_states.h).
TCP_CLOSE = b"\x07"
TCP_CLOSE_WAIT = b"\x08"
# Bytes of a client that the kernel receives before the process reads them; without this
# bound they grow to megabytes.
UNREAD_BYTES = 32768
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 seconds.


def reset_on_close(sock: Any) -> None:
    """Have the close of a connection reset it.

    Parameters
    ----------
    sock : socket.socket or asyncio.trsock.TransportSocket
        A TCP socket; nothing happens to a closed one.
    """
    if sock is None or sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def bound_silence(sock: socket.socket) -> None:
    """Close a connection whose other end acknowledges nothing, also without traffic."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def bound_unread_bytes(sock: socket.socket) -> None:
    """Bound what the kernel receives for the connections that a socket accepts."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)


def count_waiting_bytes(sock: Any) -> int:
    """Return the bytes that the kernel has received and the process hasn't read.

    Parameters
    ----------
    sock : socket.socket or asyncio.trsock.TransportSocket
        A TCP socket; a closed one has none.
    """
    if sock is None or sock.fileno() < 0:
        return 0
    count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    return int(struct.unpack("i", count)[0])


def count_unacknowledged_bytes(sock: Any) -> int | None:
    """Return the bytes that the other end has yet to acknowledge.

    None if the system does not tell.

    Parameters
    ----------
    sock : socket.socket or asyncio.trsock.TransportSocket
        A TCP socket; a closed one has none.
    """
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return None
    return int(struct.unpack("i", count)[0])


def has_peer_closed(sock: Any) -> bool:
    """Whether the other end has closed a connection, whatever it sent before.

    False if the system does not tell.

    Parameters
    ----------
    sock : socket.socket or asyncio.trsock.TransportSocket
        A TCP socket; a closed one counts as closed by both ends.
    """
    if sock is None or sock.fileno() < 0:
        return True
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state[:1] in (TCP_CLOSE, TCP_CLOSE_WAIT)


__all__ = (
    "USER_TIMEOUT_MS",
    "bound_silence",
    "bound_unread_bytes",
    "count_unacknowledged_bytes",
    "count_waiting_bytes",
    "has_peer_closed",
    "reset_on_close",
)
