"""Watches that wait for rare changes are seldom given up."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.router.rig import make_rig, run, wait_until
from tests.router.stops import collect_log

from persimmonlink_router.store_intervals import (
    WATCH_LATENCY_S,
    WATCH_WAIT_S,
    choose_watch_pause_s,
)
from persimmonlink_router.watch_patience import REMEMBERED_WATCHES, WatchPatience
from persimmonlink_stand_ins.metadata_store import StoreFaults

# Watches that are given up as writes become rare, until the node knows their time.
MAX_NEEDLESS = 3
BUSY_S = 4.0  # Time in which writes are frequent.
BUSY_INTERVAL_S = 0.07
STAND_S = 0.75  # Time for which the loop stands, less than a suspension.
RARE_S = 12.0  # Time in which they are rare.
NEEDLESS_S = 2.0  # Time in which a node gives a watch up as writes become rare.
SILENT_S = 4.0  # Time in which a call to a silent store fails.


def list_store_events(lines) -> list[str]:
    """Return the events of the log that concern the store."""
    return [
        line["message"] for line in lines if line["extra"].get("dependency") == "store"
    ]


def make_patience(took_s: float) -> WatchPatience:
    patience = WatchPatience()
    for _ in range(REMEMBERED_WATCHES):
        patience.record_response(took_s)
    return patience


def test_a_node_that_knows_few_watches_waits_for_each():
    patience = WatchPatience()
    for _ in range(REMEMBERED_WATCHES - 1):
        patience.record_response(0.1)
    assert patience.find_limit_s() is None


def test_the_limit_follows_the_longest_of_the_last_watches():
    patience = make_patience(0.1)
    assert patience.find_limit_s() == 0.1 + WATCH_LATENCY_S
    patience.record_response(0.4)
    assert patience.find_limit_s() == 0.4 + WATCH_LATENCY_S


def test_no_watch_is_given_up_that_the_store_ends_itself_after_some_needless_ones():
    patience = make_patience(0.0)
    for _ in range(MAX_NEEDLESS):
        patience.record_needless(patience.find_limit_s())
    assert patience.find_limit_s() >= WATCH_WAIT_S + WATCH_LATENCY_S


def test_a_response_that_came_while_the_loop_stood_is_read():
    async def scenario():
        async with make_rig() as rig:
            follower = rig.routers[0]._follower
            follower._patience = make_patience(0.0)
            rig.store.put("servers/other", {"seq": 0})
            await wait_until(lambda: not rig.store.watch_cuts.waiting)
            await wait_until(lambda: follower._watch is not None)
            await wait_until(lambda: rig.store.watch_cuts.waiting)
            # The response is on its way, and the time of the watch is over.
            rig.store.put("servers/other", {"seq": -1})
            gave_up_at = follower._gave_up_at
            time.sleep(STAND_S)
            await asyncio.sleep(BUSY_INTERVAL_S)
            assert follower._gave_up_at == gave_up_at
            assert rig.routers[0].cluster_view.is_in_contact

    run(scenario())


def test_a_watch_that_is_given_up_needlessly_is_no_loss_of_the_store():
    async def scenario():
        async with make_rig() as rig:
            follower = rig.routers[0]._follower
            view = rig.routers[0].cluster_view
            for number in range(int(BUSY_S / BUSY_INTERVAL_S)):
                rig.store.put("servers/other", {"seq": number})
                await asyncio.sleep(BUSY_INTERVAL_S)
            with collect_log() as lines:
                # Longer than all limits that frequent writes bring about.
                await wait_until(
                    lambda: follower._patience.find_limit_s() > 3 * WATCH_LATENCY_S,
                    NEEDLESS_S,
                )
                assert view.is_in_contact
            assert list_store_events(lines) == []

    run(scenario())


def test_a_watch_that_is_given_up_as_the_store_falls_silent_is_logged_as_its_loss():
    async def scenario():
        async with make_rig() as rig:
            view = rig.routers[0].cluster_view
            for number in range(int(BUSY_S / BUSY_INTERVAL_S)):
                rig.store.put("servers/other", {"seq": number})
                await asyncio.sleep(BUSY_INTERVAL_S)
            with collect_log() as lines:
                rig.store.faults = StoreFaults(never_responds=True)
                rig.store.silence_connections()
                await wait_until(lambda: not view.is_in_contact, NEEDLESS_S)
                assert list_store_events(lines) == []
                await asyncio.sleep(SILENT_S)
                assert list_store_events(lines) == ["dependency.lost"]
                rig.store.faults = StoreFaults()
                await wait_until(lambda: view.is_in_contact, SILENT_S)
            assert list_store_events(lines) == [
                "dependency.lost",
                "dependency.recovered",
            ]

    run(scenario())


@pytest.mark.parametrize("rare_interval_s", [1.2, 60.0])
def test_writes_that_become_rare_cost_few_more_calls(rare_interval_s):
    async def scenario():
        async with make_rig() as rig:
            for number in range(int(BUSY_S / BUSY_INTERVAL_S)):
                rig.store.put("servers/other", {"seq": number})
                await asyncio.sleep(BUSY_INTERVAL_S)
            rig.store.called_paths.clear()
            for number in range(int(max(1.0, RARE_S / rare_interval_s))):
                await asyncio.sleep(min(rare_interval_s, RARE_S))
                rig.store.put("servers/other", {"seq": -number})
            watches = [p for p in rig.store.called_paths if "kv-watch" in p]
            calm_s = min(rare_interval_s, WATCH_WAIT_S + choose_watch_pause_s(1))
            assert len(watches) <= RARE_S / calm_s + 2 * MAX_NEEDLESS + 1

    run(scenario())
