"""A watch that breaks off while the store serves on is no outage of the store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from tests.router.rig import make_rig, run, wait_until

from persimmonlink_peers.codec import MessagePackCodec
from persimmonlink_router.cluster_view import OUTAGE_EXPIRY_GRACE_S
from persimmonlink_router.http_client import ConnectError
from persimmonlink_router.peer_messages import MirroredItem, MirrorUpdate
from persimmonlink_stand_ins.metadata_store import StoreFaults

# Well below the 2 s after which no request may reach a server that left.
REMOVAL_S = 1.0
WATCH_AGE_S = 1.0  # Time for which the watch has waited as it is cut.
DRAIN_S = 1.9  # Below the 2 s after which no request may reach a server that left.
LAPSE_S = 2.4  # Shortest outage in which the entry of a running server can expire.


async def leave_as_watches_are_cut(rig, *, is_silent: bool) -> None:
    """Let a server leave, without a draining entry, as all watches break off."""
    await asyncio.sleep(WATCH_AGE_S)
    rig.store.cut_watches(is_silent=is_silent)
    await asyncio.sleep(0.03)
    rig.store.delete("servers/desk-0")


def has_server(router) -> bool:
    return "desk-0" in router.cluster_view.servers.server_by_id


@pytest.mark.parametrize("routers", [1, 3])
def test_a_server_that_leaves_as_a_watch_is_cut_is_removed_at_once(routers):
    async def scenario():
        async with make_rig(routers=routers) as rig:
            await leave_as_watches_are_cut(rig, is_silent=False)
            await wait_until(
                lambda: not any(has_server(router) for router in rig.routers),
                REMOVAL_S,
            )

    run(scenario())


def test_a_server_that_leaves_after_a_cut_watch_is_removed_at_once():
    async def scenario():
        async with make_rig() as rig:
            await asyncio.sleep(WATCH_AGE_S)
            rig.store.cut_watches()
            await asyncio.sleep(0.8)
            rig.store.delete("servers/desk-0")
            await wait_until(lambda: not has_server(rig.routers[0]), REMOVAL_S)

    run(scenario())


@pytest.mark.parametrize(
    "faults",
    [StoreFaults(status=503), StoreFaults(never_responds=True)],
    ids=["503", "silent"],
)
def test_an_entry_that_expired_in_an_outage_is_still_believed_for_a_time(faults):
    async def scenario():
        async with make_rig() as rig:
            view = rig.routers[0].cluster_view
            rig.store.faults = faults
            rig.store.cut_watches(is_silent=faults.never_responds)
            await wait_until(lambda: not view.is_in_contact, 4.0)
            await asyncio.sleep(LAPSE_S)
            rig.store.delete("servers/desk-0")
            rig.store.faults = StoreFaults()
            await wait_until(lambda: view.is_in_contact, 4.0)
            await asyncio.sleep(OUTAGE_EXPIRY_GRACE_S / 2)
            assert has_server(rig.routers[0])
            await wait_until(
                lambda: not has_server(rig.routers[0]), OUTAGE_EXPIRY_GRACE_S
            )

    run(scenario())


@pytest.mark.parametrize("routers", [2, 3])
def test_a_node_whose_watch_hangs_hears_of_a_departure_in_time(routers):
    async def scenario():
        async with make_rig(routers=routers) as rig:
            await asyncio.sleep(WATCH_AGE_S)
            rig.store.cut_watches(is_silent=True, most=1)
            await asyncio.sleep(0.03)
            rig.store.delete("servers/desk-0")
            await wait_until(
                lambda: not any(has_server(router) for router in rig.routers), DRAIN_S
            )

    run(scenario())


def test_a_node_that_the_store_turns_away_hears_of_a_departure_in_time():
    async def scenario():
        async with make_rig(routers=2) as rig:
            turned_away = rig.routers[1]

            async def refuse(*_):
                raise ConnectError("refused by the test")

            await asyncio.sleep(OUTAGE_EXPIRY_GRACE_S)
            turned_away._adapters.store._pool.exchange = refuse
            await wait_until(lambda: not turned_away.cluster_view.is_in_contact)
            await asyncio.sleep(WATCH_AGE_S)
            rig.store.delete("servers/desk-0")
            await wait_until(lambda: not has_server(turned_away), DRAIN_S)

    run(scenario())


@dataclass(frozen=True)
class OlderUpdate:
    """Reply to a pull as builds without `steady_s` write and read it."""

    items: tuple[MirroredItem, ...]
    revision: int
    is_in_contact: bool


def test_replies_of_and_to_builds_without_the_new_field_are_read():
    codec = MessagePackCodec()
    older = OlderUpdate((MirroredItem("servers/a", None, 7),), 7, True)
    read = codec.decode(codec.encode(older, OlderUpdate), MirrorUpdate)
    assert (read.items, read.revision, read.steady_s) == (older.items, 7, 0.0)
    newer = MirrorUpdate(older.items, 7, True, 12.5)
    assert codec.decode(codec.encode(newer, MirrorUpdate), OlderUpdate) == older
