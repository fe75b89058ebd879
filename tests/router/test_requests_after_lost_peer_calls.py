"""Requests are answered in time though a peer that had to be asked did not reply."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from tests.router.kept_clients import KeptConnection, build_request
from tests.router.rig import (
    PLAIN_SERVICE,
    STREAM_SERVICE,
    Rig,
    make_rig,
    run,
    wait_until,
)
from tests.router.stops import collect_log, shorten_stop
from tests.silent_relay import SilentRelay

from persimmonlink_model.rendezvous import choose_owner
from persimmonlink_peers.peer_channel import PeerChannel

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RATE_PER_S = 100.0
DEADLINE_MS = 1500
PATHS = ["/book/1", "/look/1", "/claim/1", "/list/1"]


async def send_on(connection, path, request_id, deadline_ms, *, is_chunked=False):
    data = build_request(
        path, request_id, b"body", is_chunked=is_chunked, deadline_ms=deadline_ms
    )
    return await connection.exchange(data)


@asynccontextmanager
async def make_limited_rig() -> AsyncIterator[tuple[Rig, dict[str, int]]]:
    """Start two nodes whose servers name a limit; say who grants permits for each."""
    async with make_rig(routers=2, servers=1) as rig:
        members = [router.membership for router in rig.routers]
        for member in members:
            await wait_until(lambda m=member: len(m.list_serving_ids()) == len(members))
        for server in rig.server_by_id.values():
            server.rate_limit_per_s = RATE_PER_S
        ids = [member.own_member.node_id for member in members]
        servers = rig.routers[0].cluster_view.servers.server_by_id
        granters = {
            service: ids.index(
                choose_owner("/".join(map(str, servers[f"{service}-0"].key)), ids)
            )
            for service in (PLAIN_SERVICE, STREAM_SERVICE)
        }
        yield rig, granters


@asynccontextmanager
async def ask_in_vain(rig: Rig, path: str, granters: dict[str, int]):
    """Send requests on a connection to the node that must ask, with its peer silent."""
    service = PLAIN_SERVICE if path in ("/book/1", "/look/1") else STREAM_SERVICE
    granter = granters[service]
    asker = 1 - granter
    connection = await KeptConnection.open(rig.settings[asker].listen.clients)
    assert (await send_on(connection, path, "first", 5000)).status == 200
    relay = SilentRelay(rig.settings[granter].listen.peers)
    relay.block()
    channels = rig.routers[asker].membership._channel_by_address
    channels[rig.settings[granter].listen.peers] = PeerChannel(relay.address)
    for server in rig.server_by_id.values():
        server.faults.withholds_responses = True
    try:
        yield rig.routers[asker], connection
    finally:
        connection.close()
        relay.close()


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("path", PATHS)
def test_a_request_is_answered_at_the_end_of_a_stop_after_a_lost_peer_call(
    path, is_chunked
):
    async def scenario():
        async with (
            make_limited_rig() as (rig, granters),
            ask_in_vain(rig, path, granters) as (router, connection),
        ):
            shorten_stop(router)
            early = asyncio.ensure_future(
                send_on(connection, path, "early", 9000, is_chunked=is_chunked)
            )
            await wait_until(lambda: rig.count_runs("early"))
            await router.stop()
            response = await early
            assert (response.status, response.is_complete) == (504, True)

    run(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_a_request_is_answered_at_its_deadline_after_a_lost_peer_call(path):
    async def scenario():
        async with (
            make_limited_rig() as (rig, granters),
            ask_in_vain(rig, path, granters) as (_, connection),
        ):
            with collect_log() as records:
                for number in range(2):
                    if connection.is_closed:
                        pytest.fail("the node has closed the connection")
                    sent_at = time.monotonic()
                    response = await send_on(
                        connection, path, f"late-{number}", DEADLINE_MS
                    )
                    took_s = time.monotonic() - sent_at
                    assert (response.status, response.is_complete) == (504, True)
                    assert took_s < DEADLINE_MS / 1000 + 0.5
            ended = [r for r in records if r["message"] == "request.completed"]
            assert [r["extra"]["status"] for r in ended] == [504, 504]

    run(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_a_response_without_length_is_whole_after_a_lost_peer_call(path):
    async def scenario():
        async with (
            make_limited_rig() as (rig, granters),
            ask_in_vain(rig, path, granters) as (_, connection),
        ):
            for server in rig.server_by_id.values():
                server.faults.withholds_responses = False
                server.faults.omits_length = True
            for number in range(2):
                response = await send_on(connection, path, f"id-{number}", 4000)
                assert (response.status, response.is_complete) == (200, True)

    run(scenario())
