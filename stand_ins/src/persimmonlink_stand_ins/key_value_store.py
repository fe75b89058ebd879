"""In-memory key-value store with revisions, leases and an event history."""

from __future__ import annotations

import threading
import time
from bisect import bisect_left, insort
from dataclasses import dataclass, replace
from itertools import count

LEASE_CHECK_INTERVAL_S = 0.05
UNBOUNDED_RANGE_END = b"\0"  # Selects all keys from the start of the range.


class StoreError(Exception):
    """Raised for a request that the store rejects."""


@dataclass(frozen=True)
class KeyValue:
    """A key and its value as of the last change."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True)
class Event:
    """A change of a key; a deletion has an empty value and version 0."""

    deleted: bool
    kv: KeyValue


@dataclass
class Lease:
    """A lease; its keys are deleted when it expires."""

    ttl_s: int
    expires_at: float
    keys: set[bytes]


class Store:
    """State of the key-value service; callers hold `changed` around each use."""

    def __init__(self) -> None:
        self.changed = threading.Condition(threading.RLock())
        self.revision = 1
        self.events: list[Event] = []
        self.writes = 0
        self._kv_by_key: dict[bytes, KeyValue] = {}
        self._keys: list[bytes] = []
        self._lease_by_id: dict[int, Lease] = {}
        self._lease_ids = count(1000)
        self._stopped = threading.Event()
        self._expiry_thread = threading.Thread(target=self._expire_leases, daemon=True)
        self._expiry_thread.start()

    def stop(self) -> None:
        """Stop the expiry of leases."""
        self._stopped.set()

    def read(self, key: bytes) -> KeyValue | None:
        """Return a key, or None if it does not exist."""
        return self._kv_by_key.get(key)

    def read_range(self, key: bytes, range_end: bytes) -> list[KeyValue]:
        """Return the keys in [`key`, `range_end`); only `key` if no end is given."""
        if not range_end:
            found = self._kv_by_key.get(key)
            return [found] if found else []
        start = bisect_left(self._keys, key)
        end = len(self._keys)
        if range_end != UNBOUNDED_RANGE_END:
            end = bisect_left(self._keys, range_end)
        return [self._kv_by_key[listed_key] for listed_key in self._keys[start:end]]

    def check_lease(self, lease_id: int) -> None:
        """Raise `StoreError` for a lease that does not exist; 0 means no lease."""
        if lease_id and lease_id not in self._lease_by_id:
            raise StoreError("etcdserver: requested lease not found")

    def put(self, key: bytes, value: bytes, lease_id: int, revision: int) -> None:
        """Write a key as part of the uncommitted `revision`."""
        self.check_lease(lease_id)
        previous = self._kv_by_key.get(key)
        if previous is None:
            insort(self._keys, key)
            kv = KeyValue(key, value, revision, revision, 1, lease_id)
        else:
            self._detach_from_lease(previous)
            kv = replace(
                previous,
                value=value,
                mod_revision=revision,
                version=previous.version + 1,
                lease=lease_id,
            )
        if lease_id:
            self._lease_by_id[lease_id].keys.add(key)
        self._kv_by_key[key] = kv
        self.events.append(Event(False, kv))

    def delete_range(self, key: bytes, range_end: bytes, revision: int) -> int:
        """Delete a range as part of the uncommitted `revision`; return the count."""
        found = self.read_range(key, range_end)
        for kv in found:
            self._detach_from_lease(kv)
            del self._kv_by_key[kv.key]
            del self._keys[bisect_left(self._keys, kv.key)]
            tombstone = KeyValue(kv.key, b"", 0, revision, 0)
            self.events.append(Event(True, tombstone))
        return len(found)

    def commit(self, revision: int) -> None:
        """Commit a revision and wake the watches, if it changed anything."""
        if self.events and self.events[-1].kv.mod_revision == revision:
            self.revision = revision
            self.writes += 1
            self.changed.notify_all()

    def grant(self, ttl_s: int, lease_id: int) -> int:
        """Grant a lease and return its identifier; 0 as `lease_id` selects one."""
        lease_id = lease_id or next(self._lease_ids)
        self._lease_by_id[lease_id] = Lease(ttl_s, time.monotonic() + ttl_s, set())
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 if it does not exist."""
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = time.monotonic() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        lease = self._lease_by_id.pop(lease_id, None)
        if lease is None:
            raise StoreError("etcdserver: requested lease not found")
        revision = self.revision + 1
        for key in sorted(lease.keys):
            self.delete_range(key, b"", revision)
        self.commit(revision)

    def _detach_from_lease(self, kv: KeyValue) -> None:
        lease = self._lease_by_id.get(kv.lease)
        if lease is not None:
            lease.keys.discard(kv.key)

    def _expire_leases(self) -> None:
        while not self._stopped.wait(LEASE_CHECK_INTERVAL_S):
            with self.changed:
                now = time.monotonic()
                for lease_id, lease in list(self._lease_by_id.items()):
                    if lease.expires_at <= now:
                        self.revoke(lease_id)


__all__ = ["Event", "KeyValue", "Lease", "Store", "StoreError"]
