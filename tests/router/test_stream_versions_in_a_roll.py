"""Records of versions outlast nodes that are stopped and started in turn."""

from __future__ import annotations

import asyncio
import signal

import pytest
from returns.result import Failure
from tests.router.process_rig import run_process_rig
from tests.router.rig import (
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_rig,
    run,
    stop_router,
    wait_until,
)

from persimmonlink_router.stream_version_messages import RecordStreamVersions
from persimmonlink_router.stream_version_saver import STREAM_PREFIX

STREAM_COUNT = 6
NODE_COUNT = 3
OUTAGE_S = 1.5  # Time in which no peer takes records.
STOP_TIMEOUT_S = 20.0


async def use_two_versions(rig) -> None:
    """Add two servers of a second version to those of the first."""
    for index in range(2):
        server_id = f"{STREAM_SERVICE}-v2-{index}"
        await add_server(rig, STREAM_SERVICE, server_id, version="v2")
    for router in rig.routers:
        servers = router.cluster_view.servers
        await wait_until(
            lambda servers=servers: len(servers.list_usable(STREAM_SERVICE)) == 4
        )


def list_engines(rig):
    return [
        server
        for server_id, server in rig.server_by_id.items()
        if server_id.startswith(STREAM_SERVICE)
    ]


def find_versions(rig, *request_ids: str) -> set[str]:
    return {
        server.version
        for server in list_engines(rig)
        for seen in server.runs
        if seen.request_id in request_ids
    }


async def begin_broken_streams(rig) -> list[str]:
    """Begin streams at node 0 that break off after two events."""
    for server in list_engines(rig):
        server.faults.cuts_streams_after = 2
    names = [f"s{number}" for number in range(STREAM_COUNT)]
    for name in names:
        broken = await rig.send_request(
            "/list/1", request_id=name, deadline_ms=1200, **STREAM
        )
        assert not broken.is_complete
    for server in list_engines(rig):
        server.faults.cuts_streams_after = 0
    return names


async def take_up_all(rig, names: list[str], nodes=range(NODE_COUNT)) -> list[bytes]:
    """Take streams up at nodes; return why some didn't go on at their version."""
    reasons = []
    for index, name in enumerate(names):
        request_id = f"again-{name}"
        response = await rig.send_request(
            "/list/1",
            node=nodes[index % len(nodes)],
            request_id=request_id,
            Last_Event_Id="2",
            Resumes=name,
            **STREAM,
        )
        assert len(find_versions(rig, name, request_id)) == 1
        if response.status != 200 or not response.is_complete:
            reasons.append(response.body)
    return reasons


async def know_each_other(rig) -> None:
    for router in rig.routers:
        membership = router.membership
        await wait_until(
            lambda membership=membership: (
                len(membership.list_serving_members()) == NODE_COUNT
            ),
            8.0,
        )


def save_nothing(rig) -> None:
    """Keep the routers from saving versions in the store."""
    for router in rig.routers:
        router.stream_version_saver.tick = lambda: None


def refuse_saved_streams(rig) -> None:
    """Let the store take no records of streams."""
    transact = rig.store._transact

    def refuse(body):
        if any(put["key"].startswith(STREAM_PREFIX) for put in body["put"]):
            return 503, {}
        return transact(body)

    rig.store._transact = refuse


async def lose(router) -> None:
    """End a router; nothing in it answers any more."""
    await stop_router(router)
    # Connections to an ended router of the same process live on.
    router._stream_versions._version_by_request_id.clear()


@pytest.mark.parametrize("is_graceful", [False, True])
def test_a_peer_that_did_not_take_records_gets_them_again(is_graceful):
    async def scenario():
        async with make_rig(routers=NODE_COUNT) as rig:
            save_nothing(rig)
            await know_each_other(rig)
            await use_two_versions(rig)
            accept_records = refuse_records(rig.routers[0])
            names = await begin_broken_streams(rig)
            accept_records.set()
            if is_graceful:
                await rig.routers[0].stop()
            else:
                await asyncio.sleep(OUTAGE_S)
            await lose(rig.routers[0])
            assert await take_up_all(rig, names, nodes=(1, 2)) == []

    run(scenario())


def refuse_records(router) -> asyncio.Event:
    """Let no peer take records of a router until the event is set."""
    is_over = asyncio.Event()
    find_channel = router.membership.channel

    def find_refusing(address):
        channel = find_channel(address)
        if "call" not in vars(channel):
            call = channel.call

            async def call_or_fail(message, *args):
                if isinstance(message, RecordStreamVersions) and not is_over.is_set():
                    return Failure("refused by the test")
                return await call(message, *args)

            channel.call = call_or_fail
        return channel

    router.membership.channel = find_refusing
    return is_over


@pytest.mark.parametrize("does_store_save", [True, False])
def test_streams_go_on_at_their_version_after_a_roll_of_all_nodes(
    tmp_path, does_store_save
):
    async def scenario():
        async with run_process_rig(tmp_path, routers=NODE_COUNT) as rig:
            if not does_store_save:
                refuse_saved_streams(rig)
            await use_two_versions(rig)
            await asyncio.sleep(1.5)
            names = await begin_broken_streams(rig)
            for index in range(NODE_COUNT):
                process = rig.processes[index].process
                rig.processes[index].signal(signal.SIGTERM)
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    while process.poll() is None:
                        await asyncio.sleep(0.05)
                rig.start(index, tmp_path)
                await rig.wait_until_ready(index)
            assert await take_up_all(rig, names) == []

    run(scenario())
