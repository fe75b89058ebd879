"""Revisions that the store has not reached, as a faulty peer tells them, don't last."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest
from returns.result import Success
from tests.router.rig import PLAIN_SERVICE, make_rig, run, wait_until

from persimmonlink_router.foreign_values import MAX_INTEGER
from persimmonlink_router.peer_messages import MirroredItem, MirrorUpdate
from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_mirror import StoreMirror

SPREAD_S = 1.5  # Time in which what one node believes reaches the other.
KNOWN_ID = f"{PLAIN_SERVICE}-0"
ODD = {"servers/odd": b"{}", f"servers/{KNOWN_ID}": None}


async def lose_store(rig) -> None:
    rig.store.faults.status = 503
    for router in rig.routers:
        router._follower.refresh()
    await wait_until(lambda: not any(r.cluster_view.is_in_contact for r in rig.routers))


async def hear_odd_update(rig, update: MirrorUpdate) -> None:
    """Let node 0 pull from a peer that is ahead by far."""

    async def call(*_):
        return Success(update)

    heartbeat = rig.routers[1].membership._build_heartbeat()
    await rig.routers[0].membership.mirror_exchange.pull_if_behind(
        SimpleNamespace(call=call), replace(heartbeat, revision=MAX_INTEGER)
    )


@pytest.mark.parametrize("is_whole", [False, True])
@pytest.mark.parametrize("item_revision", [None, 2**50, MAX_INTEGER])
def test_a_revision_that_the_store_has_not_reached_lasts_as_long_as_its_outage(
    item_revision, is_whole
):
    async def scenario():
        async with make_rig(routers=2) as rig:
            await wait_until(
                lambda: len(rig.routers[0].membership.list_serving_ids()) == 2
            )
            await lose_store(rig)
            items = ()
            if item_revision is not None:
                items = tuple(
                    MirroredItem(key, value, item_revision)
                    for key, value in ODD.items()
                )
            update = MirrorUpdate(items, MAX_INTEGER, False, is_whole=is_whole)
            await hear_odd_update(rig, update)
            await asyncio.sleep(SPREAD_S)
            rig.store.faults.status = 0
            for router in rig.routers:
                view, mirror = router.cluster_view, router._mirror
                await wait_until(lambda view=view: view.is_in_contact)
                await wait_until(lambda m=mirror: m.revision < MAX_INTEGER)
                directory = view.servers.server_by_id
                await wait_until(lambda d=directory: KNOWN_ID in d)
                confirmer = router._version_exchange._view_confirmer
                assert await confirmer.confirm()
                rig.store.delete(f"servers/{KNOWN_ID}")
                await wait_until(lambda d=directory: KNOWN_ID not in d)
                server = rig.server_by_id[KNOWN_ID]
                entry = server.build_entry(PLAIN_SERVICE, seq=9)
                rig.store.put(f"servers/{KNOWN_ID}", entry)
                await wait_until(lambda d=directory: KNOWN_ID in d)

    run(scenario())


def test_only_what_the_store_has_not_reached_is_forgotten():
    changes = []
    mirror = StoreMirror(changes.append)
    mirror.apply([StoredItem("a", b"1", 4), StoredItem("b", b"1", 90)])
    mirror.apply([StoredItem("c", None, 80)])
    mirror.advance(100)
    changes.clear()
    mirror.forget_later(50)
    assert changes == [StoredItem("b", None, 50)]
    assert mirror.find("a") == StoredItem("a", b"1", 4)
    assert mirror.find("c") is None
    assert mirror.highest_revision == 50
