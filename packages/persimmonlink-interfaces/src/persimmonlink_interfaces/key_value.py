"""The platform's key-value service: what the system asks of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from returns.result import Result

    from persimmonlink_model.result_code import Failure


@dataclass(frozen=True)
class KeyValue:
    """A key with its value.

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
    """The answer to a read of a range.

    Parameters
    ----------
    entries : tuple of KeyValue
        Keys found, in order.
    revision : int
        Revision of the whole store at the read.
    """

    entries: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True)
class SwapOutcome:
    """The answer to a compare-and-swap.

    Parameters
    ----------
    succeeded : bool
        Whether the write took effect.
    revision : int
        Revision of the store after it.
    current : KeyValue or None
        What was there instead, if it didn't.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True)
class KeyWrite:
    """A key to write as part of a transaction.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        Its value.
    lease_id : int
        Lease that it goes with, 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


class KeyValueStore(Protocol):
    """Compare-and-swap, leases and watches.

    Each method fails with `KEY_VALUE_UNAVAILABLE` when no answer came; a write may
    then have taken effect.
    """

    def read_range(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> Result[KeyRange, Failure]:
        """Read the keys with a prefix, from `start` on."""
        ...

    def read_keys(self, keys: Sequence[str]) -> Result[KeyRange, Failure]:
        """Read some keys in one call, as they were at one revision."""
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
        """Write (or with None delete) a key if its revision is the expected one.

        An expected revision of 0 means that the key must not exist. The keys in
        `also` are written at the same revision, or not at all.
        """
        ...

    def append_entry(
        self, head: KeyWrite, head_revision: int, entry: KeyWrite
    ) -> Result[SwapOutcome, Failure]:
        """Write a head and a new entry at once, if the head's revision is expected.

        Nothing is written if the entry exists or the head has moved.
        """
        ...

    def grant_lease(self, ttl_s: int) -> Result[int, Failure]:
        """Make a lease and return its id."""
        ...

    def watch(self, prefix: str, start_revision: int) -> Iterator[KeyRange]:
        """Yield changes from a revision on, and empty ranges as signs of life.

        The iterator ends when the watch breaks, and when the changes since the
        revision are no longer kept.
        """
        ...


__all__ = ("KeyRange", "KeyValue", "KeyValueStore", "KeyWrite", "SwapOutcome")
