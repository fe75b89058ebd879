"""Places at a brittle server are as many as it bears, over all nodes."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.place_counter import RECOVERY_S, PlaceCounter

KEY = ("s", 1, "10.0.0.1:1")
LEASE_S = 5.0


@given(
    seed=st.integers(0, 2**32),
    slots=st.integers(1, 64),
    nodes=st.sampled_from([6, 8, 68, 88, 380]),
    room=st.integers(0, 64),
    limit=st.integers(1, 20),
)
def test_a_server_rejects_less_than_it_bears_and_is_kept_busy(
    seed, slots, nodes, room, limit
):
    """Nodes ask at random; a server with less room than slots rejects the rest."""
    rng = random.Random(seed)
    counter = PlaceCounter()
    room = max(1, min(room, slots))
    running: list[tuple[float, str]] = []
    rejected_at: list[float] = []
    busy = 0.0
    now = 0.0
    for _ in range(1500):
        now += 0.01
        for ends_at, node in [entry for entry in running if entry[0] <= now]:
            running.remove((ends_at, node))
            counter.end(KEY, node, now, was_rejected=False)
        node = f"n{rng.randrange(nodes)}"
        if counter.ask(KEY, node, slots, limit, now, now + LEASE_S):
            if len(running) < room:
                running.append((now + rng.uniform(0.5, 1.0), node))
            else:
                rejected_at.append(now)
                counter.end(KEY, node, now, was_rejected=True)
        assert counter.count_held(KEY, now) <= slots
        busy += len(running) / min(room, 64)
    for at in rejected_at:
        assert sum(1 for t in rejected_at if at <= t < at + 1.0) <= max(1, limit)
    if room >= 2:
        assert busy / 1500 > 0.3


def test_places_of_a_node_that_is_gone_are_free_after_their_time():
    counter = PlaceCounter()
    assert counter.ask(KEY, "a", 1, 5, 0.0, 2.0)
    assert not counter.ask(KEY, "b", 1, 5, 1.0, 3.0)
    assert counter.ask(KEY, "b", 1, 5, 2.1, 4.0)


def test_a_rejection_takes_a_place_until_the_server_has_recovered():
    counter = PlaceCounter()
    assert counter.ask(KEY, "a", 2, 5, 0.0, 9.0)
    assert counter.ask(KEY, "b", 2, 5, 0.0, 9.0)
    counter.end(KEY, "b", 0.1, was_rejected=True)
    assert counter.find_capacity(KEY) == 1
    assert not counter.ask(KEY, "b", 2, 5, 0.2, 9.0)
    assert counter.ask(KEY, "b", 2, 5, 0.2 + RECOVERY_S, 9.0)
