"""A server that left while a send was prepared gets nothing, on every path."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.router.rig import (
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED,
    STREAM,
    STREAM_SERVICE,
    add_server,
    make_rig,
    run,
    wait_until,
)

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.connection_pool import open_connection
from persimmonlink_router.stage_job import StageResult
from persimmonlink_router.store import StoredItem

if TYPE_CHECKING:
    from persimmonlink_router.http_client import HttpClientConnection

PAUSE_S = 0.3  # Time for which a release waits.
RESUMED = {**STREAM, "Last_Event_Id": "2", "Resumes": "r1"}
PATHS = [
    ("/look/1", PLAIN_SERVICE, {}),
    ("/book/1", PLAIN_SERVICE, {}),
    ("/list/1", STREAM_SERVICE, STREAM),
    ("/claim/1", STREAM_SERVICE, STREAM),
    ("/list/1", STREAM_SERVICE, RESUMED),
    ("/chain/1", STAGE_SERVICE, STAGED),
]


async def add_others(rig) -> None:
    """Start a server of each service in another failure domain."""
    servers = rig.routers[0].cluster_view.servers
    for service in (PLAIN_SERVICE, STREAM_SERVICE, STAGE_SERVICE):
        await add_server(rig, service, f"{service}-9", zone="b")
        name = f"{service}-9"
        await wait_until(lambda name=name: name in servers.server_by_id)


def depart(rig, service: str, server_id: str, how: str) -> None:
    """Let a server leave, which the router hears at once."""
    view = rig.routers[0].cluster_view
    server = rig.server_by_id[server_id]
    known = view.servers.server_by_id[server_id]
    key, value = f"servers/{server_id}", b""
    if how == "draining":
        entry = server.build_entry(service, zone=known.domain, state="draining", seq=2)
        value = msgspec.json.encode(entry)
    elif how == "evacuated":
        key = f"op/evacuate/{known.domain}"
    revision = rig.routers[0]._mirror.revision + 1
    view.apply(StoredItem(key, None if how == "gone" else value, revision))
    assert not view.servers.is_usable(known)


@pytest.mark.parametrize("how", ["draining", "gone", "evacuated"])
@pytest.mark.parametrize(("path", "service", "headers"), PATHS)
def test_a_server_that_leaves_as_a_connection_is_opened_gets_nothing(
    path, service, headers, how
):
    async def scenario():
        async with make_rig(servers=1) as rig:
            await add_others(rig)
            server_by_address = {s.address: s for s in rig.server_by_id.values()}
            leaving = []

            async def open_late(address: str, timeout_s: float) -> HttpClientConnection:
                server = server_by_address[address]
                if server.server_id.startswith(service) and not leaving:
                    leaving.append(server)
                    depart(rig, service, server.server_id, how)
                return await open_connection(address, timeout_s)

            rig.routers[0]._pool.open_connection = open_late
            if "Resumes" in headers:
                rig.routers[0]._stream_versions.record("r1", "v1", 0.0)
            response = await rig.send_request(path, **headers)
            await asyncio.sleep(0.1)
            assert leaving[0].arrivals == []
            assert response.status == 200

    run(scenario())


@pytest.mark.parametrize("how", ["draining", "gone", "evacuated"])
@pytest.mark.parametrize("waits_for", ["pause", "connection"])
def test_results_are_not_released_at_a_server_that_left_meanwhile(waits_for, how):
    async def scenario():
        async with make_rig(servers=1) as rig:
            router = rig.routers[0]
            name = f"{STAGE_SERVICE}-0"
            server = router.cluster_view.servers.server_by_id[name]
            if waits_for == "pause":
                router.cluster_view.servers.pause(server, boot_time() + PAUSE_S)

            async def open_late(address: str, timeout_s: float) -> HttpClientConnection:
                await asyncio.sleep(PAUSE_S)
                return await open_connection(address, timeout_s)

            router._pool.open_connection = open_late
            router._scheduler._calls.release([StageResult("handle", server, 1000)])
            await asyncio.sleep(PAUSE_S / 2)
            depart(rig, STAGE_SERVICE, name, how)
            await asyncio.sleep(3 * PAUSE_S)
            assert rig.server_by_id[name].freed_handles == []

    run(scenario())


def test_results_are_released_at_a_server_that_stays():
    async def scenario():
        async with make_rig(servers=1) as rig:
            name = f"{STAGE_SERVICE}-0"
            server = rig.routers[0].cluster_view.servers.server_by_id[name]
            calls = rig.routers[0]._scheduler._calls
            calls.release([StageResult("handle", server, 1000)])
            await wait_until(lambda: rig.server_by_id[name].freed_handles)

    run(scenario())
