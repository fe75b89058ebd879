"""Local copy of the store's keys that the router needs, versioned by revision."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.change_origin import (
    UNKNOWN_ORIGIN,
    ChangeOrigin,
    ChangeSource,
)
from persimmonlink_router.store import StoredItem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

MAX_TOMBSTONES = 2000  # Deletions kept for peers that have not seen them.
# Changes that are applied before other work of the loop gets a turn: a page may hold
# many thousands.
MAX_CHANGES_PER_TURN = 200


class StoreMirror:
    """Keeps each key's item of the highest known revision; none is ever reverted.

    Changes arrive from the store and from peers, in any order and repeatedly.

    Parameters
    ----------
    on_change : callable
        Called with each item whose value is new or has changed.
    """

    def __init__(self, on_change: Callable[[StoredItem], None]) -> None:
        self._on_change = on_change
        self._item_by_key: dict[str, StoredItem] = {}
        self.revision = 0
        # How the item came that `on_change` is called with.
        self.origin = UNKNOWN_ORIGIN
        self._listed_revision_by_prefix: dict[str, int] = {}
        self._discarded_revision = 0  # Highest one of the deletions that were dropped.
        self._highest_revision = 0  # Highest one of any item.

    def find(self, key: str) -> StoredItem | None:
        """Return the item or tombstone of a key, or None if it is unknown."""
        return self._item_by_key.get(key)

    def apply(
        self, items: Iterable[StoredItem], origin: ChangeOrigin = UNKNOWN_ORIGIN
    ) -> int:
        """Apply changes that are newer than known ones; return how many were new."""
        applied_count = 0
        self.origin = origin
        for item in items:
            self._highest_revision = max(self._highest_revision, item.revision)
            known = self._item_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            if known is None and item.value is None:
                self._item_by_key[item.key] = item
                continue
            if known is None and self._was_deleted(item, origin):
                continue
            self._item_by_key[item.key] = item
            applied_count += 1
            if known is None or known.value != item.value:
                self._report(item)
        return applied_count

    async def apply_in_turns(
        self, items: Sequence[StoredItem], origin: ChangeOrigin = UNKNOWN_ORIGIN
    ) -> int:
        """Apply changes as `apply` does, with turns of the loop between many."""
        applied_count = 0
        for start in range(0, len(items), MAX_CHANGES_PER_TURN):
            if start:
                await asyncio.sleep(0)
            applied_count += self.apply(
                items[start : start + MAX_CHANGES_PER_TURN], origin
            )
        return applied_count

    def _report(self, item: StoredItem) -> None:
        """Report a change; an error concerns this item alone, not those behind it."""
        try:
            self._on_change(item)
        except Exception:
            logger.bind(key=item.key, revision=item.revision).exception(
                "store.item_failed"
            )

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        if not self.revision:
            self._discarded_revision = max(self._discarded_revision, revision)
        self.revision = max(self.revision, revision)
        self._discard_old_tombstones()

    def apply_listing(
        self,
        prefix: str,
        items: Iterable[StoredItem],
        revision: int,
        origin: ChangeOrigin = UNKNOWN_ORIGIN,
    ) -> None:
        """Apply a complete listing; known older keys missing from it were deleted."""
        items = tuple(items)
        listed = {item.key for item in items}
        missing = [
            StoredItem(key, None, revision)
            for key, item in self._item_by_key.items()
            if key.startswith(prefix)
            and key not in listed
            and item.value is not None
            and item.revision <= revision
        ]
        self.apply(items, origin)
        self.apply(missing, origin)
        self._listed_revision_by_prefix[prefix] = revision

    @property
    def highest_revision(self) -> int:
        """Highest revision of which this node has heard."""
        return max(self.revision, self._highest_revision)

    def forget_later(self, revision: int) -> None:
        """Forget all that has a later revision than the store itself has reached.

        A peer has told of it that was wrong; a listing must follow.
        """
        later = [i for i in self._item_by_key.values() if i.revision > revision]
        for item in later:
            del self._item_by_key[item.key]
            if item.value is not None:
                self._report(StoredItem(item.key, None, revision))
        self.revision = min(self.revision, revision)
        self._highest_revision = min(self._highest_revision, revision)
        self._discarded_revision = min(self._discarded_revision, revision)
        for prefix, listed in self._listed_revision_by_prefix.items():
            self._listed_revision_by_prefix[prefix] = min(listed, revision)

    def list_since(self, revision: int) -> tuple[StoredItem, ...]:
        """Return the items changed after a revision, in order of revision."""
        changed = [i for i in self._item_by_key.values() if i.revision > revision]
        changed.sort(key=lambda item: item.revision)
        return tuple(changed)

    def knows_deletions_since(self, revision: int) -> bool:
        """Whether the deletions of all keys after a revision are known.

        Those before a listing are not: it lacks keys that this node never knew.
        """
        listed = max(self._listed_revision_by_prefix.values(), default=0)
        return revision >= max(listed, self._discarded_revision)

    def _was_deleted(self, item: StoredItem, origin: ChangeOrigin) -> bool:
        """Whether the store has deleted an unknown key that a peer's copy still has.

        All changes up to the mirror's revision are known, and up to that of a listing.
        """
        if origin.source is not ChangeSource.PEER:
            return False
        complete_revision = self.revision
        for prefix, revision in self._listed_revision_by_prefix.items():
            if item.key.startswith(prefix):
                complete_revision = max(complete_revision, revision)
        return item.revision <= complete_revision

    def _discard_old_tombstones(self) -> None:
        tombstones = [i for i in self._item_by_key.values() if i.value is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda item: item.revision)
        for item in tombstones[: len(tombstones) - MAX_TOMBSTONES // 2]:
            del self._item_by_key[item.key]
            self._discarded_revision = max(self._discarded_revision, item.revision)


__all__ = ("MAX_TOMBSTONES", "StoreMirror")
