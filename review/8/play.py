"""An empty worker joins a busy service, and all routers find it at the same moment."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "play_2"))

from clients import ClientRequest, send  # noqa: E402
from rig import (  # noqa: E402
    LIMITS,
    Deployment,
    Record,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)
from servers import Run, Server  # noqa: E402

ROUTERS = 68  # As many as the site nilemark-counts-grown has machines.
WARM_SERVERS = 4  # One more is a share of 0.25.
# Of that site: requests that a model worker runs at once, and those of `line-tag`.
SLOTS = 12
COLD_PER_S = 7.8
COLD_START_S = 3.0
REQUESTS_PER_S = 3.0  # At each router.
STREAM_S = 0.2
EVENTS = 2
BEAT_S = 1.2
SETTLE_S = 12.0  # Routers that have just started count some more nodes than they know.
BUSY_S = 6.0
AFTER_S = 5.0


class ModelServer(Server):
    """A server that runs `SLOTS` requests at once; others wait."""

    running = 0

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        while self.running >= self.slots:
            await asyncio.sleep(0.005)
        self.running += 1
        try:
            await super()._answer(run, writer)
        finally:
            self.running -= 1


async def beat(deployment: Deployment, server: Server) -> None:
    """Write a server's entry regularly."""
    while True:
        deployment.store.put(f"servers/{server.server_id}", server.build_entry())
        server.cold_left_ms = max(0.0, server.cold_left_ms - BEAT_S * 1000)
        await asyncio.sleep(BEAT_S)


async def press(
    deployment: Deployment,
    address: str,
    until: float,
    sent_at_by_id: dict[str, float],
) -> None:
    """Send streams to a router, record when, and wait for their ends."""
    tasks = []
    number = 0
    await asyncio.sleep(random.random() / REQUESTS_PER_S)
    while time.monotonic() < until:
        number += 1
        own_part = f"{random.getrandbits(40):x}"
        request = ClientRequest(
            f"{address.rpartition(':')[2]}-{number}",
            "/draft/x",
            "POST",
            headers=(
                "Persimmonlink-Model: m",
                "Persimmonlink-Token-Count: 1800,40",
                f"Persimmonlink-Prompt-Prefix: abc1:512,{own_part}:1288",
            ),
        )
        sent_at_by_id[request.request_id] = time.monotonic()
        work = send(address, request, deployment.record)
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


async def play(record: Record) -> bool:
    """Play the case; return whether the rule was broken."""
    deployment = Deployment(record)
    await deployment.start_store()
    warm = [
        ModelServer(f"i-warm-{k}", "draft", STREAM_S, EVENTS, SLOTS)
        for k in range(WARM_SERVERS)
    ]
    cold = ModelServer("i-cold", "draft", STREAM_S, EVENTS, SLOTS)
    beats = []
    try:
        for server in (*warm, cold):
            await server.start()
        for server in warm:
            beats.append(asyncio.create_task(beat(deployment, server)))
        deployment.store.put("op/config", build_configuration())
        for index in range(ROUTERS):
            zone = f"zone-{'abc'[index % 3]}"
            deployment.start_router(deployment.add_router(zone))
        for router in deployment.routers:
            await deployment.wait_until_ready(router)
        await asyncio.sleep(SETTLE_S)
        until = time.monotonic() + BUSY_S + AFTER_S
        sent_at_by_id: dict[str, float] = {}
        loads = [
            asyncio.create_task(press(deployment, router.clients, until, sent_at_by_id))
            for router in deployment.routers
        ]
        await asyncio.sleep(BUSY_S)
        joined_at = time.monotonic()
        if has_trouble():
            cold.born_ms = int(time.time() * 1000)
            cold.cold_left_ms = COLD_START_S * 1000
            beats.append(asyncio.create_task(beat(deployment, cold)))
            record.add("i-cold writes its first entry")
        await asyncio.gather(*loads)
        return judge(cold, joined_at, sent_at_by_id, record)
    finally:
        for task in beats:
            task.cancel()
        await deployment.stop()
        for server in (*warm, cold):
            server.stop()


def build_configuration() -> dict[str, object]:
    """Return the configuration with one service of model workers."""
    route = make_route("/draft/", "stream", "draft", resumable=True)
    route["gap-slo-ms"] = 300
    route["sticky"] = True
    service = {
        "name": "draft",
        "health-path": "/healthz",
        "max-conns": 520,
        "cold-start-s": COLD_START_S,
        "cold-per-s": COLD_PER_S,
        "engine": {"slots": SLOTS, "kv-capacity": 376773},
    }
    return make_configuration([route], [service])


def judge(
    cold: Server, joined_at: float, sent_at_by_id: dict[str, float], record: Record
) -> bool:
    """Return whether the cold server got more requests in a second than allowed.

    Counted are those that were sent and arrived inside the second.
    """
    cold_until = joined_at + COLD_START_S
    times = []
    for run in cold.runs:
        sent_at = sent_at_by_id[run.request_id]
        record.add(
            f"i-cold: {run.request_id} sent {sent_at - joined_at:.3f} s, arrived "
            f"{run.arrived_at - joined_at:.3f} s after its first entry"
        )
        if run.arrived_at < cold_until:
            times.append((sent_at, run.arrived_at))
    most = max(
        (
            sum(begin <= sent and arrived < begin + 1.0 for sent, arrived in times)
            for begin, _ in times
        ),
        default=0,
    )
    factor, slack = LIMITS["cold_burst_factor"], LIMITS["cold_slack"]
    allowed = COLD_PER_S * float(factor) + float(slack)
    record.add(f"{most} requests in one second while cold, allowed {allowed:.1f}")
    return most > allowed


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
