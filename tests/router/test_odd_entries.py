"""Odd entries of other writers keep no node from following the store or serving."""

from __future__ import annotations

import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_configuration,
    make_rig,
    run,
    wait_until,
)

DEEP = b'{"labels":' * 3000
# A node applies a change within this time, seconds.
APPLY_S = 1.5


def list_odd_entries(rig) -> dict[str, bytes | dict]:
    """Return odd entries by id."""
    server = rig.server_by_id[f"{PLAIN_SERVICE}-0"]
    sound = server.build_entry(PLAIN_SERVICE)
    return {
        "deep": DEEP,
        "bytes": b"\xff\xfe\x00",
        "port": {**sound, "addr": "127.0.0.1:70000"},
        "host": {**sound, "addr": "999.1.1.1:80"},
        "born": {**sound, "born": 10**18 * 9, "slots": 2**63},
        "cold": {**sound, "cold-left-ms": 1e308},
        "name": {**sound, "version": "v" * 200000},
        "type": {**sound, "slots": [1], "state": {"a": 1}},
        "line\r\nbreak": sound,
    }


def put_entry(rig, server_id: str, entry: bytes | dict) -> None:
    rig.store.put(f"servers/{server_id}", entry)


async def assert_follows(rig, version: int) -> None:
    """Check that all nodes apply a new configuration and a new server in time."""
    rig.store.put("op/config", make_configuration(version))
    await add_server(rig, PLAIN_SERVICE, f"{PLAIN_SERVICE}-new-{version}")
    for router in rig.routers:
        view = router.cluster_view
        await wait_until(
            lambda view=view: (
                view.configuration.version == version
                and f"{PLAIN_SERVICE}-new-{version}" in view.servers.server_by_id
            ),
            APPLY_S,
        )


async def assert_serves(rig) -> None:
    for node in range(len(rig.routers)):
        for number in range(6):
            response = await rig.send_request(f"/look/{number}", "GET", node=node)
            assert response.status == 200
        response = await rig.send_request("/list/1", node=node, **STREAM)
        assert response.is_complete


def test_nodes_follow_the_store_and_serve_beside_odd_entries():
    async def scenario():
        async with make_rig(routers=2) as rig:
            for index, (server_id, entry) in enumerate(list_odd_entries(rig).items()):
                put_entry(rig, server_id, entry)
                await assert_follows(rig, 2 + index)
            await assert_serves(rig)
            for router in rig.routers:
                known = set(router.cluster_view.servers.server_by_id)
                assert not known & set(list_odd_entries(rig))

    run(scenario())


def test_a_node_that_starts_reads_the_store_beside_odd_entries():
    async def scenario():
        async with make_rig(routers=0) as rig:
            for server_id, entry in list_odd_entries(rig).items():
                put_entry(rig, server_id, entry)
            from tests.router.rig import add_router

            await add_router(rig, 0)
            await assert_serves(rig)

    run(scenario())


def test_a_server_whose_entry_turns_odd_gets_no_more_requests():
    async def scenario():
        async with make_rig() as rig:
            put_entry(rig, f"{STREAM_SERVICE}-0", DEEP)
            servers = rig.routers[0].cluster_view.servers
            await wait_until(lambda: len(servers.list_usable(STREAM_SERVICE)) == 1)
            await assert_serves(rig)
            assert not rig.server_by_id[f"{STREAM_SERVICE}-0"].runs

    run(scenario())


@pytest.mark.parametrize("error", [RecursionError, OverflowError, KeyError])
def test_an_item_that_raises_is_skipped_and_the_others_are_applied(error):
    async def scenario():
        async with make_rig() as rig:
            router = rig.routers[0]
            read = router.cluster_view._reader.read

            def read_others(item):
                if item.key == "servers/odd":
                    raise error("unexpected")
                return read(item)

            router.cluster_view._reader.read = read_others
            for version in range(2, 5):
                put_entry(rig, "odd", b"{}" + b" " * version)
                await assert_follows(rig, version)

    run(scenario())
