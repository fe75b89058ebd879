"""Reads and watches of the configuration after a watch has ended."""

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


class WatcherHarness:
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
def harness() -> WatcherHarness:
    return WatcherHarness()


def test_watch_resumes_after_the_last_change_and_reports_a_removal(
    harness: WatcherHarness,
) -> None:
    del harness.store.entry_by_key[KEY]
    harness.store.revision = 5
    removed = KeyValue(KEY, b"", 4, deleted=True)
    harness.store.watch_answers = [KeyRange((removed,), 5)]
    harness.watcher._read_and_watch()
    assert harness.store.watched_from == [3, 3]
    assert harness.weight() is None


def test_record_missing_from_a_read_stays_in_force(
    harness: WatcherHarness,
) -> None:
    harness.store.entry_by_key.clear()
    harness.store.revision = 50
    harness.watcher._read_and_watch()
    assert harness.weight() == 1


def test_watch_without_an_answer_resumes_after_the_read_revision(
    harness: WatcherHarness,
) -> None:
    harness.store.revision = 9
    harness.watcher._read_and_watch()
    harness.watcher._read_and_watch()
    assert harness.store.watched_from == [3, 3, 10]


def test_rolled_back_store_is_counted_and_changes_nothing(
    harness: WatcherHarness,
) -> None:
    harness.store.entry_by_key[KEY] = KeyValue(KEY, _value(7), 1)
    harness.store.revision = 1
    harness.clock.now += 10
    harness.watcher._read_and_watch()
    assert harness.weight() == 1
    assert harness.metrics.count_by_name["key_value_went_back"] == 1
    assert not harness.freshness.is_fresh()


def test_watch_answer_without_changes_keeps_the_view_fresh(
    harness: WatcherHarness,
) -> None:
    harness.clock.now += 10
    assert not harness.freshness.is_fresh()
    harness.store.watch_answers = [KeyRange((), 2)]
    harness.watcher._read_and_watch()
    assert harness.freshness.is_fresh()
