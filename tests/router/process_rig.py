"""Routers as separate processes that tests kill, pause and stop by signals."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING

from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STREAM_SERVICE,
    Rig,
    add_server,
    make_configuration,
    make_settings,
    release_addresses,
    send,
    wait_until,
)

from persimmonlink_bench.process import release_ports
from persimmonlink_router.router_settings import RouterSettings
from persimmonlink_stand_ins.metadata_store import MetadataStoreStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


START_TIMEOUT_S = 20.0


@dataclass
class RouterProcess:
    """A router process, its settings and its log file."""

    settings: RouterSettings
    process: subprocess.Popen[bytes]
    log_path: Path

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def has_begun(self) -> bool:
        """Whether the process has come so far that it takes SIGHUP."""
        if self.process.poll() is not None:
            return False
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
        return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)

    def read_log(self) -> list[dict[str, object]]:
        """Return the log lines that are JSON objects."""
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


@dataclass
class ProcessRig(Rig):
    """A test rig that runs each router as a process."""

    processes: list[RouterProcess] = field(default_factory=list)

    async def is_ready(self, index: int) -> bool:
        """Whether a router's readiness check succeeds within 0.5 s."""
        address = self.settings[index].listen.readiness
        try:
            async with asyncio.timeout(0.5):
                response = await send(address, "GET", "/-/ready", {"Host": "x"})
        except (OSError, TimeoutError):
            return False
        return response.status == 200

    async def wait_until_ready(self, index: int) -> None:
        """Wait until a router is ready; show its log if that takes too long."""
        ends_at = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while not await self.is_ready(index):
            if asyncio.get_running_loop().time() > ends_at:
                log = self.processes[index].log_path.read_text()[-2000:]
                ended = self.processes[index].process.poll()
                message = f"router {index} is not ready, exit status {ended}: {log}"
                raise TimeoutError(message)
            await asyncio.sleep(0.05)

    def find_coordinator(self) -> int:
        """Return the index of the router whose log has the latest stage batch."""
        newest = (-1.0, 0)
        for index, process in enumerate(self.processes):
            for line in process.read_log():
                if line["event"] == "stages.batch_completed":
                    newest = max(newest, (float(line["boot_s"]), index))
        return newest[1]

    def start(self, index: int, folder: Path) -> RouterProcess:
        """Start a router process, replacing the one that ran at this index."""
        settings = self.settings[index]
        path = folder / f"router-{index}.json"
        path.write_text(json.dumps(asdict(settings)))
        log_path = folder / f"router-{index}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "persimmonlink_adapter",
                    "--settings",
                    str(path),
                ],
                stdout=log,
                stderr=log,
            )
        router = RouterProcess(settings, process, log_path)
        if index < len(self.processes):
            self.processes[index] = router
        else:
            self.processes.append(router)
        return router


@asynccontextmanager
async def run_process_rig(
    folder: Path,
    routers: int = 3,
    servers: int = 2,
    domains: str = "a",
    *,
    has_store_links: bool = False,
) -> AsyncIterator[ProcessRig]:
    """Run a store and servers in this process, and routers as child processes.

    Parameters
    ----------
    folder : Path
        Folder of settings and logs.
    routers : int
        Number of routers.
    servers : int
        Number of servers of each service.
    domains : str
        Failure domains, a letter each, over which both are spread.
    has_store_links : bool
        Whether each router reaches the store over a link that can be cut.
    """
    store = MetadataStoreStandIn()
    await store.start()
    rig = ProcessRig(store, {}, [], [])
    store.put("op/config", make_configuration())
    for service in (STREAM_SERVICE, PLAIN_SERVICE, STAGE_SERVICE):
        for index in range(servers):
            zone = domains[index % len(domains)]
            await add_server(rig, service, f"{service}-{index}", zone=zone)
    for index in range(routers):
        seeds = tuple(s.listen.peers for s in rig.settings[:3])
        address = store.address
        if has_store_links:
            address = (await rig.links.find(index, address)).address
        settings = make_settings(address, index, seeds)
        domain = domains[index % len(domains)]
        rig.settings.append(replace(settings, domain=domain))
    try:
        for index in range(routers):
            rig.start(index, folder)
            await rig.wait_until_ready(index)
        await wait_until(lambda: len(_list_member_keys(store)) >= routers, 10.0)
        await asyncio.sleep(0.6)
        yield rig
    finally:
        for router in rig.processes:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            router.process.wait()
        await rig.links.stop()
        release_ports(rig.links.list_ports())
        for server in rig.server_by_id.values():
            await server.stop()
        await store.stop()
        release_addresses(rig.settings)


def _list_member_keys(store: MetadataStoreStandIn) -> list[str]:
    return [key for key in store.list_keys() if key.startswith("persimmonlink/nodes/")]
