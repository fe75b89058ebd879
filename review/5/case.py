"""A router that is stopped takes a request late, and cuts it when it ends."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from shared.client import ClientConnection, Response
from shared.deployment import (
    GRACE_S,
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
ROUTERS = 8
ROUNDS = 5
LOOKUP_INTERVAL_S = 0.005
# Clients use an answer of the directory for three times its time to live, which is
# 1 s at most; this leaves a margin.
ANSWER_USE_S = 2.9
# Requests that were sent no later than this after SIGTERM may be cut at the end.
EXCUSED_S = 3.0
EVENTS = 80
EVENT_INTERVAL_S = 0.08
SERVICE = "draft-llm"


@dataclass
class Outcome:
    """What became of the requests of a round, and when they were sent."""

    terminated_at: float = 0.0
    sent_at_by_id: dict[str, float] = field(default_factory=dict)
    response_by_id: dict[str, Response] = field(default_factory=dict)


class StoppedRouterCase:
    """Stops one router after the other while clients use what the directory said.

    Parameters
    ----------
    deployment : Deployment
        Routers, workers and store.
    record : Record
        What was sent and answered.
    """

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._count = 0

    async def play_round(self, stopped: RouterNode, *, has_trouble: bool) -> list[str]:
        """Stop a router; return the requests that it cut without an excuse."""
        outcome = Outcome()
        others = [r for r in self._deployment.routers if r is not stopped]
        outcome.terminated_at = time.monotonic()
        if has_trouble:
            stopped.process.send_signal(signal.SIGTERM)
            self._record.write(f"SIGTERM to {stopped.process.name}")
        clients = [self._run_client(stopped, other, outcome) for other in others]
        await asyncio.gather(*clients)
        if has_trouble:
            if not await stopped.process.wait(GRACE_S):
                stopped.process.end()
            stopped.process.start()
            await self._deployment.wait_until_ready(stopped)
        return self._list_cut(outcome)

    async def _run_client(
        self, stopped: RouterNode, directory: RouterNode, outcome: Outcome
    ) -> None:
        """Ask a directory until it lacks the router; use its last answer that has it.

        Stands for many clients near that directory, which ask it at all times.
        """
        address = "{}:{}".format(*stopped.address("front"))
        looked_up_at = time.monotonic()
        while time.monotonic() < outcome.terminated_at + 1.0:
            asked_at = time.monotonic()
            if address not in await self._deployment.look_up(directory):
                break
            looked_up_at = asked_at
            await asyncio.sleep(LOOKUP_INTERVAL_S)
        await asyncio.sleep(looked_up_at + ANSWER_USE_S - time.monotonic())
        await self._send_stream(stopped, outcome)

    async def _send_stream(self, router: RouterNode, outcome: Outcome) -> None:
        self._count += 1
        request_id = f"{self._count:016x}"
        connection = ClientConnection(*router.address("front"))
        headers = {
            "Host": HOSTNAME,
            "Persimmonlink-Request-Id": request_id,
            "Persimmonlink-Deadline-Ms": "15000",
            "Persimmonlink-Model": "m",
            "Persimmonlink-Token-Count": "100,480",
            "Persimmonlink-Prompt-Prefix": f"aa:60,{request_id}:40",
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "0",
        }
        try:
            await connection.connect()
        except OSError:
            # Nothing was sent, so the client goes elsewhere.
            return
        outcome.sent_at_by_id[request_id] = time.monotonic()
        await connection.send("POST", "/note/", headers)
        after_s = time.monotonic() - outcome.terminated_at
        self._record.write(
            f"sent {request_id} to {router.process.name}, {after_s:.3f} s after SIGTERM"
        )
        response = await connection.receive()
        connection.close()
        outcome.response_by_id[request_id] = response
        events = response.body.count(b"\n\n")
        after_s = time.monotonic() - outcome.terminated_at
        end = "complete" if response.is_complete else f"cut ({response.error})"
        self._record.write(
            f"answered {request_id}: {response.status}, {events} of {EVENTS} events, "
            f"{end}, {after_s:.3f} s after SIGTERM"
        )

    def _list_cut(self, outcome: Outcome) -> list[str]:
        """Return the requests sent after the excused time without a whole answer."""
        return [
            request_id
            for request_id, response in outcome.response_by_id.items()
            if not response.is_complete
            and outcome.sent_at_by_id[request_id] > outcome.terminated_at + EXCUSED_S
        ]


async def play(record: Record, *, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    configuration = build_configuration(
        [build_route("note", "stream", SERVICE)],
        [{"name": SERVICE, "engine": {"slots": 64}}],
    )
    options: dict[str, Any] = {"events": EVENTS, "event_interval_s": EVENT_INTERVAL_S}
    async with run_deployment(record, configuration) as deployment:
        for number in range(3):
            await deployment.start_worker(SERVICE, number, options)
        await deployment.start_routers(ROUTERS)
        case = StoppedRouterCase(deployment, record)
        cut: list[str] = []
        for number in range(ROUNDS if has_trouble else 1):
            router = deployment.routers[number]
            cut += await case.play_round(router, has_trouble=has_trouble)
            if cut:
                break
        for worker in deployment.workers.values():
            for line in worker.read_runs():
                if line["step"] != "event":
                    record.write(f"{worker.server_id} {line}")
    record.write(f"sent over {EXCUSED_S} s after SIGTERM, passed on and cut: {cut}")
    return 1 if cut else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
