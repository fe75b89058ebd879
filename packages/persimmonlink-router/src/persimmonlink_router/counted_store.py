"""Counts the calls of this node to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from persimmonlink_router.store import (
    READ_TIMEOUT_S,
    WATCH_MARGIN_S,
    HistoryLostError,
    LeaseExpiredError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Mapping
    from typing import Any

    from persimmonlink_router.metrics import RouterMetrics
    from persimmonlink_router.store import ItemPage, MetadataStore

Reply = TypeVar("Reply")


class CountedStore:
    """Passes calls on to the store, and counts them by kind and outcome.

    Parameters
    ----------
    store : MetadataStore
        Store that is called.
    metrics : RouterMetrics
        Has the counter `store_calls_total`.
    """

    def __init__(self, store: MetadataStore, metrics: RouterMetrics) -> None:
        self._store = store
        self._metrics = metrics

    async def read_page(
        self, prefix: str, after: str, timeout_s: float = READ_TIMEOUT_S
    ) -> ItemPage:
        """Return a page of the items with a prefix whose keys sort after `after`."""
        call = self._store.read_page(prefix, after, timeout_s)
        return await self._count("list", call)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_s: float,
        margin_s: float = WATCH_MARGIN_S,
    ) -> ItemPage:
        """Return the changes after a revision, waiting up to `wait_s` for one."""
        call = self._store.watch(prefix, revision, wait_s, margin_s)
        return await self._count("watch", call)

    async def put_with_lease(self, key: str, value: bytes, lease: int) -> int:
        """Write a key under a lease and return the revision of the write."""
        return await self._count("put", self._store.put_with_lease(key, value, lease))

    async def put_if_unchanged(
        self, values: Mapping[str, bytes], revision_by_key: Mapping[str, int]
    ) -> int | None:
        """Write keys if others are unchanged; return the revision, or None."""
        call = self._store.put_if_unchanged(values, revision_by_key)
        return await self._count("put", call)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        return await self._count("grant_lease", self._store.grant_lease(ttl_s))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise `LeaseExpiredError` if it no longer exists."""
        await self._count("renew_lease", self._store.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self._count("revoke_lease", self._store.revoke_lease(lease))

    async def _count(self, kind: str, call: Coroutine[Any, Any, Reply]) -> Reply:
        """Await a call, and count what became of it."""
        outcome = "cancelled"
        try:
            reply = await call
            outcome = "answered"
        except StoreUnavailableError:
            outcome = "unavailable"
            raise
        except (HistoryLostError, LeaseExpiredError):
            outcome = "answered"
            raise
        else:
            return reply
        finally:
            labels = f'kind="{kind}",outcome="{outcome}"'
            self._metrics.count("store_calls_total", labels)


__all__ = ("CountedStore",)
