"""Nodes follow the store beside entries as large as the store takes."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.router.rig import add_router, make_configuration, make_rig, run, wait_until

from persimmonlink_router.loop_lag import STALL_S

VALUE_BYTES = 1048576  # The largest value that the store takes.
LARGE_WRITES = 10
CONFIGURATION_TIMEOUT_S = 3.0
MANY_WRITES = 30000
APPLY_TIMEOUT_S = 30.0
MANY_CONFIRMED = 8000  # A read that takes longer is given up after 0.5 s.


@pytest.mark.parametrize("is_one_key", [True, False])
def test_a_node_follows_the_store_past_changes_too_large_for_one_response(is_one_key):
    async def scenario():
        async with make_rig() as rig:
            for number in range(LARGE_WRITES):
                key = "servers/odd" if is_one_key else f"servers/odd-{number}"
                rig.store.put(key, bytes(VALUE_BYTES - number))
            rig.store.put("op/config", make_configuration(2))
            view = rig.routers[0].cluster_view
            await wait_until(
                lambda: view.configuration.version == 2, CONFIGURATION_TIMEOUT_S
            )
            await asyncio.sleep(1.0)
            assert view.is_in_contact

    run(scenario())


async def record_longest_turn() -> float:
    """Return the most processor time between two turns of a task, once cancelled."""
    longest_s = 0.0
    began_s = time.process_time()
    try:
        while True:
            began_s = time.process_time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.process_time() - began_s)
    except asyncio.CancelledError:
        return max(longest_s, time.process_time() - began_s)


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_node_takes_turns_while_it_reads_many_changes(is_listed):
    async def scenario():
        async with make_rig(routers=0 if is_listed else 1) as rig:
            for number in range(MANY_WRITES):
                rig.store.put(f"servers/odd-{number}", b"{}")
            turns = asyncio.create_task(record_longest_turn())
            if is_listed:
                await add_router(rig, 0, APPLY_TIMEOUT_S)
            mirror = rig.routers[0]._mirror
            last = f"servers/odd-{MANY_WRITES - 1}"
            await wait_until(lambda: mirror.find(last) is not None, APPLY_TIMEOUT_S)
            turns.cancel()
            assert await turns < STALL_S

    run(scenario())


def test_a_node_takes_turns_while_it_confirms_many_changes():
    async def scenario():
        async with make_rig() as rig:
            router = rig.routers[0]
            for task in router._tasks._tasks:
                if task.get_name() == "store-follower":
                    task.cancel()
            for number in range(MANY_CONFIRMED):
                rig.store.put(f"servers/odd-{number}", b"{}")
            turns = asyncio.create_task(record_longest_turn())
            await router._version_exchange._view_confirmer.confirm()
            turns.cancel()
            assert router._mirror.find(f"servers/odd-{MANY_CONFIRMED - 1}") is not None
            assert await turns < STALL_S

    run(scenario())
