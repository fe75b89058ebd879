"""Calls to several peers at once, one of which raises an unexpected error."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from returns.result import Success
from tests.router.test_cluster_membership import apply_entry, build_member
from tests.router.test_cluster_membership import build_membership as build_one
from tests.router.test_unexpected_errors import UnexpectedError

from persimmonlink_peers.message import Sender
from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.cluster_membership import (
    HEARTBEAT_INTERVAL_S,
    ClusterMembership,
)
from persimmonlink_router.peer_messages import (
    RouterHeartbeat,
    SharedFacts,
    ShareFacts,
)

ROUNDS = 3
MARGIN_S = 0.5


class BrokenHolder:
    """A part that can't take what peers know."""

    def collect_facts(self) -> SharedFacts:
        return SharedFacts()

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        raise UnexpectedError


class CountingHolder(BrokenHolder):
    """A part that counts what it is told."""

    def __init__(self) -> None:
        self.count = 0

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        self.count += 1
        return False


def build_membership() -> ClusterMembership:
    """Return a node that knows a peer whose calls raise, and a sound one."""
    membership = build_one()
    broken, sound = build_member("broken", 1), build_member("sound", 2)
    apply_entry(membership, broken, 4)
    apply_entry(membership, sound, 5)
    heartbeat = RouterHeartbeat(Sender("sound", "1"), sound, 5, True)

    async def fail(*_):
        raise UnexpectedError

    async def reply(message, _reply_type, _timeout_s):
        calls.append(message)
        is_heartbeat = isinstance(message, RouterHeartbeat)
        return Success(heartbeat if is_heartbeat else SharedFacts())

    calls: list[object] = []
    membership.calls = calls
    membership.channel = lambda address: SimpleNamespace(
        call=fail if address == broken.peer_address else reply
    )
    return membership


def test_heartbeats_go_on_beside_a_call_that_raises():
    async def scenario():
        membership = build_membership()
        beats = asyncio.create_task(membership.run_heartbeats())
        await asyncio.sleep(ROUNDS * HEARTBEAT_INTERVAL_S + MARGIN_S)
        assert not beats.done()
        beats.cancel()
        assert len(membership.calls) > ROUNDS
        assert "sound" in membership.list_serving_ids()

    asyncio.run(scenario())


def test_a_member_whose_calls_raise_counts_as_lost():
    async def scenario():
        membership = build_membership()
        beats = asyncio.create_task(membership.run_heartbeats())
        await asyncio.sleep(ROUNDS * HEARTBEAT_INTERVAL_S + MARGIN_S)
        beats.cancel()
        assert "broken" not in membership.list_serving_ids()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_first", [True, False])
def test_a_heartbeat_is_answered_though_a_part_can_not_take_its_facts(is_first):
    async def scenario():
        membership = build_one()
        sound = CountingHolder()
        holders = [BrokenHolder(), sound]
        for holder in holders if is_first else reversed(holders):
            membership.facts.attach(holder)
        peer = build_member("peer", 2)
        heartbeat = RouterHeartbeat(Sender("peer", "1"), peer, 5, True)
        reply = await membership.handle_heartbeat(heartbeat)
        assert reply.member.node_id == "me"
        assert sound.count == 1
        assert membership.members.is_live("peer", boot_time())

    asyncio.run(scenario())


def test_facts_reach_peers_beside_a_call_that_raises():
    async def scenario():
        membership = build_membership()
        for _ in range(ROUNDS):
            membership.facts.spread()
            await asyncio.sleep(0.1)
        assert not membership.facts.has_unsent
        sent = [call for call in membership.calls if isinstance(call, ShareFacts)]
        assert len(sent) == ROUNDS

    asyncio.run(scenario())
