"""Comparison of configurations by two nodes, and watches in a large cluster."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success
from tests.node.fake_key_value import FakeClock, FakeMetrics

from persimmonlink_interfaces.key_value import KeyValue
from persimmonlink_node.config_gossip import ConfigGossip
from persimmonlink_node.node_state import ConfigurationVersion, NodeState
from persimmonlink_node.view_freshness import ViewFreshness
from persimmonlink_peers.message import Sender

if TYPE_CHECKING:
    from persimmonlink_model.result_code import Failure

NODE_COUNT = 380


def test_number_of_watches_is_independent_of_cluster_size() -> None:
    ids = [f"entry-{number}" for number in range(NODE_COUNT)]
    clock = FakeClock()
    version = ConfigurationVersion(1, 1)
    views = {n: ViewFreshness(n, clock, lambda: version, lambda: ids) for n in ids}
    for view in views.values():
        view.record_key_value_contact(clock.now)
    clock.now += 2.0
    watching = {name for name, view in views.items() if view.should_watch(ids, 2)}
    assert len(watching) == 2
    # Without confirmations the other nodes start to watch one after another.
    clock.now += 2.0
    soon = {name for name, view in views.items() if view.should_watch(ids, 2)}
    assert watching < soon
    assert len(soon) < NODE_COUNT / 4
    clock.now += 20.0
    assert all(view.should_watch(ids, 2) for view in views.values())


class FakeLink:
    """Connects two nodes by calling the other's handlers directly."""

    def __init__(self) -> None:
        self.sender = Sender("one", "1")
        self.handler_by_type: dict[type, Any] = {}
        self.other: FakeLink | None = None
        self.sent_messages: list[Any] = []

    def register(self, request_type: type, reply_type: type, handle: Any) -> None:
        self.handler_by_type[request_type] = handle

    async def call(
        self, node_id: str, message: Any, reply_type: type, timeout_s: float
    ) -> Result[Any, Failure]:
        assert self.other is not None
        self.sent_messages.append(message)
        return Success(await self.other.handler_by_type[type(message)](message))

    def list_live(self) -> list[Any]:
        return []


class Node:
    def __init__(self, schema: int = 1) -> None:
        clock = FakeClock()
        self.state = NodeState(FakeMetrics(), schema)
        self.link = FakeLink()
        self.view = ViewFreshness("one", clock, lambda: self.state.version, list)
        self.gossip = ConfigGossip(
            self.state,
            self.link,
            self.link,
            self.link,
            self.view,
            None,
            clock,
            random.Random(1),
            1.0,
        )
        self.state.set_applied_listener(lambda records: None)

    def put(self, name: str, revision: int, value: bytes = b"") -> None:
        weight = b'{"schema_version":1,"change_id":"c","spec":{"weight":2}}'
        entry = KeyValue(f"config/account/{name}", value or weight, revision)
        self.state.apply_entries([entry])


def _link_two_nodes() -> tuple[Node, Node]:
    one, two = Node(), Node()
    one.link.other, two.link.other = two.link, one.link
    return one, two


def test_full_copy_is_fetched_in_pages() -> None:
    one, two = _link_two_nodes()
    for number in range(450):
        two.put(f"a{number}", number + 1)
    two.put("a7", 460, b"{not json")
    asyncio.run(one.gossip._compare("two"))
    assert one.state.version == two.state.version
    assert len(one.state.list_records()) == 450
    assert len(one.link.sent_messages) == 3


def test_missing_older_record_is_fetched() -> None:
    one, two = _link_two_nodes()
    for revision, name in enumerate(("a", "b", "c"), 1):
        two.put(name, revision)
    asyncio.run(one.gossip._compare("two"))
    two.put("d", 4)
    for node in (one, two):
        node.put("e", 5)
    asyncio.run(one.gossip._compare("two"))
    assert one.state.version == two.state.version


def test_comparing_equal_copies_takes_one_message() -> None:
    one, two = _link_two_nodes()
    two.put("a", 1)
    asyncio.run(one.gossip._compare("two"))
    one.link.sent_messages.clear()
    asyncio.run(one.gossip._compare("two"))
    assert len(one.link.sent_messages) == 1
