"""Bytes of a stream give whole events, or the error of an event without end."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.fuzz.cost import assert_linear
from tests.fuzz.examples import play

from persimmonlink_router.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)

PIECES = st.sampled_from(
    [
        b"\n",
        b"\r",
        b"\r\n",
        b"id:",
        b"id",
        b":",
        b" ",
        b"data: a",
        b"\0",
        b"\xff",
        b"\x85",
    ]
)


@play(500)
@given(st.lists(st.lists(PIECES, max_size=6).map(b"".join), max_size=8))
def test_any_pieces_give_the_events_of_all_bytes_at_once(pieces):
    splitter = EventSplitter()
    events = b"".join(splitter.feed(piece) for piece in pieces)
    data = b"".join(pieces)
    assert data.startswith(events)
    assert splitter.partial_bytes == len(data) - len(events)
    whole = EventSplitter()
    # Line ends between two events may come with either.
    assert whole.feed(data).rstrip(b"\r\n") == events.rstrip(b"\r\n")
    assert not events or events[-1:] in (b"\n", b"\r")


def feed_in_pieces(data: bytes, width: int) -> None:
    splitter = EventSplitter()
    try:
        for at in range(0, len(data), width):
            splitter.feed(data[at : at + width])
    except EventTooLongError:
        return


LONG_STREAMS = {
    "no end": lambda size: b"data: " + b"x" * size,
    "blank lines": lambda size: b"\n" * size,
    "carriage returns": lambda size: b"\r\n" * (size // 2),
    "one line end": lambda size: b"a\n" * (size // 2),
    "ids": lambda size: b"id:" * (size // 3) + b"\n\n",
    "id lines": lambda size: b"id: 1\n" * (size // 6) + b"\n",
    "events": lambda size: b"id: 1\ndata: a\n\n" * (size // 15),
}


@pytest.mark.parametrize("width", [1, 100, MAX_EVENT_BYTES])
@pytest.mark.parametrize("name", sorted(LONG_STREAMS))
def test_the_cost_of_a_stream_is_linear_in_its_bytes(name, width):
    assert_linear(lambda data: feed_in_pieces(data, width), LONG_STREAMS[name], 10000)


def test_an_event_without_end_is_an_error():
    with pytest.raises(EventTooLongError):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
