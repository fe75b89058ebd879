"""Which responses count as the rest of a stream."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.event_stream import EventSplitter
from persimmonlink_router.stream_rest import NotTheRestError, StreamRest, expect_rest

EVENTS = ((b"content-type", b"text/event-stream; charset=utf-8"),)


def check(last_id: bytes, events: bytes) -> bytes:
    rest = StreamRest(last_id)
    rest.check_events(events)
    return rest.last_id


@given(
    st.lists(st.integers(1, 10**25), min_size=1, unique=True).map(sorted),
    st.sampled_from([b"\n", b"\r\n", b"\r"]),
    st.integers(1, 30),
)
def test_increasing_events_are_the_rest_however_they_arrive(ids, line_end, size):
    data = b"".join(
        b"id: %d" % number + line_end + b"data: x" + 2 * line_end for number in ids
    )
    splitter = EventSplitter(b"0")
    rest = StreamRest(b"0")
    for start in range(0, len(data), size):
        rest.check_events(splitter.feed(data[start : start + size]))
    assert int(rest.last_id) == ids[-1]


@given(st.lists(st.integers(0, 50), min_size=2))
def test_events_are_the_rest_only_if_each_follows_the_one_before(ids):
    events = b"".join(b"id: %d\ndata: x\n\n" % number for number in ids[1:])
    is_increasing = all(a < b for a, b in itertools.pairwise(ids))
    try:
        check(b"%d" % ids[0], events)
    except NotTheRestError:
        assert not is_increasing
    else:
        assert is_increasing


@given(st.binary())
def test_any_bytes_are_the_rest_or_not(events):
    try:
        check(b"5", events)
    except NotTheRestError:
        return


def test_a_weight_version_before_the_id_and_comments_are_part_of_a_stream():
    events = b": wait\n\npersimmonlink-weight-versions: 2\nid: 6\ndata: x\n\n"
    assert check(b"5", events) == b"6"


def test_ids_that_are_no_numbers_must_differ():
    assert check(b"a", b"id: b\ndata: x\n\n") == b"b"
    with pytest.raises(NotTheRestError):
        check(b"a", b"id: a\ndata: x\n\n")


def test_a_stream_that_begins_is_not_checked():
    assert (
        expect_rest(b"", ((b"content-type", b"text/plain"),), has_begun=False) is None
    )


@pytest.mark.parametrize("headers", [(), ((b"content-type", b"application/json"),)])
def test_the_rest_of_a_stream_is_a_stream(headers):
    assert expect_rest(b"5", EVENTS, has_begun=True) is not None
    with pytest.raises(NotTheRestError):
        expect_rest(b"5", headers, has_begun=True)
