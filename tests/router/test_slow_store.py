"""A node that lost a slow store for a moment finds it again while it is slow."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.router.rig import add_router, make_rig, run, wait_until

from persimmonlink_adapter.store_client import REVISIONS_PER_ERA
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.store_intervals import (
    WATCH_LATENCY_S,
    WATCH_WAIT_S,
    choose_outage_interval_s,
)
from persimmonlink_router.store_latency import StoreLatency
from persimmonlink_stand_ins.metadata_store import StoreFaults

NODES = 3
SLOW_S = 1.4  # Time of each call, longer than the margin of a watch.
SLOW_CHANGE_S = 4.0  # Time in which a change arrives while the store is slow.
WRITE_INTERVAL_S = 0.2
CUT_INTERVAL_S = 0.03  # Pause between cuts, in which nodes notice them.
SUSPENSION_S = 0.95  # Time for which the nodes do not run.
LOST_S = 8.0  # Time in which a node takes it to be lost as it turns slow.
STARTED_S = 10.0  # Time in which it has listed all keys.
DRAIN_S = 2.0  # Time in which a drain must take effect.
CONTACT_S = 3.0  # Time after its start from which that holds for a node.
LATE_S = 0.88  # Time of each call, in which two calls are answered in time.
STEP_S = 0.05
FOUND_S = 2 * choose_outage_interval_s(NODES) + SLOW_S


async def write_for(rig, length_s: float) -> list[int]:
    """Write an entry again and again; return the revisions."""
    revisions = []
    for number in range(int(length_s / WRITE_INTERVAL_S)):
        revision = rig.store.put("servers/other", {"seq": number})
        revisions.append(revision + REVISIONS_PER_ERA)
        await asyncio.sleep(WRITE_INTERVAL_S)
    return revisions


async def cut_watches_of_all(rig) -> None:
    """Cut watches until each node has lost the store."""
    lost: set[int] = set()
    async with asyncio.timeout(LOST_S):
        while len(lost) < NODES:
            rig.store.cut_watches()
            await asyncio.sleep(CUT_INTERVAL_S)
            lost |= {
                index
                for index, router in enumerate(rig.routers)
                if not router.cluster_view.is_in_contact
            }


@pytest.mark.parametrize("trouble", ["suspension", "cut watches"])
@pytest.mark.parametrize("is_written", [True, False])
def test_a_slow_store_is_found_again(trouble, is_written):
    async def scenario():
        async with make_rig(routers=NODES) as rig:
            rig.store.faults = StoreFaults(delay_s=SLOW_S)
            await write_for(rig, 3.0)
            if trouble == "suspension":
                time.sleep(SUSPENSION_S)
            else:
                await cut_watches_of_all(rig)
            if is_written:
                await write_for(rig, FOUND_S)
            else:
                await asyncio.sleep(FOUND_S)
            revisions = await write_for(rig, SLOW_CHANGE_S + WRITE_INTERVAL_S)
            assert all(r._mirror.revision >= revisions[0] for r in rig.routers)
            assert all(r.cluster_view.is_in_contact for r in rig.routers)

    run(scenario())


async def know_slowness(rig) -> None:
    """Wait until all nodes have found the store again, which is slow from now."""
    rig.store.faults = StoreFaults(delay_s=SLOW_S)
    views = [router.cluster_view for router in rig.routers]
    await asyncio.gather(
        *(wait_until(lambda v=view: not v.is_in_contact, LOST_S) for view in views)
    )
    await asyncio.gather(
        *(wait_until(lambda v=view: v.is_in_contact, FOUND_S) for view in views)
    )


async def assert_stays_in_contact(router, length_s: float) -> None:
    ends_at = boot_time() + length_s
    while boot_time() < ends_at:
        assert router.cluster_view.is_in_contact
        await asyncio.sleep(0.01)


def test_a_slow_store_that_is_known_is_not_lost_while_nothing_changes():
    async def scenario():
        async with make_rig(routers=1) as rig:
            await know_slowness(rig)
            await assert_stays_in_contact(rig.routers[0], 2 * (WATCH_WAIT_S + SLOW_S))

    run(scenario())


def test_a_watch_of_a_slow_store_that_is_known_is_not_given_up_for_a_peers_word():
    async def scenario():
        async with make_rig(routers=1) as rig:
            await know_slowness(rig)
            router = rig.routers[0]
            follower = router._follower
            await wait_until(lambda: follower._watch is not None)
            revision = follower._watched_revision
            rig.store.put("servers/other", {"seq": 1})
            follower.record_peer_revision(revision + 1)
            await assert_stays_in_contact(router, SLOW_S + WRITE_INTERVAL_S)
            assert router._mirror.revision > revision

    run(scenario())


def test_a_slow_store_that_is_known_is_not_lost_by_a_suspension():
    async def scenario():
        async with make_rig(routers=1) as rig:
            await know_slowness(rig)
            time.sleep(SUSPENSION_S)
            await assert_stays_in_contact(rig.routers[0], WATCH_WAIT_S + SLOW_S)

    run(scenario())


def test_a_store_that_was_slow_is_soon_taken_to_be_fast():
    async def scenario():
        async with make_rig(routers=1) as rig:
            await know_slowness(rig)
            follower = rig.routers[0]._follower
            rig.store.faults = StoreFaults()
            await asyncio.sleep(SLOW_S + WATCH_WAIT_S)
            rig.store.put("servers/other", {"seq": 1})
            await asyncio.sleep(WRITE_INTERVAL_S)
            assert follower._latency.find_limit_s() < WATCH_LATENCY_S + WRITE_INTERVAL_S

    run(scenario())


def test_a_store_that_turns_slower_and_slower_is_lost():
    async def scenario():
        async with make_rig(routers=1) as rig:
            follower = rig.routers[0]._follower
            follower._latency.record_call(10 * SLOW_S)
            _, margin_s = follower._choose_watch_times(is_usual=True)
            assert margin_s <= choose_outage_interval_s(1)

    run(scenario())


def test_a_change_that_was_waited_for_makes_no_store_slow():
    latency = StoreLatency()
    latency.record_call(0.1)
    latency.record_change(1.9)
    assert latency.find_limit_s() == 0.1 + WATCH_LATENCY_S


def test_a_fast_response_ends_the_time_that_a_slow_one_is_given():
    latency = StoreLatency()
    latency.record_call(1.4)
    latency.record_change(0.3)
    assert latency.find_limit_s() == 0.3 + WATCH_LATENCY_S


async def find_longest_delay_s(rig, router, began_at: float) -> float:
    """Write for some seconds; return the longest time until a node knows a write.

    What it doesn't know while it has just started doesn't count.
    """
    written: list[tuple[float, int]] = []
    longest_s = 0.0
    while boot_time() < began_at + CONTACT_S + 4 * DRAIN_S:
        revision = rig.store.put("servers/other", {"seq": len(written)})
        written.append((boot_time(), revision + REVISIONS_PER_ERA))
        await asyncio.sleep(STEP_S)
        unknown = [at for at, number in written if number > router._mirror.revision]
        if unknown and boot_time() > began_at + CONTACT_S:
            longest_s = max(longest_s, boot_time() - unknown[0])
    return longest_s


def test_pauses_between_watches_of_a_slow_store_delay_no_drain():
    async def scenario():
        async with make_rig(routers=0) as rig:
            rig.store.faults = StoreFaults(delay_s=LATE_S)
            router = await add_router(rig, 0)
            longest_s = await find_longest_delay_s(rig, router, boot_time() - CONTACT_S)
            assert longest_s < DRAIN_S

    run(scenario())


def test_listings_of_a_slow_store_at_a_start_delay_no_drain():
    async def scenario():
        async with make_rig(routers=0) as rig:
            rig.store.faults = StoreFaults(delay_s=LATE_S)
            began_at = boot_time()
            start = asyncio.ensure_future(add_router(rig, 0))
            await wait_until(lambda: rig.routers)
            longest_s = await find_longest_delay_s(rig, rig.routers[0], began_at)
            assert longest_s < DRAIN_S
            await start

    run(scenario())


def test_a_slow_store_is_read_by_a_node_that_starts():
    async def scenario():
        async with make_rig(routers=1) as rig:
            rig.store.faults = StoreFaults(delay_s=SLOW_S)
            started = await add_router(rig, 1)
            await asyncio.sleep(STARTED_S)
            assert started.cluster_view.last_contact_at > 0
            revisions = await write_for(rig, SLOW_CHANGE_S + WRITE_INTERVAL_S)
            assert started._mirror.revision >= revisions[0]
            assert started.cluster_view.is_in_contact

    run(scenario())
