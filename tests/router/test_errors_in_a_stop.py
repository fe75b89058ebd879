"""An unexpected error in a stop does not cut the requests that run."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.rig import STREAM, STREAM_SERVICE, make_rig, run, wait_until

from persimmonlink_router.cluster_membership import MEMBER_PREFIX

LEAVE_S = 0.5  # Time in which the store knows that a node leaves.


def fail(*_arguments, **_options):
    raise RuntimeError("unexpected")


@pytest.mark.parametrize("broken_part", ["leaving", "transfer", "closing", "ending"])
def test_an_error_in_a_step_of_the_stop_cuts_no_request(monkeypatch, broken_part):
    async def scenario():
        async with make_rig(routers=2) as rig:
            router = rig.routers[0]
            for server_id, server in rig.server_by_id.items():
                if server_id.startswith(STREAM_SERVICE):
                    server.event_count = 30
            owner, name = {
                "leaving": (router.membership, "mark_leaving"),
                "transfer": (router._scheduler, "transfer_requests"),
                "closing": (router._client_server, "close_expired"),
                "ending": (router._scheduler, "count_running"),
            }[broken_part]
            task = asyncio.ensure_future(rig.send_request("/claim/1", **STREAM))
            await wait_until(lambda: rig.count_runs("id-0"))
            monkeypatch.setattr(owner, name, fail)
            stop = asyncio.ensure_future(router.stop())
            response = await task
            assert (response.status, response.is_complete) == (200, True)
            await stop

    run(scenario())


@pytest.mark.parametrize("broken_part", ["leaving", "transfer"])
def test_an_error_in_a_step_of_the_stop_leaves_no_node_registered(
    monkeypatch, broken_part
):
    async def scenario():
        async with make_rig(routers=2) as rig:
            router = rig.routers[0]
            key = MEMBER_PREFIX + router.membership.own_member.node_id
            await wait_until(lambda: key in rig.store.list_keys())
            owner, name = {
                "leaving": (router.membership, "mark_leaving"),
                "transfer": (router._scheduler, "transfer_requests"),
            }[broken_part]
            monkeypatch.setattr(owner, name, fail)
            stop = asyncio.ensure_future(router.stop())
            await wait_until(lambda: key not in rig.store.list_keys(), LEAVE_S)
            await stop

    run(scenario())
