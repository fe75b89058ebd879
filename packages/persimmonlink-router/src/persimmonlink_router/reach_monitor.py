"""Finds out when this node loses and regains its way to all servers of a service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.http_client import ConnectError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.connection_pool import ConnectionPool
    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.server_reach import ServerReach
    from persimmonlink_router.servers import Server, ServerKey

CHECK_INTERVAL_S = 0.5  # Interval of checks of an unreached service.
MAX_CHECKED_SERVERS = 3  # Servers of an unreached service that are checked each time.


class ReachMonitor:
    """Checks silent servers and unreached services by new connections.

    Parameters
    ----------
    reach : ServerReach
        What is known of each server.
    cluster_view : ClusterView
        The servers that may receive work.
    pool : ConnectionPool
        Opens the connections, and keeps them for later requests.
    metrics : RouterMetrics
        Counts checks and unreached services.
    on_change : callable
        Called without arguments when a service is no longer reached, or is again.
    """

    def __init__(
        self,
        reach: ServerReach,
        cluster_view: ClusterView,
        pool: ConnectionPool,
        metrics: RouterMetrics,
        on_change: Callable[[], None],
    ) -> None:
        self._reach = reach
        self._cluster_view = cluster_view
        self._pool = pool
        self._metrics = metrics
        self._on_change = on_change
        self._checked_at_by_service: dict[str, float] = {}
        self._lost_at_by_service: dict[str, float] = {}
        self._checked_keys: set[ServerKey] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self) -> None:
        """Start the checks that are due, and announce what has changed."""
        now = boot_time()
        servers = self._cluster_view.servers
        for key in self._reach.list_silent(now):
            server = servers.server_by_id.get(key[0])
            if server is not None and server.key == key:
                self._start_check(server)
        if not self._reach.has_unreached:
            return
        for service in self._reach.unreached_services:
            if now - self._checked_at_by_service.get(service, 0.0) < CHECK_INTERVAL_S:
                continue
            self._checked_at_by_service[service] = now
            for server in self._choose_checked(servers.list_usable(service)):
                self._start_check(server)
        self.refresh()

    def refresh(self) -> None:
        """Decide again which services are reached."""
        before = self._reach.unreached_services
        servers_by_service = self._list_servers()
        self._reach.update(servers_by_service)
        after = self._reach.unreached_services
        if before == after:
            return
        now = boot_time()
        for service in after - before:
            self._lost_at_by_service[service] = now
            servers = [s.server_id for s in servers_by_service[service]]
            logger.bind(service=service, servers=servers).warning("service.unreached")
        for service in before - after:
            lost_at = self._lost_at_by_service.pop(service, now)
            logger.bind(service=service, lost_s=round(now - lost_at, 2)).info(
                "service.reached"
            )
        if after - before:
            self._check_quiet_services(servers_by_service)
        self._metrics.set_gauge("unreached_services", len(after))
        self._on_change()

    def _check_quiet_services(
        self, servers_by_service: Mapping[str, list[Server]]
    ) -> None:
        """Check the services that nothing was heard of lately, as one was lost."""
        since = boot_time() - CHECK_INTERVAL_S
        for servers in servers_by_service.values():
            if any(self._reach.answered_since(s.key, since) for s in servers):
                continue
            for server in self._choose_checked(servers):
                self._start_check(server)

    def describe(self) -> list[dict[str, object]]:
        """Return the services that are not reached, for operators."""
        now = boot_time()
        return [
            {"service": service, "since_s": round(now - lost_at, 1)}
            for service, lost_at in sorted(self._lost_at_by_service.items())
        ]

    def _list_servers(self) -> dict[str, list[Server]]:
        servers = self._cluster_view.servers
        names = {server.service for server in servers.server_by_id.values()}
        return {name: servers.list_usable(name) for name in names}

    def _choose_checked(self, servers: list[Server]) -> Iterable[Server]:
        """Return some servers, others each time."""
        if len(servers) <= MAX_CHECKED_SERVERS:
            return servers
        first = int(boot_time() / CHECK_INTERVAL_S) * MAX_CHECKED_SERVERS
        return [
            servers[(first + offset) % len(servers)]
            for offset in range(MAX_CHECKED_SERVERS)
        ]

    def _start_check(self, server: Server) -> None:
        if server.key in self._checked_keys:
            return
        self._checked_keys.add(server.key)
        task = asyncio.get_running_loop().create_task(self._check(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, server: Server) -> None:
        was_unreached = self._reach.is_unreached(server.key)
        try:
            connection = await self._pool.open_new(server.key, server.address)
            self._pool.add_idle(server.key, connection)
            outcome = "reached"
        except ConnectError:
            outcome = "failed"
        finally:
            self._checked_keys.discard(server.key)
        self._metrics.count("server_checks_total", f'outcome="{outcome}"')
        if outcome == "failed" and not was_unreached:
            # The others of the service may be cut off as well.
            for other in self._cluster_view.servers.list_usable(server.service):
                if not self._reach.is_unreached(other.key):
                    self._start_check(other)
        self.refresh()


__all__ = ("ReachMonitor",)
