"""Places on servers that end if they reject too much, counted for all nodes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

# Time after which a server that rejected a request may get one more at once.
RECOVERY_S = 2.0
REJECTION_WINDOW_S = 1.0  # Rejections are counted over this time.
# Part of the rejections that end a server at which it gets nothing more for a while.
MAX_REJECTION_SHARE = 0.4
RETRY_S = 0.05  # Time after which a refused node asks again.


@dataclass(slots=True)
class _ServerPlaces:
    capacity: int
    changed_at: float
    # Times until which places are held at most, by node; a lost message frees none.
    held_until_by_node: dict[str, deque[float]] = field(default_factory=dict)
    rejected_at: deque[float] = field(default_factory=deque)


class PlaceCounter:
    """Grants places in flight, as many as a server has been seen to bear.

    A server is first taken to bear as many requests as it can run. Each rejection takes
    one from those in flight then; with time, and without rejections, one is added.
    """

    def __init__(self) -> None:
        self._places_by_key: dict[Hashable, _ServerPlaces] = {}

    def ask(
        self,
        key: Hashable,
        node_id: str,
        slots: int,
        max_rejections: float,
        now: float,
        until: float,
    ) -> bool:
        """Grant a node a place, which it holds until it ends it or a boot time.

        Parameters
        ----------
        key : Hashable
            The server.
        node_id : str
            Node that asks.
        slots : int
            Requests that the server runs at once.
        max_rejections : float
            Rejections a second that the server bears.
        now : float
            Boot time, in seconds.
        until : float
            Boot time by which the request has ended, in seconds.
        """
        places = self._places_by_key.get(key)
        if places is None:
            places = _ServerPlaces(max(1, slots), now)
            self._places_by_key[key] = places
        self._discard_expired(places, now)
        if len(places.rejected_at) > MAX_REJECTION_SHARE * max_rejections:
            return False
        self._recover(places, slots, now)
        if self._count_held(places) >= places.capacity:
            return False
        places.held_until_by_node.setdefault(node_id, deque()).append(until)
        return True

    def end(
        self, key: Hashable, node_id: str, now: float, *, was_rejected: bool
    ) -> None:
        """Free a place of a node."""
        places = self._places_by_key.get(key)
        if places is None:
            return
        if was_rejected:
            places.rejected_at.append(now)
            in_flight = self._count_held(places)
            places.capacity = max(1, min(places.capacity, in_flight) - 1)
            places.changed_at = now
        held = places.held_until_by_node.get(node_id)
        if held:
            held.popleft()
            if not held:
                del places.held_until_by_node[node_id]

    def count_held(self, key: Hashable, now: float) -> int:
        """Return the places of a server that are held."""
        places = self._places_by_key.get(key)
        if places is None:
            return 0
        self._discard_expired(places, now)
        return self._count_held(places)

    def find_capacity(self, key: Hashable) -> int | None:
        """Return the places that a server is granted at most, None if unknown."""
        places = self._places_by_key.get(key)
        return None if places is None else places.capacity

    def retain(self, keys: Collection[Hashable]) -> None:
        """Discard the places of all other servers."""
        for key in list(self._places_by_key):
            if key not in keys:
                del self._places_by_key[key]

    def _recover(self, places: _ServerPlaces, slots: int, now: float) -> None:
        if places.capacity >= slots or now - places.changed_at < RECOVERY_S:
            return
        places.capacity += 1
        places.changed_at = now

    def _discard_expired(self, places: _ServerPlaces, now: float) -> None:
        while places.rejected_at and now - places.rejected_at[0] > REJECTION_WINDOW_S:
            places.rejected_at.popleft()
        for node_id, held in list(places.held_until_by_node.items()):
            kept = deque(until for until in held if until > now)
            if kept:
                places.held_until_by_node[node_id] = kept
            else:
                del places.held_until_by_node[node_id]

    def _count_held(self, places: _ServerPlaces) -> int:
        return sum(len(held) for held in places.held_until_by_node.values())


__all__ = ("RETRY_S", "PlaceCounter")
