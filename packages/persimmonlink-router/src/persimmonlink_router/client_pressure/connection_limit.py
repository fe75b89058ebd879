"""Keeps the number of connections within a limit, and room for new ones."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from persimmonlink_router.client_pressure.place_choice import (
    MIN_BEHIND_S,
    Occupant,
    rank_occupants,
)

if TYPE_CHECKING:
    from collections.abc import Collection

# Connections give way in the same order for so long, unless all of them have.
RANK_INTERVAL_S = 0.1


class PlaceOffer(Enum):
    """Whether there is a place for a new connection."""

    FREE = auto()
    SOON = auto()  # Connections will have been behind for long enough.
    NONE = auto()  # All are needed for requests.


class Place(Protocol):
    """A connection that takes a place."""

    @property
    def is_open(self) -> bool:
        """Whether it still takes its place."""
        ...

    def describe_occupant(self, now: float) -> Occupant[Place] | None:
        """Return what it does with its place; None if it can't give way."""
        ...

    def behind_s(self, now: float) -> float:
        """Return the time by which its client is behind, or idle, in seconds."""
        ...

    def give_way(self) -> None:
        """Close it."""
        ...


PlaceT = TypeVar("PlaceT", bound=Place)


class PlaceLimit(Generic[PlaceT]):
    """Finds a place for each new connection while another one can give way.

    Parameters
    ----------
    limit : int or None
        Most connections at once; None for no limit.
    """

    def __init__(self, limit: int | None) -> None:
        self._limit = limit
        self._ranked: list[Occupant[Place]] = []
        self._ranked_at = 0.0
        self._has_waiting = False

    def is_short(self, places: Collection[PlaceT]) -> bool:
        """Whether a new connection would take the last place, or none is free."""
        return self._limit is not None and len(places) + 1 >= self._limit

    def find_place(self, places: Collection[PlaceT], now: float) -> PlaceOffer:
        """Return whether a new connection has a place; one may give way for it.

        Parameters
        ----------
        places : collection of Place
            All connections.
        now : float
            Boot time, in seconds.
        """
        if self._limit is None or len(places) < self._limit:
            return PlaceOffer.FREE
        if not self._ranked or now - self._ranked_at > RANK_INTERVAL_S:
            self._rank(places, now)
        while self._ranked:
            chosen = self._ranked.pop().holder
            # It may have gone on since.
            if not chosen.is_open or chosen.behind_s(now) < MIN_BEHIND_S:
                continue
            chosen.give_way()
            return PlaceOffer.FREE
        return PlaceOffer.SOON if self._has_waiting else PlaceOffer.NONE

    def _rank(self, places: Collection[PlaceT], now: float) -> None:
        occupants = []
        for place in places:
            occupant = place.describe_occupant(now)
            if occupant is not None:
                occupants.append(occupant)
        self._has_waiting = bool(occupants)
        self._ranked = rank_occupants(occupants)
        self._ranked.reverse()
        self._ranked_at = now


__all__ = ("Place", "PlaceLimit", "PlaceOffer")
