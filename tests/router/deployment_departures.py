"""Departures in a whole deployment, beside what disturbs it on the users' days."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.router.departures import (
    CONTACT_S,
    CUT_S,
    SERVICES,
    START_S,
    Departures,
    Excuse,
)
from tests.router.rig import KEY, add_server, make_configuration

from persimmonlink_stand_ins.link import Cut

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DOMAINS = "abc"
SERVER_WRITE_S = 1.2  # Time between two entries of a server.
EVACUATION_S = 5.0  # Time from the store's response until no request may arrive.
BODY_CHUNKS = 4
BODY_CHUNK_S = 0.6  # Pause between two chunks of a body.
SLOW_BODY_INTERVAL_S = 0.4


@dataclass(frozen=True)
class Evacuation:
    """A failure domain that got no work from one time to another."""

    domain: str
    since: float
    until: float


@dataclass
class DeploymentDepartures(Departures):
    """Servers that write as often as the users' do, and more that disturbs nodes."""

    cuts_watches: bool = False
    version: int = 1
    evacuations: list[Evacuation] = field(default_factory=list)
    done: list[str] = field(default_factory=list)
    longest_lag_s: float = 0.0

    async def write_heartbeats(self) -> None:
        """Write each server's entry at its own time of each interval."""
        while True:
            present = [i for i in self.rig.server_by_id if i not in self.left_at_by_id]
            for server_id in present:
                if server_id not in self.left_at_by_id:
                    self._write(server_id, self.rig.server_by_id[server_id])
                await asyncio.sleep(SERVER_WRITE_S / len(present))

    async def replace_servers(self) -> None:
        """Release servers of services one after another."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            service = self.rng.choice(SERVICES)
            self.started += 1
            zone = DOMAINS[self.started % len(DOMAINS)]
            server_id = f"{service}-n{self.started}"
            await add_server(self.rig, service, server_id, zone=zone)
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            await self._let_oldest_leave(service)

    async def disturb_nodes(self) -> None:
        """Disturb nodes and the store, one thing after another."""
        troubles: list[Callable[[], Awaitable[None]]] = [
            self._stop_node,
            self._kill_node,
            self._reload_nodes,
            self._write_configurations,
            self._silence_connections,
            self._cut_from_store,
            self._leave_as_watches_are_cut,
            self._evacuate,
            self._compact,
        ]
        while True:
            for trouble in self.rng.sample(troubles, len(troubles)):
                await asyncio.sleep(self.rng.uniform(0.3, 2.0))
                self.done.append(trouble.__name__)
                await trouble()

    async def send_slow_bodies(self) -> None:
        """Send requests whose bodies come slowly, in chunks."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(SLOW_BODY_INTERVAL_S)
                group.create_task(self._send_slow_body())

    async def measure_lag(self) -> None:
        """Measure by how much this process runs late."""
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(0.05)
            lag_s = time.monotonic() - began_at - 0.05
            self.longest_lag_s = max(self.longest_lag_s, lag_s)

    def list_evacuated(self) -> list[tuple[str, str, float]]:
        """Return server, target and lateness of requests into evacuated domains."""
        found = []
        for server_id, server in self.rig.server_by_id.items():
            zone = self._find_zone(server_id)
            for at, target, ids in server.arrivals:
                if target == "/-/stage-free":
                    continue
                for each in self.evacuations:
                    late_s = at - each.since - EVACUATION_S
                    if each.domain != zone or late_s < 0 or at > each.until:
                        continue
                    if self._is_bound(self.find_sender(server_id, target, ids), at):
                        found.append((server_id, target, round(late_s, 2)))
        return found

    def _find_zone(self, server_id: str) -> str:
        number = server_id.partition("-")[2]
        return DOMAINS[int(number.removeprefix("n")) % len(DOMAINS)]

    def _write(self, server_id, server, **changes: str) -> None:
        super()._write(server_id, server, zone=self._find_zone(server_id), **changes)

    async def _stop_node(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _kill_node(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _restart(self, number: signal.Signals) -> None:
        node = self.rng.randrange(len(self.rig.processes))
        router = self.rig.processes[node]
        self.excuse(node)
        router.signal(number)
        while router.process.poll() is None:
            # A node that stops is excused until it has ended.
            self.excuse(node)
            await asyncio.sleep(0.05)
        self.rig.start(node, self.folder)
        self.excuse(node)
        for service in SERVICES:
            await asyncio.sleep(self.rng.uniform(0.0, START_S / len(SERVICES)))
            await self._let_oldest_leave(service)

    async def _reload_nodes(self) -> None:
        for router in self.rig.processes:
            if router.has_begun():
                router.signal(signal.SIGHUP)

    async def _write_configurations(self) -> None:
        for _ in range(3):
            self.version += self.rng.randint(1, 3)
            self.rig.store.put("op/config", make_configuration(self.version))
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))

    async def _silence_connections(self) -> None:
        self.excuse()
        self.rig.store.silence_connections()
        await asyncio.sleep(self.rng.uniform(0.0, CONTACT_S))

    async def _leave_as_watches_are_cut(self) -> None:
        for service in SERVICES:
            is_silent = self.rng.random() < 0.3
            self.rig.store.cut_watches(is_silent=is_silent, most=1 if is_silent else 6)
            await asyncio.sleep(CUT_S)
            await self._let_oldest_leave(service)
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))

    async def _cut_from_store(self) -> None:
        node = self.rng.randrange(len(self.rig.processes))
        since = time.monotonic()
        excuse = Excuse(node, since, since + 1e9)
        self.excuses.append(excuse)
        how = self.rng.choice([Cut.HANG, Cut.RESET])
        await self.rig.links.cut([node], how, [self.rig.store.address])
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        await self.rig.links.mend([node])
        self.excuses.remove(excuse)
        until = time.monotonic() + CONTACT_S
        self.excuses.append(Excuse(node, since, until))

    async def _evacuate(self) -> None:
        domain = self.rng.choice(DOMAINS)
        key = f"op/evacuate/{domain}"
        self.rig.store.put(key, {})
        since = time.monotonic()
        await asyncio.sleep(EVACUATION_S + self.rng.uniform(0.5, 2.0))
        self.evacuations.append(Evacuation(domain, since, time.monotonic()))
        self.rig.store.delete(key)

    async def _compact(self) -> None:
        for _ in range(3):
            self.rig.store.compact_history()
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))

    async def _send_slow_body(self) -> None:
        node = self.rng.randrange(len(self.rig.processes))
        request_id = f"slow-{len(self.rig.ids)}"
        self.rig.ids.append(request_id)
        self.node_by_request[request_id] = node
        head = (
            "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n"
            f"Persimmonlink-Request-Id: {request_id}\r\n"
            "Persimmonlink-Deadline-Ms: 5000\r\n"
            f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        host, _, port = self.rig.settings[node].listen.clients.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode())
            for _ in range(BODY_CHUNKS):
                writer.write(b"4\r\nbody\r\n")
                await writer.drain()
                await asyncio.sleep(BODY_CHUNK_S)
            writer.write(b"0\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            self.statuses[0] += 1
            return
        self.statuses[int(line.split()[1]) if line else 0] += 1


async def play_deployment(departures: DeploymentDepartures, length_s: float) -> None:
    """Let servers leave for a time while all kinds of troubles come."""
    works = [
        departures.write_heartbeats(),
        departures.replace_servers(),
        departures.disturb_nodes(),
        departures.send_requests(),
        departures.send_slow_bodies(),
        departures.measure_lag(),
    ]
    tasks = [asyncio.create_task(work) for work in works]
    done, _ = await asyncio.wait(
        tasks, timeout=length_s, return_when=asyncio.FIRST_COMPLETED
    )
    for task in done:
        await task
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
