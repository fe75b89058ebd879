"""The pause between watch calls, and their end after a suspension."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.router.rig import make_rig, run

from persimmonlink_router.store import StoredItem
from persimmonlink_router.store_intervals import choose_watch_pause_s
from persimmonlink_stand_ins.metadata_store import StoreFaults

SHORTEST_DRAIN_S = 2.0  # Shortest time in which a drain must take effect.
STORE_READS_PER_S = 2000  # Least call rate that the store sustains.
SUSPENSION_S = 0.95  # Time for which the node does not run.
ENTRIES = 50  # Entries of servers in one response of the store.
REFRESH_S = 0.3  # Time in which a node that runs again has read the store.


def test_a_small_cluster_uses_the_shortest_pause():
    assert choose_watch_pause_s(8) == choose_watch_pause_s(1) == 0.3


def test_a_large_cluster_stays_within_the_read_rate_of_the_store():
    assert 380 / choose_watch_pause_s(380) < STORE_READS_PER_S / 4


@given(st.integers(0, 1000))
def test_every_pause_is_at_most_half_the_shortest_drain_deadline(nodes):
    assert choose_watch_pause_s(nodes) <= SHORTEST_DRAIN_S / 2


@pytest.mark.parametrize("is_store_silent", [False, True])
def test_a_node_asks_the_store_at_once_after_a_suspension(is_store_silent):
    async def scenario():
        async with make_rig(routers=1) as rig:
            await rig.send_request("/look/1", "GET")
            rig.store.faults = StoreFaults(never_responds=is_store_silent)
            # The next watch waits for a change, or is lost.
            await asyncio.sleep(0.5)
            time.sleep(SUSPENSION_S)
            rig.store.faults = StoreFaults()
            await asyncio.sleep(REFRESH_S)
            response = await rig.send_request("/look/1", "GET")
            assert response.status == 200

    run(scenario())


def test_a_page_of_many_entries_dispatches_waiting_pieces_once():
    async def scenario():
        async with make_rig(routers=1) as rig:
            router = rig.routers[0]
            dispatches = []
            router._scheduler.dispatcher.dispatch_all = lambda: dispatches.append(1)
            server = rig.server_by_id["stage-0"]
            items = [
                StoredItem(
                    f"servers/s{number}",
                    msgspec.json.encode(server.build_entry("stage")),
                    router._mirror.revision + number,
                )
                for number in range(1, ENTRIES + 1)
            ]
            router._mirror.apply(items)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(router.cluster_view.servers.server_by_id) > ENTRIES
            assert len(dispatches) == 1

    run(scenario())
