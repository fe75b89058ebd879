"""Keeps the local mirror of the store current."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.change_origin import ChangeOrigin, ChangeSource
from persimmonlink_router.store import (
    READ_TIMEOUT_S,
    WATCH_MARGIN_S,
    HistoryLostError,
    ItemPage,
    StoreRestoredError,
    StoreSilentError,
    StoreUnavailableError,
)
from persimmonlink_router.store_backoff import MIN_PAUSE_S
from persimmonlink_router.store_intervals import (
    WATCH_LATENCY_S,
    WATCH_WAIT_S,
    choose_outage_interval_s,
    choose_watch_pause_s,
)
from persimmonlink_router.store_latency import StoreLatency
from persimmonlink_router.watch_patience import WatchPatience

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.store import MetadataStore, StoredItem
    from persimmonlink_router.store_backoff import StoreBackoff
    from persimmonlink_router.store_mirror import StoreMirror

# Time that the watch after a suspension, or after a failed one, waits for a change.
REFRESH_WATCH_S = 0.001
# Least time between two watches that are given up for what peers have, if the retry
# was slow too: a slow store must not get many more calls.
GIVE_UP_INTERVAL_S = 10.0
LATE_TIMER_S = 0.1  # Lateness of a timer from which the loop is taken to have stood.
MAX_LISTING_PAGES = 1000  # Stops a listing whose pages never end.


class WatchGivenUpError(StoreUnavailableError):
    """A watch was ended that may have waited for nothing."""


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
        self._watched_revision = 0
        self._watch_timer: asyncio.TimerHandle | None = None
        self._patience = WatchPatience()
        self._latency = StoreLatency()
        self._has_failed = False  # Whether the last call did.
        # Time that the last watch took that was given up, if it was the last call.
        self._given_up_after_s: float | None = None
        self._gave_up_at = -math.inf

    def refresh(self) -> None:
        """Read the changes at once instead of waiting for one, after a suspension."""
        self._refresh_due.set()
        if self._watch is not None:
            self._watch.cancel()

    def record_peer_revision(self, revision: int) -> None:
        """Record a revision that a peer has from the store.

        A watch that waits although there is a later one is soon given up.
        """
        if revision > self._watched_revision:
            self._give_up_after(self._latency.find_limit_s())

    async def run(self) -> None:
        """Follow the store until cancelled or an unexpected error.

        After that, until it runs again, the node knows no more than without the store,
        and hears of changes from its peers.
        """
        try:
            await self._follow()
        except Exception as error:
            now = boot_time()
            self._cluster_view.record_contact_loss(now, repr(error), now)
            raise

    async def _follow(self) -> None:
        """Follow the store; list again after lost history.

        If it is lost again before a watch had an answer, a pause comes first.
        """
        revision = 0
        has_listed_again = False
        while True:
            started_at = boot_time()
            try:
                if revision == 0:
                    revision = await self._read_all()
                page = await self._read_changes(revision)
                if page is None:
                    continue
                await self._apply_page(page)
                self._backoff.record_success()
                has_listed_again = False
                self._has_failed = False
                revision = max(revision, page.revision)
            except HistoryLostError as error:
                self._is_restored |= isinstance(error, StoreRestoredError)
                logger.bind(revision=revision, restored=self._is_restored).info(
                    "store.history_lost"
                )
                revision = 0
                if has_listed_again:
                    await self._pause(self._choose_pause_s())
                has_listed_again = True
                continue
            except WatchGivenUpError as error:
                # The next call, at once, tells whether the store is lost.
                self._has_failed = True
                self._cluster_view.record_contact_doubt(boot_time(), str(error))
                self._backoff.record_failure()
                continue
            except StoreUnavailableError as error:
                self._has_failed = True
                now = boot_time()
                is_silent = isinstance(error, StoreSilentError)
                since = started_at if is_silent else now
                self._cluster_view.record_contact_loss(now, str(error), since)
                await self._pause(self._backoff.next_pause_s(boot_time() - started_at))
                continue
            await self._pause(self._choose_pause_s())

    def _choose_pause_s(self) -> float:
        """Return the pause between two watches, in seconds.

        A slow store takes a part of it, as changes accumulate while it answers.
        """
        pause_s = choose_watch_pause_s(self._count_nodes())
        return max(MIN_PAUSE_S, pause_s - self._latency.latency_s)

    async def _read_changes(self, revision: int) -> ItemPage | None:
        """Return the changes after a revision; None if a refresh ended the wait."""
        is_usual = self._cluster_view.is_in_contact and not self._refresh_due.is_set()
        self._refresh_due.clear()
        began_at = boot_time()
        heard_revision = self._mirror.highest_revision
        wait_s, margin_s = self._choose_watch_times(is_usual)
        call = self._store.watch("", revision, wait_s, margin_s)
        watch = asyncio.get_running_loop().create_task(call)
        self._watched_revision = revision
        self._watch = watch
        limit_s = self._patience.find_limit_s()
        if is_usual and limit_s is not None:
            self._give_up_after(limit_s + self._latency.latency_s)
        try:
            await asyncio.wait((watch,))
        finally:
            watch.cancel()
            self._watch = None
            self._stop_watch_timer()
        took_s = boot_time() - began_at
        if not watch.cancelled():
            page = watch.result()
            self._record_response(page, took_s, is_usual=is_usual)
            if self._corrects(page, heard_revision):
                raise HistoryLostError
            return page
        if self._refresh_due.is_set():
            return None
        self._given_up_after_s = took_s
        self._gave_up_at = boot_time()
        logger.bind(after_s=round(took_s, 2)).info("store.watch_given_up")
        raise WatchGivenUpError(f"a watch was given up after {took_s:.2f} s")

    def _corrects(self, page: ItemPage, heard_revision: int) -> bool:
        """Whether the store has not reached a revision that this node had heard of.

        What has such a revision, which a peer told of, is forgotten.
        """
        if heard_revision <= page.revision:
            return False
        logger.bind(revision=page.revision, heard_revision=heard_revision).warning(
            "store.revision_corrected"
        )
        self._mirror.forget_later(page.revision)
        return True

    def _choose_watch_times(self, is_usual: bool) -> tuple[float, float]:
        """Return for how long a watch waits, and for how long after that it may take.

        One that is not usual follows a suspension or a failed one.
        """
        wait_s = WATCH_WAIT_S if is_usual else REFRESH_WATCH_S
        longest_s = self._find_longest_call_s()
        if self._cluster_view.is_in_contact:
            margin_s = max(WATCH_MARGIN_S, self._latency.find_limit_s())
            return wait_s, min(margin_s, longest_s)
        return wait_s, longest_s - wait_s

    def _find_longest_call_s(self) -> float:
        """Return the time until the next call is due, in which a slow store answers."""
        return choose_outage_interval_s(self._count_nodes()) - MIN_PAUSE_S

    def _record_response(
        self, page: ItemPage, took_s: float, *, is_usual: bool
    ) -> None:
        """Record how long watches take, also after one that was given up."""
        given_up_after_s, self._given_up_after_s = self._given_up_after_s, None
        self._record_latency(page, took_s, is_usual=is_usual)
        if is_usual:
            self._patience.record_response(took_s - self._latency.latency_s)
        elif given_up_after_s is not None:
            if not page.items:
                self._patience.record_needless(given_up_after_s)
            if took_s < WATCH_LATENCY_S:
                # The store is not slow: the watch was lost.
                self._gave_up_at = -math.inf

    def _record_latency(self, page: ItemPage, took_s: float, *, is_usual: bool) -> None:
        if not is_usual:
            self._latency.record_call(took_s)
        elif page.items:
            self._latency.record_change(took_s)
        else:
            self._latency.record_call(took_s - WATCH_WAIT_S)

    def _give_up_after(self, seconds: float) -> None:
        """Give up the watch that waits after a time, unless it is given up before.

        Not soon again after one that was given up of a slow store.
        """
        if self._watch is None or not self._cluster_view.is_in_contact:
            return
        if boot_time() - self._gave_up_at < GIVE_UP_INTERVAL_S:
            return
        loop = asyncio.get_running_loop()
        timer = self._watch_timer
        if timer is not None and timer.when() <= loop.time() + seconds:
            return
        self._stop_watch_timer()
        self._watch_timer = loop.call_later(seconds, self._cancel_watch)

    def _cancel_watch(self) -> None:
        """End the watch that waits, but first read what came while the loop stood."""
        loop = asyncio.get_running_loop()
        timer, watch = self._watch_timer, self._watch
        if timer is None or watch is None:
            return
        if loop.time() - timer.when() > LATE_TIMER_S:
            self._watch_timer = loop.call_later(LATE_TIMER_S, self._cancel_watch)
            return
        watch.cancel()

    def _stop_watch_timer(self) -> None:
        timer, self._watch_timer = self._watch_timer, None
        if timer is not None:
            timer.cancel()

    async def _pause(self, seconds: float) -> None:
        """Pause, or go on at once after a suspension."""
        try:
            async with asyncio.timeout(seconds):
                await self._refresh_due.wait()
        except TimeoutError:
            return

    async def _read_all(self) -> int:
        """Read all keys; return the revision from which to watch.

        It is that of the oldest listing, so that no later change is missed. All
        prefixes are listed at once, as a slow store would else be waited for often.
        """
        watch_revision = 0
        last_contact_at = self._cluster_view.last_contact_at
        loop = asyncio.get_running_loop()
        listings = {
            prefix: loop.create_task(self._list(prefix)) for prefix in self._prefixes
        }
        try:
            for prefix, listing in listings.items():
                page = await listing
                watch_revision = min(watch_revision or page.revision, page.revision)
                self._cluster_view.record_contact(boot_time())
                if self._is_restored:
                    self._cluster_view.record_restore(boot_time())
                origin = _build_origin(ChangeSource.LISTING, last_contact_at)
                await self._mirror.apply_in_turns(page.items, origin)
                self._mirror.apply_listing(prefix, page.items, page.revision, origin)
        finally:
            for listing in listings.values():
                listing.cancel()
            await asyncio.gather(*listings.values(), return_exceptions=True)
        self._mirror.advance(watch_revision)
        self._is_restored = False
        return watch_revision

    async def _list(self, prefix: str) -> ItemPage:
        """Return all items with a prefix, with the revision of their first page."""
        timeout_s = self._find_longest_call_s() if self._has_failed else READ_TIMEOUT_S
        items: list[StoredItem] = []
        after = ""
        revision = 0
        for _ in range(MAX_LISTING_PAGES):
            began_at = boot_time()
            page = await self._store.read_page(prefix, after, timeout_s)
            self._latency.record_call(boot_time() - began_at)
            revision = revision or page.revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return ItemPage(tuple(items), revision)

    async def _apply_page(self, page: ItemPage) -> None:
        origin = _build_origin(ChangeSource.WATCH, self._cluster_view.last_contact_at)
        self._cluster_view.record_contact(boot_time())
        mirrored = [i for i in page.items if i.key.startswith(self._prefixes)]
        await self._mirror.apply_in_turns(mirrored, origin)
        self._mirror.advance(page.revision)


def _build_origin(source: ChangeSource, last_contact_at: float) -> ChangeOrigin:
    """Return the origin of changes that the store told of now."""
    if not last_contact_at:
        return ChangeOrigin(source)
    return ChangeOrigin(source, boot_time() - last_contact_at)


__all__ = ("StoreFollower",)
