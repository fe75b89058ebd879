"""A view is fresh only if no newer configuration can have been in force for long."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.node.fake_key_value import FakeClock

from persimmonlink_node.node_state import ConfigurationVersion
from persimmonlink_node.view_freshness import FRESHNESS_WINDOW_S, ViewFreshness
from persimmonlink_peers.config_messages import ConfigReply

NODE_COUNT = 3
IDS = [f"entry-{number}" for number in range(NODE_COUNT)]
NODES = st.integers(0, NODE_COUNT - 1)


class Partitions(RuleBasedStateMachine):
    """Nodes whose contacts with the store and with each other are late or missing.

    Changes are accepted through nodes, so the node that wrote one holds it at once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.held_revisions: list[set[int]] = [{1} for _ in range(NODE_COUNT)]
        self.store_revision = 1
        self.accepted_at = {1: self.clock.now}
        self.pending_replies: list[tuple[int, int, float, ConfigReply, set[int]]] = []
        self.replies_by_node: dict[int, list[tuple[float, int, int]]] = {}
        self.views = [
            ViewFreshness(
                IDS[number],
                self.clock,
                lambda number=number: self._read_version(number),
                lambda: IDS,
            )
            for number in range(NODE_COUNT)
        ]

    def _read_version(self, number: int) -> ConfigurationVersion:
        held_revisions = self.held_revisions[number]
        return ConfigurationVersion(
            max(held_revisions), sum(1 << each for each in held_revisions)
        )

    @rule(seconds=st.sampled_from([0.1, 0.4, 1.0, 2.0]))
    def wait(self, seconds: float) -> None:
        self.clock.now += seconds

    @rule(node=NODES)
    def accept_change(self, node: int) -> None:
        self.store_revision += 1
        self.accepted_at[self.store_revision] = self.clock.now
        self.held_revisions[node].add(self.store_revision)

    @rule(node=NODES)
    def reach_store(self, node: int) -> None:
        self.held_revisions[node] = set(self.accepted_at)
        self.views[node].record_key_value_contact(self.clock.now)

    @rule(node=NODES, other=NODES)
    def ask(self, node: int, other: int) -> None:
        if node == other:
            return
        ages = self.views[other].read_ages()
        version = self._read_version(other)
        reply = ConfigReply(version.revision, version.digest, *ages)
        held_revisions = set(self.held_revisions[other])
        self.pending_replies.append(
            (node, other, self.clock.now, reply, held_revisions)
        )

    @rule(data=st.data(), takes=st.sampled_from(["all", "newest", "none"]))
    def answer(self, data: st.DataObject, takes: str) -> None:
        if not self.pending_replies:
            return
        index = data.draw(st.integers(0, len(self.pending_replies) - 1))
        node, other, requested_at, reply, held_revisions = self.pending_replies.pop(
            index
        )
        if takes != "none":
            self.held_revisions[node] |= (
                held_revisions if takes == "all" else {max(held_revisions)}
            )
        self.views[node].record_peer_reply(IDS[other], reply, requested_at)
        seen = self.replies_by_node.setdefault(node, [])
        seen.append((requested_at, other, reply.revision))

    @invariant()
    def fresh_means_that_no_older_change_is_missing(self) -> None:
        for node in range(NODE_COUNT):
            if not self.views[node].is_fresh():
                continue
            seen = self.replies_by_node.get(node, [])
            since = self.clock.now - FRESHNESS_WINDOW_S
            reached = {other for at, other, _ in seen if at >= since - 1e-9}
            missing = [
                at
                for revision, at in self.accepted_at.items()
                if revision not in self.held_revisions[node]
            ]
            # Either the missing changes are younger than the window, or a majority of
            # the nodes replied within the window and had nothing newer.
            assert all(at >= since - 1e-9 for at in missing) or (
                2 * (len(reached) + 1) > NODE_COUNT
            )
            assert all(
                revision <= max(self.held_revisions[node]) for _, _, revision in seen
            )

    @invariant()
    def alone_means_not_fresh(self) -> None:
        for node in range(NODE_COUNT):
            _, confirmed_age_s = self.views[node].read_ages()
            is_old = confirmed_age_s is None or confirmed_age_s > FRESHNESS_WINDOW_S
            seen = self.replies_by_node.get(node, [])
            since = self.clock.now - FRESHNESS_WINDOW_S
            reached = {other for at, other, _ in seen if at >= since - 1e-9}
            if is_old and 2 * (len(reached) + 1) <= NODE_COUNT:
                assert not self.views[node].is_fresh()


TestPartitions = Partitions.TestCase
TestPartitions.settings = settings(max_examples=250, stateful_step_count=30)


def test_next_ranked_nodes_watch_when_the_first_two_lose_the_store() -> None:
    ids = [f"entry-{number}" for number in range(5)]
    clock = FakeClock()
    version = ConfigurationVersion(1, 1)
    views = {n: ViewFreshness(n, clock, lambda: version, lambda: ids) for n in ids}

    def exchange(reaching: set[str]) -> set[str]:
        for name in reaching:
            views[name].record_key_value_contact(clock.now)
        for name in ids:
            for other in ids:
                ages = views[other].read_ages()
                views[name].record_peer_reply(
                    other, ConfigReply(1, 1, *ages), clock.now
                )
        return {name for name in ids if views[name].should_watch(ids, 2)}

    first = exchange(set(ids))
    assert len(first) == 2
    others = set(ids) - first
    clock.now += 4.0
    second = exchange(others)
    # The first two can't reach the store and keep trying; two others watch instead.
    assert second > first
    assert len(second - first) == 2
    clock.now += 4.0
    assert exchange(set()) == set(ids)


def test_peer_with_a_different_configuration_confirms_nothing() -> None:
    ids = [f"entry-{number}" for number in range(5)]
    clock = FakeClock()
    version = ConfigurationVersion(7, 1)
    view = ViewFreshness(ids[0], clock, lambda: version, lambda: ids)
    for digest, is_fresh in ((2, False), (1, True)):
        reply = ConfigReply(version.revision, digest, 0.1, 0.1)
        view.record_peer_reply(ids[1], reply, clock.now)
        assert view.is_fresh() is is_fresh
