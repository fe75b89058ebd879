"""Places at brittle servers are kept in mind as the node that grants them stops."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import PLAIN_SERVICE, make_rig, run, wait_until

from persimmonlink_model.rendezvous import choose_owner
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.peer_messages import EngineLoad

NODE_COUNT = 4
SLOTS = 3
BRITTLE_LIMIT = 6
WORK_S = 1.0
FREED_S = 1.0  # Longest time until places are free, far less than their leases.
SENDS = 12  # Requests that wait for a place as the node stops.


def list_members_by_rank(rig, server) -> list[int]:
    """Return the indices of the nodes, those that grant its places first."""
    key = "/".join(map(str, server.key))
    index_by_id = {
        router.membership.own_member.node_id: index
        for index, router in enumerate(rig.routers)
    }
    ranked = []
    while len(ranked) < len(index_by_id):
        left = [i for i in index_by_id if index_by_id[i] not in ranked]
        ranked.append(index_by_id[choose_owner(key, left)])
    return ranked


async def make_brittle(rig):
    """Let all nodes know of a brittle server, and return it as they see it."""
    for router in rig.routers:
        members = router.membership
        await wait_until(
            lambda members=members: len(members.list_serving_ids()) == NODE_COUNT
        )
    stand_in = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
    stand_in.slots, stand_in.queue = SLOTS, 0
    stand_in.brittle_limit = BRITTLE_LIMIT
    entry = stand_in.build_entry(PLAIN_SERVICE, slots=SLOTS, seq=2)
    rig.store.put(f"servers/{PLAIN_SERVICE}-0", entry)
    for router in rig.routers:
        servers = router.cluster_view.servers.server_by_id
        await wait_until(
            lambda servers=servers: servers[f"{PLAIN_SERVICE}-0"].slots == SLOTS
        )
    for index in range(NODE_COUNT):
        assert (await rig.send_request("/look/1", node=index)).status == 200
    for router in rig.routers:
        await wait_until(lambda router=router: router._places.count_brittle() == 1)
    return rig.routers[0].cluster_view.servers.server_by_id[f"{PLAIN_SERVICE}-0"]


@pytest.mark.timeout(60)
def test_places_that_a_stopping_node_granted_are_not_granted_again():
    async def scenario():
        async with make_rig(routers=NODE_COUNT, servers=1) as rig:
            server = await make_brittle(rig)
            stand_in = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
            stand_in.work_s = WORK_S
            granter, next_granter, first, second = list_members_by_rank(rig, server)
            # As before the next heartbeat tells of the requests of the first node.
            rig.routers[second].membership.sum_peer_load = lambda _: EngineLoad(0, 0)
            runs_before = len(stand_in.runs)
            waiting = [
                asyncio.ensure_future(rig.send_request("/look/1", node=first))
                for _ in range(SLOTS)
            ]
            await wait_until(lambda: len(stand_in.runs) == runs_before + SLOTS)
            stop = asyncio.ensure_future(rig.routers[granter].stop())
            left_id = rig.routers[granter].membership.own_member.node_id
            for index in (next_granter, first, second):
                members = rig.routers[index].membership
                await wait_until(
                    lambda members=members: left_id not in members.list_serving_ids()
                )
            waiting += [
                asyncio.ensure_future(rig.send_request("/look/1", node=second))
                for _ in range(SENDS)
            ]
            await asyncio.sleep(WORK_S / 4)
            assert not stand_in.has_crashed
            assert not stand_in.rejected_at, f"{len(stand_in.rejected_at)} rejected"
            responses = await asyncio.gather(*waiting[:SLOTS])
            assert [response.status for response in responses] == [200] * SLOTS
            # Long before the leases of the places end.
            places = rig.routers[next_granter]._places._granted
            holder_id = rig.routers[first].membership.own_member.node_id
            await wait_until(
                lambda: holder_id not in places.collect_left_s(server.key, boot_time()),
                FREED_S,
            )
            await asyncio.gather(*waiting)
            await stop

    run(scenario())
