"""Connections never exceed their limit, and one that may be evicted makes room."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.client_pressure.connection_limit import (
    ConnectionLimit,
    Room,
)
from persimmonlink_router.client_pressure.eviction_order import (
    MIN_BEHIND_S,
    EvictionCandidate,
)

LIMIT = 5


@dataclass(eq=False)
class Place:
    places: set[Place] = field(repr=False)
    since: float
    is_served: bool
    is_open: bool = True

    def behind_s(self, now: float) -> float:
        return 0.0 if self.is_served else now - self.since

    def describe_candidate(self, now: float) -> EvictionCandidate | None:
        if self.is_served:
            return None
        return EvictionCandidate(self, "a", behind_s=self.behind_s(now))

    def evict(self) -> None:
        self.is_open = False
        self.places.discard(self)


@given(st.lists(st.tuples(st.floats(0, 0.2), st.booleans()), max_size=60))
def test_places_stay_within_the_limit_and_served_requests_keep_theirs(arrivals):
    limit: ConnectionLimit[Place] = ConnectionLimit(LIMIT)
    places: set[Place] = set()
    served: set[Place] = set()
    now = 100.0
    for pause_s, is_served in arrivals:
        now += pause_s
        if limit.find_room(places, now) is Room.FREE:
            place = Place(places, now, is_served)
            places.add(place)
            if is_served:
                served.add(place)
        assert len(places) <= LIMIT
        assert served <= places


def test_a_new_connection_gets_the_place_of_one_that_is_behind():
    limit: ConnectionLimit[Place] = ConnectionLimit(LIMIT)
    places: set[Place] = set()
    for index in range(LIMIT):
        places.add(Place(places, 100.0 + index, is_served=index != 2))
    slow = next(place for place in places if not place.is_served)
    assert limit.find_room(places, slow.since + MIN_BEHIND_S / 2) is Room.SOON
    assert limit.find_room(places, slow.since + 2 * MIN_BEHIND_S) is Room.FREE
    assert not slow.is_open


def test_without_a_client_that_is_waited_for_there_is_no_place():
    limit: ConnectionLimit[Place] = ConnectionLimit(LIMIT)
    places: set[Place] = set()
    places.update(Place(places, 100.0, is_served=True) for _ in range(LIMIT))
    assert limit.find_room(places, 200.0) is Room.NONE


def test_one_that_has_gone_on_since_the_ranking_keeps_its_place():
    limit: ConnectionLimit[Place] = ConnectionLimit(2)
    places: set[Place] = set()
    first, second = Place(places, 100.0, False), Place(places, 101.0, False)
    places.update((first, second))
    assert limit.find_room(places, 110.0) is Room.FREE
    places.add(Place(places, 110.0, True))
    second.is_served = True
    assert limit.find_room(places, 110.01) is not Room.FREE
    assert second.is_open
