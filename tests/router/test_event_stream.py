"""Events are forwarded complete, wherever the byte stream is split."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.byte_budget import (
    SMALL_BODY_BYTES,
    BudgetExhaustedError,
    ByteBudget,
)
from persimmonlink_router.event_stream import BLANK_LINES, EventSplitter

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


def split_whole(buffer: bytes) -> tuple[bytes, bytes]:
    """Return the complete events of a buffer, and the rest, by a search of it all."""
    ends = [
        buffer.rfind(blank) + len(blank) for blank in BLANK_LINES if blank in buffer
    ]
    end = max(ends, default=0)
    return buffer[:end], buffer[end:]


@given(st.lists(st.sampled_from([b"\r", b"\n", b"\r\n", b"x", b"id: 3"]), max_size=30))
def test_splits_inside_a_blank_line_find_the_same_events(pieces):
    splitter, rest = EventSplitter(), b""
    for piece in pieces:
        events, rest = split_whole(rest + piece)
        assert splitter.feed(piece) == events
        assert splitter.partial_bytes == len(rest)


def feed_bytewise(splitter: EventSplitter, count: int) -> float:
    """Return the time that it takes to feed bytes of one event, in seconds."""
    started_at = time.perf_counter()
    for _ in range(count):
        splitter.feed(b"x")
    return time.perf_counter() - started_at


def test_the_time_for_an_event_without_end_grows_with_its_bytes_only():
    splitter = EventSplitter()
    early_s = min(feed_bytewise(splitter, 1000) for _ in range(5))
    splitter.feed(b"x" * 400_000)
    late_s = min(feed_bytewise(splitter, 1000) for _ in range(5))
    assert late_s < 4 * early_s


def test_an_event_without_room_leaves_the_last_id_at_what_was_returned():
    # The stream goes on elsewhere after the last event that its client has.
    budget = ByteBudget(10)
    with budget.open_reservation() as reservation:
        splitter = EventSplitter(b"", reservation)
        assert splitter.feed(b"id: 1\n\n") == b"id: 1\n\n"
        with pytest.raises(BudgetExhaustedError):
            splitter.feed(b"id: 2\n\n" + bytes(SMALL_BODY_BYTES + 11))
        assert splitter.last_id == b"1"
        splitter.discard_partial()
        assert budget.try_reserve(10)
