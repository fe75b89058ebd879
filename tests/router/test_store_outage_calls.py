"""Calls to the store while it fails: few, and soon right again after it."""

from __future__ import annotations

import asyncio
import random

import pytest
from tests.router.rig import make_configuration, make_rig, run, wait_until

from persimmonlink_adapter.store_client import REVISIONS_PER_ERA
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.store_backoff import FIRST_INTERVAL_S, JITTER, StoreBackoff
from persimmonlink_router.store_intervals import choose_watch_pause_s
from persimmonlink_stand_ins.metadata_store import StoreFaults

NODES = 3
OUTAGE_S = 10.0
# Calls a second that a node makes while the store serves and servers change.
CALM_CALLS_PER_S = 0.75
# Shortest time after an outage from which nodes must act on changes.
CHANGE_S = 3.0
SLOW_CHANGE_S = 4.0  # Time in which a change arrives while the store is slow.
WRITE_INTERVAL_S = 0.2

FAULTS = [
    StoreFaults(status=503),
    StoreFaults(status=429),
    StoreFaults(never_responds=True),
    StoreFaults(drops_responses=True),
]


@pytest.mark.parametrize("faults", FAULTS, ids=["503", "429", "silent", "lost"])
def test_an_outage_costs_no_more_calls_than_calm(faults):
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            await asyncio.sleep(0.5)
            rig.store.faults = faults
            rig.store.called_paths.clear()
            await asyncio.sleep(OUTAGE_S)
            renewals = [p for p in rig.store.called_paths if "kv-keep" in p]
            calls = len(rig.store.called_paths) - 0.9 * len(renewals)
            assert calls <= CALM_CALLS_PER_S * OUTAGE_S * NODES

    run(scenario())


@pytest.mark.parametrize("faults", FAULTS[:3], ids=["503", "429", "silent"])
def test_all_nodes_have_a_change_soon_after_an_outage(faults):
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            rig.store.faults = faults
            await asyncio.sleep(6.0)
            rig.store.faults = StoreFaults()
            rig.store.put("op/config", make_configuration(8))
            await wait_until(
                lambda: all(
                    router.cluster_view.configuration.version == 8
                    for router in rig.routers
                ),
                CHANGE_S,
            )

    run(scenario())


def test_all_nodes_are_registered_again_after_an_outage_that_ended_their_leases():
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            await wait_until(lambda: count_registered(rig) == NODES)
            rig.store.faults = StoreFaults(status=503)
            await asyncio.sleep(5.0)
            rig.store.expire_all_leases()
            rig.store.faults = StoreFaults()
            await wait_until(lambda: count_registered(rig) == NODES, 4.0)

    run(scenario())


@pytest.mark.parametrize("delay_s", [0.7, 1.4])
def test_a_slow_store_is_followed_without_more_calls(delay_s):
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            rig.store.faults = StoreFaults(delay_s=delay_s)
            rig.store.called_paths.clear()
            revisions = []
            for number in range(int(OUTAGE_S / WRITE_INTERVAL_S)):
                revisions.append(rig.store.put("servers/other", {"seq": number}))
                await asyncio.sleep(WRITE_INTERVAL_S)
            old = revisions[-int(SLOW_CHANGE_S / WRITE_INTERVAL_S)] + REVISIONS_PER_ERA
            assert all(router._mirror.revision >= old for router in rig.routers)
            watches = [p for p in rig.store.called_paths if "kv-watch" in p]
            interval_s = choose_watch_pause_s(NODES) + delay_s
            # At most one watch of a node is given up in that time.
            assert len(watches) <= (OUTAGE_S / interval_s + 2) * NODES
            assert all(
                boot_time() - router.cluster_view.last_contact_at < SLOW_CHANGE_S
                for router in rig.routers
            )

    run(scenario())


def count_registered(rig) -> int:
    keys = rig.store.list_keys()
    return sum(1 for key in keys if key.startswith("persimmonlink/nodes/"))


CALM_INTERVAL_S = 2.3


def make_backoff(seed: int) -> StoreBackoff:
    return StoreBackoff(lambda: CALM_INTERVAL_S, random.Random(seed))


def test_a_node_retries_once_soon_then_as_often_as_in_calm_times():
    backoff = make_backoff(1)
    pauses = [backoff.next_pause_s(0.0) for _ in range(6)]
    assert FIRST_INTERVAL_S <= pauses[0] <= FIRST_INTERVAL_S * (1 + JITTER)
    assert all(
        CALM_INTERVAL_S <= pause <= CALM_INTERVAL_S * (1 + JITTER)
        for pause in pauses[1:]
    )
    backoff.record_success()
    assert backoff.next_pause_s(0.0) <= FIRST_INTERVAL_S * (1 + JITTER)


def test_the_time_of_a_slow_failure_is_part_of_the_interval():
    slow, fast = make_backoff(1), make_backoff(1)
    for _ in range(4):
        assert 0 < slow.next_pause_s(5.0) < fast.next_pause_s(0.0)


def test_intervals_of_several_nodes_differ():
    pauses = {make_backoff(seed).next_pause_s(0.0) for seed in range(8)}
    assert len(pauses) == 8
