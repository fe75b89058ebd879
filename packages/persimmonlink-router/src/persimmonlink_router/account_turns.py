"""Turns of client accounts whose work waits in one queue."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping, Sequence

Item = TypeVar("Item")


class AccountTurns:
    """Lets accounts with waiting work take turns, whatever each of them sends.

    An account that begins to wait has had as many turns as the one with the fewest:
    time without waiting work earns no turns.
    """

    def __init__(self) -> None:
        self._turns_by_account: dict[str, int] = {}

    def interleave(
        self, items_by_account: Mapping[str, Sequence[Item]]
    ) -> Iterator[Item]:
        """Yield all items, of the account with the fewest turns first.

        Of an account, items come in their order; of accounts with as many turns, in the
        order of the mapping. Accounts begin to wait with this; their turns are not
        recorded.
        """
        fewest = min(self._turns_by_account.values(), default=0)
        for account in items_by_account:
            self._turns_by_account.setdefault(account, fewest)
        heap = [
            (self._turns_by_account[account], order, account)
            for order, account in enumerate(items_by_account)
        ]
        heapq.heapify(heap)
        next_by_account = dict.fromkeys(items_by_account, 0)
        while heap:
            turns, order, account = heap[0]
            items = items_by_account[account]
            yield items[next_by_account[account]]
            next_by_account[account] += 1
            if next_by_account[account] < len(items):
                heapq.heapreplace(heap, (turns + 1, order, account))
            else:
                heapq.heappop(heap)

    def record_turn(self, account: str) -> None:
        """Count a turn of an account that waits."""
        self._turns_by_account[account] += 1

    def retain_only(self, accounts: Collection[str]) -> None:
        """Discard the turns of accounts without waiting work."""
        for account in list(self._turns_by_account):
            if account not in accounts:
                del self._turns_by_account[account]


__all__ = ("AccountTurns",)
