"""The run's store, servers and router processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.planned_work import sheet
from tests.planned_work.cpu_quota import CpuQuota
from tests.planned_work.habits import ServerHabits
from tests.planned_work.log_reader import open_log
from tests.planned_work.plan import MIXED, Plan
from tests.planned_work.record import Event, Record
from tests.planned_work.servers import PacedServer
from tests.router.rig import HOST, send, wait_until

from persimmonlink_bench.process import find_free_ports, release_ports
from persimmonlink_stand_ins.metadata_store import MetadataStoreStandIn

ROOT = Path(__file__).resolve().parents[2]
YOUNG_START = Path(__file__).with_name("young_start.py")
START_TIMEOUT_S = 30.0
NOTED_LAG_S = 0.02
BEAT_S = 1.2  # Interval at which servers write their entries.
PLACEHOLDER = re.compile(r"\{\{([a-z_.-]+)(\|json)?\}\}")
LISTENERS = ("front", "ready", "directory", "control", "metrics")
ENGINE_SLOWNESS = (1.0, 1.3, 2.2, 1.0, 1.5)


@dataclass
class Node:
    """A router: its addresses, its process, and the logs of its incarnations."""

    name: str
    domain: str
    ports: dict[str, int]
    settings_path: Path
    trees: tuple[Path, Path]
    process: subprocess.Popen[bytes] | None = None
    log_paths: list[Path] = field(default_factory=list)
    log_reader_pause_s: float = 0.0
    boot_age_s: float = 0.0
    quota: CpuQuota | None = None

    def address(self, name: str) -> str:
        """Return `IP:PORT` of an interface."""
        return f"{HOST}:{self.ports[name]}"

    def is_running(self) -> bool:
        """Whether its process has not ended."""
        if self.process is None:
            return False
        if self.quota is not None and self.process.returncode is None:
            has_ended = os.waitid(
                os.P_PID, self.process.pid, os.WEXITED | os.WNOHANG | os.WNOWAIT
            )
            if has_ended:
                self.quota.remove(self.process.pid)
        return self.process.poll() is None

    def start(self) -> None:
        """Start the process, from the second tree if it is started again."""
        tree = self.trees[1 if self.log_paths else 0]
        number = len(self.log_paths)
        log_path = self.settings_path.with_name(f"{self.name}.{number}.log")
        kept = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        program = ["deploy/start.py"]
        if self.boot_age_s:
            base_s = time.clock_gettime(time.CLOCK_BOOTTIME) - self.boot_age_s
            program = ["-P", str(YOUNG_START), str(base_s)]
        log = open_log(log_path, self.log_reader_pause_s)
        with os.fdopen(log, "wb") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, *program],
                cwd=tree,
                env={**kept, "PERSIMMONLINK_BOOT": str(self.settings_path)},
                stdout=log_file,
                stderr=log_file,
            )
        self.log_paths.append(log_path)
        if self.quota is not None:
            self.quota.add(self.process.pid)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for it."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()


def choose_trees(name: str) -> tuple[Path, Path]:
    """Return the source trees of a node, at first and after a restart.

    `PLAY_TREE` and `PLAY_TREE_AFTER` hold for all nodes, `PLAY_TREES` names others as
    NODE=TREE, separated by commas.
    """
    first = os.environ.get("PLAY_TREE", str(ROOT))
    after = os.environ.get("PLAY_TREE_AFTER", first)
    for item in os.environ.get("PLAY_TREES", "").split(","):
        node, _, tree = item.partition("=")
        if node == name:
            first = after = tree
    return Path(first).resolve(), Path(after).resolve()


class Deployment:
    """Starts and ends the parts of the run."""

    def __init__(
        self, folder: Path, record: Record, rng: random.Random, plan: Plan = MIXED
    ) -> None:
        self.folder = folder
        self.record = record
        self.store = MetadataStoreStandIn()
        self.nodes: list[Node] = []
        self.server_by_id: dict[str, PacedServer] = {}
        self.state_by_id: dict[str, str] = {}
        self.plan = plan
        self._quota = CpuQuota(plan.cpu_share) if plan.cpu_share else None
        self._rng = rng
        self._server_count = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._lookups = ThreadPoolExecutor(1)

    def log(self, name: str, subject: str, details: str = "") -> Event:
        """Record what the operator or the platform did."""
        event = Event(time.monotonic(), name, subject, details)
        self.record.events.append(event)
        return event

    async def start(self) -> None:
        """Start the store, the servers and the nodes."""
        await self.store.start()
        self.store.faults.delay_s = self.plan.store_delay_s
        self.store.put("op/config", sheet.build_configuration(7))
        for service, count in sheet.SERVER_COUNT_BY_SERVICE.items():
            for _ in range(count):
                await self.add_server(service, "v1")
        domains = sheet.DOMAINS * self.plan.node_factor
        for number, domain in enumerate(domains):
            self._add_node(f"front-{domain}-{number}", domain)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_until_ready(node)
        await wait_until(lambda: len(self._list_members()) >= len(domains), 20.0)
        self._tasks.append(asyncio.ensure_future(self._write_beats()))
        self._tasks.append(asyncio.ensure_future(self._measure_lag()))
        await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """End all parts."""
        for task in self._tasks:
            task.cancel()
        self._lookups.shutdown(wait=False, cancel_futures=True)
        if self._quota is not None:
            self._quota.stop()
            self.log("suspensions", str(self._quota.suspensions))
        for node in self.nodes:
            node.kill()
            release_ports(node.ports.values())
        for server in self.server_by_id.values():
            await server.stop()
        await self.store.stop()

    async def add_server(
        self, service: str, version: str, server_id: str = ""
    ) -> PacedServer:
        """Start a server, or one with the id of an ended one, and write its entry."""
        if not server_id:
            server_id = f"i-{service}-{self._server_count}"
            self._server_count += 1
        number = int(server_id.rpartition("-")[2])
        slowness = ENGINE_SLOWNESS[number % len(ENGINE_SLOWNESS)]
        server = PacedServer(
            server_id,
            service,
            version,
            self.record,
            self.find_sender,
            slowness,
            ServerHabits(self.plan.habits, random.Random(number)),
        )
        is_front = service in (sheet.ENGINE_SERVICE, sheet.PLAIN_SERVICE)
        share = self.plan.unframed_share if is_front else 0.0
        server.faults.omits_length = self._rng.random() < share
        await server.start()
        self.server_by_id[server_id] = server
        self.put_server(server_id, "ready")
        return server

    def put_server(self, server_id: str, state: str) -> None:
        """Write the entry of a server, as the server does."""
        server = self.server_by_id[server_id]
        server.seq += 1
        number = int(server_id.rpartition("-")[2])
        domain = ("trent-a", "soar-b", "dove-c")[number % 3]
        entry = server.build_entry(
            server.service, state=state, seq=server.seq, zone=domain, slots=server.slots
        )
        self.state_by_id[server_id] = state
        self.store.put(f"servers/{server_id}", entry)

    def delete_server(self, server_id: str) -> None:
        """Remove the entry of a server."""
        self.state_by_id[server_id] = "gone"
        self.store.delete(f"servers/{server_id}")

    def list_servers(self, service: str = "", state: str = "ready") -> list[str]:
        """Return the servers of a service, or of all, that are in a state."""
        return [
            server_id
            for server_id, server in self.server_by_id.items()
            if self.state_by_id[server_id] == state and service in ("", server.service)
        ]

    async def is_ready(self, node: Node) -> bool:
        """Whether the readiness check of a node succeeds within a second."""
        try:
            async with asyncio.timeout(1.0):
                headers = {"Host": HOST}
                response = await send(node.address("ready"), "GET", "/-/ready", headers)
        except (OSError, TimeoutError):
            return False
        return response.status == 200

    async def wait_until_ready(self, node: Node) -> None:
        """Wait until a node is ready."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(node):
            if time.monotonic() > ends_at or not node.is_running():
                log = node.log_paths[-1].read_text()[-2000:]
                raise TimeoutError(f"{node.name} is not ready: {log}")
            await asyncio.sleep(0.05)
        self.log("ready", node.name)

    def find_sender(self, port: int, senders: list[str]) -> None:
        """Look for the node whose connection has a port, without waiting for it."""
        pid_by_name = {
            node.name: node.process.pid for node in self.nodes if node.process
        }
        loop = asyncio.get_running_loop()
        loop.run_in_executor(self._lookups, _find_owner, port, pid_by_name, senders)

    def _add_node(self, name: str, domain: str) -> None:
        ports = dict(zip(LISTENERS, find_free_ports(len(LISTENERS)), strict=True))
        path = self.folder / f"{name}.json"
        node = Node(name, domain, ports, path, choose_trees(name))
        node.log_reader_pause_s = self.plan.log_reader_pause_s
        node.boot_age_s = self.plan.boot_age_s
        node.quota = self._quota
        seeds = [other.address("control") for other in self.nodes[:3]]
        fields = {
            **sheet.SETTINGS_FIELDS,
            "node": name,
            "zone": domain,
            "ip": HOST,
            "provider.addr": self.store.address,
            "seeds": seeds or [node.address("control")],
            **{f"listen.{key}": node.address(key) for key in LISTENERS},
        }
        template = (node.trees[0] / "deploy/settings.json.template").read_text()
        # All nodes share an address here, so each has a metrics port of its own.
        template = template.replace(":9464", f":{ports['metrics']}")
        path.write_text(render(template, fields))
        self.nodes.append(node)

    def _list_members(self) -> list[str]:
        prefix = "persimmonlink/nodes/"
        return [key for key in self.store.list_keys() if key.startswith(prefix)]

    async def _write_beats(self) -> None:
        while True:
            for server_id in list(self.state_by_id):
                state = self.state_by_id[server_id]
                if state in ("ready", "draining"):
                    self.put_server(server_id, state)
                await asyncio.sleep(BEAT_S / max(10, len(self.state_by_id)))

    async def _measure_lag(self) -> None:
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(0.01)
            lag_s = time.monotonic() - began_at - 0.01
            if lag_s > NOTED_LAG_S:
                self.record.lags.append((time.monotonic(), lag_s))


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of the settings template."""

    def replace(match: re.Match[str]) -> str:
        value = fields[match[1]]
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(replace, template)


def _find_owner(port: int, pid_by_name: dict[str, int], senders: list[str]) -> None:
    """Append the name of the process that has a TCP socket at a local port."""
    suffix = f":{port:04X}"
    inodes = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(suffix):
            inodes.add(f"socket:[{fields[9]}]")
    for name, pid in pid_by_name.items():
        try:
            for entry in os.scandir(f"/proc/{pid}/fd"):
                if os.readlink(entry.path) in inodes:
                    senders.append(name)
                    return
        except OSError:
            continue
