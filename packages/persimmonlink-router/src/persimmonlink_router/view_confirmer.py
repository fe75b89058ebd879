"""Confirms that this node knows all that the store has at a moment."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from persimmonlink_router.boot_clock import boot_time
from persimmonlink_router.shared_check import SharedChecks
from persimmonlink_router.store import HistoryLostError, StoreUnavailableError
from persimmonlink_router.store_intervals import choose_extra_read_interval_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonlink_router.cluster_view import ClusterView
    from persimmonlink_router.store import MetadataStore
    from persimmonlink_router.store_mirror import StoreMirror

CONFIRM_TIMEOUT_S = 0.5  # Longest wait for the store.
READ_WAIT_S = 0.001  # Time for which the store waits for a change.


class ViewConfirmer:
    """Reads the latest changes of the store, beside the follower's watch.

    The follower's contact with the store may be as old as its watch, and a node that
    is cut off learns that only when the watch ends.

    Parameters
    ----------
    store : MetadataStore
        Store that is read.
    prefixes : tuple of str
        Prefixes of the keys that are mirrored.
    mirror : StoreMirror
        Gets the changes.
    cluster_view : ClusterView
        Says when the store last answered this node.
    count_nodes : callable
        Returns the number of nodes that call the store.
    """

    def __init__(
        self,
        store: MetadataStore,
        prefixes: tuple[str, ...],
        mirror: StoreMirror,
        cluster_view: ClusterView,
        count_nodes: Callable[[], int],
    ) -> None:
        self._store = store
        self._prefixes = prefixes
        self._mirror = mirror
        self._cluster_view = cluster_view
        self._count_nodes = count_nodes
        self._next_read_at = 0.0
        self._silent_at = 0.0
        self._checks: SharedChecks[bool] = SharedChecks()

    async def confirm(self) -> bool:
        """Apply all changes that the store has now; return whether it answered."""
        if not self._mirror.revision:
            return False
        if self._cluster_view.last_contact_at < self._silent_at:
            # The store gave no answer since it was asked last.
            return False
        return await self._checks.run("store", self._read_changes, self._wait_for_turn)

    async def _wait_for_turn(self) -> None:
        """Keep the nodes' reads together within what the store sustains."""
        await asyncio.sleep(max(0.0, self._next_read_at - boot_time()))
        self._next_read_at = boot_time() + choose_extra_read_interval_s(
            self._count_nodes()
        )

    async def _read_changes(self) -> bool:
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                page = await self._store.watch("", self._mirror.revision, READ_WAIT_S)
        except (TimeoutError, StoreUnavailableError, HistoryLostError) as error:
            logger.bind(error=repr(error)).info("store.view_not_confirmed")
            self._silent_at = boot_time()
            return False
        mirrored = [i for i in page.items if i.key.startswith(self._prefixes)]
        await self._mirror.apply_in_turns(mirrored)
        return not page.has_more


__all__ = ("ViewConfirmer",)
