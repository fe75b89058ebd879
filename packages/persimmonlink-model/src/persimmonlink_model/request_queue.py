"""Queues of requests that wait for a slot: weighted fair queueing and FIFO."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(frozen=True)
class QueueEntry:
    """Request that waits in a queue.

    Parameters
    ----------
    entry_id : int
        Number that is unique within the queue and increases with each entry.
    account : str
        Client account that is charged.
    weight : float
        Weight of that account.
    priority : int
        Priority within the account; smaller values run first.
    deadline_at : float
        Monotonic time by which the stage must start, in seconds.
    cost : float
        Expected cost, in server seconds.
    affinity : str
        Text whose prefix a server may have cached.
    excluded : frozenset of str
        Servers that must not be chosen again.
    """

    entry_id: int
    account: str
    weight: float = 1.0
    priority: int = 1
    deadline_at: float = float("inf")
    cost: float = 1.0
    affinity: str = ""
    excluded: frozenset[str] = frozenset()


class RequestQueue(Protocol):
    """Order in which waiting requests get slots.

    Implementations are not thread-safe; their owner serializes access.
    """

    def add(self, queue_entry: QueueEntry) -> None:
        """Add an entry."""
        ...

    def remove(self, queue_entry: QueueEntry) -> None:
        """Remove an entry that was served or stopped waiting."""
        ...

    def charge(self, queue_entry: QueueEntry, cost: float) -> None:
        """Charge the account of a served entry with a cost or a correction of it."""
        ...

    def iterate(self) -> Iterator[QueueEntry]:
        """Yield the waiting entries, the next one to serve first."""
        ...

    def count_by_account(self) -> dict[str, int]:
        """Return the number of waiting entries of each account."""
        ...


class FifoQueue:
    """First come, first served, regardless of account; a baseline."""

    def __init__(self) -> None:
        self.entry_by_id: dict[int, QueueEntry] = {}

    def add(self, queue_entry: QueueEntry) -> None:
        """Add an entry at the end."""
        self.entry_by_id[queue_entry.entry_id] = queue_entry

    def remove(self, queue_entry: QueueEntry) -> None:
        """Remove an entry."""
        self.entry_by_id.pop(queue_entry.entry_id, None)

    def charge(self, queue_entry: QueueEntry, cost: float) -> None:
        """Do nothing: the order does not depend on costs."""

    def iterate(self) -> Iterator[QueueEntry]:
        """Yield the entries in order of arrival."""
        yield from list(self.entry_by_id.values())

    def count_by_account(self) -> dict[str, int]:
        """Return the number of waiting entries of each account."""
        count_by_account: dict[str, int] = {}
        for queue_entry in self.entry_by_id.values():
            count = count_by_account.get(queue_entry.account, 0)
            count_by_account[queue_entry.account] = count + 1
        return count_by_account


class FairQueue:
    """Weighted fair queueing between accounts by cost.

    Within an account, entries are served by ascending priority value and then by
    deadline. An account that was idle starts at the current virtual time, so that it
    accumulates no credit while idle.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.finish_by_account: dict[str, float] = {}
        self.entries_by_account: dict[str, SortedKeyList] = {}

    def add(self, queue_entry: QueueEntry) -> None:
        """Add an entry to its account's queue."""
        waiting = self.entries_by_account.get(queue_entry.account)
        if waiting is None:
            waiting = SortedKeyList(key=_compute_sort_key)
            self.entries_by_account[queue_entry.account] = waiting
            finish = self.finish_by_account.get(queue_entry.account, 0.0)
            self.finish_by_account[queue_entry.account] = max(finish, self.virtual_time)
        waiting.add(queue_entry)

    def remove(self, queue_entry: QueueEntry) -> None:
        """Remove an entry."""
        waiting = self.entries_by_account.get(queue_entry.account)
        if waiting is None:
            return
        waiting.discard(queue_entry)
        if waiting:
            return
        del self.entries_by_account[queue_entry.account]
        self._discard_idle_accounts()

    def charge(self, queue_entry: QueueEntry, cost: float) -> None:
        """Charge a served entry's expected cost, or the deviation of the real one."""
        finish = self.finish_by_account.get(queue_entry.account, self.virtual_time)
        self.virtual_time = max(self.virtual_time, min(finish, self._min_finish()))
        self.finish_by_account[queue_entry.account] = finish + cost / queue_entry.weight

    def iterate(self) -> Iterator[QueueEntry]:
        """Yield all entries, account by account in order of virtual finish time."""
        heap = [
            (self.finish_by_account[account], account)
            for account in self.entries_by_account
        ]
        heapq.heapify(heap)
        while heap:
            _, account = heapq.heappop(heap)
            yield from self.entries_by_account.get(account, ())

    def count_by_account(self) -> dict[str, int]:
        """Return the number of waiting entries of each account."""
        return {
            account: len(waiting)
            for account, waiting in self.entries_by_account.items()
        }

    def _min_finish(self) -> float:
        waiting = [self.finish_by_account[a] for a in self.entries_by_account]
        return min(waiting, default=self.virtual_time)

    def _discard_idle_accounts(self) -> None:
        # An idle account whose finish time has passed would restart at the current
        # virtual time anyway.
        for account, finish in list(self.finish_by_account.items()):
            if account in self.entries_by_account or finish > self.virtual_time:
                continue
            del self.finish_by_account[account]


def _compute_sort_key(queue_entry: QueueEntry) -> tuple[int, float, int]:
    return (queue_entry.priority, queue_entry.deadline_at, queue_entry.entry_id)


__all__ = ("FairQueue", "FifoQueue", "QueueEntry", "RequestQueue")
