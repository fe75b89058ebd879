"""Numbers of the entries of servers, by which older copies are recognized."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonlink_router.servers import ServerKey

# Longer than a copy of the store is old, with a margin.
DEPARTURE_MEMORY_S = 60.0


@dataclass(slots=True)
class LastEntry:
    """The last entry of a server incarnation that this node has seen.

    Parameters
    ----------
    number : int
        Number that the server gave it.
    seen_at : float
        Boot time at which it was applied, or its removal, in seconds.
    revision : int
        Revision of the store at which it was written.
    is_removed : bool
        Whether it was removed since.
    """

    number: int
    seen_at: float
    revision: int = 0
    is_removed: bool = False


class EntryNumbers:
    """Remembers the number of the last entry of each server incarnation.

    Servers number the entries that they write. Entries that are older than those seen
    before are recognized by it: the store may return from an older copy, and a write
    may take effect after a later one.
    """

    def __init__(self) -> None:
        self._last_by_key: dict[ServerKey, LastEntry] = {}
        # Removed incarnations, in order of the times of their removal.
        self._removed_at_by_key: dict[ServerKey, float] = {}

    def record(
        self, key: ServerKey, number: int, now: float, revision: int = 0
    ) -> None:
        """Record the number of an entry that was applied at a boot time in seconds."""
        self._last_by_key[key] = LastEntry(number, now, revision)
        self._removed_at_by_key.pop(key, None)

    def find(self, key: ServerKey) -> LastEntry | None:
        """Return the last entry of a server incarnation, None if none was seen."""
        return self._last_by_key.get(key)

    def record_removal(self, key: ServerKey, now: float) -> None:
        """Record that the entry of a server was removed at a boot time in seconds."""
        last = self._last_by_key.setdefault(key, LastEntry(0, now))
        last.is_removed = True
        last.seen_at = now
        self._removed_at_by_key.pop(key, None)
        self._removed_at_by_key[key] = now
        self._discard_departed(now)

    def _discard_departed(self, now: float) -> None:
        departed = []
        for key, removed_at in self._removed_at_by_key.items():
            if now - removed_at < DEPARTURE_MEMORY_S:
                break
            departed.append(key)
        for key in departed:
            del self._removed_at_by_key[key]
            del self._last_by_key[key]

    def is_outdated(self, key: ServerKey, number: int, restored_at: float) -> bool:
        """Whether an entry is older than what was last seen of its server.

        Parameters
        ----------
        key : ServerKey
            The incarnation that the entry describes.
        number : int
            Number of the entry.
        restored_at : float
            Boot time at which the store last returned from a copy, in seconds. That
            brings back older entries; otherwise a late write may.
        """
        last = self._last_by_key.get(key)
        if last is None:
            return False
        if last.seen_at > restored_at:
            _, started_at_ms, _ = key
            return 0 < number < last.number and started_at_ms > 0
        return number < last.number or (last.is_removed and number == last.number)


__all__ = ("DEPARTURE_MEMORY_S", "EntryNumbers", "LastEntry")
