"""Unreadable entries of another writer keep routers from following the store."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from shared.client import ClientConnection
from shared.deployment import (
    HOSTNAME,
    KEY,
    Deployment,
    RouterNode,
    build_configuration,
    build_route,
    run_deployment,
)
from shared.runner import run_case

if TYPE_CHECKING:
    from shared.record import Record

FOLDER = Path(__file__).resolve().parent
ROUTERS = 3
WORKERS = 2
OLD_SERVICE = "ledger-api"
NEW_SERVICE = "ledger-next"
# Bytes that can't be read: objects that begin and don't end.
UNREADABLE = b'{"labels":' * 3000
FOREIGN_KEY = "servers/foreign"
HEARTBEAT_S = 1.2
REQUESTS_PER_S = 5.0  # At each router.
LEAD_S = 18.0
LENGTH_S = 20.0
# Time from the store's response to a new version until it must be in force.
CONFIG_S = 2.0
CLIENT_PATIENCE_S = 3.0


@dataclass(frozen=True)
class Sent:
    """A request, and when it was sent."""

    request_id: str
    router: str
    sent_at: float


class Clients:
    """Clients that send requests to all routers.

    Parameters
    ----------
    deployment : Deployment
        The routers.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._ids = itertools.count(1)
        self.sent_by_id: dict[str, Sent] = {}
        self.statuses: dict[int, int] = {}

    async def run(self, router: RouterNode) -> None:
        """Send requests to a router until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send(router))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, router: RouterNode) -> None:
        request_id = f"{next(self._ids):016x}"
        headers = {
            "Host": HOSTNAME,
            "Persimmonlink-Request-Id": request_id,
            "Persimmonlink-Deadline-Ms": "1500",
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "0",
        }
        name = router.process.name
        self.sent_by_id[request_id] = Sent(request_id, name, time.time())
        connection = ClientConnection(*router.address("front"))
        status = 0
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                await connection.connect()
                await connection.send("POST", f"/adjust/{request_id}", headers)
                status = (await connection.receive()).status
        except (OSError, TimeoutError):
            # Status 0 stands for no answer.
            pass
        finally:
            connection.close()
        self.statuses[status] = self.statuses.get(status, 0) + 1


async def write_unreadable(deployment: Deployment) -> None:
    """Write an entry among those of workers at each heartbeat until cancelled."""
    for number in itertools.count(1):
        value = UNREADABLE + str(number).encode()
        deployment.store.put(FOREIGN_KEY, value)
        deployment.record.write(f"{FOREIGN_KEY} written, {len(value)} bytes")
        await asyncio.sleep(HEARTBEAT_S)


def build_version(version: int, service: str) -> dict[str, Any]:
    """Return a version of the configuration that sends the route to a service."""
    route = build_route(
        "adjust", "mutating", service, **{"timeout-ms": 800, "slo-ms": 100}
    )
    services = [{"name": OLD_SERVICE}, {"name": NEW_SERVICE}]
    return build_configuration([route], services, version)


def judge(deployment: Deployment, clients: Clients, acknowledged_at: float) -> int:
    """Return 1 if the old service ran requests that were sent too late for it."""
    record = deployment.record
    stale = []
    for worker in deployment.workers.values():
        if worker.entry["service"] != OLD_SERVICE:
            continue
        for line in worker.read_runs():
            sent = clients.sent_by_id.get(line["request"])
            if line["step"] != "run" or sent is None:
                continue
            after_s = sent.sent_at - acknowledged_at
            if after_s <= CONFIG_S:
                continue
            stale.append(sent)
            record.write(
                f"{sent.request_id} sent to {sent.router} {after_s:.2f} s after the "
                f"new version, run by {worker.server_id} of the old service"
            )
    record.write(
        f"answers by status: {clients.statuses}; {len(stale)} requests that were sent "
        f"later than {CONFIG_S} s after the new version ran at the old service"
    )
    return 1 if stale else 0


async def play(record: Record, *, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    async with run_deployment(record, build_version(7, OLD_SERVICE)) as deployment:
        for service in (OLD_SERVICE, NEW_SERVICE):
            for number in range(WORKERS):
                await deployment.start_worker(service, number, {"work_s": 0.02})
        await deployment.start_routers(ROUTERS)
        clients = Clients(deployment)
        tasks = [asyncio.create_task(clients.run(r)) for r in deployment.routers]
        if has_trouble:
            tasks.append(asyncio.create_task(write_unreadable(deployment)))
        await asyncio.sleep(LEAD_S)
        deployment.store.put("op/config", build_version(12, NEW_SERVICE))
        acknowledged_at = time.time()
        record.write(
            "version 12 is acknowledged; it sends the route to the new service"
        )
        await asyncio.sleep(LENGTH_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return judge(deployment, clients, acknowledged_at)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
