"""Bounds the requests that each client account has running at one node."""

from __future__ import annotations

BORROW_FACTOR = 2.0


class RunningLimit:
    """A dynamic threshold: an account may hold a multiple of what is still free.

    One account alone gets most of the places, yet some stay free for others, who
    need no setting for it; the more accounts are busy, the less each may hold.

    Guarded by its owner; holds no lock of its own.

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
        """Take a place for a request; return False if the account holds too many.

        Parameters
        ----------
        account : str
            Client account.
        weight : float
            Its share.
        mean_weight : float
            Mean share of the accounts.
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
        """Give a place back."""
        self.total -= 1
        remaining = self.running_by_account[account] - 1
        if remaining:
            self.running_by_account[account] = remaining
            return
        del self.running_by_account[account]


__all__ = ("RunningLimit",)
