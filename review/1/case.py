"""A worker in trouble sends bytes without end, and routers stand still."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from shared.client import ClientConnection, read_whole
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
WORKERS = 3
STREAM_SERVICE = "draft-llm"
PLAIN_SERVICE = "ledger-api"
# Streams of different prompts, so that some go to the worker in trouble.
STREAMS = 18
STREAM_INTERVAL_S = 0.1
WORK_S = 0.02
REQUESTS_PER_S = 10.0  # Plain requests at each router.
CALM_S = 3.0
TROUBLE_S = 25.0
TIMEOUT_S = 0.8
# Time after a route's timeout by which requests must have their final answers.
ANSWER_SLACK_S = 0.5
# Requests that may lack it, and the share of those that last longer than the timeout.
ALLOWED_LATE = 7
ALLOWED_LATE_SHARE = 0.25
CLIENT_PATIENCE_S = 5.0
STREAM_DEADLINE_S = 15.0
PROBE_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Answer:
    """How a plain request ended; status 0 stands for no answer."""

    request_id: str
    router: str
    status: int
    took_s: float


class Load:
    """Clients that send plain requests and streams to all routers.

    Parameters
    ----------
    deployment : Deployment
        The routers.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: list[Answer] = []
        self.longest_probe_s = 0.0

    async def run(self, router: RouterNode) -> None:
        """Send plain requests to a router until cancelled."""
        while True:
            task = asyncio.create_task(self._send_plain(router))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    async def probe(self, router: RouterNode) -> None:
        """Measure how long the readiness check takes until cancelled."""
        while True:
            began_at = time.monotonic()
            with contextlib.suppress(OSError, TimeoutError):
                await read_whole(
                    *router.address("ready"), "/-/ready", CLIENT_PATIENCE_S
                )
            took_s = time.monotonic() - began_at
            self.longest_probe_s = max(self.longest_probe_s, took_s)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def send_streams(self) -> None:
        """Send streams to all routers in turn."""
        routers = itertools.cycle(self._deployment.routers)
        async with asyncio.TaskGroup() as group:
            for _ in range(STREAMS):
                group.create_task(self._send_stream(next(routers)))
                await asyncio.sleep(STREAM_INTERVAL_S)

    async def finish(self) -> None:
        """Wait for the answers to all plain requests."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_plain(self, router: RouterNode) -> None:
        request_id = f"{next(self._ids):016x}"
        headers = {"Persimmonlink-Deadline-Ms": "1500"}
        sent_at = time.monotonic()
        status = await self._send(
            router, "GET", f"/balance/{request_id}", request_id, headers
        )
        took_s = time.monotonic() - sent_at
        name = router.process.name
        self.answers.append(Answer(request_id, name, status, took_s))

    async def _send_stream(self, router: RouterNode) -> None:
        request_id = f"{next(self._ids):016x}"
        headers = {
            "Persimmonlink-Deadline-Ms": f"{STREAM_DEADLINE_S * 1000:.0f}",
            "Persimmonlink-Model": "m",
            "Persimmonlink-Token-Count": "100,480",
            "Persimmonlink-Prompt-Prefix": f"a{request_id}:60,b{request_id}:40",
            "Content-Length": "0",
        }
        name = router.process.name
        self._record.write(f"stream {request_id} sent to {name}")
        sent_at = time.monotonic()
        status = await self._send(router, "POST", "/note/", request_id, headers)
        took_s = time.monotonic() - sent_at
        self._record.write(
            f"stream {request_id} at {name}: {status} after {took_s:.3f} s"
        )

    async def _send(
        self,
        router: RouterNode,
        method: str,
        path: str,
        request_id: str,
        headers: dict[str, str],
    ) -> int:
        """Send a request; return the status of a complete answer, 0 without one."""
        common = {
            "Host": HOSTNAME,
            "Persimmonlink-Request-Id": request_id,
            "Authorization": f"Bearer {KEY}",
        }
        is_stream = method == "POST"
        connection = ClientConnection(*router.address("front"))
        try:
            async with asyncio.timeout(
                STREAM_DEADLINE_S if is_stream else CLIENT_PATIENCE_S
            ):
                await connection.connect()
                await connection.send(method, path, {**common, **headers})
                response = await connection.receive()
        except (OSError, TimeoutError):
            return 0
        finally:
            connection.close()
        return response.status if response.is_complete else 0


def judge(record: Record, load: Load) -> int:
    """Return 1 if too many requests have no answer soon after the route's timeout."""
    long = [answer for answer in load.answers if answer.took_s > TIMEOUT_S]
    late = [answer for answer in long if answer.took_s > TIMEOUT_S + ANSWER_SLACK_S]
    for answer in late:
        record.write(
            f"plain {answer.request_id} at {answer.router}: {answer.status} after "
            f"{answer.took_s:.3f} s"
        )
    without = sum(1 for answer in late if not answer.status)
    record.write(
        f"of {len(load.answers)} plain requests, {len(long)} lasted longer than "
        f"{TIMEOUT_S} s, and {len(late)} of them had no answer {ANSWER_SLACK_S} s "
        f"later, {without} none at all in {CLIENT_PATIENCE_S} s; the longest readiness "
        f"check took {load.longest_probe_s:.3f} s"
    )
    is_broken = len(late) > ALLOWED_LATE and len(late) > ALLOWED_LATE_SHARE * len(long)
    return 1 if is_broken else 0


async def play(record: Record, *, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    plain_route = build_route(
        "balance",
        "idempotent",
        PLAIN_SERVICE,
        attempts=2,
        **{"timeout-ms": int(TIMEOUT_S * 1000), "slo-ms": 100},
    )
    configuration = build_configuration(
        [plain_route, build_route("note", "stream", STREAM_SERVICE)],
        [
            {"name": PLAIN_SERVICE},
            {"name": STREAM_SERVICE, "engine": {"slots": 64}},
        ],
    )
    async with run_deployment(record, configuration) as deployment:
        for number in range(WORKERS):
            await deployment.start_worker(PLAIN_SERVICE, number, {"work_s": WORK_S})
            options: dict[str, Any] = {"is_endless": has_trouble and number == 0}
            await deployment.start_worker(STREAM_SERVICE, number, options)
        await deployment.start_routers(ROUTERS)
        load = Load(deployment)
        tasks = [asyncio.create_task(load.run(r)) for r in deployment.routers]
        tasks += [asyncio.create_task(load.probe(r)) for r in deployment.routers]
        await asyncio.sleep(CALM_S)
        began_at = time.monotonic()
        await load.send_streams()
        await asyncio.sleep(max(0.0, began_at + TROUBLE_S - time.monotonic()))
        for task in tasks:
            task.cancel()
        await load.finish()
        for worker in deployment.workers.values():
            runs = [line for line in worker.read_runs() if line["step"] == "run"]
            record.write(f"{worker.server_id} ran {len(runs)} requests")
        return judge(record, load)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
