"""Servers whose entries were removed, recognized if an older copy lists them again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.servers import ServerKey

# Longer than the store's copy is old, with a margin.
DEPARTURE_MEMORY_S = 60.0


class DepartedServers:
    """Remembers the last entry number of each server that left.

    A server numbers its entries. One that an older copy of the store lists again has a
    number that was already seen before the server left.
    """

    def __init__(self) -> None:
        self._number_by_key: dict[ServerKey, int] = {}
        self._departed_at_by_key: dict[ServerKey, float] = {}

    def record_entry(self, key: ServerKey, number: int) -> None:
        """Record the number of an entry that was read."""
        self._number_by_key[key] = max(number, self._number_by_key.get(key, 0))
        self._departed_at_by_key.pop(key, None)

    def record_departure(self, key: ServerKey, now: float) -> None:
        """Record that the entry of a server was removed, at a boot time in seconds."""
        self._departed_at_by_key[key] = now
        for other, departed_at in list(self._departed_at_by_key.items()):
            if now - departed_at > DEPARTURE_MEMORY_S:
                del self._departed_at_by_key[other]
                self._number_by_key.pop(other, None)

    def is_outdated(self, key: ServerKey, number: int, restored_at: float) -> bool:
        """Whether an entry is older than the departure of its server.

        Parameters
        ----------
        key : ServerKey
            The incarnation that the entry describes.
        number : int
            Number of the entry.
        restored_at : float
            Boot time at which the store last returned from a copy, in seconds. Only
            that brings back older entries.
        """
        departed_at = self._departed_at_by_key.get(key)
        if departed_at is None or departed_at > restored_at:
            return False
        return number <= self._number_by_key.get(key, 0)


__all__ = ("DEPARTURE_MEMORY_S", "DepartedServers")
