"""Interface of the platform's metadata store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

READ_TIMEOUT_S = 1.2  # Calls take milliseconds, at bad times 100 times as long.
WATCH_MARGIN_S = 1.0  # Usual time in which a watch is answered after its wait.


class StoreUnavailableError(Exception):
    """The store did not answer or rejected the call; a write may have been applied."""


class StoreSilentError(StoreUnavailableError):
    """The store did not answer in time, and may not have since the call began."""


class ResponseTooLongError(StoreUnavailableError):
    """The store's response is longer than this node reads."""


class HistoryLostError(Exception):
    """The changes since the requested revision can't be read from the store.

    It no longer keeps them, or they are too many for one response.
    """


class StoreRestoredError(HistoryLostError):
    """The store returned from an older copy, and has lost its latest changes."""


class LeaseExpiredError(Exception):
    """The lease has expired or was revoked."""


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key with its value, or a tombstone of a deleted key.

    Parameters
    ----------
    key : str
        Full key, prefix included.
    value : bytes or None
        Stored value; None if the key was deleted.
    revision : int
        Revision of the store at the key's last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class ItemPage:
    """One page of a listing, or the changes that a watch returned.

    Parameters
    ----------
    items : tuple of StoredItem
        Items of the listing in key order, or changed items.
    revision : int
        Revision of the store at the read.
    has_more : bool
        Whether the listing continues on another page.
    """

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool = False


class MetadataStore(Protocol):
    """Listings, watches, leases and writes under a lease.

    Revisions rise with each change, also when the store returns from an older copy.
    Each call raises `StoreSilentError` if the store does not answer in time, and
    another `StoreUnavailableError` if it fails the call or breaks it off.
    """

    async def read_page(
        self, prefix: str, after: str, timeout_s: float = READ_TIMEOUT_S
    ) -> ItemPage:
        """Return a page of the items with a prefix whose keys sort after `after`."""
        ...

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_s: float,
        margin_s: float = WATCH_MARGIN_S,
    ) -> ItemPage:
        """Return the changes after a revision, waiting up to `wait_s` for one.

        The call is given up `margin_s` after that.
        Raises `HistoryLostError` if the store no longer keeps these changes or they
        are too many for one response, and `StoreRestoredError` if it has returned from
        an older copy since that revision.
        """
        ...

    async def put_with_lease(self, key: str, value: bytes, lease: int) -> int:
        """Write a key under a lease and return the revision of the write.

        Raises `LeaseExpiredError` if the lease no longer exists.
        """
        ...

    async def put_if_unchanged(
        self, values: Mapping[str, bytes], revision_by_key: Mapping[str, int]
    ) -> int | None:
        """Write keys without a lease, all or none, and return the revision.

        Returns None, and writes nothing, unless each key of `revision_by_key` still has
        that revision, 0 for one without a value.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        ...

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise `LeaseExpiredError` if it no longer exists."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys.

        Raises `LeaseExpiredError` if the lease no longer exists.
        """
        ...


__all__ = (
    "READ_TIMEOUT_S",
    "WATCH_MARGIN_S",
    "HistoryLostError",
    "ItemPage",
    "LeaseExpiredError",
    "ResponseTooLongError",
    "MetadataStore",
    "StoreRestoredError",
    "StoreSilentError",
    "StoreUnavailableError",
    "StoredItem",
)
