"""What a watcher does after its watch broke."""

from __future__ import annotations

import random

import pytest
from tests.node.fake_key_value import FakeClock, FakeKeyValueStore, FakeMetrics

from persimmonlink_interfaces.key_value import KeyRange, KeyValue
from persimmonlink_node.config_watcher import ConfigWatcher
from persimmonlink_node.node_state import NodeState
from persimmonlink_node.view_freshness import ViewFreshness

KEY = "config/account/crew"


def _value(weight: float) -> bytes:
    return b'{"schema_version":1,"change_id":"c","spec":{"weight":%d}}' % weight


class Watching:
    def __init__(self) -> None:
        self.store = FakeKeyValueStore()
        self.metrics = FakeMetrics()
        self.state = NodeState(self.metrics)
        self.clock = FakeClock()
        self.freshness = ViewFreshness(
            "entry-1", self.clock, lambda: self.state.version, lambda: ["a", "b", "c"]
        )
        self.watcher = ConfigWatcher(
            self.store,
            self.state,
            self.freshness,
            lambda: ["entry-1"],
            2,
            self.metrics,
            self.clock,
            random.Random(1),
        )
        self.store.put(KEY, _value(1))
        self.watcher._read_and_watch()

    def weight(self) -> float | None:
        account = self.state.find_account("crew")
        return account.weight if account else None


@pytest.fixture
def watching() -> Watching:
    return Watching()


def test_watch_goes_on_from_the_last_change_and_sees_a_removal(
    watching: Watching,
) -> None:
    del watching.store.entry_by_key[KEY]
    watching.store.revision = 5
    removed = KeyValue(KEY, b"", 4, deleted=True)
    watching.store.watch_answers = [KeyRange((removed,), 5)]
    watching.watcher._read_and_watch()
    assert watching.store.watched_from == [3, 3]
    assert watching.weight() is None


def test_absence_from_a_read_alone_takes_nothing_out_of_force(
    watching: Watching,
) -> None:
    watching.store.entry_by_key.clear()
    watching.store.revision = 50
    watching.watcher._read_and_watch()
    assert watching.weight() == 1


def test_watch_without_an_answer_starts_after_the_read_next_time(
    watching: Watching,
) -> None:
    watching.store.revision = 9
    watching.watcher._read_and_watch()
    watching.watcher._read_and_watch()
    assert watching.store.watched_from == [3, 3, 10]


def test_store_that_went_back_is_counted_and_changes_nothing(
    watching: Watching,
) -> None:
    watching.store.entry_by_key[KEY] = KeyValue(KEY, _value(7), 1)
    watching.store.revision = 1
    watching.clock.now += 10
    watching.watcher._read_and_watch()
    assert watching.weight() == 1
    assert watching.metrics.count_by_name["key_value_went_back"] == 1
    assert not watching.freshness.is_fresh()


def test_signs_of_life_keep_the_view_fresh_and_a_start_line_is_not_one(
    watching: Watching,
) -> None:
    watching.clock.now += 10
    assert not watching.freshness.is_fresh()
    watching.store.watch_answers = [KeyRange((), 2)]
    watching.watcher._read_and_watch()
    assert watching.freshness.is_fresh()
