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
    assert splitter.is_inside_event
    assert splitter.partial_bytes == len(b"id: 2\nda")
    splitter.discard_partial()
    assert not splitter.is_inside_event
    assert splitter.feed(b"id: 2\n\n") == b"id: 2\n\n"


def test_line_ends_after_the_last_event_begin_no_event():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n\n") == b"id: 1\ndata: x\n\n"
    assert splitter.feed(b"\n") == b""
    assert not splitter.is_inside_event


def test_events_with_carriage_returns_are_forwarded_one_by_one():
    for line_end in (b"\r\n", b"\r"):
        splitter = EventSplitter()
        event = b"id: 7" + line_end + b"data: x" + line_end * 2
        assert splitter.feed(event + b"id: 8") == event
        assert splitter.last_id == b"7"
