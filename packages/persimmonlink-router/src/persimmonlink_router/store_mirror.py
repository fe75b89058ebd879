"""A copy of the keys that the router needs, kept by revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmonlink_router.store import StoredItem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_TOMBSTONES = 2000  # Deleted keys remembered, so that peers learn of them.


class StoreMirror:
    """Keys and their newest known revisions; nothing ever goes back.

    Changes come from the store and from peers, in any order, and more than once.

    Parameters
    ----------
    on_change : callable
        Told each change that was news.
    """

    def __init__(self, on_change: Callable[[StoredItem], None]) -> None:
        self._on_change = on_change
        self._item_by_key: dict[str, StoredItem] = {}
        self.revision = 0

    def find(self, key: str) -> StoredItem | None:
        """Return the item of a key, deleted or not."""
        return self._item_by_key.get(key)

    def apply(self, items: Iterable[StoredItem]) -> int:
        """Take in changes; return how many were news."""
        applied_count = 0
        for item in items:
            known = self._item_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            if known is None and item.value is None:
                self._item_by_key[item.key] = item
                continue
            self._item_by_key[item.key] = item
            applied_count += 1
            if known is None or known.value != item.value:
                self._on_change(item)
        return applied_count

    def advance(self, revision: int) -> None:
        """Note that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)
        self._discard_old_tombstones()

    def apply_listing(
        self, prefix: str, items: Iterable[StoredItem], revision: int
    ) -> None:
        """Take in a whole listing: keys that are missing from it were deleted."""
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
        self.apply(items)
        self.apply(missing)

    def list_since(self, revision: int) -> tuple[StoredItem, ...]:
        """Return what has changed after a revision, in order of revision."""
        changed = [i for i in self._item_by_key.values() if i.revision > revision]
        changed.sort(key=lambda item: item.revision)
        return tuple(changed)

    def _discard_old_tombstones(self) -> None:
        tombstones = [i for i in self._item_by_key.values() if i.value is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda item: item.revision)
        for item in tombstones[: len(tombstones) - MAX_TOMBSTONES // 2]:
            del self._item_by_key[item.key]


__all__ = ("MAX_TOMBSTONES", "StoreMirror")
