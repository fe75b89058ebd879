"""A small deployment on loopback: a store, workers and routers as processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from persimmonlink_stand_ins.metadata_store import MetadataStoreStandIn
from shared.client import read_whole
from shared.record import Record

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT = Path(__file__).resolve().parents[2]
WORKER = Path(__file__).resolve().parent / "worker.py"
HOST = "127.0.0.1"
HOSTNAME = "shop.example"
KEY = "key-of-acme"
ZONES = ("cairo-a", "cairo-b", "cairo-c")
DRAIN_S = 2.0
GRACE_S = 8.0
START_TIMEOUT_S = 20.0
FIRST_PORT = 12000
LAST_PORT = 30000
_RANDOM = random.Random()
_used_ports: set[int] = set()
PLACEHOLDER = re.compile(r"\{\{([a-z_.-]+)(\|json)?\}\}")
# Bounds of the small deployments.
FIELDS: dict[str, Any] = {
    "region": "cairo",
    "limits.cpu-share": 0.537,
    "limits.cores": 2,
    "bounds.retry-ratio": 0.2,
    "bounds.retry-window-s": 10,
    "bounds.retry-slack": 56,
    "bounds.cold-burst": 1.5,
    "bounds.cold-slack": 5,
    "bounds.grace-s": GRACE_S,
    "bounds.ttl_max_s": 5,
}


def find_free_port() -> int:
    """Return a free TCP port of the loopback interface that no case has been given.

    It is below the range from which the system takes ports of outgoing connections.
    """
    while True:
        port = _RANDOM.randrange(FIRST_PORT, LAST_PORT)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of the settings template."""

    def replace(match: re.Match[str]) -> str:
        value = fields.get(match[1])
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(replace, template)


@dataclass
class Process:
    """A process that the case started."""

    name: str
    command: list[str]
    environment: dict[str, str]
    log_path: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, or start it again."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=self.environment, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Wait until the process has ended; return whether it has."""
        ends_at = time.monotonic() + timeout_s
        while self.is_running() and time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
        return not self.is_running()

    def end(self) -> None:
        """Kill the process and wait for it."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()


@dataclass
class RouterNode:
    """A router and the addresses that it listens on."""

    process: Process
    ports: dict[str, int]

    def address(self, name: str) -> tuple[str, int]:
        """Return host and port of an interface of the router."""
        return HOST, self.ports[name]


@dataclass
class WorkerNode:
    """A worker stand-in in a process of its own, and its entry in the store."""

    process: Process
    server_id: str
    entry: dict[str, Any]
    runs_path: Path

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the worker has written of its runs."""
        if not self.runs_path.exists():
            return []
        return [json.loads(line) for line in self.runs_path.read_text().splitlines()]


