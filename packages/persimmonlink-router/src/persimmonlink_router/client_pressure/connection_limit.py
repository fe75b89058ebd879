"""Keeps the number of connections within a limit, and room for new ones."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from persimmonlink_router.client_pressure.eviction_order import (
    EvictionCandidate,
    rank_candidates,
)

if TYPE_CHECKING:
    from collections.abc import Collection

# Connections are evicted in the same order for so long, unless all of them were.
RANK_INTERVAL_S = 0.1


class Room(Enum):
    """Whether there is room for a new connection."""

    FREE = auto()
    SOON = auto()  # Connections will have been behind for long enough.
    NONE = auto()  # All are needed for requests.


class EvictableConnection(Protocol):
    """A connection that can be closed for a new one."""

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed it."""
        ...

    def describe_candidate(
        self, now: float
    ) -> EvictionCandidate[EvictableConnection] | None:
        """Return how it ranks for eviction; None if it can't be closed."""
        ...

    def evict(self) -> None:
        """Close it."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=EvictableConnection)


class ConnectionLimit(Generic[ConnectionT]):
    """Makes room for each new connection while another one can be evicted.

    Parameters
    ----------
    limit : int or None
        Most connections at once; None for no limit.
    """

    def __init__(self, limit: int | None) -> None:
        self._limit = limit
        self._ranked: list[EvictionCandidate[EvictableConnection]] = []
        self._ranked_at = 0.0
        self._has_waiting = False

    def is_nearly_reached(self, connections: Collection[ConnectionT]) -> bool:
        """Whether a new connection would be the last one, or one too many."""
        return self._limit is not None and len(connections) + 1 >= self._limit

    def find_room(self, connections: Collection[ConnectionT], now: float) -> Room:
        """Return whether there is room for a new connection; one may be evicted.

        Parameters
        ----------
        connections : collection of EvictableConnection
            All connections.
        now : float
            Boot time, in seconds.
        """
        if self._limit is None or len(connections) < self._limit:
            return Room.FREE
        if not self._ranked or now - self._ranked_at > RANK_INTERVAL_S:
            self._rank(connections, now)
        while self._ranked:
            chosen = self._ranked.pop().holder
            # It may have gone on since.
            candidate = chosen.describe_candidate(now) if chosen.is_open else None
            if candidate is None or not candidate.is_evictable:
                continue
            chosen.evict()
            return Room.FREE
        return Room.SOON if self._has_waiting else Room.NONE

    def _rank(self, connections: Collection[ConnectionT], now: float) -> None:
        candidates = []
        for connection in connections:
            candidate = connection.describe_candidate(now)
            if candidate is not None:
                candidates.append(candidate)
        self._has_waiting = bool(candidates)
        self._ranked = rank_candidates(candidates)
        self._ranked.reverse()
        self._ranked_at = now


__all__ = ("ConnectionLimit", "EvictableConnection", "Room")
