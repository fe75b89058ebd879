"""Bounds on the bytes that many bodies and connections take together."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Part of a body that doesn't compete with what long bodies have over it.
SMALL_BODY_BYTES = 65536


class BudgetExhaustedError(Exception):
    """A body does not fit beside the others that share its budget."""


class ByteBudget:
    """Bytes that bodies may take together, from their read until they are written.

    Parameters
    ----------
    max_bytes : int
        Size of the budget, for what bodies have over `SMALL_BODY_BYTES`.
    max_small_bytes : float
        Bytes that the rest of all bodies may take; without a limit by default.
    """

    def __init__(self, max_bytes: int, max_small_bytes: float = math.inf) -> None:
        self._free_bytes = max_bytes
        self._free_small_bytes = max_small_bytes

    def try_reserve(self, size: int, small_size: int = 0) -> bool:
        """Reserve bytes if they are free; return whether they were.

        Parameters
        ----------
        size, small_size : int
            Bytes of bodies over `SMALL_BODY_BYTES`, and the others.
        """
        if size > max(0, self._free_bytes):
            return False
        if small_size > max(0.0, self._free_small_bytes):
            return False
        self._free_bytes -= size
        self._free_small_bytes -= small_size
        return True

    def release(self, size: int, small_size: int = 0) -> None:
        """Give bytes back."""
        self._free_bytes += size
        self._free_small_bytes += small_size

    def has_room(self, body: bytes) -> bool:
        """Whether a body may be held."""
        return count_excess(len(body)) <= max(0, self._free_bytes)

    @contextmanager
    def hold(self, body: bytes) -> Iterator[None]:
        """Keep the bytes of a body that has been read until it is written."""
        size = count_excess(len(body))
        small_size = len(body) - size
        self._free_bytes -= size
        self._free_small_bytes -= small_size
        try:
            yield
        finally:
            self.release(size, small_size)

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
        self._reserved_small_bytes = 0

    def resize(self, size: int) -> None:
        """Reserve what a body of a size in bytes needs.

        Raises `BudgetExhaustedError` if it has grown and there is no room.
        """
        if not self.try_resize(size):
            raise BudgetExhaustedError("too many long bodies are buffered")

    def try_resize(self, size: int) -> bool:
        """Reserve what a body of a size in bytes needs; return whether there is room.

        One that shrinks always has room.
        """
        excess = count_excess(size)
        change = excess - self._reserved_bytes
        small_change = size - excess - self._reserved_small_bytes
        growth, small_growth = max(0, change), max(0, small_change)
        if (growth or small_growth) and not self._budget.try_reserve(
            growth, small_growth
        ):
            return False
        self._budget.release(max(0, -change), max(0, -small_change))
        self._reserved_bytes += change
        self._reserved_small_bytes += small_change
        return True

    def release(self) -> None:
        """Give all bytes back."""
        self._budget.release(self._reserved_bytes, self._reserved_small_bytes)
        self._reserved_bytes = 0
        self._reserved_small_bytes = 0


def count_excess(size: int) -> int:
    """Return the bytes of a body of a size in bytes that need room in a budget."""
    return max(0, size - SMALL_BODY_BYTES)


__all__ = (
    "SMALL_BODY_BYTES",
    "BudgetExhaustedError",
    "ByteBudget",
    "Reservation",
)