@dataclass
class Deployment:
    """The processes and stand-ins of a case."""

    folder: Path
    record: Record
    store: MetadataStoreStandIn
    routers: list[RouterNode] = field(default_factory=list)
    workers: dict[str, WorkerNode] = field(default_factory=dict)

    def put_worker(self, server_id: str, **changes: Any) -> None:
        """Write the entry of a worker, as the worker does."""
        entry = self.workers[server_id].entry
        entry.update(changes)
        entry["seq"] += 1
        self.store.put(f"servers/{server_id}", entry)

    async def start_worker(
        self, service: str, number: int, options: dict[str, Any]
    ) -> WorkerNode:
        """Start a worker process and register it."""
        server_id = f"i-{service}-{number}"
        port = find_free_port()
        runs_path = self.folder / f"{server_id}.runs"
        settings = {
            **options,
            "id": server_id,
            "port": port,
            "runs_path": str(runs_path),
        }
        process = Process(
            server_id,
            [sys.executable, str(WORKER), json.dumps(settings)],
            _build_environment(),
            self.folder / f"{server_id}.log",
        )
        process.start()
        entry = {
            "service": service,
            "addr": f"{HOST}:{port}",
            "zone": ZONES[number % len(ZONES)],
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 0,
            "born": int(time.time() * 1000),
        }
        worker = WorkerNode(process, server_id, entry, runs_path)
        self.workers[server_id] = worker
        await _wait_for_port(HOST, port)
        self.put_worker(server_id)
        return worker

    def add_router(self, number: int) -> RouterNode:
        """Prepare a router with the settings template of the deploy file."""
        names = ("front", "ready", "directory", "control", "metrics")
        ports = {name: find_free_port() for name in names}
        seeds = [f"{HOST}:{router.ports['control']}" for router in self.routers[:3]]
        zone = ZONES[number % len(ZONES)]
        fields = {
            **FIELDS,
            "node": f"front-{zone}-{number}",
            "zone": zone,
            "ip": HOST,
            "provider.addr": self.store.address,
            "seeds": seeds or [f"{HOST}:{ports['control']}"],
            **{f"listen.{name}": f"{HOST}:{port}" for name, port in ports.items()},
        }
        template = (ROOT / "deploy/settings.json.template").read_text()
        # All routers share an address here, so each has a metrics port of its own.
        template = template.replace(":9464", f":{ports['metrics']}")
        settings_path = self.folder / f"router-{number}.json"
        settings_path.write_text(render(template, fields))
        process = Process(
            f"router-{number}",
            [sys.executable, "deploy/start.py"],
            _build_environment(PERSIMMONLINK_BOOT=str(settings_path)),
            self.folder / f"router-{number}.log",
        )
        router = RouterNode(process, ports)
        self.routers.append(router)
        return router

    async def wait_until_ready(self, router: RouterNode) -> None:
        """Wait until the readiness check of a router succeeds."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            try:
                response = await read_whole(*router.address("ready"), "/-/ready", 1.0)
            except (OSError, TimeoutError):
                response = None
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{router.process.name} is not ready")

    async def start_routers(self, count: int) -> None:
        """Start routers, and wait until all are in the directory of each."""
        for number in range(count):
            self.add_router(number)
        for router in self.routers:
            router.process.start()
        for router in self.routers:
            await self.wait_until_ready(router)
        ends_at = time.monotonic() + START_TIMEOUT_S
        for router in self.routers:
            while len(await self.look_up(router)) < count:
                if time.monotonic() > ends_at:
                    raise TimeoutError("the directory lacks routers")
                await asyncio.sleep(0.05)

    async def look_up(self, router: RouterNode) -> list[str]:
        """Ask the directory of a router where to connect."""
        path = f"/-/lookup?name={HOSTNAME}&region=cairo&zone=cairo-a"
        response = await read_whole(*router.address("directory"), path, 1.0)
        if response.status != 200:
            return []
        return list(json.loads(response.body)["addrs"])

    def end_all(self) -> None:
        """End all processes that the case started."""
        for router in self.routers:
            router.process.end()
        for worker in self.workers.values():
            worker.process.end()


def _build_environment(**variables: str) -> dict[str, str]:
    kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    libraries = str(ROOT / "target/deps")
    return {**kept, "PYTHONPATH": libraries, **variables}


async def _wait_for_port(host: str, port: int) -> None:
    ends_at = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < ends_at:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        return
    raise TimeoutError(f"nothing listens at {host}:{port}")


def build_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration, as the operator writes it."""
    route = {
        "name": name,
        "host": HOSTNAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 15000,
        "slo-ms": 2500,
        "priority": 1,
        "attempts": 1,
        "public": False,
    }
    return {**route, **changes}


def build_configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 7
) -> dict[str, Any]:
    """Return the configuration, as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "acme", "api-keys": [KEY]}],
    }


@asynccontextmanager
async def run_deployment(
    record: Record, configuration: dict[str, Any]
) -> AsyncIterator[Deployment]:
    """Run a store with a configuration; end all processes at the end."""
    store = MetadataStoreStandIn()
    await store.start()
    store.put("op/config", configuration)
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(Path(name), record, store)
        try:
            yield deployment
        finally:
            if os.environ.get("KEEP_LOGS"):
                _copy_logs(deployment, Path(os.environ["KEEP_LOGS"]))
            deployment.end_all()
            await store.stop()


def _copy_logs(deployment: Deployment, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for path in deployment.folder.iterdir():
        (target / path.name).write_bytes(path.read_bytes())


__all__ = (
    "DRAIN_S",
    "GRACE_S",
    "HOSTNAME",
    "KEY",
    "Deployment",
    "RouterNode",
    "WorkerNode",
    "build_configuration",
    "build_route",
    "run_deployment",
)
