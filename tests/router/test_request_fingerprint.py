"""Requests that come again under other ids are recognized, and no others."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.request_fingerprint import compute_fingerprint

TEXT = st.text(max_size=4)
BYTES = st.binary(max_size=4)


def test_the_query_does_not_matter():
    first = compute_fingerprint("acme", b"/look/1", b"x")
    assert compute_fingerprint("acme", b"/look/1?a=1", b"x") == first
    assert compute_fingerprint("acme", b"/look/1?", b"x") == first


@given(
    st.tuples(TEXT, BYTES.map(lambda b: b.replace(b"?", b"")), BYTES),
    st.tuples(TEXT, BYTES.map(lambda b: b.replace(b"?", b"")), BYTES),
)
def test_account_path_and_body_all_matter(first, second):
    is_same = compute_fingerprint(*first) == compute_fingerprint(*second)
    assert is_same == (first == second)
