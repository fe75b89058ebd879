"""Prefix cache of an engine with a delayed, incomplete stream of its events."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import Any

from persimmonlink_stand_ins.work import hash_prefixes

LOST_EVENT_INTERVAL = 10  # Every tenth event is lost.


class PrefixCache:
    """A bounded set of prompt prefixes with least-recently-used eviction.

    Parameters
    ----------
    max_blocks : int
        Prefixes kept at most, one for each block.
    event_lag_s : float
        Seconds until an event becomes visible.
    """

    def __init__(self, max_blocks: int, event_lag_s: float) -> None:
        self._max_blocks = max_blocks
        self._event_lag_s = event_lag_s
        self._hashes: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._sequence = 0

    def look_up_and_store(self, prompt: str) -> tuple[int, int]:
        """Store a prompt; return the numbers of its cached and of all its blocks."""
        hashes = hash_prefixes(prompt)
        hits = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._hashes:
                break
            hits += 1
        for prefix_hash in hashes:
            if prefix_hash not in self._hashes:
                self._record_event("stored", prefix_hash)
            self._hashes[prefix_hash] = None
            self._hashes.move_to_end(prefix_hash)
        while len(self._hashes) > self._max_blocks:
            self._record_event("evicted", self._hashes.popitem(last=False)[0])
        return hits, len(hashes)

    def clear(self) -> None:
        """Drop all prefixes without recording eviction events."""
        self._hashes.clear()

    def read_events(self, after: int) -> list[dict[str, Any]]:
        """List the visible events after a sequence number."""
        visible_before = time.monotonic() - self._event_lag_s
        visible = []
        for recorded_at, event in self._events:
            if event["sequence"] > after and recorded_at <= visible_before:
                visible.append(event)
        return visible

    def _record_event(self, kind: str, prefix_hash: str) -> None:
        self._sequence += 1
        if self._sequence % LOST_EVENT_INTERVAL == 0:
            return
        event = {"sequence": self._sequence, "prefix_hash": prefix_hash, "kind": kind}
        self._events.append((time.monotonic(), event))


__all__ = ["PrefixCache"]
