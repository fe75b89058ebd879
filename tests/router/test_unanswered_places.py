"""Places that were granted without a reply are free long before their time is over."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure as Err
from tests.router.rig import NODE_HAS_ENDED, make_rig, run, wait_until
from tests.router.test_places_of_a_stop import (
    FREED_S,
    NODE_COUNT,
    list_members_by_rank,
    make_brittle,
)

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.permit_messages import AskPlace, EndPlace

LEASE_S = 30.0


def lose_replies(router, address, lost_type, *, is_silent, on_handled):
    """Let a node get no replies of a peer to some messages that the peer handles."""
    channel = router.membership.channel(address)
    call = channel.call

    async def call_without_reply(message, reply_type, timeout_s):
        reply = await call(message, reply_type, timeout_s)
        if not isinstance(message, lost_type):
            return reply
        on_handled()
        if is_silent:
            await asyncio.sleep(LEASE_S)
        return Err(NODE_HAS_ENDED)

    channel.call = call_without_reply


@pytest.mark.parametrize("way", ["lost reply", "client left", "lost end"])
@pytest.mark.timeout(60)
def test_a_place_without_a_reply_is_not_held_for_its_whole_lease(way):
    async def scenario():
        async with make_rig(routers=NODE_COUNT, servers=1) as rig:
            server = await make_brittle(rig)
            granter, asker, *_ = list_members_by_rank(rig, server)
            router, granted = rig.routers[asker], rig.routers[granter]._places._granted
            await wait_until(lambda: not granted.count_held(server.key, boot_time()))
            held = []

            def record_held():
                held.append(granted.count_held(server.key, boot_time()))

            lose_replies(
                router,
                rig.settings[granter].listen.peers,
                EndPlace if way == "lost end" else AskPlace,
                is_silent=way == "client left",
                on_handled=record_held,
            )
            if way == "lost end":
                place = await router._places.acquire(server, LEASE_S)
                # The peer has not handled the message either.
                granted.end = lambda *_, **__: False
                place.end()
            else:
                asking = asyncio.ensure_future(router._places.acquire(server, LEASE_S))
            await wait_until(lambda: held)
            if way == "client left":
                asking.cancel()
            assert held == [1]
            await wait_until(
                lambda: not granted.count_held(server.key, boot_time()), FREED_S
            )

    run(scenario())


@pytest.mark.timeout(60)
def test_a_place_that_is_given_up_frees_no_other_of_its_node():
    async def scenario():
        async with make_rig(routers=NODE_COUNT, servers=1) as rig:
            server = await make_brittle(rig)
            granter, asker, *_ = list_members_by_rank(rig, server)
            router, granted = rig.routers[asker], rig.routers[granter]._places._granted
            await wait_until(lambda: not granted.count_held(server.key, boot_time()))
            kept = await router._places.acquire(server, LEASE_S)
            lost = await router._places.acquire(server, LEASE_S)
            member = lost._granter
            for _ in range(3):
                await router._places._exchange.give_up(
                    member, server.key, lost._place_id
                )
            assert granted.count_held(server.key, boot_time()) == 1
            kept.end()
            await wait_until(
                lambda: not granted.count_held(server.key, boot_time()), FREED_S
            )

    run(scenario())
