"""Reads and watches the configuration records in the key-value service."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from loguru import logger
from returns.result import Failure as Err

from persimmonlink_model.result_code import ResultCode
from persimmonlink_node.record_codec import (
    CONFIG_PREFIX,
    build_history_key,
    parse_history,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_interfaces.key_value import KeyRange, KeyValue, KeyValueStore
    from persimmonlink_node.metrics import Metrics
    from persimmonlink_node.node_state import NodeState
    from persimmonlink_node.view_freshness import ViewFreshness

MIN_RETRY_DELAY_S = 0.5
# Approximate rate at which all nodes together retry the key-value service in an outage.
CLUSTER_RETRIES_PER_S = 8
ROLE_CHECK_INTERVAL_S = 0.2


class ConfigWatcher:
    """Updates the node's configuration from the key-value service.

    Only a few nodes of the cluster hold a watch at a time; the others receive records
    from their peers. `ViewFreshness.should_watch` selects the nodes that watch, and
    others in their place if too few of them reach the service.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    state : NodeState
        Configuration that records are applied to.
    freshness : ViewFreshness
        Records each contact with the service, and decides whether this node watches.
    list_live_ids : callable
        Returns the ids of the live nodes.
    watchers : int
        Number of nodes that watch at a time.
    metrics : Metrics
        Counts failures.
    clock : Clock
        Clock for the times of contacts.
    rng : random.Random
        Generator that spreads the retries of many nodes.
    """

    def __init__(
        self,
        store: KeyValueStore,
        state: NodeState,
        freshness: ViewFreshness,
        list_live_ids: Callable[[], list[str]],
        watchers: int,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._state = state
        self._freshness = freshness
        self._list_live_ids = list_live_ids
        self._watchers = watchers
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._stopped = threading.Event()
        self._watched_revision = 0
        self._recovered_versions: set[tuple[str, int]] = set()
        self.is_watching = False

    def start(self) -> None:
        """Start the thread that reads and watches."""
        threading.Thread(target=self._run, name="config-watch", daemon=True).start()

    def stop(self) -> None:
        """Stop after the current watch answer."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._recover_past_versions()
            if not self._should_watch():
                self._stopped.wait(ROLE_CHECK_INTERVAL_S)
                continue
            self._read_and_watch()
            if self._should_watch():
                self._stopped.wait(self._choose_retry_delay())

    def _should_watch(self) -> bool:
        live_ids = self._list_live_ids()
        return self._freshness.should_watch(live_ids, self._watchers)

    def _choose_retry_delay(self) -> float:
        """Return a random delay that grows with the number of nodes.

        In an outage of the service every node retries, since each knows only that no
        other one reaches it. The delay limits the retries of all nodes together to
        about `CLUSTER_RETRIES_PER_S`.
        """
        spread_s = len(self._list_live_ids()) / CLUSTER_RETRIES_PER_S
        return MIN_RETRY_DELAY_S + self._rng.uniform(0, 2 * spread_s)

    def _read_and_watch(self) -> None:
        requested_at = self._clock.monotonic()
        newest_known_revision = max(self._watched_revision, self._state.revision)
        read = self._store.read_range(CONFIG_PREFIX)
        if isinstance(read, Err):
            failure = read.failure()
            logger.warning(
                "result code {}: reading the configuration failed: {}",
                failure.code.value,
                failure.detail,
            )
            self._metrics.count("key_value_failed")
            return
        key_range = read.unwrap()
        is_rolled_back = self._check_rollback(key_range.revision, newest_known_revision)
        # Records of the first read after a start are not pushed to peers, which
        # normally have them already.
        self._apply(key_range.entries, announce=self._watched_revision > 0)
        if is_rolled_back or not self._watched_revision:
            self._watched_revision = key_range.revision
        if not is_rolled_back:
            self._freshness.record_key_value_contact(requested_at)
        self._watch(key_range.revision)

    def _recover_past_versions(self) -> None:
        """Apply past versions of records whose newest schema isn't supported here.

        A node that has just started has no earlier version of them in force. Each such
        record takes one read of its history.
        """
        for record in self._state.list_without_spec():
            if (record.path, record.revision) in self._recovered_versions:
                continue
            key = build_history_key(record.kind, record.name)
            read = self._store.read_keys([key])
            if isinstance(read, Err):
                return
            self._recovered_versions.add((record.path, record.revision))
            for entry in read.unwrap().entries:
                versions = parse_history(entry).value_or([])
                self._state.apply_records(versions, announce=False)

    def _check_rollback(self, revision: int, newest_known_revision: int) -> bool:
        if revision >= newest_known_revision:
            return False
        logger.error(
            "result code {}: the key-value service went back to revision {} from {}; "
            "newer records stay in force",
            ResultCode.KEY_VALUE_WENT_BACK.value,
            revision,
            newest_known_revision,
        )
        self._metrics.count("key_value_went_back")
        return True

    def _watch(self, read_revision: int) -> None:
        """Watch from the last change seen, so that removals since then are reported."""
        self.is_watching = True
        has_answered = False
        try:
            for answer in self._store.watch(CONFIG_PREFIX, self._watched_revision + 1):
                has_answered = True
                self._apply(answer.entries)
                self._record_progress(answer)
                self._recover_past_versions()
                if self._stopped.is_set() or not self._should_watch():
                    return
        finally:
            self.is_watching = False
        if not has_answered:
            # The service may have compacted the changes since the watched revision, so
            # the next watch starts after the range that was just read.
            self._watched_revision = max(self._watched_revision, read_revision)
        logger.warning("the configuration watch ended; reading the records again")

    def _record_progress(self, answer: KeyRange) -> None:
        revisions = [entry.revision for entry in answer.entries] or [answer.revision]
        self._watched_revision = max(self._watched_revision, *revisions)
        self._freshness.record_key_value_contact(self._clock.monotonic())

    def _apply(self, entries: Iterable[KeyValue], *, announce: bool = True) -> None:
        if self._state.apply_entries(entries, announce=announce):
            logger.info("configuration at revision {}", self._state.revision)


__all__ = ("ConfigWatcher",)
