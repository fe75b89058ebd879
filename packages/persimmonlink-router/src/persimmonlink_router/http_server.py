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
from persimmonlink_router.client_pressure.memory_plan import MemoryPlan
from persimmonlink_router.client_pressure.stalled_clients import (
    STALLED_S,
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

if TYPE_CHECKING:
    from persimmonlink_router.stop_record import StopRecord

LISTEN_BACKLOG = 512  # Connections that wait to be accepted.

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
    """

    def __init__(
        self, handler: Handler, limits: RequestLimits, plan: MemoryPlan | None = None
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
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._server = await loop.create_server(
            lambda: HttpServerConnection(self),
            sock=self._socket,
            backlog=LISTEN_BACKLOG,
        )

    async def stop_listening(self) -> None:
        """Accept the connections that wait for it, and stop listening."""
        if self._server is None or self._socket is None:
            return
        accepted = []
        for _ in range(LISTEN_BACKLOG):
            try:
                accepted.append(self._socket.accept()[0])
            except BlockingIOError:
                break
            except ConnectionError as error:
                # Of this connection only; others may wait behind it.
                logger.bind(error=repr(error)).info("connection.not_accepted")
            except OSError as error:
                logger.bind(error=repr(error)).warning("connection.not_accepted")
                break
        self._server.close()
        self._socket = None
        loop = asyncio.get_running_loop()
        for sock in accepted:
            sock.setblocking(False)
            await loop.connect_accepted_socket(lambda: HttpServerConnection(self), sock)

    def admit(self, connection: HttpServerConnection) -> bool:
        """Add a new connection; return whether there is room for it.

        In place of one too many, the connection that has been idle for longest is
        closed.
        """
        limit = self.plan.connections
        if limit is not None and len(self.connections) >= limit:
            idle = [c for c in self.connections if not c.is_serving]
            oldest = min(idle, key=lambda c: c.use.active_at, default=None)
            if oldest is None or boot_time() - oldest.use.active_at < STALLED_S:
                logger.bind(connections=len(self.connections)).info(
                    "connection.refused"
                )
                return False
            oldest.close()
        self.connections.add(connection)
        return True

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
        if self._server is not None:
            self._server.close()
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
