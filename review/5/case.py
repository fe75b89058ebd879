"""A query that ends each worker comes again, among sound ones of the same path."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path
from typing import Any

from shared.client import ClientConnection
from shared.deployment import (
    HOSTNAME,
    KEY,
    Deployment,
    WorkerNode,
    build_configuration,
    build_route,
    run_deployment,
)
from shared.record import Record

FOLDER = Path(__file__).resolve().parent
ROUTERS = 3
WORKERS = 4
SERVICE = "ledger-api"
DEADLY_TARGET = "/balance/shop?id=666"
CONTACT_S = 3.0
# Crashes after which the request must be kept from workers, and the retries that may
# reach them all the same.
CRASHES = 3
ALLOWED_RETRIES = 3
LENGTH_S = 45.0
SOUND_INTERVAL_S = 0.05
DEADLY_INTERVAL_S = 2.0
# Time after which a worker that crashed is back.
RESTART_S = 2.0
ANSWER_TIMEOUT_S = 3.0


class Clients:
    """Clients of one account that ask for one path with many queries.

    Parameters
    ----------
    deployment : Deployment
        Routers and workers.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._ids = itertools.count(1)
        self.statuses: dict[int, int] = {}

    async def ask(self, target: str, *, is_recorded: bool) -> None:
        """Send a request to the next router, and read the answer."""
        number = next(self._ids)
        request_id = f"{number:016x}"
        router = self._deployment.routers[number % ROUTERS]
        headers = {
            "Host": HOSTNAME,
            "Persimmonlink-Request-Id": request_id,
            "Persimmonlink-Deadline-Ms": "1500",
            "Authorization": f"Bearer {KEY}",
        }
        connection = ClientConnection(*router.address("front"))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await connection.connect()
                await connection.send("GET", target, headers)
                response = await connection.receive()
        finally:
            connection.close()
        self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
        if is_recorded:
            self._deployment.record.write(
                f"{request_id} {target} at {router.process.name}: {response.status}"
            )

    async def ask_again_and_again(
        self, targets: itertools.cycle[str], interval_s: float, *, is_recorded: bool
    ) -> None:
        """Send requests at an interval until cancelled."""
        async with asyncio.TaskGroup() as group:
            for target in targets:
                group.create_task(self.ask(target, is_recorded=is_recorded))
                await asyncio.sleep(interval_s)


async def restart_when_crashed(deployment: Deployment, worker: WorkerNode) -> None:
    """Start a worker again some seconds after each crash, as a new incarnation."""
    while True:
        await asyncio.sleep(0.05)
        if worker.process.is_running():
            continue
        deployment.record.write(f"{worker.server_id} has crashed")
        await asyncio.sleep(RESTART_S)
        worker.process.start()
        await asyncio.sleep(0.3)
        deployment.put_worker(worker.server_id, born=int(time.time() * 1000))


def list_deadly_runs(deployment: Deployment) -> list[float]:
    """Return the times at which workers began to run the request that ends them."""
    return sorted(
        line["at"]
        for worker in deployment.workers.values()
        for line in worker.read_runs()
        if line["step"] == "crash"
    )


def judge(record: Record, runs: list[float]) -> int:
    """Return 1 if the request came to workers too often after its third crash."""
    if len(runs) < CRASHES:
        record.write(f"{len(runs)} crashes")
        return 0
    late = [at for at in runs if at > runs[CRASHES - 1] + CONTACT_S]
    record.write(
        f"{len(runs)} crashes; {len(late)} of them later than {CONTACT_S} s after the "
        f"third one"
    )
    return 1 if len(late) > ALLOWED_RETRIES else 0


async def play(record: Record, *, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    route = build_route(
        "balance",
        "idempotent",
        SERVICE,
        attempts=2,
        **{"timeout-ms": 800, "slo-ms": 100},
    )
    configuration = build_configuration([route], [{"name": SERVICE}])
    options: dict[str, Any] = {"fatal_target": DEADLY_TARGET}
    async with run_deployment(record, configuration) as deployment:
        for number in range(WORKERS):
            await deployment.start_worker(SERVICE, number, options)
        await deployment.start_routers(ROUTERS)
        clients = Clients(deployment)
        sound = itertools.cycle([f"/balance/shop?id={n}" for n in range(50)])
        deadly = itertools.cycle([DEADLY_TARGET])
        work = [
            clients.ask_again_and_again(sound, SOUND_INTERVAL_S, is_recorded=False),
            *(restart_when_crashed(deployment, w) for w in deployment.workers.values()),
        ]
        if has_trouble:
            work.append(
                clients.ask_again_and_again(deadly, DEADLY_INTERVAL_S, is_recorded=True)
            )
        tasks = [asyncio.create_task(w) for w in work]
        await asyncio.sleep(LENGTH_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        record.write(f"answers by status: {clients.statuses}")
        return judge(record, list_deadly_runs(deployment))


def main() -> int:
    """Play the case and write its record."""
    record = Record(FOLDER / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(play(record, has_trouble=has_trouble))
    except (OSError, TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
