"""A request that servers have ended under is run one at a time over all nodes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from persimmonlink_router.peer_messages import AskTrial
from persimmonlink_router.trial_permits import TrialPermits


def make_permits(*, needs_trial: bool) -> TrialPermits:
    peers = SimpleNamespace(sender=SimpleNamespace(node_id="own"))
    reporter = SimpleNamespace(list_keepers=list)
    return TrialPermits(peers, reporter, lambda _: needs_trial)


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
