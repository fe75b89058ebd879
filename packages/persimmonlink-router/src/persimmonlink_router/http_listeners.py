"""The HTTP servers of a router, each with the address that it listens on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.http_server import HttpServer, RequestLimits

if TYPE_CHECKING:
    from persimmonlink_router.client_pressure.memory_plan import MemoryPlan
    from persimmonlink_router.http_server import Handler
    from persimmonlink_router.metrics import RouterMetrics


class HttpListeners:
    """Starts and closes HTTP servers together.

    Parameters
    ----------
    metrics : RouterMetrics or None
        Counts clients that are refused or closed, by cause.
    """

    def __init__(self, metrics: RouterMetrics | None = None) -> None:
        self._metrics = metrics
        self._addressed_servers: list[tuple[str, HttpServer]] = []

    @property
    def servers(self) -> list[HttpServer]:
        """All servers, in the order in which they were added."""
        return [server for _, server in self._addressed_servers]

    def add(
        self,
        address: str,
        handler: Handler,
        limits: RequestLimits | None = None,
        plan: MemoryPlan | None = None,
    ) -> HttpServer:
        """Return a new server, which does not listen yet.

        Parameters
        ----------
        address : str
            `IP:PORT` to listen on.
        handler : callable
            Coroutine function that serves one exchange.
        limits : RequestLimits or None
            Limits on client requests; None for the default ones.
        plan : MemoryPlan or None
            What the bytes of its clients may take; None for the default.
        """
        server = HttpServer(handler, limits or RequestLimits(), plan, self._metrics)
        self._addressed_servers.append((address, server))
        return server

    async def start(self) -> None:
        """Start to listen at all addresses."""
        for address, server in self._addressed_servers:
            host, _, port = address.rpartition(":")
            await server.start(host, int(port))

    def close(self) -> None:
        """Stop listening, and close all connections."""
        for server in self.servers:
            server.close()


__all__ = ("HttpListeners",)
