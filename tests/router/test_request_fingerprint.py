"""Requests that come again under other ids are recognized, and no others."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from persimmonlink_router.request_fingerprint import (
    compute_exact_fingerprint,
    compute_fingerprint,
    is_exact_fingerprint,
    is_fingerprint,
)

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


@given(
    st.tuples(TEXT, BYTES, BYTES.map(lambda b: b"/look/1" + b)),
    st.tuples(TEXT, BYTES, BYTES.map(lambda b: b"/look/1" + b)),
)
def test_requests_with_another_method_or_query_are_told_apart(first, second):
    fingerprints = []
    for account, method, target in (first, second):
        fingerprint = compute_fingerprint(account, target, b"x")
        fingerprints.append(compute_exact_fingerprint(fingerprint, method, target))
    assert (fingerprints[0] == fingerprints[1]) == (first == second)


def test_both_fingerprints_are_told_from_prompt_parts_and_from_each_other():
    fingerprint = compute_fingerprint("acme", b"/look/1", b"")
    exact = compute_exact_fingerprint(fingerprint, b"GET", b"/look/1")
    assert is_fingerprint(fingerprint)
    assert is_fingerprint(exact)
    assert not is_exact_fingerprint(fingerprint)
    assert is_exact_fingerprint(exact)
