"""A small deployment on loopback: router processes, a store, servers and clients."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "stand_ins" / "src"), str(ROOT / "target" / "deps")]

from persimmonlink_stand_ins.metadata_store import (  # noqa: E402
    MetadataStoreStandIn,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
KEY = "key-of-acme"
HOST_NAME = "shop.example"
START_TIMEOUT_S = 25.0
# Bounds of the site nilemark-counts that the router's settings hold.
LIMITS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
    "cold_burst_factor": 1.5,
    "cold_slack": 5,
    "stop_s": 8,
    "directory_ttl_s": 5,
}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def reserve_ports(count: int) -> list[socket.socket]:
    """Keep free ports from others; routers listen there with SO_REUSEADDR."""
    reserved = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        reserved.append(sock)
    return reserved


@dataclass
class Record:
    """What was sent, answered and run, written to `record.txt` at the end."""

    began_at: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line with the time since the begin."""
        self.lines.append(f"{time.monotonic() - self.began_at:8.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self.lines) + "\n")


@dataclass
class RouterProcess:
    """A router that runs as a process of its own."""

    name: str
    settings: dict[str, Any]
    ports: list[socket.socket]
    process: subprocess.Popen[bytes] | None = None

    @property
    def clients(self) -> str:
        """Address for clients."""
        return str(self.settings["listen"]["clients"])

    @property
    def readiness(self) -> str:
        """Address of the readiness check."""
        return str(self.settings["listen"]["readiness"])


class Deployment:
    """Starts the store and the routers, and ends all that it started.

    Parameters
    ----------
    record : Record
        Gets what happens.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = MetadataStoreStandIn()
        self.routers: list[RouterProcess] = []
        # Monotonic times of starts and signals, by the names of the routers.
        self.disturbed_at_by_name: dict[str, list[float]] = {}
        self._folder = tempfile.TemporaryDirectory()

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start()

    def add_router(self, zone: str = "zone-a", **limits: Any) -> RouterProcess:
        """Describe a router; `start_router` starts it."""
        ports = reserve_ports(5)
        names = ("clients", "readiness", "directory", "peers", "metrics")
        listen = {
            name: f"{HOST}:{sock.getsockname()[1]}"
            for name, sock in zip(names, ports, strict=True)
        }
        seeds = [r.settings["listen"]["peers"] for r in self.routers[:3]]
        name = f"front-{len(self.routers) + 1}"
        settings = {
            "node": name,
            "domain": zone,
            "region": "region-a",
            "listen": listen,
            "store": self.store.address,
            "seeds": seeds,
            "core_share": 0.537,
            "core_speed": 2,
            "limits": {**LIMITS, **limits},
        }
        router = RouterProcess(name, settings, ports)
        self.routers.append(router)
        return router

    def start_router(self, router: RouterProcess) -> None:
        """Start a router with the command of the deploy file."""
        folder = Path(self._folder.name)
        path = folder / f"{router.name}.json"
        path.write_text(json.dumps(router.settings))
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONLINK_BOOT": str(path),
            "PERSIMMONLINK_MEMORY_MB": "300",
            "PERSIMMONLINK_MAX_DESCRIPTORS": "4100",
            "PERSIMMONLINK_CANARY_SHARE": "",
        }
        log_path = folder / f"{router.name}.log"
        with log_path.open("ab") as log:
            router.process = subprocess.Popen(
                ["python3", "deploy/start.py"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._record_disturbance(router)
        self.record.add(f"{router.name} started, clients at {router.clients}")

    def signal_router(self, router: RouterProcess, number: signal.Signals) -> None:
        """Send a signal to a router that this deployment started."""
        if router.process is not None and router.process.poll() is None:
            router.process.send_signal(number)
            self._record_disturbance(router)
            self.record.add(f"{router.name} gets {number.name}")

    def _record_disturbance(self, router: RouterProcess) -> None:
        times = self.disturbed_at_by_name.setdefault(router.name, [])
        times.append(time.monotonic())

    def read_log(self, router: RouterProcess) -> str:
        """Return what a router has written."""
        path = Path(self._folder.name) / f"{router.name}.log"
        return path.read_text() if path.exists() else ""

    async def wait_until_ready(self, router: RouterProcess) -> None:
        """Wait until a router's readiness check succeeds."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            answer = await ask(router.readiness, b"GET /-/ready HTTP/1.1\r\nHost: x")
            if answer.startswith(b"HTTP/1.1 200"):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{router.name} is not ready")

    async def stop(self) -> None:
        """End the routers and the store."""
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
            if router.process is not None:
                router.process.wait()
            for sock in router.ports:
                sock.close()
        await self.store.stop()
        self._folder.cleanup()


async def ask(address: str, head: bytes, timeout_s: float = 0.5) -> bytes:
    """Send a head and return what comes until the other end pauses."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head + b"\r\nConnection: close\r\n\r\n")
                return await reader.read(65536)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return b""


def make_route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": prefix.strip("/"),
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 10000,
        "slo-ms": 1000,
        "attempts": 2,
        "priority": 1,
        **changes,
    }


def make_configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 1
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
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


def run_case(
    play: Callable[[Record], Awaitable[bool]], folder: Path, limit_s: float = 110.0
) -> int:
    """Play a case, write its record, and return the exit status.

    Parameters
    ----------
    play : callable
        Plays the case; returns whether the rule was broken.
    folder : Path
        Folder of the case.
    limit_s : float
        Longest time that it may take, in seconds.
    """
    record = Record()

    async def bounded() -> bool:
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        is_broken = asyncio.run(bounded())
    except Exception as error:
        record.add(f"not run: {error!r}")
        record.write(folder / "record.txt")
        print(record.lines[-1])
        return EXIT_NOT_RUN
    record.add("the rule was broken" if is_broken else "the rule held")
    record.write(folder / "record.txt")
    print("\n".join(record.lines[-3:]))
    return EXIT_BROKEN if is_broken else EXIT_HELD
