"""Limit on the requests that each client account has running at one node."""

from __future__ import annotations

# An account of mean weight may use this multiple of the capacity that is still free.
BORROW_FACTOR = 2.0


class RunningLimit:
    """Dynamic threshold: an account may use a multiple of the capacity still free.

    A single busy account gets most of the capacity, yet some stays free for others
    without a reservation for them; the more accounts are busy, the less each may use.

    Not thread-safe; the owner serializes access.

    Parameters
    ----------
    max_running : int
        Requests of all accounts that may run at once.
    """

    def __init__(self, max_running: int) -> None:
        self.max_running = max_running
        self.total = 0
        self.running_by_account: dict[str, int] = {}

    def admit(self, account: str, weight: float, mean_weight: float) -> bool:
        """Admit a request; return False if its account or the node is at the limit.

        Parameters
        ----------
        account : str
            Client account.
        weight : float
            Weight of the account.
        mean_weight : float
            Mean weight of all accounts.
        """
        free = self.max_running - self.total
        if free <= 0:
            return False
        running = self.running_by_account.get(account, 0)
        if running >= max(1.0, BORROW_FACTOR * free * weight / mean_weight):
            return False
        self.running_by_account[account] = running + 1
        self.total += 1
        return True

    def release(self, account: str) -> None:
        """Record that an admitted request ended."""
        self.total -= 1
        remaining = self.running_by_account[account] - 1
        if remaining:
            self.running_by_account[account] = remaining
            return
        del self.running_by_account[account]


__all__ = ("RunningLimit",)
