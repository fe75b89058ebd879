"""Nodes of two builds side by side, with the store and servers that they share."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from tests.router.rig import (
    HOST,
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STREAM_SERVICE,
    make_configuration,
    make_route,
    send,
    wait_until,
)
from tests.upgrade.node import Incarnation, Node
from tests.upgrade.settings import STOP_S, make_fields
from tests.upgrade.trees import START_PROGRAM

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_stand_ins.link import Links
from persimmonlink_stand_ins.metadata_store import MetadataStoreStandIn
from persimmonlink_stand_ins.routed_server import RoutedServerStandIn

if TYPE_CHECKING:
    from collections.abc import Collection

    from tests.upgrade.trees import Tree

DOMAINS = ("a", "b", "c", "a", "b", "c")
SERVERS_BY_SERVICE = {STREAM_SERVICE: 6, PLAIN_SERVICE: 3, STAGE_SERVICE: 3}
LISTENERS = ("front", "ready", "control", "directory", "metrics")
START_TIMEOUT_S = 20.0
RESTART_S = 0.5  # Time between the end of a process and its next start.
CRASH_S = 0.5  # Time until a server that has ended starts again.
EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.04
# Streams of slow servers last for a good part of a stop.
SLOW_EVENT_INTERVAL_S = 0.15
SLOW_WORK_S = 0.5
LINKED_START = Path(__file__).with_name("linked_start.py")
ROUTER = "packages/persimmonlink-router/src/persimmonlink_router"
PEERS = "packages/persimmonlink-peers/src/persimmonlink_peers"
METRICS_OF_TEMPLATE = f"{HOST}:9464"


class Deployment:
    """Six nodes in three failure domains, a store and servers.

    Parameters
    ----------
    folder : Path
        Folder of settings and logs.
    old, new : Tree
        The two builds.
    linked : tuple of int
        Nodes whose ways to servers can be cut.
    slow_every : int
        Every server of this number in a row is slow; 0 for none.
    """

    def __init__(
        self,
        folder: Path,
        old: Tree,
        new: Tree,
        linked: tuple[int, ...] = (),
        slow_every: int = 0,
    ) -> None:
        self.old = old
        self.new = new
        self.store = MetadataStoreStandIn()
        self.server_by_id: dict[str, RoutedServerStandIn] = {}
        self.entry_by_id: dict[str, dict[str, Any]] = {}
        # Ways of the linked nodes to servers, and to the store.
        self.links = Links(lambda: find_free_ports(1)[0])
        self.store_links = Links(lambda: find_free_ports(1)[0])
        self.configuration_version = 1
        self.crashed_at: list[tuple[float, str]] = []
        self._linked = linked
        self._slow_every = slow_every
        self._tasks: set[asyncio.Task[None]] = set()
        self.nodes: list[Node] = []
        for index, domain in enumerate(DOMAINS):
            ports = dict(zip(LISTENERS, find_free_ports(len(LISTENERS)), strict=True))
            self.nodes.append(Node(index, f"entry-{index}", domain, ports, folder))

    @property
    def old_passes_on(self) -> bool:
        """Whether nodes of the older build have peers serve what they can't send."""
        return (self.old.path / ROUTER / "relay_messages.py").exists()

    @property
    def old_holds_back(self) -> bool:
        """Whether nodes of the older build hold back what ends servers."""
        return (self.old.path / ROUTER / "hold_records.py").exists()

    @property
    def builds_failing_at_resets(self) -> list[str]:
        """Builds that log an error as a peer resets a connection that is being made."""
        if (self.old.path / PEERS / "grpc_channel.py").exists():
            return []
        return [self.old.name]

    async def start(self, newer: Collection[int] = ()) -> None:
        """Start the store, the servers and all nodes, some with the newer build."""
        await self.store.start()
        await self._add_links(self.store_links, self.store.address)
        self.store.put("op/config", make_configuration())
        for service, count in SERVERS_BY_SERVICE.items():
            for number in range(count):
                await self.add_server(service, f"{service}-{number}", "v1")
        for node in self.nodes:
            self.start_node(node, self.new if node.index in newer else self.old)
        for node in self.nodes:
            await self.wait_until_ready(node)
        await wait_until(lambda: len(self._list_members()) >= len(self.nodes), 20.0)
        await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """End all parts."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
            release_ports(node.ports.values())
        for links in (self.links, self.store_links):
            await links.stop()
            release_ports(links.list_ports())
        for server in self.server_by_id.values():
            await server.stop()
        await self.store.stop()

    def start_node(self, node: Node, tree: Tree) -> None:
        """Start a node with a build, from settings by the template of that build."""
        path = node.folder / f"{node.name}.json"
        seeds = tuple(each.address("control") for each in self.nodes[:3])
        fields = make_fields(
            node.name,
            node.domain,
            store=self.store.address,
            seeds=seeds,
            **{name: node.address(name) for name in LISTENERS if name != "metrics"},
        )
        # All nodes share an address here, so each has a metrics port of its own.
        settings = tree.render_settings(fields)
        assert METRICS_OF_TEMPLATE in settings
        settings = settings.replace(METRICS_OF_TEMPLATE, node.address("metrics"))
        path.write_text(settings)
        number = len(node.incarnations)
        log_path = node.folder / f"{node.name}.{number}.{tree.name}.log"
        command = [START_PROGRAM]
        if node.index in self._linked:
            command = [str(LINKED_START), START_PROGRAM, str(node.links_path)]
        kept = {name: os.environ[name] for name in ("PATH", "HOME")}
        with log_path.open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, "-BP", *command],
                cwd=tree.path,
                env={**kept, "PERSIMMONLINK_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )
        node.incarnations.append(
            Incarnation(node.name, tree.name, log_path, time.monotonic())
        )

    async def replace_node(self, index: int, tree: Tree) -> None:
        """Stop a node by SIGTERM, kill it after its grace, and start a build there."""
        node = self.nodes[index]
        await self.read_metrics(node)
        node.incarnations[-1].terminated_at = time.monotonic()
        node.send_signal(signal.SIGTERM)
        await self._wait_for_end(node, STOP_S)
        await asyncio.sleep(RESTART_S)
        self.start_node(node, tree)
        await self.wait_until_ready(node)

    async def kill_node(self, index: int) -> None:
        """Kill a node, and start the same build again."""
        node = self.nodes[index]
        tree = self.old if node.build == self.old.name else self.new
        await self.read_metrics(node)
        await self._wait_for_end(node, 0.0)
        await asyncio.sleep(RESTART_S)
        self.start_node(node, tree)
        await self.wait_until_ready(node)

    async def wait_until_ready(self, node: Node) -> None:
        """Wait until a node is ready; show its log if that takes too long."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not await self._is_ready(node):
            if time.monotonic() > ends_at or not node.is_running():
                log = node.incarnations[-1].log_path.read_text()[-2000:]
                raise TimeoutError(f"{node.name} ({node.build}) is not ready: {log}")
            await asyncio.sleep(0.05)

    async def read_metrics(self, node: Node) -> None:
        """Keep what a node counts of messages of its peers."""
        response = await send(
            node.address("metrics"), "GET", "/metrics", {"Host": HOST}
        )
        node.incarnations[-1].read_metrics(response.body.decode())

    async def add_server(
        self, service: str, server_id: str, version: str
    ) -> RoutedServerStandIn:
        """Start a server and write its entry."""
        server = RoutedServerStandIn(server_id, EVENT_COUNT, version)
        server.event_interval_s = EVENT_INTERVAL_S
        if self._slow_every and len(self.server_by_id) % self._slow_every == 0:
            server.event_interval_s = SLOW_EVENT_INTERVAL_S
            server.work_s = SLOW_WORK_S
        server.on_crash = lambda: self._restart_later(server_id)
        await server.start()
        self.server_by_id[server_id] = server
        await self._add_links(self.links, server.address)
        zone = DOMAINS[len(self.server_by_id) % 3]
        self.entry_by_id[server_id] = server.build_entry(service, zone=zone)
        self.store.put(f"servers/{server_id}", self.entry_by_id[server_id])
        return server

    def put_server(self, server_id: str, **changes: Any) -> None:
        """Write the entry of a server anew."""
        entry = self.entry_by_id[server_id]
        server = self.server_by_id[server_id]
        entry.update(changes, born=server.started_at_ms, seq=entry["seq"] + 1)
        self.store.put(f"servers/{server_id}", entry)

    def list_servers(self, service: str) -> list[RoutedServerStandIn]:
        """Return the servers of a service."""
        return [
            server
            for server_id, server in self.server_by_id.items()
            if self.entry_by_id[server_id]["service"] == service
        ]

    def put_configuration(self, *prefixes: str) -> None:
        """Write a configuration with further routes."""
        self.configuration_version += 1
        configuration = make_configuration(self.configuration_version)
        for prefix in prefixes:
            route = make_route(prefix, "idempotent", PLAIN_SERVICE)
            configuration["routes"].append(route)
        self.store.put("op/config", configuration)

    async def _add_links(self, links: Links, address: str) -> None:
        """Let the linked nodes reach an address over links."""
        port = address.rpartition(":")[2]
        for index in self._linked:
            link = await links.find(index, address)
            path = self.nodes[index].links_path
            known = json.loads(path.read_text()) if path.exists() else {}
            known[port] = int(link.address.rpartition(":")[2])
            path.write_text(json.dumps(known))

    def _restart_later(self, server_id: str) -> None:
        self.crashed_at.append((time.monotonic(), server_id))
        task = asyncio.ensure_future(self._restart_server(server_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart_server(self, server_id: str) -> None:
        self.store.delete(f"servers/{server_id}")
        await asyncio.sleep(CRASH_S)
        await self.server_by_id[server_id].restart()
        self.put_server(server_id)

    async def _wait_for_end(self, node: Node, grace_s: float) -> None:
        ends_at = time.monotonic() + grace_s
        while node.is_running() and time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
        node.send_signal(signal.SIGKILL)
        assert node.process is not None
        await asyncio.to_thread(node.process.wait)
        node.incarnations[-1].ended_at = time.monotonic()
        node.incarnations[-1].exit_code = node.process.returncode

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with asyncio.timeout(0.5):
                headers = {"Host": HOST}
                response = await send(node.address("ready"), "GET", "/-/ready", headers)
        except (OSError, TimeoutError):
            return False
        return response.status == 200

    def _list_members(self) -> list[str]:
        prefix = "persimmonlink/nodes/"
        return [key for key in self.store.list_keys() if key.startswith(prefix)]


__all__ = ("DOMAINS", "EVENT_COUNT", "Deployment")
