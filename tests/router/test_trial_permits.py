"""A request that servers have ended under is run one at a time over all nodes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from returns.result import Success

from persimmonlink_router.permit_messages import AskTrial
from persimmonlink_router.trial_permits import TrialPermits


def make_permits(*, needs_trial: bool) -> TrialPermits:
    peers = SimpleNamespace(sender=SimpleNamespace(node_id="own"))
    reporter = SimpleNamespace(list_keepers=list)
    return TrialPermits(peers, reporter, lambda _: needs_trial)


class LeavingNode:
    """A node that leaves, whose questions go to the next one that grants permits."""

    def __init__(self, successor: TrialPermits) -> None:
        self._successor = successor
        self.sender = SimpleNamespace(node_id="leaving")
        self.keepers = [SimpleNamespace(node_id="leaving", peer_address="")]

    def list_keepers(self):
        return self.keepers

    def leave(self):
        self.keepers = [SimpleNamespace(node_id="next", peer_address="next")]

    def channel(self, _address):
        return self

    async def call(self, message, _reply_type, _timeout_s):
        return Success(await self._successor.handle_ask(message))


def test_one_permit_is_granted_until_the_fate_of_the_request_is_known():
    async def scenario():
        permits = make_permits(needs_trial=True)
        first = await permits.handle_ask(AskTrial(None, "request:1"))
        second = await permits.ask("request:1")
        other = await permits.ask("request:2")
        assert first.is_granted
        assert not second.is_granted
        assert second.wait_s > 0
        assert other.is_granted

    asyncio.run(scenario())


def test_a_request_that_was_served_needs_no_permit():
    async def scenario():
        permits = make_permits(needs_trial=False)
        for _ in range(3):
            assert (await permits.ask("request:1")).is_granted

    asyncio.run(scenario())


def test_a_permit_of_a_node_that_leaves_is_not_granted_again_at_once():
    async def scenario():
        successor = make_permits(needs_trial=True)
        node = LeavingNode(successor)
        permits = TrialPermits(node, node, lambda _: True)
        assert (await permits.ask("request:1")).is_granted
        node.leave()
        await permits.hand_over()
        assert not (await successor.ask("request:1")).is_granted
        assert (await successor.ask("request:2")).is_granted

    asyncio.run(scenario())
