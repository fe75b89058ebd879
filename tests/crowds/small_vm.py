"""A router on a small VM, what it takes of it, and ordinary callers."""

from __future__ import annotations

import asyncio
import os
import re
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from tests.router.process_rig import ProcessRig, run_process_rig
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM_SERVICE,
    make_configuration,
    send,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MEMORY_MB = 80  # Memory of the VM, with what the kernel holds unread.
DESCRIPTORS = 256  # Descriptors of the VM.
BYTES_PER_MB = 1_000_000
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
LONG_RESPONSE_BYTES = 3_000_000
SEAL = b"Persimmonlink-Response-Seal: seal\r\n"
SAMPLE_INTERVAL_S = 0.1
# Tries of an ordinary caller beside a crowd and after it, each at a new connection.
TRIES = 30
TRY_TIMEOUT_S = 6.0
TRY_PAUSE_S = 0.2
LISTENING = "0A"  # State of a listening socket in /proc/net/tcp.


async def respond(request, writer) -> bool:
    """Send a long response to clients of a crowd, and a short one to others."""
    request_id = request.headers["persimmonlink-request-id"].encode()
    is_crowd = request_id.startswith(b"crowd")
    body = bytes(LONG_RESPONSE_BYTES if is_crowd else 10)
    if request.target.startswith(("/claim", "/chain")):
        event = b"id: %d\ndata: " + b"z" * 4000 + b"\n\n"
        count = LONG_RESPONSE_BYTES // 4000 if is_crowd else 2
        body = b"".join(event % number for number in range(1, count + 1))
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
        + SEAL
        + b"Persimmonlink-Request-Id: %s\r\n\r\n" % request_id
    )
    with suppress(ConnectionError):
        for start in range(0, len(body), 65536):
            writer.write(body[start : start + 65536])
            await writer.drain()
    return True


class SmallVm:
    """The entry VM of one router.

    Parameters
    ----------
    rig : ProcessRig
        The rig of the router.
    index : int
        Which of its routers.
    """

    def __init__(self, rig: ProcessRig, index: int = 0) -> None:
        self.rig = rig
        self._index = index
        self.peak_descriptors = 0
        self.peak_memory_mb = 0.0

    @property
    def listen(self):
        """Addresses of the router."""
        return self.rig.settings[self._index].listen

    @property
    def process(self):
        """The process of the router."""
        return self.rig.processes[self._index].process

    async def watch(self) -> None:
        """Record the peaks of what the router takes."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Record what the router takes at the moment."""
        with suppress(OSError, AttributeError):
            descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.peak_descriptors = max(self.peak_descriptors, descriptors)
            resident = self._read_status("VmRSS") + self._count_unread_mb()
            peak = max(resident, self._read_status("VmHWM"))
            self.peak_memory_mb = max(self.peak_memory_mb, peak)

    def _read_status(self, name: str) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(rf"^{name}:\s+(\d+) kB$", status, re.MULTILINE)
        return int(found.group(1)) * 1024 / BYTES_PER_MB

    def _count_unread_mb(self) -> float:
        """Return what the kernel has received for the router and it has not read."""
        ports = {
            f"{int(address.rpartition(':')[2]):04X}"
            for address in (
                self.listen.clients,
                self.listen.readiness,
                self.listen.directory,
                self.listen.peers,
                self.listen.metrics,
            )
        }
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == LISTENING
            if is_listening or fields[1].rpartition(":")[2] not in ports:
                continue
            unread += int(fields[4].rpartition(":")[2], 16)
        return unread / BYTES_PER_MB

    async def is_answered(self, path: str = "/book/1", tries: int = TRIES) -> bool:
        """Whether one of some tries of an ordinary caller is answered."""
        self.sample()
        for _ in range(tries):
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(TRY_TIMEOUT_S):
                    response = await self.rig.send_request(path, node=self._index)
                    if response.status == 200 and response.is_complete:
                        return True
            await asyncio.sleep(TRY_PAUSE_S)
        return False

    async def answers_at(self, address: str, path: str, tries: int = TRIES) -> bool:
        """Whether one of some tries at another address of the router is answered."""
        self.sample()
        for _ in range(tries):
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(TRY_TIMEOUT_S):
                    response = await send(address, "GET", path, {"Host": "x"})
                    if response.status == 200 and response.is_complete:
                        return True
            await asyncio.sleep(TRY_PAUSE_S)
        return False

    def check(self) -> None:
        """Check that the router lives, within its memory and its descriptors."""
        self.sample()
        assert self.process.poll() is None, "the router has ended"
        assert self.peak_memory_mb <= MEMORY_MB, f"{self.peak_memory_mb:.1f} MB"
        assert self.peak_descriptors <= DESCRIPTORS, f"{self.peak_descriptors} open"


@asynccontextmanager
async def run_small_vm(
    folder: Path, *, has_store_links: bool = False, is_started: bool = True
) -> AsyncIterator[SmallVm]:
    """Run a router on a small VM, before servers whose responses can be long."""
    async with run_process_rig(
        folder, routers=1, has_store_links=has_store_links
    ) as rig:
        router = rig.processes[0]
        router.process.kill()
        router.process.wait()
        rig.settings[0] = replace(
            rig.settings[0], memory_mb=MEMORY_MB, max_descriptors=DESCRIPTORS
        )
        rig.store.put("op/config", make_configuration(2, limits=LIMITS))
        for service in (PLAIN_SERVICE, STREAM_SERVICE):
            for index in range(2):
                rig.server_by_id[f"{service}-{index}"]._server._handler = respond
        vm = SmallVm(rig)
        if is_started:
            rig.start(0, folder)
            await rig.wait_until_ready(0)
        watch = asyncio.create_task(vm.watch())
        try:
            yield vm
        finally:
            watch.cancel()


__all__ = (
    "DESCRIPTORS",
    "LONG_RESPONSE_BYTES",
    "MEMORY_MB",
    "SmallVm",
    "run_small_vm",
)
