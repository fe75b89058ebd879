"""Places on servers that end if they reject too much, counted for all nodes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable, Mapping, Sequence

# Time after which a server that rejected a request may get one more at once.
RECOVERY_S = 2.0
REJECTION_WINDOW_S = 1.0  # Rejections are counted over this time.
# Part of the rejections that end a server at which it gets nothing more for a while.
MAX_REJECTION_SHARE = 0.4
RETRY_S = 0.05  # Time after which a refused node asks again.
UNNAMED_PREFIX = "unnamed-"  # Start of the id of a place that its node has not named.


@dataclass(slots=True)
class _ServerPlaces:
    capacity: int
    changed_at: float
    # Times until which places are held at most, by place and node, oldest first.
    held_until_by_node: dict[str, dict[str, float]] = field(default_factory=dict)
    rejected_at: deque[float] = field(default_factory=deque)


class PlaceCounter:
    """Grants places in flight, as many as a server has been seen to bear.

    A server is first taken to bear as many requests as it can run. Each rejection takes
    one from those in flight then; with time, and without rejections, one is added.
    """

    def __init__(self) -> None:
        self._places_by_key: dict[Hashable, _ServerPlaces] = {}
        self._next_unnamed = count()

    def ask(
        self,
        key: Hashable,
        node_id: str,
        slots: int,
        max_rejections: float,
        now: float,
        until: float,
        place_id: str = "",
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
        place_id : str
            Id by which the node ends it; empty if it names none.
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
        held = places.held_until_by_node.setdefault(node_id, {})
        held[place_id or self._create_unnamed_id()] = until
        return True

    def end(
        self,
        key: Hashable,
        node_id: str,
        now: float,
        *,
        was_rejected: bool,
        place_id: str = "",
    ) -> bool:
        """Free a place of a node, its oldest unnamed one if none has the id.

        Returns
        -------
        bool
            Whether it had one.
        """
        places = self._places_by_key.get(key)
        if places is None:
            return False
        if was_rejected:
            places.rejected_at.append(now)
            in_flight = self._count_held(places)
            places.capacity = max(1, min(places.capacity, in_flight) - 1)
            places.changed_at = now
        held = places.held_until_by_node.get(node_id, {})
        unnamed = (name for name in held if name.startswith(UNNAMED_PREFIX))
        ended_id = place_id if place_id in held else next(unnamed, None)
        if ended_id is None:
            return False
        self._free(places, node_id, ended_id)
        return True

    def give_up(self, key: Hashable, node_id: str, place_id: str) -> None:
        """Free the place with an id, if it is held."""
        places = self._places_by_key.get(key)
        if places is None or place_id not in places.held_until_by_node.get(node_id, {}):
            return
        self._free(places, node_id, place_id)

    def list_keys(self) -> list[Hashable]:
        """Return the servers of which places were granted."""
        return list(self._places_by_key)

    def collect_left_s(self, key: Hashable, now: float) -> dict[str, tuple[float, ...]]:
        """Return the times for which places are held at most, in seconds, by node."""
        places = self._places_by_key[key]
        self._discard_expired(places, now)
        return {
            node_id: tuple(until - now for until in held.values())
            for node_id, held in places.held_until_by_node.items()
        }

    def take_over(
        self,
        key: Hashable,
        capacity: int,
        left_s_by_node: Mapping[str, Sequence[float]],
        now: float,
    ) -> None:
        """Count places that another node granted as granted here."""
        places = self._places_by_key.get(key)
        if places is None:
            places = _ServerPlaces(max(1, capacity), now)
            self._places_by_key[key] = places
        places.capacity = max(1, min(places.capacity, capacity))
        for node_id, left_s in left_s_by_node.items():
            taken_over = {self._create_unnamed_id(): now + left for left in left_s}
            held = places.held_until_by_node.get(node_id, {})
            places.held_until_by_node[node_id] = taken_over | held

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
            kept = {name: until for name, until in held.items() if until > now}
            if kept:
                places.held_until_by_node[node_id] = kept
            else:
                del places.held_until_by_node[node_id]

    def _create_unnamed_id(self) -> str:
        return f"{UNNAMED_PREFIX}{next(self._next_unnamed)}"

    def _free(self, places: _ServerPlaces, node_id: str, place_id: str) -> None:
        held = places.held_until_by_node[node_id]
        del held[place_id]
        if not held:
            del places.held_until_by_node[node_id]

    def _count_held(self, places: _ServerPlaces) -> int:
        return sum(len(held) for held in places.held_until_by_node.values())


__all__ = ("RETRY_S", "PlaceCounter")
