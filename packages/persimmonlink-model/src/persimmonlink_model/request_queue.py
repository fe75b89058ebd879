"""Lines of requests that wait for a slot: weighted fair queueing and FIFO."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(frozen=True)
class QueueEntry:
    """One request's place in a line.

    Parameters
    ----------
    entry_id : int
        Number that is unique within the line and grows.
    account : str
        Client account that is charged.
    weight : float
        Share of that account.
    priority : int
        Priority within the account; smaller runs first.
    deadline_at : float
        Monotonic time by which the stage must start, in seconds.
    cost : float
        Expected cost, in server seconds.
    affinity : str
        Text whose prefix may be cached by a server.
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
    """The order in which waiting requests get slots.

    Implementations are guarded by their owner and hold no lock.
    """

    def add(self, queue_entry: QueueEntry) -> None:
        """Put a ticket into the line."""
        ...

    def remove(self, queue_entry: QueueEntry) -> None:
        """Take a ticket out, whether it was served or gave up."""
        ...

    def charge(self, queue_entry: QueueEntry, cost: float) -> None:
        """Correct the charge of a served ticket by its measured cost."""
        ...

    def iterate(self) -> Iterator[QueueEntry]:
        """Yield the waiting tickets, the next one to serve first."""
        ...

    def count_by_account(self) -> dict[str, int]:
        """Return how many tickets of each account wait."""
        ...


class FifoQueue:
    """First come, first served; the baseline without shares."""

    def __init__(self) -> None:
        self.entry_by_id: dict[int, QueueEntry] = {}

    def add(self, queue_entry: QueueEntry) -> None:
        """Put a ticket at the end."""
        self.entry_by_id[queue_entry.entry_id] = queue_entry

    def remove(self, queue_entry: QueueEntry) -> None:
        """Take a ticket out."""
        self.entry_by_id.pop(queue_entry.entry_id, None)

    def charge(self, queue_entry: QueueEntry, cost: float) -> None:
        """Do nothing: costs don't matter here."""

    def iterate(self) -> Iterator[QueueEntry]:
        """Yield the tickets in the order they came."""
        yield from list(self.entry_by_id.values())

    def count_by_account(self) -> dict[str, int]:
        """Return how many tickets of each account wait."""
        count_by_account: dict[str, int] = {}
        for queue_entry in self.entry_by_id.values():
            count = count_by_account.get(queue_entry.account, 0)
            count_by_account[queue_entry.account] = count + 1
        return count_by_account


class FairQueue:
    """Weighted fair queueing between accounts by cost.

    Inside an account the smaller priority goes first and, within it, the earliest
    deadline. An account that was idle starts at the present virtual time, so that
    it gains nothing by having waited.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.finish_by_account: dict[str, float] = {}
        self.entries_by_account: dict[str, SortedKeyList] = {}

    def add(self, queue_entry: QueueEntry) -> None:
        """Put a ticket into its account's line."""
        waiting = self.entries_by_account.get(queue_entry.account)
        if waiting is None:
            waiting = SortedKeyList(key=_compute_sort_key)
            self.entries_by_account[queue_entry.account] = waiting
            finish = self.finish_by_account.get(queue_entry.account, 0.0)
            self.finish_by_account[queue_entry.account] = max(finish, self.virtual_time)
        waiting.add(queue_entry)

    def remove(self, queue_entry: QueueEntry) -> None:
        """Take a ticket out."""
        waiting = self.entries_by_account.get(queue_entry.account)
        if waiting is None:
            return
        waiting.discard(queue_entry)
        if waiting:
            return
        del self.entries_by_account[queue_entry.account]
        self._discard_idle_accounts()

    def charge(self, queue_entry: QueueEntry, cost: float) -> None:
        """Charge a served ticket's cost, or its difference from the expected one."""
        finish = self.finish_by_account.get(queue_entry.account, self.virtual_time)
        self.virtual_time = max(self.virtual_time, min(finish, self._min_finish()))
        self.finish_by_account[queue_entry.account] = finish + cost / queue_entry.weight

    def iterate(self) -> Iterator[QueueEntry]:
        """Yield the account that is furthest behind, best ticket first."""
        heap = [
            (self.finish_by_account[account], account)
            for account in self.entries_by_account
        ]
        heapq.heapify(heap)
        while heap:
            _, account = heapq.heappop(heap)
            yield from self.entries_by_account.get(account, ())

    def count_by_account(self) -> dict[str, int]:
        """Return how many tickets of each account wait."""
        return {
            account: len(waiting)
            for account, waiting in self.entries_by_account.items()
        }

    def _min_finish(self) -> float:
        waiting = [self.finish_by_account[a] for a in self.entries_by_account]
        return min(waiting, default=self.virtual_time)

    def _discard_idle_accounts(self) -> None:
        # An idle account whose finish time is past starts anew in any case.
        for account, finish in list(self.finish_by_account.items()):
            if account in self.entries_by_account or finish > self.virtual_time:
                continue
            del self.finish_by_account[account]


def _compute_sort_key(queue_entry: QueueEntry) -> tuple[int, float, int]:
    return (queue_entry.priority, queue_entry.deadline_at, queue_entry.entry_id)


__all__ = ("FairQueue", "FifoQueue", "QueueEntry", "RequestQueue")
