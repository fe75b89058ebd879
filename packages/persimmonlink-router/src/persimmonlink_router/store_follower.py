"""Keeps the local mirror of the store current."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.change_origin import ChangeOrigin, ChangeSource
from persimmonlink_router.store import (
    HistoryLostError,
    StoreRestoredError,
    StoreSilentError,
    StoreUnavailableError,
)
from persimmonlink_router.store_intervals import WATCH_WAIT_S, choose_watch_pause_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.store import ItemPage, MetadataStore, StoredItem
    from persimmonlink_router.store_backoff import StoreBackoff
    from persimmonlink_router.store_mirror import StoreMirror

# Time that the watch after a suspension, or after a failed one, waits for a change.
REFRESH_WATCH_S = 0.001
# Interval of looking whether the store answers this node again.
CONTACT_POLL_INTERVAL_S = 0.1
LEASE_TTL_S = 4.0  # Shorter than a dead node may remain listed in the directory.
# Short enough for a second renewal before the lease expires if the first times out.
LEASE_RENEWAL_INTERVAL_S = 1.4
MAX_LISTING_PAGES = 1000  # Stops a listing whose pages never end.


class StoreFollower:
    """Lists the store's keys once, then watches them for changes.

    Parameters
    ----------
    store : MetadataStore
        Store to follow.
    prefixes : tuple of str
        Prefixes of the keys that are mirrored.
    mirror : StoreMirror
        Receives listings and changes.
    cluster_view : ClusterView
        Records contact with the store and its loss.
    count_nodes : callable
        Returns the number of nodes that call the store.
    backoff : StoreBackoff
        Pauses while the store fails calls.
    """

    def __init__(
        self,
        store: MetadataStore,
        prefixes: tuple[str, ...],
        mirror: StoreMirror,
        cluster_view: ClusterView,
        count_nodes: Callable[[], int],
        backoff: StoreBackoff,
    ) -> None:
        self._backoff = backoff
        self._store = store
        self._prefixes = prefixes
        self._mirror = mirror
        self._cluster_view = cluster_view
        self._count_nodes = count_nodes
        self._is_restored = False
        self._refresh_due = asyncio.Event()
        self._watch: asyncio.Task[ItemPage] | None = None

    def refresh(self) -> None:
        """Read the changes at once instead of waiting for one, after a suspension."""
        self._refresh_due.set()
        if self._watch is not None:
            self._watch.cancel()

    async def run(self) -> None:
        """Follow the store until cancelled; list again after lost history."""
        revision = 0
        while True:
            started_at = boot_time()
            try:
                if revision == 0:
                    revision = await self._read_all()
                page = await self._read_changes(revision)
                if page is None:
                    continue
                self._apply_page(page)
                self._backoff.record_success()
                revision = max(revision, page.revision)
            except HistoryLostError as error:
                self._is_restored |= isinstance(error, StoreRestoredError)
                logger.bind(revision=revision, restored=self._is_restored).info(
                    "store.history_lost"
                )
                revision = 0
                continue
            except StoreUnavailableError as error:
                now = boot_time()
                is_silent = isinstance(error, StoreSilentError)
                since = started_at if is_silent else now
                self._cluster_view.record_contact_loss(now, str(error), since)
                await self._pause(self._backoff.next_pause_s(boot_time() - started_at))
                continue
            await self._pause(choose_watch_pause_s(self._count_nodes()))

    async def _read_changes(self, revision: int) -> ItemPage | None:
        """Return the changes after a revision; None if a refresh ended the wait."""
        is_urgent = self._refresh_due.is_set() or not self._cluster_view.is_in_contact
        wait_s = REFRESH_WATCH_S if is_urgent else WATCH_WAIT_S
        self._refresh_due.clear()
        call = self._store.watch("", revision, wait_s)
        watch = asyncio.get_running_loop().create_task(call)
        self._watch = watch
        try:
            await asyncio.wait((watch,))
        finally:
            watch.cancel()
            self._watch = None
        return None if watch.cancelled() else watch.result()

    async def _pause(self, seconds: float) -> None:
        """Pause, or go on at once after a suspension."""
        try:
            async with asyncio.timeout(seconds):
                await self._refresh_due.wait()
        except TimeoutError:
            return

    async def _read_all(self) -> int:
        """Read all keys; return the revision from which to watch.

        It is that of the oldest listing, so that no later change is missed.
        """
        watch_revision = 0
        last_contact_at = self._cluster_view.last_contact_at
        for prefix in self._prefixes:
            items: list[StoredItem] = []
            after = ""
            listing_revision = 0
            for _ in range(MAX_LISTING_PAGES):
                page = await self._store.read_page(prefix, after)
                listing_revision = listing_revision or page.revision
                items.extend(page.items)
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
            watch_revision = min(watch_revision or listing_revision, listing_revision)
            self._cluster_view.record_contact(boot_time())
            if self._is_restored:
                self._cluster_view.record_restore(boot_time())
            origin = _build_origin(ChangeSource.LISTING, last_contact_at)
            self._mirror.apply_listing(prefix, items, listing_revision, origin)
        self._mirror.advance(watch_revision)
        self._is_restored = False
        return watch_revision

    def _apply_page(self, page: ItemPage) -> None:
        origin = _build_origin(ChangeSource.WATCH, self._cluster_view.last_contact_at)
        self._cluster_view.record_contact(boot_time())
        mirrored = [i for i in page.items if i.key.startswith(self._prefixes)]
        self._mirror.apply(mirrored, origin)
        self._mirror.advance(page.revision)


def _build_origin(source: ChangeSource, last_contact_at: float) -> ChangeOrigin:
    """Return the origin of changes that the store told of now."""
    if not last_contact_at:
        return ChangeOrigin(source)
    return ChangeOrigin(source, boot_time() - last_contact_at)


__all__ = ("StoreFollower",)
