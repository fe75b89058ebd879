"""The store comes back from an older copy: revisions go back, and leases are gone."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    add_router,
    add_server,
    make_configuration,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_router.cluster_membership import MEMBER_PREFIX
from persimmonlink_router.cluster_view import OUTAGE_EXPIRY_GRACE_S

RECOVERY_S = 4.0  # Time in which nodes follow the store again.


def list_registrations(rig) -> set[str]:
    return {key for key in rig.store.list_keys() if key.startswith(MEMBER_PREFIX)}


async def check_for_a_second(condition) -> None:
    """Check all the time that a condition holds."""
    ends_at = asyncio.get_running_loop().time() + 1.0
    while asyncio.get_running_loop().time() < ends_at:
        await asyncio.sleep(0.02)
        assert condition()


def write_again(rig) -> None:
    """Write the entries of all servers again, as they do themselves."""
    for server_id, server in rig.server_by_id.items():
        service = server_id.rpartition("-")[0]
        entry = server.build_entry(service, seq=50)
        rig.store.put(f"servers/{server_id}", entry)


def test_a_configuration_written_after_the_restore_takes_effect():
    async def scenario():
        async with make_rig(routers=2) as rig:
            rig.store.take_copy()
            for version in range(2, 6):
                rig.store.put("op/config", make_configuration(version))
            views = [router.cluster_view for router in rig.routers]
            await wait_until(lambda: all(v.configuration.version == 5 for v in views))
            rig.store.restore_copy()
            rig.store.put("op/config", make_configuration(6))
            await wait_until(
                lambda: all(v.configuration.version == 6 for v in views), RECOVERY_S
            )

    run(scenario())


def test_a_restored_older_configuration_does_not_take_effect():
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            rig.store.put("op/config", make_configuration(7))
            view = rig.routers[0].cluster_view
            await wait_until(lambda: view.configuration.version == 7)
            rig.store.restore_copy()
            revision = rig.routers[0]._mirror.revision
            await wait_until(lambda: rig.routers[0]._mirror.revision > revision)
            assert view.configuration.version == 7

    run(scenario())


def test_nodes_register_again_although_their_lease_ids_are_given_out_again():
    async def scenario():
        async with make_rig(routers=0) as rig:
            rig.store.take_copy()
            for index in range(3):
                await add_router(rig, index)
            await wait_until(lambda: len(list_registrations(rig)) == 3)
            registered = list_registrations(rig)
            rig.store.restore_copy()
            for _ in registered:
                rig.store.grant_lease(60.0)
            assert not list_registrations(rig)
            await wait_until(lambda: list_registrations(rig) == registered, RECOVERY_S)
            await asyncio.sleep(2.0)
            assert list_registrations(rig) == registered

    run(scenario())


def test_a_server_that_joined_after_the_copy_serves_on_until_it_is_written_again():
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            await add_server(rig, PLAIN_SERVICE, "desk-9")
            servers = rig.routers[0].cluster_view.servers
            await wait_until(lambda: "desk-9" in servers.server_by_id)
            rig.store.restore_copy()
            await check_for_a_second(lambda: "desk-9" in servers.server_by_id)
            write_again(rig)
            await asyncio.sleep(2 * OUTAGE_EXPIRY_GRACE_S)
            assert "desk-9" in servers.server_by_id

    run(scenario())


def test_a_server_that_is_not_written_again_is_removed():
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            await add_server(rig, PLAIN_SERVICE, "desk-9")
            servers = rig.routers[0].cluster_view.servers
            await wait_until(lambda: "desk-9" in servers.server_by_id)
            rig.store.restore_copy()
            await wait_until(
                lambda: "desk-9" not in servers.server_by_id,
                RECOVERY_S + OUTAGE_EXPIRY_GRACE_S,
            )

    run(scenario())


def test_a_draining_server_is_not_used_again_because_the_copy_lists_it_as_ready():
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            servers = rig.routers[0].cluster_view.servers
            leaving = rig.server_by_id["desk-0"]
            entry = leaving.build_entry(PLAIN_SERVICE, state="draining", seq=2)
            rig.store.put("servers/desk-0", entry)
            await wait_until(lambda: servers.server_by_id["desk-0"].is_draining)
            revision = rig.routers[0]._mirror.revision
            rig.store.restore_copy()
            await wait_until(lambda: rig.routers[0]._mirror.revision > revision)
            await asyncio.sleep(0.2)
            used = [server.server_id for server in servers.list_usable(PLAIN_SERVICE)]
            assert used == ["desk-1"]
            rig.store.put("servers/desk-0", {**entry, "state": "ready", "seq": 3})
            await wait_until(lambda: not servers.server_by_id["desk-0"].is_draining)

    run(scenario())


@pytest.mark.parametrize("says_draining", [True, False])
def test_a_server_that_left_is_not_used_again_because_the_copy_lists_it(says_draining):
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            servers = rig.routers[0].cluster_view.servers
            leaving = rig.server_by_id["desk-0"]
            if says_draining:
                entry = leaving.build_entry(PLAIN_SERVICE, state="draining", seq=2)
                rig.store.put("servers/desk-0", entry)
                await wait_until(lambda: servers.server_by_id["desk-0"].is_draining)
            rig.store.delete("servers/desk-0")
            await wait_until(lambda: "desk-0" not in servers.server_by_id)
            revision = rig.routers[0]._mirror.revision
            rig.store.restore_copy()
            await wait_until(lambda: rig.routers[0]._mirror.revision > revision)
            await asyncio.sleep(0.2)
            used = [server.server_id for server in servers.list_usable(PLAIN_SERVICE)]
            assert used == ["desk-1"]

    run(scenario())


def test_a_server_that_is_written_again_after_it_left_is_used_again():
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            servers = rig.routers[0].cluster_view.servers
            rig.store.delete("servers/desk-0")
            await wait_until(lambda: "desk-0" not in servers.server_by_id)
            rig.store.restore_copy()
            await asyncio.sleep(0.5)
            write_again(rig)
            await wait_until(lambda: "desk-0" in servers.server_by_id, RECOVERY_S)

    run(scenario())


def test_a_drain_that_the_copy_lacks_stays_until_it_is_written_again():
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            servers = rig.routers[0].cluster_view.servers
            rig.store.put("op/evacuate/a", {})
            await wait_until(lambda: servers.drained_domains == {"a"})
            rig.store.restore_copy()
            await check_for_a_second(lambda: servers.drained_domains == {"a"})
            rig.store.put("op/evacuate/a", {})
            await asyncio.sleep(2 * OUTAGE_EXPIRY_GRACE_S)
            assert servers.drained_domains == {"a"}
            rig.store.delete("op/evacuate/a")
            await wait_until(lambda: not servers.drained_domains)

    run(scenario())


def test_a_drain_that_is_not_written_again_ends():
    async def scenario():
        async with make_rig() as rig:
            rig.store.take_copy()
            servers = rig.routers[0].cluster_view.servers
            rig.store.put("op/evacuate/a", {})
            await wait_until(lambda: servers.drained_domains == {"a"})
            rig.store.restore_copy()
            await wait_until(
                lambda: not servers.drained_domains, RECOVERY_S + OUTAGE_EXPIRY_GRACE_S
            )

    run(scenario())
