"""HTTP connections that detect dead peers and never retry automatically."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass, field
from threading import Lock

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.connection import HTTPConnection

from persimmonlink_interfaces.bounded_response import BoundedConnectionPool

CONNECT_TIMEOUT_S = 0.5
POOL_IDLE_TIMEOUT_S = 5.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 10_000

# Make the kernel close a connection whose remote host vanished without a FIN or RST.
KEEPALIVE_SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]
SOCKET_OPTIONS = [*HTTPConnection.default_socket_options, *KEEPALIVE_SOCKET_OPTIONS]


def create_pool(address: str, *, size: int = 1) -> HTTPConnectionPool:
    """Return a pool of connections to one address, without automatic retries.

    Parameters
    ----------
    address : str
        `IP:PORT`.
    size : int
        Number of idle connections to keep.
    """
    host, _, port = address.rpartition(":")
    return BoundedConnectionPool(
        host,
        int(port),
        maxsize=size,
        block=False,
        retries=False,
        socket_options=SOCKET_OPTIONS,
    )


def create_timeout(read_timeout_s: float) -> Timeout:
    """Return a timeout for connecting and for each read.

    Connecting is limited to `CONNECT_TIMEOUT_S` even if `read_timeout_s` is longer.
    """
    return Timeout(connect=min(CONNECT_TIMEOUT_S, read_timeout_s), read=read_timeout_s)


@dataclass
class ConnectionPools:
    """Connection pools by address, each replaced after a short idle time.

    A connection whose network path is lost stays silent without an error, so idle
    connections are not reused for long.

    Parameters
    ----------
    size : int
        Number of idle connections to keep for each address.
    idle_timeout_s : float
        Seconds after which an unused pool is closed and replaced.
    """

    size: int = 16
    idle_timeout_s: float = POOL_IDLE_TIMEOUT_S
    _pool_by_address: dict[str, HTTPConnectionPool] = field(default_factory=dict)
    _used_at_by_address: dict[str, float] = field(default_factory=dict)
    _lock: Lock = field(default_factory=Lock)

    def get(self, address: str) -> HTTPConnectionPool:
        """Return the pool of an address; replace it if it was idle too long."""
        now = time.monotonic()
        with self._lock:
            pool = self._pool_by_address.get(address)
            idle_s = now - self._used_at_by_address.get(address, now)
            if pool is not None and idle_s > self.idle_timeout_s:
                pool.close()
                pool = None
            if pool is None:
                pool = create_pool(address, size=self.size)
                self._pool_by_address[address] = pool
            self._used_at_by_address[address] = now
            return pool

    def drop(self, address: str) -> None:
        """Close the pool of an address after one of its connections failed."""
        with self._lock:
            pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            pool.close()


__all__ = (
    "KEEPALIVE_SOCKET_OPTIONS",
    "ConnectionPools",
    "create_pool",
    "create_timeout",
)
