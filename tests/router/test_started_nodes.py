"""Nodes that start or stop while servers leave."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import PLAIN_SERVICE, add_router, make_rig, run, wait_until

from persimmonlink_router.change_origin import ChangeOrigin, ChangeSource
from persimmonlink_router.mirror_exchange import MirrorExchange
from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_mirror import StoreMirror

REPLY_DELAY_S = 0.4  # Time that a reply of the peer takes.
BY_PEER = ChangeOrigin(ChangeSource.PEER)


def test_a_started_node_uses_no_server_that_only_a_peer_s_older_copy_has(monkeypatch):
    handle_pull = MirrorExchange.handle_pull

    async def reply_late(self, message):
        update = await handle_pull(self, message)
        await asyncio.sleep(REPLY_DELAY_S)
        return update

    monkeypatch.setattr(MirrorExchange, "handle_pull", reply_late)

    async def scenario():
        async with make_rig() as rig:
            for task in rig.routers[0]._tasks._tasks:
                if task.get_name() == "store-follower":
                    task.cancel()
            await asyncio.sleep(0.1)
            rig.store.delete("servers/desk-0")
            started = await add_router(rig, 1)
            await asyncio.sleep(2 * REPLY_DELAY_S)
            used = started.cluster_view.servers.list_usable(PLAIN_SERVICE)
            assert [server.server_id for server in used] == ["desk-1"]

    run(scenario())


@pytest.mark.parametrize("has_seen_it", [False, True])
def test_a_key_that_a_complete_copy_lacks_is_not_taken_from_an_older_one(has_seen_it):
    changes = []
    mirror = StoreMirror(changes.append)
    if has_seen_it:
        mirror.apply([StoredItem("servers/a", b"1", 4)])
    mirror.apply_listing("servers/", [StoredItem("servers/b", b"1", 5)], 9)
    mirror.advance(9)
    changes.clear()
    mirror.apply([StoredItem("servers/a", b"1", 4)], BY_PEER)
    assert changes == []
    mirror.apply([StoredItem("servers/c", b"1", 10)], BY_PEER)
    assert [item.key for item in changes] == ["servers/c"]


def test_a_key_that_a_listing_lacks_is_not_taken_before_all_are_listed():
    changes = []
    mirror = StoreMirror(changes.append)
    mirror.apply_listing("servers/", [], 9)
    mirror.apply([StoredItem("servers/a", b"1", 4)], BY_PEER)
    assert changes == []
    mirror.apply([StoredItem("op/a", b"1", 4)], BY_PEER)
    assert [item.key for item in changes] == ["op/a"]


def test_a_peer_s_copy_is_taken_by_a_node_that_has_none():
    changes = []
    mirror = StoreMirror(changes.append)
    mirror.apply([StoredItem("servers/a", b"1", 4)], BY_PEER)
    assert [item.key for item in changes] == ["servers/a"]


def test_a_node_that_stops_hears_of_departures_until_its_end():
    async def scenario():
        async with make_rig() as rig:
            router = rig.routers[0]
            stop = asyncio.create_task(router.stop())
            for server_id in ("desk-0", "desk-1"):
                await asyncio.sleep(REPLY_DELAY_S)
                rig.store.delete(f"servers/{server_id}")
                servers = router.cluster_view.servers.server_by_id
                await wait_until(lambda name=server_id, s=servers: name not in s, 1.0)
                assert not stop.done()
            await stop

    run(scenario())
