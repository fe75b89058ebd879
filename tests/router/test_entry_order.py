"""Several changes of one server id: late writes, and starts under the same id."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import PLAIN_SERVICE, make_rig, run, wait_until

SERVER_ID = "desk-0"
SETTLED_S = 0.8  # Time in which a change has reached the node.


def write(rig, state: str, seq: int, **changes) -> None:
    server = rig.server_by_id[SERVER_ID]
    entry = server.build_entry(PLAIN_SERVICE, state=state, seq=seq, **changes)
    rig.store.put(f"servers/{SERVER_ID}", entry)


def is_used(rig) -> bool:
    used = rig.routers[0].cluster_view.servers.list_usable(PLAIN_SERVICE)
    return SERVER_ID in [server.server_id for server in used]


@pytest.mark.parametrize("is_one_change", [False, True])
def test_a_late_write_of_an_older_entry_does_not_undo_a_departure(is_one_change):
    async def scenario():
        async with make_rig() as rig:
            write(rig, "ready", 6)
            await asyncio.sleep(SETTLED_S)
            write(rig, "draining", 8)
            if not is_one_change:
                await wait_until(lambda: not is_used(rig))
            write(rig, "ready", 7)
            await asyncio.sleep(SETTLED_S)
            assert not is_used(rig)

    run(scenario())


def test_a_late_write_of_an_older_entry_brings_no_removed_server_back():
    async def scenario():
        async with make_rig() as rig:
            write(rig, "ready", 8)
            await asyncio.sleep(SETTLED_S)
            rig.store.delete(f"servers/{SERVER_ID}")
            await wait_until(lambda: not is_used(rig))
            write(rig, "ready", 7)
            await asyncio.sleep(SETTLED_S)
            assert not is_used(rig)

    run(scenario())


def test_a_server_that_writes_on_after_its_draining_entry_is_used_again():
    async def scenario():
        async with make_rig() as rig:
            write(rig, "draining", 8)
            await wait_until(lambda: not is_used(rig))
            write(rig, "ready", 9)
            await wait_until(lambda: is_used(rig))

    run(scenario())


@pytest.mark.parametrize("is_one_change", [False, True])
def test_a_server_that_starts_again_under_its_id_counts_anew(is_one_change):
    async def scenario():
        async with make_rig() as rig:
            write(rig, "draining", 8)
            rig.store.delete(f"servers/{SERVER_ID}")
            if not is_one_change:
                await wait_until(lambda: not is_used(rig))
            rig.server_by_id[SERVER_ID].started_at_ms += 5000
            write(rig, "ready", 1)
            await asyncio.sleep(SETTLED_S)
            assert is_used(rig)

    run(scenario())


@pytest.mark.parametrize("unknown", [{"born": 0}, {"seq": 0}])
def test_an_entry_that_counts_nothing_is_believed(unknown):
    async def scenario():
        async with make_rig() as rig:
            born = unknown.get("born", 1_700_000_000_000)
            write(rig, "draining", 8, born=born)
            await wait_until(lambda: not is_used(rig))
            write(rig, "ready", **{"seq": 7, "born": born, **unknown})
            await wait_until(lambda: is_used(rig))

    run(scenario())
