"""Servers that end under some requests and come back under other ids."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.router.rig import Rig, add_server

if TYPE_CHECKING:
    from persimmonlink_stand_ins.routed_server import RoutedServerStandIn


@dataclass
class CrashingServers:
    """Servers of one service that end under requests with some bodies.

    Those with some methods and targets end them too, such as "GET /look/1?id=6".
    Stage servers end under pieces whose key is such a body.
    """

    rig: Rig
    service: str
    fatal_bodies: frozenset[bytes]
    restart_s: float = 0.4
    work_s: float = 0.03
    version: str = "v1"
    # Settings of the servers, also of those that start again.
    settings: dict[str, int] = field(default_factory=dict)
    fatal_lines: frozenset[str] = frozenset()
    crashed_at: list[float] = field(default_factory=list)
    _restarts: set[asyncio.Task] = field(default_factory=set)

    def arm_all(self) -> None:
        """Let all servers of the service end under such requests, and restart."""
        for server_id in list(self.rig.server_by_id):
            if server_id.startswith(self.service):
                self.arm(server_id)

    def arm(self, server_id: str) -> None:
        """Let one server end under such requests, and start again at its address."""
        server = self.rig.server_by_id[server_id]
        server.fatal_bodies = self.fatal_bodies
        server.fatal_lines = self.fatal_lines
        server.work_s = self.work_s
        server.first_event_s = self.work_s
        server.stage_call_s = max(server.stage_call_s, self.work_s)
        for name, value in self.settings.items():
            setattr(server, name, value)
        server.on_crash = lambda: self._record_crash(server_id)

    def list_servers(self) -> list[RoutedServerStandIn]:
        """Return all servers that the service has had."""
        return [
            server
            for server_id, server in self.rig.server_by_id.items()
            if server_id.startswith(self.service)
        ]

    def list_live(self) -> list[RoutedServerStandIn]:
        """Return the servers that have not ended."""
        return [server for server in self.list_servers() if not server.has_crashed]

    def list_fatal_arrivals(self, body: bytes) -> list[float]:
        """Return the times at which a fatal request, or a piece of it, was run."""
        times = []
        for server in self.list_servers():
            times += [seen.started_at for seen in server.runs if seen.body == body]
            times += [
                at
                for at, piece in server.piece_log
                if piece.get("key", "").encode() == body
            ]
        return sorted(times)

    def list_fatal_line_arrivals(self) -> list[float]:
        """Return the times at which requests with a fatal method and target ran."""
        return sorted(
            seen.started_at
            for server in self.list_servers()
            for seen in server.runs
            if f"{seen.method} {seen.target}" in self.fatal_lines
        )

    def _record_crash(self, server_id: str) -> None:
        loop = asyncio.get_running_loop()
        self.crashed_at.append(loop.time())
        task = loop.create_task(self._restart(server_id))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, server_id: str) -> None:
        port = int(self.rig.server_by_id[server_id].address.rpartition(":")[2])
        name, _, number = server_id.partition("+")
        self.rig.store.delete(f"servers/{server_id}")
        await asyncio.sleep(self.restart_s)
        next_id = f"{name}+{int(number or 0) + 1}"
        await add_server(
            self.rig,
            self.service,
            next_id,
            port=port,
            version=self.version,
            slots=self.settings.get("slots", 6),
        )
        self.arm(next_id)


__all__ = ("CrashingServers",)
