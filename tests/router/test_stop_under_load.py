"""Nodes are stopped one after the other while clients keep their connections."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import asynccontextmanager

from tests.router.kept_clients import KeptClients, KeptConnection, build_request
from tests.router.process_rig import run_process_rig
from tests.router.rig import STREAM_SERVICE

SEED = 36
CLIENTS = 40
NODES = 3
STOP_INTERVAL_S = 2.0  # Stops overlap.
GRACE_S = 8.0
MIN_REQUESTS = 1000  # Requests in which none may be lost.
UNTIL_LIMIT_S = 7.2  # A stop that lasts longer has gone on until its limit.


@asynccontextmanager
async def run_clients(folder, nodes: int, **options):
    """Run router processes and clients; give both, and end the clients after it."""
    async with run_process_rig(folder, routers=nodes) as rig:
        for server_id, server in rig.server_by_id.items():
            server.work_s = 0.05
            if server_id.startswith(STREAM_SERVICE):
                server.event_count = 25
        clients = KeptClients([s.listen.clients for s in rig.settings], **options)
        rng = random.Random(SEED)
        tasks = [
            asyncio.ensure_future(
                clients.run_client(f"c{number}", random.Random(rng.random()))
            )
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(1.0)
        yield rig, clients
        clients.is_over = True
        await asyncio.gather(*tasks)
        print(clients.sent, clients.status_counts, *clients.losses, sep="\n")
        runs = [run for s in rig.server_by_id.values() for run in s.runs]
        booked = [run.request_id for run in runs if run.target == "/book/1"]
        assert len(booked) == len(set(booked))


async def stop(rig, clients: KeptClients, node: int) -> float:
    """Stop a node, and return how long it took to end, in seconds."""
    began_at = time.monotonic()
    clients.stopped_at[node] = began_at
    rig.processes[node].signal(signal.SIGTERM)
    assert await asyncio.to_thread(rig.processes[node].process.wait, GRACE_S) == 0
    return time.monotonic() - began_at


async def stop_and_start(rig, clients: KeptClients, node: int, folder) -> None:
    """Stop a node and start it again."""
    await stop(rig, clients, node)
    rig.start(node, folder)
    await rig.wait_until_ready(node)
    del clients.stopped_at[node]


async def stop_in_turn(rig, clients: KeptClients, folder) -> None:
    """Stop and start each node once."""
    stops = []
    for node in range(NODES):
        stops.append(asyncio.ensure_future(stop_and_start(rig, clients, node, folder)))
        await asyncio.sleep(STOP_INTERVAL_S)
    await asyncio.gather(*stops)


def test_no_request_is_lost_as_nodes_are_stopped_in_turn(tmp_path):
    async def scenario():
        async with run_clients(tmp_path, NODES) as (rig, clients):
            await stop_in_turn(rig, clients, tmp_path)
            # Slow clients send the rest of their requests through further stops.
            while clients.sent <= MIN_REQUESTS:
                await stop_in_turn(rig, clients, tmp_path)
        assert clients.losses == []

    asyncio.run(scenario())


def test_no_request_is_lost_while_one_holds_a_stop_until_its_limit(tmp_path):
    async def scenario():
        # These clients get no newer answer of the directory, so they connect until
        # the node refuses it.
        options = {"deadlines_ms": (1500, 4000), "answer_use_s": GRACE_S}
        async with run_clients(tmp_path, 2, **options) as (rig, clients):
            upload = await KeptConnection.open(rig.settings[0].listen.clients)
            data = build_request(
                "/book/1", "held", b"x" * 3000, is_chunked=False, deadline_ms=9000
            )
            held = asyncio.ensure_future(upload.exchange(data, pause_s=60.0))
            await asyncio.sleep(0.2)
            assert await stop(rig, clients, 0) > UNTIL_LIMIT_S
            held.cancel()
            upload.close()
        assert clients.losses == []
        assert clients.sent > 500

    asyncio.run(scenario())
