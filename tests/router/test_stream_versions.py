"""A stream goes on only at the server software version that began it."""

from __future__ import annotations

import asyncio

from tests.router.rig import (
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_rig,
    run,
    wait_until,
)

VERSIONS = ("v1", "v2")
STREAM_COUNT = 6


async def add_engines(rig, per_version: int = 2) -> None:
    """Replace the engines by some of each version, known to all routers."""
    for server_id in list(rig.server_by_id):
        if server_id.startswith(STREAM_SERVICE):
            await rig.server_by_id.pop(server_id).stop()
            rig.store.delete(f"servers/{server_id}")
    for version in VERSIONS:
        for index in range(per_version):
            name = f"{version}-{index}"
            await add_server(rig, STREAM_SERVICE, name, version=version)
    ids = {f"{version}-{i}" for version in VERSIONS for i in range(per_version)}
    for router in rig.routers:
        directory = router.cluster_view.servers
        await wait_until(
            lambda directory=directory: (
                ids == {s.server_id for s in directory.list_usable(STREAM_SERVICE)}
            )
        )


def list_engines(rig, version: str = ""):
    return [
        server
        for server_id, server in rig.server_by_id.items()
        if server_id.startswith(version or VERSIONS)
    ]


def list_versions_that_ran(rig, *request_ids: str) -> set[str]:
    return {
        server.server_id.partition("-")[0]
        for server in list_engines(rig)
        for seen in server.runs
        if seen.request_id in request_ids
    }


def set_cut(rig, events: int) -> None:
    for server in list_engines(rig):
        server.faults.cuts_streams_after = events


async def begin_broken_stream(rig, request_id: str, node: int = 0) -> None:
    """Begin a stream that breaks off after two events."""
    set_cut(rig, 2)
    for server in list_engines(rig):
        server.event_count = 5
    broken = await rig.send_request(
        "/list/1", node=node, request_id=request_id, deadline_ms=1500, **STREAM
    )
    assert not broken.is_complete
    assert broken.body.count(b"id: ") >= 2
    set_cut(rig, 0)


async def resume(rig, request_id: str, began_as: str, node: int):
    return await rig.send_request(
        "/list/1",
        node=node,
        request_id=request_id,
        Last_Event_Id="2",
        Resumes=began_as,
        **STREAM,
    )


def test_a_node_resumes_an_interrupted_stream_at_the_version_that_began_it():
    async def scenario():
        async with make_rig() as rig:
            await add_engines(rig)
            for number in range(STREAM_COUNT):
                set_cut(rig, 2)
                request_id = f"s{number}"
                task = asyncio.ensure_future(
                    rig.send_request("/list/1", request_id=request_id, **STREAM)
                )
                await wait_until(lambda name=request_id: rig.count_runs(name) == 1)
                for server in list_engines(rig):
                    if all(seen.request_id != request_id for seen in server.runs):
                        server.faults.cuts_streams_after = 0
                response = await task
                assert response.is_complete
                assert rig.count_runs(request_id) == 2
                assert len(list_versions_that_ran(rig, request_id)) == 1

    run(scenario())


def test_a_stream_is_not_resumed_while_its_version_has_no_other_server():
    async def scenario():
        async with make_rig() as rig:
            await add_engines(rig, per_version=1)
            for number in range(STREAM_COUNT):
                await begin_broken_stream(rig, f"s{number}")
                assert len(list_versions_that_ran(rig, f"s{number}")) == 1

    run(scenario())


def test_a_client_takes_up_its_stream_at_another_node_and_the_same_version():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await add_engines(rig)
            for number in range(STREAM_COUNT):
                await begin_broken_stream(rig, f"s{number}")
                response = await resume(rig, f"t{number}", f"s{number}", node=1)
                assert response.is_complete
                names = (f"s{number}", f"t{number}")
                assert len(list_versions_that_ran(rig, *names)) == 1

    run(scenario())


def test_a_client_takes_up_its_stream_after_the_node_that_served_it_is_gone():
    async def scenario():
        async with make_rig(routers=4) as rig:
            await add_engines(rig)
            for number in range(STREAM_COUNT):
                await begin_broken_stream(rig, f"s{number}")
            gone = rig.routers[0]
            gone._close()
            await gone._peer_server.stop()
            for number in range(STREAM_COUNT):
                node = 1 + number % 3
                response = await resume(rig, f"t{number}", f"s{number}", node)
                assert response.is_complete
                names = (f"s{number}", f"t{number}")
                assert len(list_versions_that_ran(rig, *names)) == 1

    run(scenario())


def test_a_stream_of_unknown_origin_is_refused_while_two_versions_serve():
    async def scenario():
        async with make_rig(routers=2) as rig:
            await add_engines(rig)
            for number in range(STREAM_COUNT):
                response = await resume(rig, f"t{number}", "never-seen", node=1)
                assert response.status == 503
                assert float(response.headers["retry-after"]) > 0
                assert rig.count_runs(f"t{number}") == 0

    run(scenario())


def test_a_stream_of_unknown_origin_goes_on_while_one_version_serves():
    async def scenario():
        async with make_rig(routers=2) as rig:
            response = await resume(rig, "t0", "never-seen", node=1)
            assert response.is_complete
            assert response.body.count(b"id: ") == 3

    run(scenario())


def test_a_stream_whose_version_has_left_is_refused():
    async def scenario():
        async with make_rig() as rig:
            await add_engines(rig)
            await begin_broken_stream(rig, "s0")
            (version,) = list_versions_that_ran(rig, "s0")
            for server in list_engines(rig, version):
                rig.store.delete(f"servers/{server.server_id}")
            directory = rig.routers[0].cluster_view.servers
            await wait_until(lambda: len(directory.list_usable(STREAM_SERVICE)) == 2)
            response = await resume(rig, "t0", "s0", node=0)
            assert response.status == 503
            assert rig.count_runs("t0") == 0

    run(scenario())
