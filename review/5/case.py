"""A router that is stopped ends while answers wait in its write buffers."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

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
from shared.record import Record

FOLDER = Path(__file__).resolve().parent
ROUTERS = 3
CLIENTS = 16
START_INTERVAL_S = 0.03
# A stream that takes some seconds on a slow link.
EVENTS = 950
EVENT_SPREAD = 100
EVENT_BYTES = 2000
READ_BYTES = 16384
READ_PAUSE_S = 0.05
# As on a network with small windows and packets.
RECEIVE_BUFFER_BYTES = 16384
SEGMENT_BYTES = 1460
SERVICE = "draft-llm"


async def fetch(router: RouterNode, request_id: str, record: Record) -> Response:
    """Send a request and read its response slowly but steadily."""
    connection = ClientConnection(
        *router.address("front"), RECEIVE_BUFFER_BYTES, SEGMENT_BYTES
    )
    await connection.connect()
    headers = {
        "Host": HOSTNAME,
        "Persimmonlink-Request-Id": request_id,
        "Persimmonlink-Deadline-Ms": "15000",
        "Persimmonlink-Model": "m",
        "Persimmonlink-Token-Count": "100,1000",
        "Persimmonlink-Prompt-Prefix": f"aa:60,{request_id}:40",
        "Content-Length": "0",
        "Authorization": f"Bearer {KEY}",
    }
    sent_at = time.monotonic()
    record.write(f"sent {request_id} to {router.process.name}")
    await connection.send("POST", "/note/", headers)
    response = await connection.receive(READ_BYTES, READ_PAUSE_S)
    connection.close()
    end = "complete" if response.is_complete else f"cut ({response.error})"
    events = response.body.count(b"\n\n")
    record.write(
        f"answered {request_id}: {response.status}, {events} events, {end}, "
        f"after {time.monotonic() - sent_at:.3f} s"
    )
    return response


async def play_round(
    deployment: Deployment, router: RouterNode, *, has_trouble: bool
) -> int:
    """Stop a router as its clients read; return how many answers it cut."""
    record = deployment.record
    tasks = []
    for number in range(CLIENTS):
        request_id = f"{router.ports['front']:08x}{number:08x}"
        tasks.append(asyncio.create_task(fetch(router, request_id, record)))
        await asyncio.sleep(START_INTERVAL_S)
    terminated_at = time.monotonic()
    if has_trouble:
        router.process.send_signal(signal.SIGTERM)
        record.write(f"SIGTERM to {router.process.name}")
    if has_trouble and await router.process.wait(GRACE_S):
        took_s = time.monotonic() - terminated_at
        record.write(f"{router.process.name} ended, {took_s:.3f} s after SIGTERM")
    responses = await asyncio.wait_for(asyncio.gather(*tasks), 30.0)
    return sum(1 for r in responses if r.status and not r.is_complete)


async def play(record: Record, *, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    configuration = build_configuration(
        [build_route("note", "stream", SERVICE)],
        [{"name": SERVICE, "engine": {"slots": 64}}],
    )
    options: dict[str, Any] = {
        "events": EVENTS,
        "event_spread": EVENT_SPREAD,
        "event_bytes": EVENT_BYTES,
        "event_interval_s": 0.0,
    }
    async with run_deployment(record, configuration) as deployment:
        for number in range(3):
            await deployment.start_worker(SERVICE, number, options)
        await deployment.start_routers(ROUTERS)
        cut = 0
        for router in deployment.routers:
            cut = await play_round(deployment, router, has_trouble=has_trouble)
            record.write(f"passed on and cut: {cut} of {CLIENTS}")
            if cut:
                break
            if has_trouble:
                router.process.end()
                router.process.start()
                await deployment.wait_until_ready(router)
        for worker in deployment.workers.values():
            for line in worker.read_runs():
                if line["step"] != "event":
                    record.write(f"{worker.server_id} {line}")
    return 1 if cut else 0


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
