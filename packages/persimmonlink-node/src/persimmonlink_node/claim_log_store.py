"""Reads and appends entries of the claim logs in the key-value service."""

from __future__ import annotations

import math
import threading
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from returns.result import Failure as Err
from returns.result import Result, Success

from persimmonlink_interfaces.key_value import KeyWrite
from persimmonlink_model.claim_log import ClaimBatch, LogHead
from persimmonlink_model.result_code import Failure, ResultCode

if TYPE_CHECKING:
    from persimmonlink_interfaces.clock import Clock
    from persimmonlink_interfaces.key_value import (
        KeyRange,
        KeyValueStore,
        SwapOutcome,
    )
    from persimmonlink_model.claim_log import Append, ClaimLog

LEASE_REUSE_S = 60.0
READ_PAGE_ENTRIES = 500
HEAD_NAME = "head"


class SharedLease:
    """A lease that all appends of a node share for `LEASE_REUSE_S`.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    retention_s : float
        Seconds for which an entry must be kept after its claims were decided.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, store: KeyValueStore, retention_s: float, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._ttl_s = math.ceil(retention_s + LEASE_REUSE_S)
        self._lock = threading.Lock()
        self._lease_id = 0
        self._requested_at = 0.0

    def get(self) -> Result[int, Failure]:
        """Return a lease that was requested less than `LEASE_REUSE_S` ago."""
        with self._lock:
            now = self._clock.monotonic()
            if self._lease_id and now - self._requested_at < LEASE_REUSE_S:
                return Success(self._lease_id)
            granted = self._store.grant_lease(self._ttl_s)
            if isinstance(granted, Success):
                self._lease_id = granted.unwrap()
                self._requested_at = now
            return granted

    def invalidate(self) -> None:
        """Stop using the lease, since the store may not have it any more."""
        with self._lock:
            self._lease_id = 0


class ClaimLogStore:
    """The claim log of one shard in the key-value service.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    shard : int
        Number of the shard.
    """

    def __init__(self, store: KeyValueStore, shard: int) -> None:
        self._store = store
        self._prefix = f"claims/{shard}/"
        self._head_key = self._prefix + HEAD_NAME

    def read_new_entries(self, log: ClaimLog) -> Result[None, Failure]:
        """Read the entries that a log doesn't have yet and apply them to it.

        The key of the head sorts after those of all entries, so the page with the
        head also has every entry up to it that earlier pages didn't have.
        """
        start = self._build_entry_key(log.next_sequence)
        while True:
            read = self._store.read_range(
                self._prefix, start=start, limit=READ_PAGE_ENTRIES
            )
            if isinstance(read, Err):
                return read
            page = read.unwrap()
            applied = self._apply_page(page, log)
            if isinstance(applied, Err):
                return applied
            if len(page.entries) < READ_PAGE_ENTRIES:
                return Success(None)
            start = page.entries[-1].key + "\0"

    def append(self, append: Append, lease_id: int) -> Result[SwapOutcome, Failure]:
        """Append an entry and advance the head, if the head is unchanged."""
        head = KeyWrite(self._head_key, str(append.sequence).encode())
        entry = KeyWrite(
            self._build_entry_key(append.sequence),
            msgspec.msgpack.encode(append.batch),
            lease_id,
        )
        return self._store.append_entry(head, append.head_revision, entry)

    def _apply_page(self, page: KeyRange, log: ClaimLog) -> Result[None, Failure]:
        batches = []
        head = None
        for entry in page.entries:
            try:
                if entry.key == self._head_key:
                    head = LogHead(int(entry.value), entry.revision)
                    continue
                batches.append(msgspec.msgpack.decode(entry.value, type=ClaimBatch))
            except (msgspec.MsgspecError, ValueError) as error:
                # Skipping a corrupt entry could let an id run twice.
                detail = f"{entry.key} is corrupt: {error}"
                logger.error("result code {}: {}", ResultCode.CLAIM_UNAVAILABLE, detail)
                return Err(Failure(ResultCode.CLAIM_UNAVAILABLE, detail))
        log.apply_read(batches, head)
        return Success(None)

    def _build_entry_key(self, sequence: int) -> str:
        return f"{self._prefix}{sequence:016d}"


__all__ = ("ClaimLogStore", "SharedLease")
