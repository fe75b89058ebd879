"""Which clients that make no progress give up their room when others need it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

HIGH_MARK = 0.7  # Part of the room from which clients without progress are ended.
LOW_MARK = 0.5  # Part of the room to which they are.
# Time without a byte in either direction after which a client makes no progress. Links
# lose packets, and senders wait up to several tenths of a second to send them again.
STALLED_S = 1.0

Holder = TypeVar("Holder")


@dataclass(frozen=True, slots=True)
class HeldBytes(Generic[Holder]):
    """Bytes that are held for one client.

    Parameters
    ----------
    holder : object
        The client's connection.
    size : int
        Bytes that are held for it.
    stalled_s : float
        Time since it has last sent or taken a byte, in seconds.
    """

    holder: Holder
    size: int
    stalled_s: float


def choose_stalled(
    held: Sequence[HeldBytes[Holder]], room_bytes: int
) -> list[HeldBytes[Holder]]:
    """Return the clients that are ended, those that hold most first.

    None below the high mark: a single slow client in calm is served as any other.

    Parameters
    ----------
    held : sequence of HeldBytes
        What is held for each client.
    room_bytes : int
        Bytes that may be held for all of them.
    """
    total = sum(each.size for each in held)
    if total <= HIGH_MARK * room_bytes:
        return []
    stalled = [e for e in held if e.size and e.stalled_s >= STALLED_S]
    stalled.sort(key=lambda each: (-each.size, -each.stalled_s))
    chosen = []
    for each in stalled:
        if total <= LOW_MARK * room_bytes:
            break
        chosen.append(each)
        total -= each.size
    return chosen


__all__ = ("STALLED_S", "HeldBytes", "choose_stalled")
