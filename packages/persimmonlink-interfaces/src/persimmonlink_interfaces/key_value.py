"""Interface of the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from returns.result import Result

    from persimmonlink_model.result_code import Failure


@dataclass(frozen=True)
class KeyValue:
    """A key and its value at one revision.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value; empty for a deletion.
    revision : int
        Revision at which the key was last written or deleted.
    deleted : bool
        Whether the key was deleted.
    """

    key: str
    value: bytes
    revision: int
    deleted: bool = False


@dataclass(frozen=True)
class KeyRange:
    """Result of a range read, or one batch of changes from a watch.

    Parameters
    ----------
    entries : tuple of KeyValue
        Keys that were read, in key order, or changes in the order of the watch.
    revision : int
        Revision of the whole store that the entries correspond to.
    """

    entries: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True)
class SwapOutcome:
    """Result of a compare-and-swap.

    Parameters
    ----------
    succeeded : bool
        Whether the write took effect.
    revision : int
        Revision of the store after the transaction.
    current : KeyValue or None
        Present entry of the key if the swap failed, None if there is none.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True)
class KeyWrite:
    """One write of a transaction.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value to write.
    lease_id : int
        Lease that the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


class KeyValueStore(Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    Each method but `watch` fails with `KEY_VALUE_UNAVAILABLE` if no valid response
    arrives; a write may have taken effect nevertheless.
    """

    def read_range(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> Result[KeyRange, Failure]:
        """Read up to `limit` keys with a prefix, from `start` on; 0 means no limit."""
        ...

    def read_keys(self, keys: Sequence[str]) -> Result[KeyRange, Failure]:
        """Read several keys in one transaction, all at the same revision."""
        ...

    def compare_and_swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int = 0,
        *,
        extra_writes: Mapping[str, bytes] | None = None,
    ) -> Result[SwapOutcome, Failure]:
        """Write a key, or delete it (None), if its revision is the expected one.

        An expected revision of 0 means that the key must not exist. The keys in
        `extra_writes` are written in the same transaction, or not at all.
        """
        ...

    def append_entry(
        self, head: KeyWrite, head_revision: int, entry: KeyWrite
    ) -> Result[SwapOutcome, Failure]:
        """Write a head and a new entry in one transaction, if the head is unchanged.

        Nothing is written if the entry exists or the head isn't at `head_revision`.
        """
        ...

    def grant_lease(self, ttl_s: int) -> Result[int, Failure]:
        """Create a lease and return its id."""
        ...

    def watch(self, prefix: str, start_revision: int) -> Iterator[KeyRange]:
        """Yield changes from a revision on, and empty ranges as progress notices.

        The iterator ends when the connection breaks, or when the store no longer
        keeps the changes since the revision.
        """
        ...


__all__ = ("KeyRange", "KeyValue", "KeyValueStore", "KeyWrite", "SwapOutcome")
