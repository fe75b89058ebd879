"""Stops beside a late store, changes of the configuration, and requests of peers.

Guards against requests that come late in a stop and are cut without an answer.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from tests.router.kept_clients import KeptClients
from tests.router.rig import (
    STREAM_SERVICE,
    connect_by_links,
    make_configuration,
    make_rig,
    restart_router,
    stop_router,
    wait_until,
)
from tests.router.stops import shorten_stop
from tests.router.test_cut_off_nodes import count_relayed
from tests.router.test_stop_under_load import (
    GRACE_S,
    UNTIL_LIMIT_S,
    run_clients,
    stop,
    stop_in_turn,
)

from persimmonlink_stand_ins.link import Cut

SEED = 42
CLIENTS = 16
EVENTS = 5
STAGE_CALL_S = 0.03
LATE_STORE_S = 0.6  # Time of each call to the store.
CHANGE_INTERVAL_S = 0.7
# Clients send mostly what has stages, and what must not run twice.
STAGED_WEIGHTS = (3, 1, 1, 1, 6)
# Of all kinds but staged ones, which nodes without servers have run by coordinators.
RELAYED_WEIGHTS = (3, 2, 3, 3, 0)
STOP_S = 5.0
RELAY_WAIT_S = 10.0


@asynccontextmanager
async def change_configuration(store):
    """Give out new versions of the configuration, and serve what they allow."""

    async def change() -> None:
        version = 2
        while True:
            store.put("op/config", make_configuration(version))
            version += 1
            await asyncio.sleep(CHANGE_INTERVAL_S)

    changing = asyncio.ensure_future(change())
    try:
        yield
    finally:
        changing.cancel()


def lighten_work(rig) -> None:
    """Let servers have room for all clients, so that no request meets its deadline."""
    for server_id, server in rig.server_by_id.items():
        server.stage_call_s = STAGE_CALL_S
        if server_id.startswith(STREAM_SERVICE):
            server.event_count = EVENTS


@pytest.mark.parametrize("is_store_late", [False, True], ids=["store", "late-store"])
@pytest.mark.timeout(120)
def test_no_staged_request_is_lost_beside_changes_of_the_configuration(
    tmp_path, is_store_late
):
    async def scenario():
        options = {"path_weights": STAGED_WEIGHTS}
        async with run_clients(tmp_path, 3, **options) as (rig, clients):
            lighten_work(rig)
            if is_store_late:
                rig.store.faults.delay_s = LATE_STORE_S
            async with change_configuration(rig.store):
                await stop_in_turn(rig, clients, tmp_path)
        assert clients.losses == []
        assert clients.sent > 300

    asyncio.run(scenario())


@pytest.mark.timeout(120)
def test_no_staged_request_is_lost_while_two_of_three_nodes_stop(
    tmp_path,
):
    async def scenario():
        # Clients of the nodes that stop connect until these refuse it.
        options = {
            "path_weights": STAGED_WEIGHTS,
            "deadlines_ms": (2500, 4000),
            "answer_use_s": GRACE_S,
        }
        async with run_clients(tmp_path, 3, **options) as (rig, clients):
            lighten_work(rig)
            rig.store.faults.delay_s = LATE_STORE_S
            async with change_configuration(rig.store):
                took_s = await asyncio.gather(
                    stop(rig, clients, 0), stop(rig, clients, 1)
                )
        assert clients.losses == []
        assert max(took_s) < UNTIL_LIMIT_S + 1.0  # Neither was killed.

    asyncio.run(scenario())


async def stop_and_start(rig, clients: KeptClients, node: int) -> None:
    """Stop a node in order, and start it again."""
    router = rig.routers[node]
    shorten_stop(router, STOP_S)
    clients.stopped_at[node] = asyncio.get_running_loop().time()
    await router.stop()
    await stop_router(router)
    await restart_router(rig, node)
    connect_by_links(rig, node)
    del clients.stopped_at[node]


@pytest.mark.parametrize("stopped", [(1, 2), (0,), (0, 1)], ids=str)
@pytest.mark.parametrize("how", [Cut.RESET, Cut.REFUSE_NEW])
@pytest.mark.timeout(120)
def test_no_request_that_peers_serve_is_lost_as_nodes_stop(stopped, how):
    async def scenario():
        async with make_rig(routers=4) as rig:
            for index, router in enumerate(rig.routers):
                connect_by_links(rig, index)
                members = router.membership
                await wait_until(
                    lambda members=members: len(members.list_serving_members()) == 4
                )
            for server in rig.server_by_id.values():
                server.event_count = 12
                server.work_s = 0.05
            await rig.links.cut([0], how)
            async with asyncio.timeout(RELAY_WAIT_S):
                while (await rig.send_request("/book/1")).status != 200:
                    await asyncio.sleep(0.1)
            clients = KeptClients(
                [rig.settings[node].listen.clients for node in (0, 1)],
                path_weights=RELAYED_WEIGHTS,
            )
            rng = random.Random(SEED)
            tasks = [
                asyncio.ensure_future(
                    clients.run_client(f"c{number}", random.Random(rng.random()))
                )
                for number in range(CLIENTS)
            ]
            await asyncio.sleep(0.5)
            relayed = count_relayed(rig)
            stops = []
            for node in stopped:
                stops.append(asyncio.ensure_future(stop_and_start(rig, clients, node)))
                await asyncio.sleep(1.0)
            await asyncio.sleep(0.5)
            assert count_relayed(rig) > relayed
            await asyncio.gather(*stops)
            clients.is_over = True
            await asyncio.gather(*tasks)
            print(clients.sent, clients.status_counts, *clients.losses, sep="\n")
            assert clients.losses == []
            runs = [run for s in rig.server_by_id.values() for run in s.runs]
            booked = [run.request_id for run in runs if run.target == "/book/1"]
            assert len(booked) == len(set(booked))

    asyncio.run(scenario())
