"""Keeps decisions on prompts in the store, so that they outlast all nodes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from xxhash import xxh3_64_hexdigest

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.foreign_values import UNREADABLE_ERRORS
from persimmonlink_router.holds import HOLD_S, build_notice
from persimmonlink_router.peer_messages import HoldNotice
from persimmonlink_router.store import LeaseExpiredError, StoreUnavailableError

if TYPE_CHECKING:
    from persimmonlink_router.holds import Hold
    from persimmonlink_router.store import MetadataStore, StoredItem

HOLD_PREFIX = "persimmonlink/holds/"  # Prefix of the keys of the decisions.


class HoldRecords:
    """Writes decisions under leases that end with them, and reads them.

    Parameters
    ----------
    store : MetadataStore
        Store that keeps them.
    """

    def __init__(self, store: MetadataStore) -> None:
        self._store = store
        self._unsaved_by_key: dict[str, Hold] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def has_unsent(self) -> bool:
        """Whether the store has not got a decision."""
        return bool(self._unsaved_by_key)

    def save(self, hold: Hold) -> None:
        """Write a decision soon."""
        name = xxh3_64_hexdigest(",".join(sorted(hold.cause_ids)).encode())
        self._unsaved_by_key[HOLD_PREFIX + name] = hold
        self.flush()

    def flush(self) -> None:
        """Write what is not written yet, unless that is being done."""
        if not self._unsaved_by_key:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._write_all())

    def read(self, item: StoredItem) -> HoldNotice | None:
        """Decode an item of the store; None for one that is deleted or malformed.

        The store doesn't tell the age of a decision. It counts as older than any that
        this node knows, which may have been made since.
        """
        if item.value is None:
            return None
        try:
            notice = msgspec.json.decode(item.value, type=HoldNotice)
        except UNREADABLE_ERRORS as error:
            logger.bind(key=item.key, error=str(error)).warning("store.entry_invalid")
            return None
        return replace(notice, age_s=HOLD_S)

    async def _write_all(self) -> None:
        for key, hold in list(self._unsaved_by_key.items()):
            notice = build_notice(hold, boot_time())
            if notice.left_s <= 0:
                del self._unsaved_by_key[key]
                continue
            try:
                lease = await self._store.grant_lease(notice.left_s)
                value = msgspec.json.encode(notice)
                await self._store.put_with_lease(key, value, lease)
            except (StoreUnavailableError, LeaseExpiredError) as error:
                # The next flush writes it again.
                logger.bind(key=key, error=str(error)).info("prompt.hold_not_saved")
                return
            if self._unsaved_by_key.get(key) is hold:
                del self._unsaved_by_key[key]


__all__ = ("HOLD_PREFIX", "HoldRecords")
