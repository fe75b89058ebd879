"""Events are passed on whole, whatever the bytes arrive in."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.event_stream import EventSplitter

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (i, i) for i in range(1, 6))


@given(st.lists(st.integers(1, 30), max_size=20))
def test_cuts_lose_and_double_nothing(sizes):
    splitter = EventSplitter()
    passed = b""
    rest = STREAM
    for size in sizes:
        passed += splitter.feed(rest[:size])
        rest = rest[size:]
    passed += splitter.feed(rest)
    assert passed == STREAM
    assert splitter.last_id == b"5"


def test_half_an_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
    assert splitter.last_id == b"1"
    assert splitter.take_rest() == b"id: 2\nda"
