"""The operator and the platform: stops, releases, configurations, chosen by a seed."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from tests.planned_work import sheet

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from tests.planned_work.deployment import Deployment, Node

RESTART_S = 0.5  # Time between the end of a process and its next start.
READY_S = 4.0  # Time after SIGTERM by which a node is no longer ready.
READY_QUESTION_S = 0.2  # Time from one question to the next.
MAX_WORK_S = 13.0  # Longest time for which a server that leaves still ends its work.
LAST_BYTES_S = 0.2  # Time in which the last bytes of a server get out.
BREAK_OFF_SHARE = 0.5  # Share of the servers that leave and break streams off.
STORM_GAP_S = 0.33
SILENCES_S = 8.0  # Time for which servers of a service fall silent in turn.
MIN_RUNNING_NODES = 3


class Operator:
    """Plans work and does it."""

    def __init__(
        self, deployment: Deployment, rng: random.Random, *, has_kills: bool
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._has_kills = has_kills
        self._version = 7
        self._software = 1
        self._extra_prefixes: tuple[str, ...] = ()
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._releases: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Do planned work for some seconds, and end what has begun."""
        ends_at = time.monotonic() + seconds
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        while time.monotonic() < ends_at:
            await self._stop_some()
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _stop_some(self) -> None:
        """Stop up to three nodes, in series or at once, beside other work."""
        rng = self._rng
        idle = [n for n in self._deployment.nodes if n.name not in self._busy]
        count = min(rng.randint(1, 3), len(idle) - MIN_RUNNING_NODES)
        is_series = rng.random() < 0.5
        work: list[Callable[[], Awaitable[None]]] = [
            self._write_storm,
            self._release_any,
            self._remove_server,
            self._cut_watches,
            self._reload,
            self._remove_server,
            self._silence_servers,
            self._silence_servers,
        ]
        if self._has_kills:
            work += [self._kill_any, self._crash_server]
        for chosen in rng.sample(work, 2):
            self._spawn(do_later(rng.uniform(0.0, 4.0), chosen))
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        for node in rng.sample(idle, max(0, count)):
            if node.name in self._busy:
                continue
            stop = self._restart(node)
            if is_series:
                await stop
            else:
                self._spawn(stop)
            await asyncio.sleep(rng.uniform(0.2, 1.5))

    def _choose_absence_s(self) -> float:
        """Return the time from the end of a process to its next start."""
        return RESTART_S

    async def _restart(self, node: Node) -> None:
        """Stop a node by SIGTERM, kill it after its grace, and start it again."""
        self._busy.add(node.name)
        log = self._deployment.log
        log("SIGTERM", node.name)
        node.send_signal(signal.SIGTERM)
        self._spawn(self._ask_readiness(node))
        ends_at = time.monotonic() + sheet.GRACE_S
        while node.is_running() and time.monotonic() < ends_at:
            await asyncio.sleep(0.005)
        if node.is_running():
            log("grace over", node.name)
            await _kill(node)
        log("ended", node.name)
        await self._start(node)

    async def _ask_readiness(self, node: Node) -> None:
        """Ask a node that stops twice whether it is ready, as late as it may be."""
        process = node.process
        for pause_s in (READY_S - READY_QUESTION_S, READY_QUESTION_S):
            await asyncio.sleep(pause_s)
            if node.process is not process or not await self._deployment.is_ready(node):
                return
        self._deployment.log("ready in its stop", node.name)

    async def _start(self, node: Node) -> None:
        await asyncio.sleep(self._choose_absence_s())
        self._deployment.log("start", node.name)
        node.start()
        await self._deployment.wait_until_ready(node)
        self._busy.discard(node.name)

    async def _kill_any(self) -> None:
        idle = [n for n in self._deployment.nodes if n.name not in self._busy]
        if len(idle) > MIN_RUNNING_NODES:
            await self._kill_node(idle)

    async def _kill_node(self, nodes: list[Node]) -> None:
        node = self._rng.choice(nodes)
        self._busy.add(node.name)
        self._deployment.log("kill", node.name)
        await _kill(node)
        await self._start(node)

    async def _reload(self) -> None:
        for node in self._deployment.nodes:
            # A node that has just been started doesn't take the signal yet.
            if node.name in self._busy or self._rng.random() < 0.5:
                continue
            self._deployment.log("SIGHUP", node.name)
            node.send_signal(signal.SIGHUP)

    async def _cut_watches(self) -> None:
        for _ in range(self._rng.randint(1, 3)):
            self._deployment.log("watches cut", "store")
            self._deployment.store.cut_watches()
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))

    async def _silence_servers(self) -> None:
        """Let sound servers fall silent for about a second, one after another."""
        rng = self._rng
        service = rng.choice((sheet.PLAIN_SERVICE, sheet.ENGINE_SERVICE))
        ends_at = time.monotonic() + SILENCES_S
        while time.monotonic() < ends_at:
            server_id = rng.choice(self._deployment.list_servers(service))
            silence_s = rng.uniform(0.6, 1.1)
            server = self._deployment.server_by_id[server_id]
            server.silent_until = time.monotonic() + silence_s
            self._deployment.log("silence", server_id, f"{silence_s:.3f}")
            await asyncio.sleep(silence_s * rng.uniform(0.5, 1.5))

    async def _write_storm(self) -> None:
        """Write configurations in quick series, which move, add and remove routes."""
        rng = self._rng
        for _ in range(rng.randint(2, 12)):
            self._version += rng.randint(1, 3)
            if self._extra_prefixes and rng.random() < 0.5:
                self._extra_prefixes = self._extra_prefixes[1:]
            else:
                self._extra_prefixes += (f"/added-{self._version}/",)
            configuration = sheet.build_configuration(
                self._version,
                self._extra_prefixes,
                is_moved=rng.random() < 0.5,
                idle_timeout_s=self._choose_idle_timeout_s(),
            )
            self._deployment.store.put("op/config", configuration)
            self._deployment.log("configuration", str(self._version))
            await asyncio.sleep(STORM_GAP_S)

    def _choose_idle_timeout_s(self) -> float:
        """Return the idle time-out of the next configuration."""
        return sheet.IDLE_TIMEOUT_S

    async def _release_any(self) -> None:
        services = [*sheet.SERVER_COUNT_BY_SERVICE, *[sheet.ENGINE_SERVICE] * 3]
        await self._release(self._rng.choice(services))

    async def _release(self, service: str) -> None:
        """Replace the servers of a service one by one by those of a new version."""
        if service in self._releases:
            return
        self._releases.add(service)
        self._software += 1
        version = f"v{self._software}"
        for server_id in self._deployment.list_servers(service):
            server = await self._deployment.add_server(service, version)
            self._deployment.log("server added", server.server_id, version)
            self._spawn(self._leave(server_id))
            await asyncio.sleep(self._rng.uniform(0.5, 1.2))
        self._releases.discard(service)

    async def _remove_server(self) -> None:
        """Let a server leave whose service has others, and another join later."""
        servers = self._deployment.list_servers()
        server_id = self._rng.choice(servers)
        service = self._deployment.server_by_id[server_id].service
        if len(self._deployment.list_servers(service)) < 2:
            return
        version = self._deployment.server_by_id[server_id].version
        self._spawn(self._leave(server_id))
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        await self._deployment.add_server(service, version)

    async def _leave(self, server_id: str) -> None:
        """Let a server leave, announced or only by its removal, and serve on."""
        deployment = self._deployment
        server = deployment.server_by_id[server_id]
        is_announced = self._rng.random() < 0.5
        extra_s = self._rng.choice((0.2, 1.0, 4.0, 9.0))
        if self._rng.random() < 0.5:
            await self._cut_watches()
        if deployment.state_by_id[server_id] != "ready":
            return
        if is_announced:
            server.is_leaving = True
            deployment.put_server(server_id, "draining")
        else:
            deployment.delete_server(server_id)
        deployment.log("leaves", server_id, "draining" if is_announced else "removed")
        await asyncio.sleep(sheet.DRAIN_S + extra_s)
        if self._rng.random() < BREAK_OFF_SHARE:
            server.break_off()
        ends_at = time.monotonic() + MAX_WORK_S
        while server.admitted and time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
        deployment.delete_server(server_id)
        await asyncio.sleep(LAST_BYTES_S)
        await server.stop()
        deployment.log("server ended", server_id)

    async def _crash_server(self) -> None:
        server_id = self._rng.choice(self._deployment.list_servers())
        server = self._deployment.server_by_id[server_id]
        service = server.service
        if len(self._deployment.list_servers(service)) < 2:
            return
        self._deployment.log("crash", server_id)
        self._deployment.state_by_id[server_id] = "crashed"
        await server.end()
        await asyncio.sleep(sheet.CONTACT_S)
        self._deployment.delete_server(server_id)
        await self._deployment.add_server(service, server.version)


async def _kill(node: Node) -> None:
    """Kill the process of a node at once, and wait until it has ended."""
    node.send_signal(signal.SIGKILL)
    while node.is_running():
        await asyncio.sleep(0.005)


async def do_later(pause_s: float, work: Callable[[], Awaitable[None]]) -> None:
    """Do work after a pause, in seconds."""
    await asyncio.sleep(pause_s)
    await work()
