"""What one node learns reaches nodes that hear only some of their peers."""

from __future__ import annotations

import asyncio

from returns.result import Success
from tests.router.rig import run

from persimmonlink_peers.message import Sender
from persimmonlink_router.fact_exchange import FactExchange
from persimmonlink_router.holds import Holds
from persimmonlink_router.peer_messages import HoldNotice, SharedFacts

NOTICE = HoldNotice(("bad",), "n0", 0.0, 60.0, 4)


class FakeNode:
    """A node that knows decisions and reaches some peers."""

    def __init__(self, name: str) -> None:
        self.sender = Sender(name, "1")
        self.peers: list[FakeNode] = []
        self.holds = Holds()
        self.sent_count = 0
        self.exchange = FactExchange(self)
        self.exchange.attach(self)

    def choose_heartbeat_targets(self) -> list[tuple[str, str]]:
        return [(peer.sender.node_id, peer.sender.node_id) for peer in self.peers]

    def channel(self, address: str) -> FakeChannel:
        return FakeChannel(
            self, next(peer for peer in self.peers if peer.sender.node_id == address)
        )

    def collect_facts(self) -> SharedFacts:
        now = asyncio.get_running_loop().time()
        return SharedFacts(self.holds.build_notices(now))

    def apply_facts(self, facts: SharedFacts, member: str) -> bool:
        now = asyncio.get_running_loop().time()
        news = [self.holds.add_notice(notice, now) for notice in facts.holds]
        return any(hold is not None for hold in news)


class FakeChannel:
    """Hands messages to a peer."""

    def __init__(self, node: FakeNode, peer: FakeNode) -> None:
        self._node = node
        self._peer = peer

    async def call(self, message, reply_type, timeout_s):
        self._node.sent_count += 1
        return Success(await self._peer.exchange.handle_share(message))


def make_chain(length: int) -> list[FakeNode]:
    """Return nodes each of which reaches only its neighbours."""
    nodes = [FakeNode(f"n{index}") for index in range(length)]
    for index, node in enumerate(nodes):
        node.peers = [nodes[i] for i in (index - 1, index + 1) if 0 <= i < length]
    return nodes


def test_a_fact_passes_along_a_chain_of_nodes_and_then_rests():
    async def scenario():
        nodes = make_chain(8)
        now = asyncio.get_running_loop().time()
        nodes[0].holds.add_notice(NOTICE, now)
        nodes[0].exchange.spread()
        await asyncio.sleep(0.5)
        assert all(len(node.holds) == 1 for node in nodes)
        sent = sum(node.sent_count for node in nodes)
        await asyncio.sleep(0.3)
        assert sum(node.sent_count for node in nodes) == sent
        assert sent <= 4 * len(nodes)

    run(scenario())
