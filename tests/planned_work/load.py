"""The load of a run: clients that send requests, and connections that carry none."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from tests.planned_work import sheet
from tests.planned_work.clients import Client

if TYPE_CHECKING:
    from tests.planned_work.deployment import Deployment

LAST_CLOSE_S = 0.1  # Time for the last closes to arrive.
IDLE_OPEN_S = 0.02  # Time from one connection that carries nothing to the next.


async def send_load(
    deployment: Deployment, rng: random.Random, seconds: float, factor: float
) -> None:
    """Send the sheet's requests, times a factor, for some seconds; await their ends."""
    clients = [
        Client(deployment, domain, random.Random(rng.random()))
        for domain, count in sheet.CLIENTS_BY_DOMAIN.items()
        for _ in range(count * deployment.plan.client_factor)
    ]
    factors = deployment.plan.rate_factor_by_class
    weights = [
        entry.per_s * factors.get(entry.name, entry.default_factor)
        for entry in sheet.CLASSES
    ]
    ends_at = time.monotonic() + seconds
    tasks = {asyncio.ensure_future(hold_connections(deployment, rng, ends_at))}
    while time.monotonic() < ends_at:
        await asyncio.sleep(rng.expovariate(sum(weights) * factor))
        client = rng.choice(clients)
        entry = rng.choices(sheet.CLASSES, weights)[0]
        task = asyncio.ensure_future(client.run_requests(entry))
        tasks.add(task)
    await asyncio.gather(*tasks)
    for client in clients:
        client.close()
    await asyncio.sleep(LAST_CLOSE_S)


async def hold_connections(
    deployment: Deployment, rng: random.Random, ends_at: float
) -> None:
    """Keep connections open that carry nothing, until a monotonic time."""
    held: list[asyncio.StreamWriter] = []
    while deployment.plan.habits.idle_connections and time.monotonic() < ends_at:
        held = [writer for writer in held if not writer.is_closing()]
        node = rng.choice(deployment.nodes)
        host, _, port = node.address("front").rpartition(":")
        with suppress(OSError):
            held.append((await asyncio.open_connection(host, int(port)))[1])
        while len(held) > deployment.plan.habits.idle_connections:
            held.pop(0).close()
        await asyncio.sleep(IDLE_OPEN_S)
    for writer in held:
        writer.close()
