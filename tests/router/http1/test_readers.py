"""Bodies in chunks are read alike however their bytes are divided."""

from __future__ import annotations

import itertools

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.http1.readers import MAX_EMPTY_LINES, MAX_JOINED_CHUNKS
from persimmonlink_router.http_framing import create_framing

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_HEAD_BYTES = 20_000
EXTENSIONS = st.sampled_from([b"", b";a=b", b";" + b"x" * 200, b"  "])
CHUNKS = st.lists(st.tuples(st.binary(min_size=1, max_size=80), EXTENSIONS))


def read_all(parts) -> tuple[bytes, int, bool]:
    """Return the body, the number of its events, and whether it is complete."""
    framing = create_framing(h11.SERVER, MAX_HEAD_BYTES)
    body, events = b"", 0
    for part in parts:
        framing.receive_data(part)
        while True:
            event = framing.next_event()
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.EndOfMessage):
                return body, events, True
            if isinstance(event, h11.Data):
                body += event.data
                events += 1
    return body, events, False


@given(CHUNKS, st.lists(st.integers(0, 3000), max_size=8))
def test_a_body_is_the_data_of_its_chunks(chunks, cuts):
    data = HEAD + b"".join(b"%x%s\r\n%s\r\n" % (len(c), e, c) for c, e in chunks)
    data += b"0\r\nX-Trailer: y\r\n\r\n"
    bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    parts = [data[a:b] for a, b in itertools.pairwise(bounds) if a < b]
    body, _, is_complete = read_all(parts)
    assert is_complete
    assert body == b"".join(chunk for chunk, _ in chunks)


def test_whole_chunks_that_have_arrived_share_an_event():
    count = 10 * MAX_JOINED_CHUNKS
    body, events, _ = read_all([HEAD + b"1\r\nx\r\n" * count])
    assert len(body) == count
    assert events <= 12


@pytest.mark.parametrize(
    "chunks",
    [
        b"1\r\nxy\r\n",
        b"z\r\nx\r\n",
        b"-1\r\nx\r\n",
        b"1\r\nx\r\n\r\n",
        b"1\r\nx\n\n1\r\nx\r\n",
    ],
)
def test_malformed_chunks_are_rejected(chunks):
    with pytest.raises(h11.RemoteProtocolError):
        read_all([HEAD + b"1\r\nx\r\n" + chunks + b"1\r\nx\r\n"])


@pytest.mark.parametrize("count", range(MAX_EMPTY_LINES + 1))
def test_a_few_empty_lines_before_a_request_are_ignored(count):
    data = b"\r\n" * count + HEAD + b"0\r\n\r\n"
    assert read_all([data]) == (b"", 0, True)
    assert read_all([bytes([byte]) for byte in data]) == (b"", 0, True)


def test_a_run_of_empty_lines_is_rejected():
    with pytest.raises(h11.RemoteProtocolError):
        read_all([b"\r\n" * (MAX_EMPTY_LINES + 1) + HEAD])
