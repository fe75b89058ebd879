"""Events are forwarded complete, wherever the byte stream is split."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.event_stream import EventSplitter

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (i, i) for i in range(1, 6))


@given(st.lists(st.integers(1, 30), max_size=20))
def test_splits_at_any_byte_neither_lose_nor_duplicate_data(sizes):
    splitter = EventSplitter()
    forwarded = b""
    remaining = STREAM
    for size in sizes:
        forwarded += splitter.feed(remaining[:size])
        remaining = remaining[size:]
    forwarded += splitter.feed(remaining)
    assert forwarded == STREAM
    assert splitter.last_id == b"5"


def test_an_incomplete_event_is_withheld():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
    assert splitter.last_id == b"1"
    assert splitter.pop_partial() == b"id: 2\nda"
