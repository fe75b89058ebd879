"""Servers that write heartbeats and leave, and the requests that come too late."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from tests.router.process_rig import ProcessRig
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    add_server,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from persimmonlink_stand_ins.routed_server import RoutedServerStandIn

DRAIN_S = 2.0  # Time from the store's response by which no request may arrive.
CONTACT_S = 3.0  # Time after a signal or a start in which a node is not bound.
SERVES_ON_S = 6.0  # Time for which a server that left still serves.
WRITE_INTERVAL_S = 0.7  # Time between two entries, so long that watches wait.
START_S = 1.5  # Time in which a process starts and reads the store.
CUT_S = 0.015  # Time in which the store has broken off its watches.
REQUEST_INTERVAL_S = 0.04
PATHS = [
    ("/look/1", "GET", {}),
    ("/book/1", "POST", {}),
    ("/list/1", "POST", STREAM),
    ("/claim/1", "POST", STREAM),
    ("/chain/1", "POST", STAGED),
]
SERVICES = (PLAIN_SERVICE, STREAM_SERVICE, STAGE_SERVICE)


@dataclass(frozen=True)
class LateRequest:
    """A request that reached a server too late after it had left."""

    server_id: str
    target: str
    node: int
    late_s: float
    says_draining: bool


@dataclass(frozen=True)
class Excuse:
    """A time in which a node is not bound, or all nodes for -1."""

    node: int
    since: float
    until: float


@dataclass
class Departures:
    """Servers of a rig, when they left, and what disturbs the nodes."""

    rig: ProcessRig
    rng: random.Random
    folder: Path
    left_at_by_id: dict[str, float] = field(default_factory=dict)
    is_drained_by_id: dict[str, bool] = field(default_factory=dict)
    seq_by_id: Counter[str] = field(default_factory=Counter)
    node_by_request: dict[str, int] = field(default_factory=dict)
    excuses: list[Excuse] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    started: int = 0
    cuts_watches: bool = True

    async def write_heartbeats(self) -> None:
        """Write the entries of all servers that have not left, at intervals."""
        while True:
            for server_id, server in list(self.rig.server_by_id.items()):
                if server_id in self.left_at_by_id:
                    continue
                self._write(server_id, server)
                await asyncio.sleep(WRITE_INTERVAL_S)

    async def replace_servers(self) -> None:
        """Start servers, one after another, and let older ones leave."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            service = self.rng.choice(SERVICES)
            self.started += 1
            await add_server(self.rig, service, f"{service}-n{self.started}")
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            await self._let_oldest_leave(service)

    async def cut_watches(self) -> None:
        """Break off the watches that wait, at random times."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            if self.rng.random() < 0.5:
                self.rig.store.cut_watches()
            else:
                self.rig.store.cut_watches(is_silent=True, most=1)

    async def disturb_nodes(self) -> None:
        """Stop and start nodes in turn, and have them read their settings again."""
        node = 0
        while True:
            await asyncio.sleep(self.rng.uniform(4.0, 6.0))
            node = (node + 1) % len(self.rig.processes)
            router = self.rig.processes[node]
            if self.rng.random() < 0.4:
                router.signal(signal.SIGHUP)
                continue
            self.excuse(node)
            router.signal(signal.SIGTERM)
            while router.process.poll() is None:
                await asyncio.sleep(0.05)
            self.excuse(node)
            self.rig.start(node, self.folder)
            for service in SERVICES:
                await asyncio.sleep(self.rng.uniform(0.0, START_S / len(SERVICES)))
                await self._let_oldest_leave(service)

    async def send_requests(self) -> None:
        """Send requests of all kinds to all nodes."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(REQUEST_INTERVAL_S)
                group.create_task(self._send())

    async def leave(self, server_id: str, *, says_draining: bool) -> None:
        """Let a server leave, with a draining entry or by the end of its entry."""
        server = self.rig.server_by_id[server_id]
        if self.cuts_watches and self.rng.random() < 0.5:
            await wait_until(lambda: self.rig.store.watch_cuts.waiting)
            self.rig.store.cut_watches()
            await asyncio.sleep(CUT_S)
        if says_draining:
            self._write(server_id, server, state="draining")
        else:
            self.rig.store.delete(f"servers/{server_id}")
        self.left_at_by_id[server_id] = time.monotonic()
        self.is_drained_by_id[server_id] = says_draining
        asyncio.get_running_loop().create_task(self._end(server_id, server))

    def list_late(self) -> Iterator[LateRequest]:
        """Return the requests that nodes which are bound sent too late."""
        for server_id, left_at in self.left_at_by_id.items():
            for at, target, ids in self.rig.server_by_id[server_id].arrivals:
                if at < left_at + DRAIN_S or target == "/-/stage-free":
                    continue
                node = self.find_sender(server_id, target, ids)
                if self._is_bound(node, at):
                    yield LateRequest(
                        server_id,
                        target,
                        node,
                        round(at - left_at, 2),
                        self.is_drained_by_id[server_id],
                    )

    async def _let_oldest_leave(self, service: str) -> None:
        """Let the oldest server of a service leave, if two others stay."""
        present = [
            server_id
            for server_id in self.rig.server_by_id
            if server_id.startswith(service) and server_id not in self.left_at_by_id
        ]
        if len(present) > 2:
            await self.leave(present[0], says_draining=self.rng.random() < 0.4)

    def find_sender(self, server_id: str, target: str, ids: list[str]) -> int:
        """Return the node that sent a request, or -1 if its log doesn't tell."""
        if target != "/-/stage-run":
            return self.node_by_request[ids[0]]
        for node, router in enumerate(self.rig.processes):
            for line in router.read_log():
                if line["event"] != "stages.batch_completed":
                    continue
                if line["server"] == server_id and set(ids) & set(line["requests"]):
                    return node
        return -1

    def _is_bound(self, node: int, at: float) -> bool:
        """Whether a node, or each for -1, has no excuse at a time."""
        return not any(
            excuse.since <= at < excuse.until
            for excuse in self.excuses
            if -1 in (node, excuse.node) or node == excuse.node
        )

    def excuse(self, node: int = -1) -> None:
        """Excuse a node, or all, from now on for a time."""
        now = time.monotonic()
        self.excuses.append(Excuse(node, now, now + CONTACT_S))

    def _write(
        self, server_id: str, server: RoutedServerStandIn, **changes: str
    ) -> None:
        service = server_id.partition("-")[0]
        self.seq_by_id[server_id] += 1
        entry = server.build_entry(service, seq=self.seq_by_id[server_id], **changes)
        self.rig.store.put(f"servers/{server_id}", entry)

    async def _end(self, server_id: str, server: RoutedServerStandIn) -> None:
        await asyncio.sleep(SERVES_ON_S)
        self.rig.store.delete(f"servers/{server_id}")
        await server.stop()

    async def _send(self) -> None:
        node = self.rng.randrange(len(self.rig.processes))
        path, method, headers = self.rng.choice(PATHS)
        request_id = f"id-{len(self.rig.ids)}"
        self.node_by_request[request_id] = node
        try:
            response = await self.rig.send_request(
                path, method, node=node, request_id=request_id, **headers
            )
        except OSError:
            # The node is down.
            self.statuses[0] += 1
            return
        self.statuses[response.status] += 1


async def play(departures: Departures, length_s: float) -> None:
    """Let servers leave for a time while watches are cut and nodes are restarted."""
    works = [
        departures.write_heartbeats(),
        departures.replace_servers(),
        departures.disturb_nodes(),
        departures.send_requests(),
    ]
    if departures.cuts_watches:
        works.append(departures.cut_watches())
    tasks = [asyncio.create_task(work) for work in works]
    done, _ = await asyncio.wait(
        tasks, timeout=length_s, return_when=asyncio.FIRST_COMPLETED
    )
    for task in done:
        await task
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
