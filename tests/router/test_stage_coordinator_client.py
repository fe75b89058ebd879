"""Messages of a node to the coordinator about a request's stages."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from returns.result import Success
from tests.router.chains import make_job
from tests.router.rig import wait_until

from persimmonlink_router.peer_messages import Acknowledgement
from persimmonlink_router.reach_board import ReachBoard
from persimmonlink_router.stage_coordinator_client import StageCoordinatorClient
from persimmonlink_router.stage_messages import PrepareStages, ReleaseResults


class SilentChannel:
    """Replies to all messages but `PrepareStages`."""

    def __init__(self) -> None:
        self.messages: list[object] = []

    async def call(self, message, reply_type, timeout_s):
        self.messages.append(message)
        if isinstance(message, PrepareStages):
            await asyncio.sleep(timeout_s)
        return Success(Acknowledgement())


class PeerCoordinatorMembership:
    """Membership stub of this node and a peer that is the coordinator."""

    def __init__(self) -> None:
        self.own_member = SimpleNamespace(node_id="own")
        self.sender = None
        peer = SimpleNamespace(peer_address="10.0.0.2:1")
        self.members = SimpleNamespace(find=lambda node_id: peer)
        self.coordinator_channel = SilentChannel()

    def choose_coordinator(self, excluded) -> str:
        return "peer"

    def list_serving_ids(self) -> list[str]:
        return ["own", "peer"]

    def is_node_alive(self, node_id) -> bool:
        return True

    def channel(self, address) -> SilentChannel:
        return self.coordinator_channel


def test_cancelled_request_releases_its_results_although_the_reply_is_lost():
    async def scenario():
        membership = PeerCoordinatorMembership()
        board = ReachBoard(lambda: "own", lambda: None)
        task = asyncio.ensure_future(
            StageCoordinatorClient(membership, None, board).run(make_job("r1"))
        )
        messages = membership.coordinator_channel.messages
        await wait_until(lambda: messages)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await wait_until(lambda: isinstance(messages[-1], ReleaseResults))
        assert messages[-1].request_ids == ("r1",)

    asyncio.run(scenario())
