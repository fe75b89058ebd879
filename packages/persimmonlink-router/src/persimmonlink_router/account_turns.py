"""Turns of client accounts whose work waits in one queue."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Mapping

Item = TypeVar("Item")


class AccountTurns:
    """Lets accounts with waiting work take turns, whatever each of them sends.

    An account that begins to wait has had as many turns as the one with the fewest:
    time without waiting work earns no turns.
    """

    def __init__(self) -> None:
        self._turns_by_account: dict[str, int] = {}

    def begin(self, accounts: Iterable[str]) -> None:
        """Count accounts as waiting from now on, unless they do already."""
        fewest = min(self._turns_by_account.values(), default=0)
        for account in accounts:
            self._turns_by_account.setdefault(account, fewest)

    def interleave(
        self, items_by_account: Mapping[str, Iterable[Item]]
    ) -> Iterator[Item]:
        """Yield all items, of the account with the fewest turns first.

        Of an account, items come in their order; of accounts with as many turns, in the
        order of the mapping. Accounts begin to wait with this; their turns are not
        recorded. No more items are drawn than are asked for.
        """
        self.begin(items_by_account)
        iterator_by_account = {a: iter(items) for a, items in items_by_account.items()}
        heap = [
            (self._turns_by_account[account], order, account)
            for order, account in enumerate(items_by_account)
        ]
        heapq.heapify(heap)
        while heap:
            turns, order, account = heap[0]
            for item in iterator_by_account[account]:
                yield item
                heapq.heapreplace(heap, (turns + 1, order, account))
                break
            else:
                heapq.heappop(heap)

    def record_turn(self, account: str, turns: int = 1) -> None:
        """Count a turn, or a number of turns, of an account that waits."""
        self._turns_by_account[account] += turns

    def retain_only(self, accounts: Collection[str]) -> None:
        """Discard the turns of accounts without waiting work."""
        for account in list(self._turns_by_account):
            if account not in accounts:
                del self._turns_by_account[account]


__all__ = ("AccountTurns",)
