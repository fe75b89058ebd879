"""Answers of the store give pages, revisions and leases, or one of its errors."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.fuzz.cost import assert_linear
from tests.fuzz.examples import play
from tests.fuzz.strategies import changed_json, header_values, nest

from persimmonlink_adapter.store_client import HttpMetadataStore
from persimmonlink_router.foreign_values import MAX_INTEGER
from persimmonlink_router.http_messages import HttpResponseHead
from persimmonlink_router.store import (
    HistoryLostError,
    LeaseExpiredError,
    StoreRestoredError,
    StoreUnavailableError,
)

STORE_ERRORS = (
    StoreUnavailableError,
    HistoryLostError,
    StoreRestoredError,
    LeaseExpiredError,
)
ITEMS = [
    {"key": "servers/a", "value": "e30=", "revision": 5, "lease": 3},
    {"key": "servers/b", "revision": 6, "tombstone": True},
]
PAGE = {"store-revision": 7, "items": ITEMS, "events": ITEMS, "more-pages": False}
LEASE = {"lease": 1001}
WRITTEN = {"revision": 9, "succeeded": True}
STATUSES = [200, 200, 200, 404, 410, 412, 204, 301, 500]


def answer(store: HttpMetadataStore, body: bytes, status: int, era: bytes) -> None:
    """Let the store answer the next calls."""

    async def respond(*_):
        return HttpResponseHead(status, ((b"store-era", era),)), body

    store._pool.exchange = respond


def make_store(body: bytes, status: int = 200, era: bytes = b"1") -> HttpMetadataStore:
    store = HttpMetadataStore("127.0.0.1:1")
    answer(store, body, status, era)
    return store


def assert_page(page) -> None:
    assert 0 <= page.revision <= MAX_INTEGER
    for item in page.items:
        assert isinstance(item.key, str)
        item.key.encode()
        assert item.value is None or isinstance(item.value, bytes)
        assert 0 <= item.revision <= MAX_INTEGER


@play()
@given(changed_json(PAGE), st.sampled_from(STATUSES), header_values | st.just(b"1"))
def test_any_listing_is_a_page_or_an_error_of_the_store(body, status, era):
    try:
        page = asyncio.run(make_store(body, status, era).read_page("servers/", ""))
    except STORE_ERRORS:
        return
    assert_page(page)


@pytest.mark.parametrize(
    "number", [b"-1", b"1" + b"0" * 30, b"1" + b"0" * 5000, b"true"]
)
@pytest.mark.parametrize("field", [b"store-revision", b"revision"])
def test_a_revision_out_of_range_is_an_error_of_the_store(field, number):
    body = msgspec.json.encode({**PAGE, "items": ITEMS[:1]})
    sound = {b"store-revision": b"7", b"revision": b"5"}[field]
    odd = body.replace(b'"%b":%b' % (field, sound), b'"%b":%b' % (field, number))
    assert odd != body
    with pytest.raises(StoreUnavailableError):
        asyncio.run(make_store(odd).read_page("servers/", ""))


@pytest.mark.parametrize("number", [b"-1", b"1" + b"0" * 30, b"1" + b"0" * 5000])
def test_a_lease_out_of_range_is_an_error_of_the_store(number):
    async def scenario():
        store = make_store(b'{"lease":%b}' % number)
        await store.renew_lease(await store.grant_lease(5.0))

    with pytest.raises(StoreUnavailableError):
        asyncio.run(scenario())


@play()
@given(changed_json(PAGE), st.sampled_from(STATUSES))
def test_any_answer_to_a_watch_is_a_page_or_an_error_of_the_store(body, status):
    store = make_store(body, status, b"0")
    try:
        page = asyncio.run(store.watch("servers/", 5, 0.1))
    except STORE_ERRORS:
        return
    assert_page(page)


@play()
@given(changed_json(LEASE), changed_json(WRITTEN), st.sampled_from(STATUSES))
def test_any_lease_and_write_are_numbers_or_an_error_of_the_store(
    lease_body, written_body, status
):
    async def scenario():
        store = make_store(lease_body)
        lease = await store.grant_lease(5.0)
        assert 0 <= lease <= MAX_INTEGER
        answer(store, written_body, status, b"1")
        revision = await store.put_with_lease("a", b"1", lease)
        assert 0 <= revision <= MAX_INTEGER
        await store.renew_lease(lease)
        await store.revoke_lease(lease)

    try:
        asyncio.run(scenario())
    except STORE_ERRORS:
        return


def decode_quietly(body: bytes) -> None:
    try:
        asyncio.run(make_store(body).read_page("servers/", ""))
    except STORE_ERRORS:
        return


LARGE_PAGES = {
    "open lists": lambda size: nest(size, b"[", b""),
    "items": lambda size: msgspec.json.encode({**PAGE, "items": ITEMS * (size // 100)}),
    "odd items": lambda size: (
        b'{"store-revision":1,"items":[' + b"1," * (size // 2) + b"1]}"
    ),
    "a value": lambda size: msgspec.json.encode(
        {**PAGE, "items": [{"key": "a", "revision": 1, "value": "e30=" * (size // 4)}]}
    ),
    "an odd value": lambda size: msgspec.json.encode(
        {**PAGE, "items": [{"key": "a", "revision": 1, "value": "=" * size}]}
    ),
    "digits": lambda size: b'{"store-revision":' + b"9" * size + b"}",
}


@pytest.mark.parametrize("name", sorted(LARGE_PAGES))
def test_the_cost_of_a_page_is_linear_in_its_bytes(name):
    assert_linear(decode_quietly, LARGE_PAGES[name], 20000)
