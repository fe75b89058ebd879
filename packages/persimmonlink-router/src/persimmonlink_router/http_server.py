"""HTTP/1.1 server: listens, and passes the requests of its connections on."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.byte_budget import ByteBudget
from persimmonlink_router.client_pressure.acceptor import Acceptor
from persimmonlink_router.client_pressure.bounded_log import BoundedLog
from persimmonlink_router.client_pressure.connection_limit import (
    ConnectionLimit,
    Room,
)
from persimmonlink_router.client_pressure.memory_plan import MemoryPlan
from persimmonlink_router.client_pressure.stalled_clients import (
    HeldBytes,
    choose_stalled,
)
from persimmonlink_router.client_pressure.turn_gate import TurnGate
from persimmonlink_router.http_connection import HttpServerConnection
from persimmonlink_router.http_exchange import (
    BadRequestError,
    ClientDisconnectedError,
    Exchange,
    RequestLimits,
)
from persimmonlink_router.socket_options import bound_unread_bytes, reset_on_close

if TYPE_CHECKING:
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.stop_record import StopRecord

# Connections that wait to be accepted. What they have sent waits in the kernel, so that
# they are no more than may be served, or this least number.
LISTEN_BACKLOG = 512
MIN_BACKLOG = 64

Handler = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """Listens at an address and passes each request to a handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that serves one exchange.
    limits : RequestLimits
        Limits on client requests.
    plan : MemoryPlan
        What the bytes of clients may take together.
    metrics : RouterMetrics or None
        Counts clients that are refused or closed, by cause.
    """

    def __init__(
        self,
        handler: Handler,
        limits: RequestLimits,
        plan: MemoryPlan | None = None,
        metrics: RouterMetrics | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.plan = plan or MemoryPlan()
        self.body_budget = ByteBudget(
            self.plan.request_bytes, self.plan.small_request_bytes
        )
        self.turns = TurnGate()
        self.connections: set[HttpServerConnection] = set()
        # Connections that wait for their client: for its body, or for it to read.
        self.waiting_connections: set[HttpServerConnection] = set()
        self.is_stopping = False
        # Boot time from which clients that go on sending are told to leave, too.
        self.tells_all_from = math.inf
        self.log = BoundedLog(metrics)
        self._limit: ConnectionLimit[HttpServerConnection] = ConnectionLimit(
            self.plan.connections
        )
        self._acceptor: Acceptor | None = None
        self._connecting: set[asyncio.Task[object]] = set()
        self.port = 0

    @property
    def is_nearly_full(self) -> bool:
        """Whether there are nearly too many connections."""
        return self._limit.is_nearly_reached(self.connections)

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        backlog = LISTEN_BACKLOG
        if self.plan.connections is not None:
            backlog = max(MIN_BACKLOG, min(backlog, self.plan.connections))
        sock = socket.create_server((host, port), backlog=backlog)
        bound_unread_bytes(sock)
        self.port = sock.getsockname()[1]
        self._acceptor = Acceptor(sock, self)
        self._acceptor.start()

    async def stop_listening(self) -> None:
        """Accept the connections that wait for it, and stop listening."""
        if self._acceptor is None:
            return
        self._acceptor.accept_waiting(LISTEN_BACKLOG)
        self._acceptor.close()
        self._acceptor = None
        if self._connecting:
            await asyncio.wait(self._connecting)

    def find_room(self) -> Room:
        """Return whether there is room for the next connection; one may be evicted."""
        return self._limit.find_room(self.connections, boot_time())

    def admit(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""
        connection = HttpServerConnection(self)
        self.connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._connect(connection, sock))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def refuse(self, sock: socket.socket) -> None:
        """Reset an accepted connection, since requests need all others."""
        self.log.write("INFO", "connection.refused", connections=len(self.connections))
        reset_on_close(sock)
        sock.close()

    async def _connect(
        self, connection: HttpServerConnection, sock: socket.socket
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            self.connections.discard(connection)
            self.log.write("INFO", "connection.not_accepted", error=repr(error))

    def end_stalled(self, now: float) -> int:
        """End clients that make no progress if others need their room; count them.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        """
        held = [
            HeldBytes(c, c.count_held_bytes(), c.stalled_s(now))
            for c in self.waiting_connections
        ]
        chosen = choose_stalled(held, self.plan.client_bytes)
        for each in chosen:
            each.holder.end_stalled()
        if chosen:
            logger.bind(
                connections=len(chosen),
                held_bytes=sum(each.size for each in chosen),
                all_held_bytes=sum(each.size for each in held),
            ).warning("connections.stalled_ended")
        return len(chosen)

    def close_departed(self) -> None:
        """Close the connections of clients that have left while nothing is read."""
        for connection in list(self.connections):
            connection.close_if_departed()

    def count_active_requests(self) -> int:
        """Return the number of requests being read or served."""
        return sum(1 for connection in self.connections if connection.is_serving)

    def record_connections(self, record: StopRecord) -> None:
        """Add the state of each open connection to the record of a stop."""
        for connection in self.connections:
            record.add(connection.describe())

    def close_expired(self, now: float, record: StopRecord) -> None:
        """Close the connections that no client uses any more, and record them.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        record : StopRecord
            Gets the state of each one.
        """
        for connection in list(self.connections):
            if connection.is_expired(now):
                record.add(connection.describe())
                connection.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
        for connection in list(self.connections):
            connection.close()


__all__ = (
    "BadRequestError",
    "ClientDisconnectedError",
    "Exchange",
    "Handler",
    "HttpServer",
    "RequestLimits",
)
