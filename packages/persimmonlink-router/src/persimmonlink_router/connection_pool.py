"""Pool of idle connections to backend servers and the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.http_client import ConnectError, HttpClientConnection
from persimmonlink_router.reach_messages import ReachState

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

    from persimmonlink_router.http_messages import HttpResponseHead
    from persimmonlink_router.wire_messages import OutboundRequest

# Servers are milliseconds away; a lost SYN is sent again only after 1 s.
CONNECT_TIMEOUT_S = 0.35
DEFAULT_IDLE_LIMIT_S = 4.0  # Longest idle time if the server states none.
# Subtracted from the idle timeout that a server states, because servers round it to
# whole seconds.
IDLE_MARGIN_S = 1.0


class ConnectionObserver(Protocol):
    """Learns which servers can be reached."""

    def record_connected(self, key: Any) -> None:
        """Record a new connection to a server."""
        ...

    def record_unreachable(self, key: Any) -> None:
        """Record that a connection to a server could not be opened."""
        ...


async def open_connection(address: str, timeout_s: float) -> HttpClientConnection:
    """Return a new connection; raise `ConnectError` if it cannot be opened."""
    connection = HttpClientConnection(address)
    await connection.connect(timeout_s)
    return connection


class ConnectionPool:
    """Idle connections by server incarnation, and the count of opened ones.

    Parameters
    ----------
    observer : ConnectionObserver or None
        Told which connections could be opened.
    """

    def __init__(self, observer: ConnectionObserver | None = None) -> None:
        self._observer = observer
        self.open_connection = open_connection
        self._idle_by_key: dict[Hashable, list[HttpClientConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self, key: Hashable, address: str, max_idle_s: float = DEFAULT_IDLE_LIMIT_S
    ) -> HttpClientConnection:
        """Return an idle or new connection.

        Raises `ConnectError` if a new one cannot be opened.
        """
        kept = self._pop_idle(key, max_idle_s)
        if kept is not None:
            return kept
        return await self.open_new(key, address)

    async def open_new(self, key: Hashable, address: str) -> HttpClientConnection:
        """Return a new connection; raise `ConnectError` if it cannot be opened."""
        try:
            connection = await self.open_connection(address, CONNECT_TIMEOUT_S)
        except ConnectError:
            if self._observer is not None:
                self._observer.record_unreachable(key)
            raise
        if self._observer is not None:
            self._observer.record_connected(key)
        self.opened_count += 1
        return connection

    def add_idle(self, key: Hashable, connection: HttpClientConnection) -> None:
        """Keep a connection on which nothing was sent."""
        connection.idle_since = boot_time()
        self._idle_by_key.setdefault(key, []).append(connection)

    def release(self, key: Hashable, connection: HttpClientConnection) -> None:
        """End the exchange of a connection and keep it if it is reusable."""
        if not connection.finish(boot_time()):
            return
        self._idle_by_key.setdefault(key, []).append(connection)

    async def exchange(
        self,
        key: Hashable,
        address: str,
        request: OutboundRequest,
        max_body_bytes: int,
        max_idle_s: float = DEFAULT_IDLE_LIMIT_S,
    ) -> tuple[HttpResponseHead, bytes]:
        """Send a request and read its complete response.

        Raises `ConnectError` or `ConnectionLostError`. The connection is kept only
        after a complete exchange.
        """
        connection = await self.acquire(key, address, max_idle_s)
        return await self.exchange_on(connection, key, request, max_body_bytes)

    async def exchange_on(
        self,
        connection: HttpClientConnection,
        key: Hashable,
        request: OutboundRequest,
        max_body_bytes: int,
    ) -> tuple[HttpResponseHead, bytes]:
        """Send a request on a connection that was acquired; see `exchange`."""
        try:
            connection.send(
                request.method, request.target, request.headers, request.body
            )
            head = await connection.read_head()
            body = await connection.read_body(max_body_bytes)
        except BaseException:
            connection.close()
            raise
        self.release(key, connection)
        return head, body

    async def check_address(
        self, address: str, timeout_s: float, hold_s: float = 0.0
    ) -> ReachState:
        """Open a connection to an address and close it; say how that went.

        Parameters
        ----------
        address : str
            `IP:PORT`.
        timeout_s : float
            Longest wait for the connection, in seconds.
        hold_s : float
            Time for which the connection must stay open, in seconds; if the server
            closes it earlier, the state is unknown.
        """
        try:
            connection = await self.open_connection(address, timeout_s)
        except ConnectError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return ReachState.REFUSED
            return ReachState.UNKNOWN
        was_held = not hold_s or await connection.stays_open(hold_s)
        connection.close()
        return ReachState.REACHED if was_held else ReachState.UNKNOWN

    def has_idle(self, key: Hashable) -> bool:
        """Whether an idle connection to a server can be reused."""
        return any(c.is_reusable for c in self._idle_by_key.get(key, ()))

    def close_idle(self, live_keys: Collection[Hashable]) -> None:
        """Close connections that were idle too long or lead to no live server."""
        now = boot_time()
        for key, connections in list(self._idle_by_key.items()):
            kept = []
            for connection in connections:
                is_fresh = now - connection.idle_since < _idle_limit_s(connection)
                if connection.is_reusable and is_fresh and key in live_keys:
                    kept.append(connection)
                    continue
                connection.close()
            if kept:
                self._idle_by_key[key] = kept
            else:
                del self._idle_by_key[key]

    def _pop_idle(
        self, key: Hashable, max_idle_s: float
    ) -> HttpClientConnection | None:
        connections = self._idle_by_key.get(key)
        now = boot_time()
        while connections:
            connection = connections.pop()
            limit_s = min(_idle_limit_s(connection), max_idle_s)
            if connection.is_reusable and now - connection.idle_since < limit_s:
                return connection
            connection.close()
        return None


def _idle_limit_s(connection: HttpClientConnection) -> float:
    if connection.idle_limit_s is None:
        return DEFAULT_IDLE_LIMIT_S
    return max(0.2, connection.idle_limit_s - IDLE_MARGIN_S)


__all__ = ("ConnectionObserver", "ConnectionPool")
