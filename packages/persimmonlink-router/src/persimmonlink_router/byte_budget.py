"""Bounds on the bytes that many bodies and connections take together."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

SMALL_BODY_BYTES = 65536  # Part of a body that takes nothing from a budget.


class BudgetExhaustedError(Exception):
    """A body does not fit beside the others that share its budget."""


class ByteBudget:
    """Bytes that bodies may take together, from their read until they are written.

    Parameters
    ----------
    max_bytes : int
        Size of the budget.
    """

    def __init__(self, max_bytes: int) -> None:
        self._free_bytes = max_bytes

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes if they are free; return whether they were."""
        if size > self._free_bytes:
            return False
        self._free_bytes -= size
        return True

    def release(self, size: int) -> None:
        """Give bytes back."""
        self._free_bytes += size

    def has_room(self, body: bytes) -> bool:
        """Whether a body may be held."""
        return count_excess(len(body)) <= max(0, self._free_bytes)

    @contextmanager
    def hold(self, body: bytes) -> Iterator[None]:
        """Keep the bytes of a body that has been read until it is written."""
        size = count_excess(len(body))
        self._free_bytes -= size
        try:
            yield
        finally:
            self.release(size)

    @contextmanager
    def open_reservation(self) -> Iterator[Reservation]:
        """Reserve bytes for a body that grows, and give them back at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            reservation.release()


class Reservation:
    """What one body takes from a budget while it grows and shrinks.

    Parameters
    ----------
    budget : ByteBudget
        Budget that the body shares with others.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def resize(self, size: int) -> None:
        """Reserve what a body of a size in bytes needs.

        Raises `BudgetExhaustedError` if it has grown and there is no room.
        """
        change = count_excess(size) - self._reserved_bytes
        if change > 0 and not self._budget.try_reserve(change):
            raise BudgetExhaustedError("too many long bodies are buffered")
        if change < 0:
            self._budget.release(-change)
        self._reserved_bytes += change

    def release(self) -> None:
        """Give all bytes back."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0


def count_excess(size: int) -> int:
    """Return the bytes of a body of a size in bytes that need room in a budget."""
    return max(0, size - SMALL_BODY_BYTES)


__all__ = (
    "SMALL_BODY_BYTES",
    "BudgetExhaustedError",
    "ByteBudget",
    "Reservation",
)
