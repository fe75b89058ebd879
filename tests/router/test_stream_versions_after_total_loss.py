"""A stream keeps its software version although all nodes are killed at once."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import (
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_rig,
    restart_router,
    run,
    stop_router,
    wait_until,
)

from persimmonlink_router.connection_pool import ConnectError

STREAM_COUNT = 6
# Longest time until the store has the version of a stream that was sent.
SAVE_TIMEOUT_S = 2.0
RECORD_PREFIX = "persimmonlink/stream-versions/"
VERSION_PREFIX = "persimmonlink/service-versions/"


async def replace_engines(rig, *versions: str) -> None:
    """Replace the engines by two of each version, known to all routers."""
    for server_id in list(rig.server_by_id):
        if server_id.startswith(STREAM_SERVICE):
            await remove_engine(rig, server_id)
    for version in versions:
        await add_engines(rig, version)


async def add_engines(rig, version: str) -> None:
    ids = {f"{STREAM_SERVICE}-{version}-{index}" for index in range(2)}
    for server_id in sorted(ids):
        await add_server(rig, STREAM_SERVICE, server_id, version=version)
    for router in rig.routers:
        directory = router.cluster_view.servers
        await wait_until(
            lambda directory=directory: ids <= set(directory.server_by_id), 2.0
        )


async def remove_engine(rig, server_id: str) -> None:
    await rig.server_by_id.pop(server_id).stop()
    rig.store.delete(f"servers/{server_id}")


async def remove_version(rig, version: str) -> None:
    for server_id, server in list(rig.server_by_id.items()):
        if server_id.startswith(STREAM_SERVICE) and server.version == version:
            await remove_engine(rig, server_id)


def list_engines(rig):
    return [
        server
        for server_id, server in rig.server_by_id.items()
        if server_id.startswith(STREAM_SERVICE)
    ]


def find_versions(rig, *request_ids: str) -> set[str]:
    """Return the versions of the servers that ran these requests."""
    return {
        server.version
        for server in list_engines(rig)
        for seen in server.runs
        if seen.request_id in request_ids
    }


async def begin_broken_streams(rig) -> dict[str, str]:
    """Begin streams that break off after two events; return version by request."""
    for server in list_engines(rig):
        server.faults.cuts_streams_after = 2
    version_by_id = {}
    for number in range(STREAM_COUNT):
        request_id = f"s{number}"
        broken = await rig.send_request(
            "/list/1", request_id=request_id, deadline_ms=1200, **STREAM
        )
        assert not broken.is_complete
        (version_by_id[request_id],) = find_versions(rig, request_id)
    for server in list_engines(rig):
        server.faults.cuts_streams_after = 0
    return version_by_id


async def take_up(rig, began_as: str, node: int = 0):
    return await rig.send_request(
        "/list/1",
        node=node,
        request_id=f"again-{began_as}",
        Last_Event_Id="2",
        Resumes=began_as,
        **STREAM,
    )


async def wait_until_saved(rig) -> None:
    """Wait as long as the store may lack the version of a stream at most."""
    await asyncio.sleep(SAVE_TIMEOUT_S)


async def stop_all(rig) -> None:
    for router in rig.routers:
        await stop_router(router)


async def restart_all(rig) -> None:
    await asyncio.gather(*(restart_router(rig, i) for i in range(len(rig.routers))))


@pytest.mark.parametrize("routers", [1, 3])
def test_streams_go_on_at_their_version_while_both_serve(routers):
    async def scenario():
        async with make_rig(routers=routers) as rig:
            await replace_engines(rig, "v1", "v2")
            version_by_id = await begin_broken_streams(rig)
            await wait_until_saved(rig)
            await stop_all(rig)
            await restart_all(rig)
            for began_as, version in version_by_id.items():
                response = await take_up(rig, began_as)
                assert response.is_complete, response.body
                assert find_versions(rig, f"again-{began_as}") == {version}

    run(scenario())


def test_streams_that_began_before_the_second_version_go_on_at_the_first():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await replace_engines(rig, "v1")
            # The version that the rig began with counts as well until it is forgotten.
            version_by_id = await begin_broken_streams(rig)
            await add_engines(rig, "v2")
            await wait_until_saved(rig)
            await stop_all(rig)
            await restart_all(rig)
            for began_as in version_by_id:
                response = await take_up(rig, began_as)
                assert response.is_complete, response.body
                assert find_versions(rig, f"again-{began_as}") == {"v1"}

    run(scenario())


def test_a_stream_whose_version_left_while_all_nodes_were_down_is_refused():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await replace_engines(rig, "v1")
            await wait_until_saved(rig)
            version_by_id = await begin_broken_streams(rig)
            await stop_all(rig)
            await add_engines_unseen(rig, "v2")
            await remove_version(rig, "v1")
            await restart_all(rig)
            for began_as in version_by_id:
                response = await take_up(rig, began_as)
                assert response.status == 503
                assert float(response.headers["retry-after"]) > 0
            assert find_versions(rig, *(f"again-{i}" for i in version_by_id)) == set()

    run(scenario())


async def add_engines_unseen(rig, version: str) -> None:
    """Start two engines while no router runs."""
    for index in range(2):
        server_id = f"{STREAM_SERVICE}-{version}-{index}"
        await add_server(rig, STREAM_SERVICE, server_id, version=version)


def test_a_stream_whose_version_left_just_before_all_nodes_were_killed_is_refused():
    async def scenario():
        async with make_rig(routers=3) as rig:
            await replace_engines(rig, "v1", "v2")
            version_by_id = await begin_broken_streams(rig)
            await remove_version(rig, "v1")
            await asyncio.sleep(0.5)
            await stop_all(rig)
            await restart_all(rig)
            for began_as, version in version_by_id.items():
                response = await take_up(rig, began_as)
                if version == "v1":
                    assert response.status == 503
                if response.status == 200:
                    assert find_versions(rig, f"again-{began_as}") == {version}

    run(scenario())


def test_a_node_that_has_not_read_all_records_does_not_guess_a_version():
    async def scenario():
        async with make_rig(routers=1) as rig:
            await replace_engines(rig, "v1")
            version_by_id = await begin_broken_streams(rig)
            await wait_until_saved(rig)
            await stop_all(rig)
            await add_engines_unseen(rig, "v2")
            await remove_version(rig, "v1")
            settings = rig.settings[0]
            router = await start_without_own_records(rig, settings)
            response = await take_up(rig, "s0")
            assert version_by_id["s0"] == "v1"
            assert response.status == 503
            assert find_versions(rig, "again-s0") == set()
            assert router.cluster_view.configuration is not None

    run(scenario())


async def start_without_own_records(rig, settings):
    """Start the router, whose store fails the listing of what routers wrote."""
    from persimmonlink_adapter.run import create_adapters
    from persimmonlink_router.router import OWN_PREFIX, Router
    from persimmonlink_router.store import StoreUnavailableError

    adapters = create_adapters(settings)
    read_page = adapters.store.read_page

    async def read_other_pages(prefix: str, after: str, *timeout):
        if prefix == OWN_PREFIX:
            raise StoreUnavailableError("failed by the test")
        return await read_page(prefix, after, *timeout)

    adapters.store.read_page = read_other_pages
    router = Router(settings, adapters)
    rig.routers[0] = router
    await router.start()
    await wait_until(lambda: router.cluster_view.configuration is not None)
    return router


def test_another_node_saves_the_versions_if_the_first_one_cannot():
    async def scenario():
        async with make_rig(routers=3) as rig:
            for router in rig.routers:
                await wait_until(
                    lambda router=router: (
                        len(router.membership.list_serving_members()) == 3
                    )
                )
            await replace_engines(rig, "v1", "v2")

            async def refuse(*_):
                raise ConnectError("refused by the test")

            writer = find_writer(rig)
            writer._adapters.store._pool.exchange = refuse
            version_by_id = await begin_broken_streams(rig)
            await asyncio.sleep(5.0)
            await stop_all(rig)
            await restart_all(rig)
            for began_as, version in version_by_id.items():
                response = await take_up(rig, began_as)
                assert response.is_complete, response.body
                assert find_versions(rig, f"again-{began_as}") == {version}

    run(scenario())


def find_writer(rig):
    """Return the router that saves the versions, as all agree on it."""
    for router in rig.routers:
        if router.stream_version_saver.rank == 0:
            return router
    raise AssertionError("no router saves the versions")


def test_streams_are_not_saved_while_one_version_serves():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await begin_broken_streams(rig)
            await wait_until_saved(rig)
            keys = rig.store.list_keys()
            assert not [key for key in keys if key.startswith(RECORD_PREFIX)]
            assert [key for key in keys if key.startswith(VERSION_PREFIX)]

    run(scenario())


def test_one_member_saves_the_versions_of_services_while_they_stay():
    async def scenario():
        async with make_rig(routers=3) as rig:
            for router in rig.routers:
                await wait_until(
                    lambda router=router: (
                        len(router.membership.list_serving_members()) == 3
                    )
                )
            await asyncio.sleep(4.0)
            saved = rig.store.list_keys_written(VERSION_PREFIX)
            assert 1 <= len(saved) <= 2
            await asyncio.sleep(4.0)
            assert rig.store.list_keys_written(VERSION_PREFIX) == saved

    run(scenario())
